#define BOOST_TEST_MODULE AtMostOnceMixture
#include <atomic>
#include <boost/test/unit_test.hpp>
#include <cstdlib>
#include <functional>
#include <iostream>
#include <map>
#include <random>
#include <thread>

#include "harness/attempt_history.h"

using namespace sassafrasbay;  // NOLINT(google-build-using-namespace)
using namespace harness;       // NOLINT(google-build-using-namespace)

namespace {

constexpr std::uint32_t kDefaultSeed = 20261204;
constexpr std::size_t kNodes = 5;
constexpr unsigned kCallers = 8;
constexpr int kKeys = 24;
constexpr int kMaxAttempts = 3;
constexpr milliseconds kDelayBetweenRequests{10};
constexpr milliseconds kLoadDuration{30'000};

std::uint32_t Seed() {
  const char* text = std::getenv("SASSAFRASBAY_SEED");
  return text == nullptr ? kDefaultSeed : static_cast<std::uint32_t>(std::atoll(text));
}

using Random = std::mt19937;

std::size_t RandomBelow(Random& random, std::size_t bound) { return random() % bound; }

// Sends binding and idempotent requests until stopped. Repeats a request through a random node when
// it got no answer, and for some requests also after an answer.
void RunCaller(AttemptHistory& bookings, std::uint32_t seed, const std::atomic<bool>& stop) {
  Random random(seed);
  while (!stop) {
    CallerRequest request{.key_ = "mixed" + std::to_string(RandomBelow(random, kKeys)),
                          .id_ = NewUuid(),
                          .body_ = NewUuid(),
                          .stand_in_header_ = "sleep=" + std::to_string(RandomBelow(random, 30))};
    if (RandomBelow(random, 3) == 0) {
      request.method_ = "PUT";
      request.id_.clear();
    }
    const bool repeats_after_answer = RandomBelow(random, 4) == 0;
    for (int attempt_number = 0; attempt_number < kMaxAttempts; ++attempt_number) {
      const Attempt attempt = bookings.Send(RandomBelow(random, kNodes), request);
      if (attempt.outcome_ == "answered" && !(repeats_after_answer && attempt_number == 0)) {
        break;
      }
    }
    std::this_thread::sleep_for(kDelayBetweenRequests);
  }
}

struct Fault {
  std::string name_;
  std::function<void()> start_;
  std::function<void()> end_;
};

Fault KillNode(Fleet& fleet, std::size_t node, bool with_upstream) {
  return {"kill node" + std::to_string(node) + (with_upstream ? " and its upstream" : ""),
          [&fleet, node, with_upstream] {
            fleet.Node(node).node_->Kill();
            if (with_upstream) {
              fleet.Node(node).upstream_->Kill();
            }
          },
          [&fleet, node, with_upstream] {
            BOOST_TEST(fleet.StartNode(node).has_value());
            if (with_upstream) {
              BOOST_TEST(fleet.StartUpstream(node).has_value());
            }
          }};
}

Fault ChangeLog(Fleet& fleet, const std::string& name, const nlohmann::json& start,
                const nlohmann::json& end) {
  return {"log " + name, [&fleet, start] { BOOST_TEST(fleet.SetLogFaults(start)); },
          [&fleet, end] { BOOST_TEST(fleet.SetLogFaults(end)); }};
}

Fault ChooseFault(Fleet& fleet, Random& random) {
  const std::size_t node = RandomBelow(random, kNodes);
  const std::size_t other = (node + 1 + RandomBelow(random, kNodes - 1)) % kNodes;
  switch (RandomBelow(random, 8)) {
    case 0:
      return KillNode(fleet, node, true);
    case 1:
      return KillNode(fleet, node, false);
    case 2:
    case 3:
      return {"pause node" + std::to_string(node),
              [&fleet, node] { fleet.Node(node).node_->Pause(); },
              [&fleet, node] { fleet.Node(node).node_->Resume(); }};
    case 4:
      return {"cut node" + std::to_string(node) + " from node" + std::to_string(other),
              [&fleet, node, other] { BOOST_TEST(fleet.SetPartition(node, other, true)); },
              [&fleet, node, other] { BOOST_TEST(fleet.SetPartition(node, other, false)); }};
    case 5:
      return {"cut node" + std::to_string(node) + " from the log",
              [&fleet, node] { BOOST_TEST(fleet.SetLogPartition(node, true)); },
              [&fleet, node] { BOOST_TEST(fleet.SetLogPartition(node, false)); }};
    case 6:
      return ChangeLog(fleet, "loses answers and is slow", {{"lose_answers", 3}, {"slow_ms", 200}},
                       {{"lose_answers", 0}, {"slow_ms", 0}});
    default:
      return ChangeLog(fleet, "outage", {{"outage", true}}, {{"outage", false}});
  }
}

// Injects random faults one after another, each after the fleet has recovered from the one before.
// Returns false when the fleet doesn't recover.
bool RunFaults(Fleet& fleet, Random& random) {
  const BootTime end = BootClock::now() + kLoadDuration;
  while (BootClock::now() < end) {
    const Fault fault = ChooseFault(fleet, random);
    const milliseconds fault_duration(300 + RandomBelow(random, 2500));
    std::cout << "fault: " << fault.name_ << " for " << fault_duration.count() << " ms"
              << std::endl;
    fault.start_();
    std::this_thread::sleep_for(fault_duration);
    fault.end_();
    if (!WaitUntilSettled(fleet)) {
      return false;
    }
  }
  return true;
}

void ReportOutcomes(const std::vector<Attempt>& attempts) {
  std::map<std::string, int> counts;
  for (const Attempt& attempt : attempts) {
    ++counts[attempt.request_.method_ + " " + attempt.outcome_];
  }
  for (const auto& [outcome, count] : counts) {
    std::cout << outcome << ": " << count << std::endl;
  }
}

}  // namespace

// Guards against requests that run twice, are lost after their acknowledgement, or get the answer
// of another request under load with random faults. Only one fault is active at a time, which the
// fleet must tolerate.
BOOST_AUTO_TEST_CASE(LoadUnderFaults) {
  const std::uint32_t seed = Seed();
  std::cout << "SASSAFRASBAY_SEED=" << seed << std::endl;
  Random random(seed);
  const auto fleet = MakeBenchFleet({.data_centres_ = kNodes, .proxies_ = true});
  BOOST_REQUIRE(fleet != nullptr);
  AttemptHistory bookings(*fleet);
  std::atomic<bool> stop = false;
  std::vector<std::thread> callers;
  callers.reserve(kCallers);
  for (unsigned caller = 0; caller < kCallers; ++caller) {
    callers.emplace_back([&, caller] { RunCaller(bookings, seed + 1 + caller, stop); });
  }
  BOOST_TEST(RunFaults(*fleet, random), "the fleet did not recover from the last fault");
  stop = true;
  for (std::thread& caller : callers) {
    caller.join();
  }
  ReportOutcomes(bookings.Attempts());
  for (const std::string& violation : bookings.CheckStillAcknowledged({0, 1, 2, 3, 4})) {
    BOOST_ERROR(violation);
  }
  for (const std::string& violation : bookings.Check()) {
    BOOST_ERROR(violation);
  }
}

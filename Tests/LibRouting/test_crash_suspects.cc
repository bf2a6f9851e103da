#define BOOST_TEST_MODULE CrashSuspects
#include <array>
#include <boost/test/unit_test.hpp>
#include <iostream>
#include <random>

#include "LibRouting/crash_suspects.h"

namespace sassafrasbay {
namespace {

constexpr std::uint64_t kSeed = 61'000;
constexpr std::uint64_t kCrashing = 666;
const BootTime kStart{std::chrono::hours(1)};
const CrashSuspectTerms kTerms;

CrashSuspects MakeSuspects(std::size_t capacity = kTerms.capacity_) {
  CrashSuspects suspects;
  suspects.terms_.capacity_ = capacity;
  return suspects;
}

void Crash(CrashSuspects& suspects, std::uint64_t fingerprint, BootTime now = kStart) {
  RecordCrash(suspects, std::array{fingerprint}, now);
}

/// Nodes that exchange reports of suspects, and counts of the results of their requests.
struct Fleet {
  std::array<CrashSuspects, 5> nodes_;
  int crashes_ = 0;
  int completed_ = 0;
  int refused_ = 0;  ///< Ordinary requests refused.
};

/// Sends four ordinary requests to one node and, if `with_crashing`, the crashing one unless it is
/// refused. When the crashing one runs the upstream crashes; otherwise all complete.
void RunOnNode(Fleet& fleet, CrashSuspects& node, bool with_crashing, BootTime now,
               std::mt19937_64& random) {
  std::vector<std::uint64_t> in_flight;
  for (int i = 0; i < 4; ++i) {
    const std::uint64_t ordinary = random() % 400;
    if (IsRefused(node, ordinary, now)) {
      ++fleet.refused_;
    } else {
      in_flight.push_back(ordinary);
    }
  }
  if (with_crashing && !IsRefused(node, kCrashing, now)) {
    ++fleet.crashes_;
    in_flight.push_back(kCrashing);
    for (const Suspect& report : RecordCrash(node, in_flight, now)) {
      for (CrashSuspects& other : fleet.nodes_) {
        Merge(other, report, now);
      }
    }
    return;
  }
  for (const std::uint64_t ordinary : in_flight) {
    ClearSuspect(node, ordinary);
    ++fleet.completed_;
  }
}

// Guards against a repeated request crashing one upstream after the other, and against refusing
// ordinary requests that were in flight with it.
BOOST_AUTO_TEST_CASE(CrashingRequestIsRefusedAfterSecondCrash) {
  std::cout << "seed " << kSeed << '\n';
  std::mt19937_64 random(kSeed);
  Fleet fleet;
  BootTime now = kStart;
  for (int round = 0; round < 5000; ++round) {
    now += milliseconds(50);
    RunOnNode(fleet, fleet.nodes_.at(random() % 5), round % 3 == 0, now, random);
  }
  std::cout << "crashes " << fleet.crashes_ << ", ordinary completed " << fleet.completed_
            << ", ordinary refused " << fleet.refused_ << '\n';
  BOOST_TEST(fleet.crashes_ == 2);
  BOOST_TEST(fleet.completed_ == 4 * (5000 - 2));
  BOOST_TEST(fleet.refused_ == 0);
  for (const CrashSuspects& node : fleet.nodes_) {
    BOOST_TEST(IsRefused(node, kCrashing, now));
  }
}

// Guards against refusal after a single crash, during which other requests were in flight too.
BOOST_AUTO_TEST_CASE(CompletedRequestsAreClearedOfSuspicion) {
  CrashSuspects suspects = MakeSuspects();
  const auto reports = RecordCrash(suspects, std::array<std::uint64_t, 3>{1, 2, 1}, kStart);
  BOOST_TEST(reports.size() == 2U);
  BOOST_TEST(reports.front().crashes_ == 1U);
  BOOST_TEST(IsSuspect(suspects, 1, kStart));
  BOOST_TEST(!IsRefused(suspects, 1, kStart));
  ClearSuspect(suspects, 1);
  BOOST_TEST(!IsSuspect(suspects, 1, kStart));
  RecordCrash(suspects, std::array<std::uint64_t, 2>{1, 2}, kStart);
  BOOST_TEST(!IsRefused(suspects, 1, kStart));
  BOOST_TEST(IsRefused(suspects, 2, kStart));
}

// Guards against counting a crash more than once when several nodes report it.
BOOST_AUTO_TEST_CASE(MergeTakesTheMaximum) {
  CrashSuspects suspects = MakeSuspects();
  for (int i = 0; i < 5; ++i) {
    Merge(suspects, Suspect{1, 1}, kStart);
  }
  BOOST_TEST(!IsRefused(suspects, 1, kStart));
  Merge(suspects, Suspect{1, 2}, kStart);
  Merge(suspects, Suspect{1, 1}, kStart);
  BOOST_TEST(IsRefused(suspects, 1, kStart));
  Merge(suspects, Suspect{2, 0}, kStart);
  BOOST_TEST(!IsSuspect(suspects, 2, kStart));
}

// Guards against refusing a request for ever, and against a report extending the refusal.
BOOST_AUTO_TEST_CASE(SuspicionExpires) {
  CrashSuspects suspects = MakeSuspects();
  Crash(suspects, 1);
  Crash(suspects, 1);
  const BootTime last = kStart + kTerms.refusal_duration_ - milliseconds(1);
  const BootTime over = kStart + kTerms.refusal_duration_;
  Merge(suspects, Suspect{1, 2}, last);
  BOOST_TEST(IsRefused(suspects, 1, last));
  BOOST_TEST(!IsRefused(suspects, 1, over));
  Crash(suspects, 1, over);
  BOOST_TEST(!IsRefused(suspects, 1, over));
  ExpireSuspects(suspects, over);
  BOOST_TEST(suspects.by_fingerprint_.size() == 1U);
  ExpireSuspects(suspects, over + kTerms.refusal_duration_);
  BOOST_TEST(suspects.by_fingerprint_.empty());
}

// Guards against unbounded memory, and against many new suspects evicting a known one.
BOOST_AUTO_TEST_CASE(MemoryIsBounded) {
  CrashSuspects suspects = MakeSuspects(100);
  Crash(suspects, kCrashing);
  Crash(suspects, kCrashing);
  for (std::uint64_t i = 1000; i < 6000; ++i) {
    Crash(suspects, i, kStart + milliseconds(1));
    BOOST_REQUIRE(suspects.by_fingerprint_.size() <= 100U);
  }
  BOOST_TEST(IsRefused(suspects, kCrashing, kStart + milliseconds(1)));
}

}  // namespace
}  // namespace sassafrasbay

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <map>
#include <vector>

#include "LibRouting/return_schedule.h"
#include "LibRouting/slot_queue.h"

namespace sassafrasbay {
namespace {

constexpr double kServiceMs = 200;
constexpr std::uint32_t kSlots = 6;
constexpr double kCapacity = kSlots * 1000 / kServiceMs;  // per second

struct Arrival {
  int retries_left_ = 2;
  BootTime deadline_{};
};

struct Outcome {
  int served_ = 0;
  int returned_ = 0;  ///< Returns after a refusal.
  int refused_again_ = 0;
};

/// Offers requests with two retries to one upstream: `burst_rate` per second in the first second,
/// 0.4 times the capacity in the following four.
Outcome OfferBurst(double burst_rate, bool is_scheduled) {
  SlotQueue queue;
  queue.slots_ = kSlots;
  queue.mean_service_ms_ = kServiceMs;
  queue.service_ms_["lookup"] = kServiceMs;
  ReturnSchedule schedule;
  Outcome outcome;
  const BootTime start{std::chrono::seconds(100)};
  std::multimap<BootTime, Arrival> arrivals;
  for (double at_ms = 0; at_ms < 5000;
       at_ms += 1000 / (at_ms < 1000 ? burst_rate : 0.4 * kCapacity)) {
    const BootTime at = start + milliseconds(static_cast<int>(at_ms));
    arrivals.emplace(at, Arrival{2, at + milliseconds(3000)});
  }
  std::multimap<BootTime, int> ends;
  std::uint64_t number = 0;
  std::map<std::uint64_t, Arrival> waiting;
  const auto refuse = [&](Arrival arrival, milliseconds expected_wait, BootTime now) {
    const milliseconds proposed =
        is_scheduled ? ScheduleReturn(schedule, kCapacity, expected_wait, now) : expected_wait;
    // Callers honour a third of the time that they have left.
    const auto left = std::chrono::duration_cast<milliseconds>(arrival.deadline_ - now);
    outcome.refused_again_ += arrival.retries_left_ < 2 ? 1 : 0;
    if (arrival.retries_left_-- > 0) {
      ++outcome.returned_;
      arrivals.emplace(now + std::min(proposed, left / 3), arrival);
    }
  };
  while (!arrivals.empty() || !ends.empty()) {
    const bool is_end =
        arrivals.empty() || (!ends.empty() && ends.begin()->first <= arrivals.begin()->first);
    const BootTime now = is_end ? ends.begin()->first : arrivals.begin()->first;
    if (is_end) {
      ends.erase(ends.begin());
      ++outcome.served_;
      FreeSlot(queue, "lookup", milliseconds(static_cast<int>(kServiceMs)));
    } else {
      const Arrival arrival = arrivals.begin()->second;
      arrivals.erase(arrivals.begin());
      const SlotRequest request{++number, "lookup", 0, now + milliseconds(500), arrival.deadline_};
      const SlotVerdict verdict = OfferRequest(queue, request, now);
      if (verdict.decision_ == SlotDecision::kRun) {
        ends.emplace(now + milliseconds(static_cast<int>(kServiceMs)), 0);
      } else if (verdict.decision_ == SlotDecision::kWait) {
        waiting[number] = arrival;
      } else {
        refuse(arrival, verdict.expected_wait_, now);
      }
    }
    for (const SlotRequest& overdue : TakeOverdue(queue, now)) {
      refuse(waiting.at(overdue.number_), ExpectedWait(queue, queue.waiting_.size()), now);
    }
    while (TakeWaiting(queue, now)) {
      ends.emplace(now + milliseconds(static_cast<int>(kServiceMs)), 0);
    }
  }
  return outcome;
}

BOOST_AUTO_TEST_SUITE(ReturnSchedules)

// Load: one second with twice the capacity, which leaves room for all callers that return. Of 100
// returns, 95 have to be served.
BOOST_AUTO_TEST_CASE(RefusedCallersAreServedWhenTheyReturn) {
  const Outcome scheduled = OfferBurst(2 * kCapacity, true);
  BOOST_TEST(scheduled.returned_ > 0);
  BOOST_TEST(scheduled.refused_again_ <= 0.05 * scheduled.returned_);
}

// Load: one second with 2.5 times the capacity. Guards against callers that are told to return
// while the upstream is still full, although it has room for most of them a little later.
BOOST_AUTO_TEST_CASE(FewerCallersOfALargeBurstAreRefusedAgain) {
  const Outcome at_once = OfferBurst(2.5 * kCapacity, false);
  const Outcome scheduled = OfferBurst(2.5 * kCapacity, true);
  BOOST_TEST(scheduled.refused_again_ < 0.5 * at_once.refused_again_);
  BOOST_TEST(scheduled.served_ >= at_once.served_);
}

// Guards against long delays when only few requests are refused.
BOOST_AUTO_TEST_CASE(FewRefusedCallersReturnAfterTheExpectedWait) {
  ReturnSchedule schedule;
  BootTime now{std::chrono::seconds(100)};
  for (int i = 0; i < 20; ++i) {
    BOOST_TEST((ScheduleReturn(schedule, kCapacity, milliseconds(50), now) == milliseconds(50)));
    now += milliseconds(200);
  }
}

// Returns take up at most half of the capacity, and no caller is sent away for longer than it would
// wait.
BOOST_AUTO_TEST_CASE(ReturnsAreSpreadAndBounded) {
  ReturnSchedule schedule;
  const BootTime now{std::chrono::seconds(100)};
  std::map<std::int64_t, int> returns_by_second;
  milliseconds longest{0};
  for (int i = 0; i < 40; ++i) {
    const milliseconds delay = ScheduleReturn(schedule, kCapacity, milliseconds(50), now);
    longest = std::max(longest, delay);
    ++returns_by_second[delay.count() / 1000];
  }
  for (const auto& [second, count] : returns_by_second) {
    BOOST_TEST(count <= 0.5 * kCapacity + 1);
  }
  for (int i = 0; i < 1000; ++i) {
    longest = std::max(longest, ScheduleReturn(schedule, kCapacity, milliseconds(50), now));
  }
  BOOST_TEST(longest.count() <= 3000);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace sassafrasbay

#include <boost/test/unit_test.hpp>
#include <random>
#include <vector>

#include "LibRouting/send_throttle.h"

namespace sassafrasbay {
namespace {

struct Outcome {
  double sent_per_second_ = 0;
  double sampling_weight_ = 0;  ///< Requests that the sent ones stand for, for each one offered.
};

/// Offers that many requests a second for some seconds. A request finds a slot with the given
/// probability; others are refused `delay` later. The first two seconds don't count.
Outcome Offer(SendThrottle& throttle, double per_second, double found_slot, milliseconds delay) {
  constexpr int kSeconds = 10;
  constexpr int kSettling = 2;
  std::mt19937_64 random(7);
  std::uniform_real_distribution<double> uniform(0, 1);
  BootTime now{};
  std::vector<BootTime> refusals;
  Outcome outcome;
  const int offers = static_cast<int>(per_second * kSeconds);
  for (int i = 0; i < offers; ++i) {
    now += std::chrono::duration_cast<BootTime::duration>(
        std::chrono::duration<double>(1 / per_second));
    std::erase_if(refusals, [&](BootTime due) {
      if (due > now) {
        return false;
      }
      CountRefused(throttle);
      return true;
    });
    const bool counts = i >= offers * kSettling / kSeconds;
    if (!MaySend(throttle, now, uniform(random))) {
      continue;
    }
    outcome.sent_per_second_ += counts ? 1.0 / (kSeconds - kSettling) : 0;
    outcome.sampling_weight_ +=
        counts ? SamplingWeight(throttle) / per_second / (kSeconds - kSettling) : 0;
    if (uniform(random) >= found_slot) {
      refusals.push_back(now + delay);
    }
  }
  return outcome;
}

BOOST_AUTO_TEST_SUITE(SendThrottles)

BOOST_AUTO_TEST_CASE(AllRequestsAreSentWhileAccepted) {
  SendThrottle throttle;
  BOOST_TEST(Offer(throttle, 40, 1.0, milliseconds(300)).sent_per_second_ > 39.9);
}

// Pattern: a hot key. Its owner takes a tenth of what is offered. All of it was sent, and the node
// beside the owner answered with timeouts instead of refusals.
BOOST_AUTO_TEST_CASE(MostRequestsAreHeldBackWhileOwnerIsFull) {
  SendThrottle throttle;
  const Outcome outcome = Offer(throttle, 40, 0.1, milliseconds(20));
  BOOST_TEST(outcome.sent_per_second_ < 12);
  BOOST_TEST(outcome.sent_per_second_ >= 1);
}

// The planner must see the whole demand, although most of it is held back.
BOOST_AUTO_TEST_CASE(SamplingWeightsCoverHeldBackRequests) {
  SendThrottle throttle;
  const Outcome outcome = Offer(throttle, 200, 0.1, milliseconds(20));
  BOOST_TEST(outcome.sampling_weight_ > 0.6);
  BOOST_TEST(outcome.sampling_weight_ < 1.4);
}

BOOST_AUTO_TEST_CASE(SendingResumesOnceOwnerAccepts) {
  SendThrottle throttle;
  Offer(throttle, 40, 0.1, milliseconds(20));
  // The clock of the second run starts anew.
  throttle.decayed_at_ = BootTime{};
  // Nine of ten after the two seconds that a move of keys takes.
  BOOST_TEST(Offer(throttle, 40, 1.0, milliseconds(20)).sent_per_second_ > 36);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace sassafrasbay

#include <boost/test/unit_test.hpp>
#include <random>
#include <vector>

#include "LibRouting/send_throttle.h"

namespace sassafrasbay {
namespace {

/// Rates measured over a run.
struct Outcome {
  double sent_per_second_ = 0;
  double estimated_demand_ratio_ = 0;  ///< Sum of the sampling weights per offered request.
};

/// Offers `per_second` requests per second for some seconds. The owner accepts each sent request
/// with `acceptance_probability`; others are refused after `delay`. The first two seconds are not
/// measured.
Outcome Offer(SendThrottle& throttle, double per_second, double acceptance_probability,
              milliseconds delay) {
  constexpr int kSeconds = 10;
  constexpr int kWarmUpSeconds = 2;
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
    const bool is_measured = i >= offers * kWarmUpSeconds / kSeconds;
    if (!MaySend(throttle, now, uniform(random))) {
      continue;
    }
    outcome.sent_per_second_ += is_measured ? 1.0 / (kSeconds - kWarmUpSeconds) : 0;
    outcome.estimated_demand_ratio_ +=
        is_measured ? SamplingWeight(throttle) / per_second / (kSeconds - kWarmUpSeconds) : 0;
    if (uniform(random) >= acceptance_probability) {
      refusals.push_back(now + delay);
    }
  }
  return outcome;
}

BOOST_AUTO_TEST_SUITE(SendThrottles)

// Guards against holding back requests for an owner that accepts all of them.
BOOST_AUTO_TEST_CASE(AllRequestsAreSentWhileAccepted) {
  SendThrottle throttle;
  BOOST_TEST(Offer(throttle, 40, 1.0, milliseconds(300)).sent_per_second_ > 39.9);
}

// Guards against overloading the owner of a hot key that accepts a tenth of the requests. When all
// of them were sent, the node beside the owner answered with timeouts instead of refusals.
BOOST_AUTO_TEST_CASE(MostRequestsAreHeldBackWhileOwnerIsFull) {
  SendThrottle throttle;
  const Outcome outcome = Offer(throttle, 40, 0.1, milliseconds(20));
  BOOST_TEST(outcome.sent_per_second_ < 12);
  BOOST_TEST(outcome.sent_per_second_ >= 1);
}

// Guards against the planner underestimating the demand for keys whose requests are mostly held
// back.
BOOST_AUTO_TEST_CASE(SamplingWeightsCoverHeldBackRequests) {
  SendThrottle throttle;
  const Outcome outcome = Offer(throttle, 200, 0.1, milliseconds(20));
  BOOST_TEST(outcome.estimated_demand_ratio_ > 0.6);
  BOOST_TEST(outcome.estimated_demand_ratio_ < 1.4);
}

// Guards against a throttle that recovers slowly once the owner accepts requests again.
BOOST_AUTO_TEST_CASE(SendingResumesOnceOwnerAccepts) {
  SendThrottle throttle;
  Offer(throttle, 40, 0.1, milliseconds(20));
  // The clock of the second run starts at zero again.
  throttle.decayed_at_ = BootTime{};
  // At least 90 % are sent after the two seconds that a move of keys takes.
  BOOST_TEST(Offer(throttle, 40, 1.0, milliseconds(20)).sent_per_second_ > 36);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace sassafrasbay

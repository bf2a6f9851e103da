#include "LibRouting/send_throttle.h"

#include <algorithm>
#include <cmath>

namespace sassafrasbay {
namespace {

/// Time constant of the decay. Keys move to other owners within one or two seconds.
constexpr double kTimeConstantSeconds = 1.0;

/// Maximum number of requests sent per accepted one. It is below the usual 2, since each refusal is
/// expensive for a node with a tenth of a core.
constexpr double kMaxSentPerAccepted = 1.5;

/// Requests sent per time constant regardless of refusals. They show when the other node accepts
/// requests again.
constexpr double kProbesPerTimeConstant = 1;

/// Probability with which a request is held back. Requests without an answer yet count as accepted.
double HoldBackProbability(const SendThrottle& throttle) {
  const double accepted =
      std::max(0.0, throttle.offered_ - throttle.held_back_ - throttle.refused_);
  const double max_sent = kMaxSentPerAccepted * accepted + kProbesPerTimeConstant;
  return std::max(0.0, (throttle.offered_ - max_sent) / (throttle.offered_ + 1));
}

}  // namespace

bool MaySend(SendThrottle& throttle, BootTime now, double sample) {
  const double seconds = std::chrono::duration<double>(now - throttle.decayed_at_).count();
  const double factor = std::exp(-seconds / kTimeConstantSeconds);
  throttle.decayed_at_ = now;
  throttle.offered_ = throttle.offered_ * factor + 1;
  throttle.held_back_ *= factor;
  throttle.refused_ *= factor;
  const bool sends = sample >= HoldBackProbability(throttle);
  throttle.held_back_ += sends ? 0 : 1;
  return sends;
}

void CountRefused(SendThrottle& throttle) { throttle.refused_ += 1; }

double SamplingWeight(const SendThrottle& throttle) {
  return 1 / (1 - HoldBackProbability(throttle));
}

}  // namespace sassafrasbay

#include "LibRouting/send_throttle.h"

#include <algorithm>
#include <cmath>

namespace sassafrasbay {
namespace {

/// Time constant of the decay. Keys move to other owners within one or two seconds.
constexpr double kTimeConstantSeconds = 1.0;

/// Requests sent for each one accepted. Less than the usual 2, since a refusal costs a node with a
/// tenth of a core much; other values were not measured.
constexpr double kSentPerAccepted = 1.5;

/// Requests that are sent whatever became of the others, in each time constant. They show when the
/// other node accepts again.
constexpr double kProbes = 1;

/// Share of the requests to hold back. Those without an answer count as accepted.
double HeldBackShare(const SendThrottle& throttle) {
  const double accepted = std::max(0.0, throttle.offered_ - throttle.held_ - throttle.refused_);
  const double most = kSentPerAccepted * accepted + kProbes;
  return std::max(0.0, (throttle.offered_ - most) / (throttle.offered_ + 1));
}

}  // namespace

bool MaySend(SendThrottle& throttle, BootTime now, double sample) {
  const double seconds = std::chrono::duration<double>(now - throttle.decayed_at_).count();
  const double factor = std::exp(-seconds / kTimeConstantSeconds);
  throttle.decayed_at_ = now;
  throttle.offered_ = throttle.offered_ * factor + 1;
  throttle.held_ *= factor;
  throttle.refused_ *= factor;
  const bool sends = sample >= HeldBackShare(throttle);
  throttle.held_ += sends ? 0 : 1;
  return sends;
}

void CountRefused(SendThrottle& throttle) { throttle.refused_ += 1; }

double SamplingWeight(const SendThrottle& throttle) { return 1 / (1 - HeldBackShare(throttle)); }

}  // namespace sassafrasbay

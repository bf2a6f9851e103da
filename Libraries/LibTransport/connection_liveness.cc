#include "LibTransport/connection_liveness.h"

#include <algorithm>
#include <utility>

namespace sassafrasbay {
namespace {

/// Time without an answer or any other bytes after which a connection is probed. Most requests take
/// less.
constexpr milliseconds kAnswerTimeout{700};

/// The probe timeout follows the last answer's time, since overloaded peers answer late.
constexpr int kProbeTimeoutFactor = 4;
constexpr milliseconds kMaxProbeTimeout{2000};

bool IsUnconfirmed(const ConnectionLiveness& liveness, const LivenessInputs& inputs) {
  return inputs.now_ - std::min(liveness.confirmed_at_, inputs.progress_at_) >
         inputs.confirmation_timeout_;
}

bool IsUnanswered(const ConnectionLiveness& liveness, const LivenessInputs& inputs) {
  const auto is_overdue = [&inputs](const std::optional<BootTime>& since) {
    return since && inputs.now_ - std::max(*since, inputs.progress_at_) > kAnswerTimeout;
  };
  return is_overdue(inputs.awaiting_since_) || is_overdue(liveness.requested_at_);
}

}  // namespace

LivenessAction CheckLiveness(ConnectionLiveness& liveness, const LivenessInputs& inputs) {
  if (liveness.requested_at_ && inputs.progress_at_ >= *liveness.requested_at_) {
    liveness.requested_at_.reset();
  }
  if (!liveness.probed_at_) {
    if (!IsUnconfirmed(liveness, inputs) && !IsUnanswered(liveness, inputs)) {
      return LivenessAction::kNone;
    }
    liveness.probed_at_ = inputs.now_;
    return LivenessAction::kProbe;
  }
  // A large message that is still arriving, or leaving, holds up the probe.
  const BootTime since = std::max(*liveness.probed_at_, inputs.progress_at_);
  if (liveness.suspected_ || inputs.now_ - since < liveness.probe_timeout_) {
    return LivenessAction::kNone;
  }
  liveness.suspected_ = true;
  return LivenessAction::kSuspect;
}

void RecordRequest(ConnectionLiveness& liveness, BootTime now) {
  if (!liveness.requested_at_) {
    liveness.requested_at_ = now;
  }
}

void ConfirmSent(ConnectionLiveness& liveness, BootTime sent_at) {
  liveness.confirmed_at_ = std::max(liveness.confirmed_at_, sent_at);
}

bool RecordProbeAnswer(ConnectionLiveness& liveness, BootTime now) {
  if (!liveness.probed_at_) {
    return false;
  }
  const auto took = std::chrono::duration_cast<milliseconds>(now - *liveness.probed_at_);
  liveness.probe_timeout_ =
      std::clamp(kProbeTimeoutFactor * took, kMinProbeTimeout, kMaxProbeTimeout);
  ConfirmSent(liveness, *liveness.probed_at_);
  liveness.probed_at_.reset();
  return std::exchange(liveness.suspected_, false);
}

}  // namespace sassafrasbay

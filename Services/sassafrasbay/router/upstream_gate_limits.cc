#include <algorithm>
#include <string>

#include "LibCore/logging.h"
#include "router/upstream_gate.h"

namespace sassafrasbay {
namespace {

constexpr std::string_view kPart = "gate";

/// A request is overdue once this time has passed after its limit.
constexpr milliseconds kTimerMargin{1};

}  // namespace

// All requests to the upstream pass this gate, so that a limit on the requests of all nodes
// together needs no shares.
void UpstreamGate::ApplyRateLimits() {
  if (upstream_ == nullptr) {
    return;
  }
  const std::optional<double> previous = queue_.rate_limit_.per_second_;
  const bool was_cold = cold_start_.limited_since_.has_value();
  ApplyLimits(cold_start_, upstream_->cold_start_, queue_.rate_limit_, named_rate_, queue_.running_,
              BootClock::now());
  if (queue_.rate_limit_.per_second_ != previous ||
      cold_start_.limited_since_.has_value() != was_cold) {
    LogRateLimits(previous, was_cold);
  }
}

void UpstreamGate::LogRateLimits(std::optional<double> previous, bool was_cold) const {
  const std::optional<double> limit = queue_.rate_limit_.per_second_;
  const bool is_cold = cold_start_.limited_since_.has_value();
  shared_.metrics_.SetGauge("sassafrasbay_upstream_rate_limit", {}, limit.value_or(0));
  if (is_cold != was_cold) {
    shared_.metrics_.SetGauge("sassafrasbay_upstream_cold", {}, is_cold ? 1 : 0);
    LogInfo(kPart, "upstream=" + upstream_->holder_.instance_ +
                       " cold=" + (is_cold ? "true" : "false") +
                       " sent_in_last_second=" + std::to_string(cold_start_.sent_.size()) +
                       " running=" + std::to_string(queue_.running_) + ".");
  }
  if (limit.has_value() != previous.has_value()) {
    LogInfo(kPart, "upstream=" + upstream_->holder_.instance_ + " rate_limit=" +
                       (limit ? std::to_string(*limit) + " per second." : "none."));
  }
}

void UpstreamGate::ScheduleAdmission() {
  ScheduleRefusal();
  if (admission_timer_ != 0 || queue_.waiting_.empty() || queue_.running_ >= queue_.slots_) {
    return;
  }
  const milliseconds delay = TimeToTokens(queue_.rate_limit_, 1, BootClock::now());
  if (delay.count() == 0) {
    return;
  }
  admission_timer_ = loop_.StartTimer(delay, [this] {
    admission_timer_ = 0;
    AdmitWaiting();
  });
}

// Requests that wait for a slot or a token have no event of their own. Without the timer they would
// be held until their deadline when no response comes.
void UpstreamGate::ScheduleRefusal() {
  const std::optional<BootTime> next = NextOverdue(queue_);
  if (!next || (refusal_timer_ != 0 && refusal_at_ <= *next)) {
    return;
  }
  loop_.CancelTimer(refusal_timer_);
  refusal_at_ = *next;
  const auto delay =
      std::chrono::ceil<milliseconds>(std::max(*next - BootClock::now(), BootTime::duration(0)));
  refusal_timer_ = loop_.StartTimer(delay + kTimerMargin, [this] {
    refusal_timer_ = 0;
    AdmitWaiting();
  });
}

}  // namespace sassafrasbay

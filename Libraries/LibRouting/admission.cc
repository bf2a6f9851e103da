#include "LibRouting/admission.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace sassafrasbay {
namespace {

/// Fraction of the slots that an upstream gets right after its start.
constexpr double kColdStartFraction = 0.25;

/// Weight of a new sample in the smoothed service time.
constexpr double kLatencyWeight = 0.1;

/// The baseline follows a lower smoothed latency at once, and rises by this fraction of the gap
/// with each sample while it is below. A lasting change of the workload thus becomes the new
/// baseline after some thousand requests, while a burst of congestion does not.
constexpr double kBaselineRiseWeight = 0.0005;

/// Smoothed latency up to this multiple of the baseline counts as normal variation.
constexpr double kToleratedLatencyRatio = 2.0;

/// Lower bound of the gradient, so that one outlier cannot reduce the limit to 1.
constexpr double kMinGradient = 0.5;

/// Factor applied to the limit for each refusal by the upstream, which states that it has no
/// capacity.
constexpr double kRefusalFactor = 0.9;

/// Service times below the clock's resolution are raised to this, or the gradient would divide by
/// zero.
constexpr double kMinSampleMs = 0.5;

/// Returns whether `left` runs before `right`.
bool RunsBefore(const WaitingRequest& left, const WaitingRequest& right) {
  if (left.worth_ != right.worth_) {
    return left.worth_ > right.worth_;
  }
  return left.deadline_ < right.deadline_;
}

void Enqueue(Admission& admission, const WaitingRequest& request) {
  const auto position =
      std::upper_bound(admission.queue_.begin(), admission.queue_.end(), request, RunsBefore);
  admission.queue_.insert(position, request);
}

double ClampLimit(const Admission& admission, double limit) {
  return std::clamp(limit, 1.0, std::max(1.0, static_cast<double>(admission.terms_.slots_)));
}

/// Expected service time of a request; zero until a sample is known. It is also zero while nothing
/// runs: otherwise a smoothed time longer than every deadline would shed all requests, and no new
/// sample could correct it.
BootTime::duration ExpectedServiceTime(const Admission& admission) {
  if (admission.running_ == 0) {
    return BootTime::duration::zero();
  }
  return std::chrono::duration_cast<BootTime::duration>(
      std::chrono::duration<double, std::milli>(admission.latency_ms_));
}

bool CanFinish(const Admission& admission, const WaitingRequest& request, BootTime now) {
  return request.deadline_ > now && request.deadline_ - now >= ExpectedServiceTime(admission);
}

void ObserveLatency(Admission& admission, double sample_ms) {
  sample_ms = std::max(sample_ms, kMinSampleMs);
  if (admission.latency_ms_ == 0) {
    admission.latency_ms_ = sample_ms;
    admission.baseline_latency_ms_ = sample_ms;
    return;
  }
  admission.latency_ms_ += kLatencyWeight * (sample_ms - admission.latency_ms_);
  const double gap = admission.latency_ms_ - admission.baseline_latency_ms_;
  admission.baseline_latency_ms_ += gap < 0 ? gap : gap * kBaselineRiseWeight;
}

/// Moves the limit towards limit * gradient, or raises it by one per `limit` completions. It is
/// raised only when it was reached (`was_at_limit`), since otherwise nothing shows that the
/// upstream could take more.
void AdaptToLatency(Admission& admission, bool was_at_limit) {
  const double tolerated_ms = kToleratedLatencyRatio * admission.baseline_latency_ms_;
  const double gradient =
      std::clamp(tolerated_ms / std::max(admission.latency_ms_, kMinSampleMs), kMinGradient, 1.0);
  if (gradient < 1.0) {
    const double target = admission.limit_ * gradient;
    admission.limit_ += (target - admission.limit_) / admission.limit_;
  } else if (was_at_limit) {
    admission.limit_ += 1.0 / admission.limit_;
  }
  admission.limit_ = ClampLimit(admission, admission.limit_);
}

/// Queues the request if there is room. When the queue is full, sheds the last of the queued
/// requests or, if the new one ranks below all of them, the new one.
AdmissionVerdict QueueOrShed(Admission& admission, const WaitingRequest& request) {
  if (admission.queue_.size() < admission.terms_.queue_length_) {
    Enqueue(admission, request);
    return {AdmissionDecision::kQueue, std::nullopt, "limit reached"};
  }
  if (admission.queue_.empty() || !RunsBefore(request, admission.queue_.back())) {
    return {AdmissionDecision::kShed, std::nullopt, "queue full"};
  }
  const std::uint64_t shed = admission.queue_.back().number_;
  admission.queue_.pop_back();
  Enqueue(admission, request);
  return {AdmissionDecision::kQueue, shed, "queue full, one of less worth shed"};
}

}  // namespace

Admission MakeAdmission(const AdmissionTerms& terms, BootTime now) {
  Admission admission;
  admission.terms_ = terms;
  admission.started_at_ = now;
  admission.limit_ = ClampLimit(admission, terms.slots_);
  return admission;
}

AdmissionVerdict Offer(Admission& admission, const WaitingRequest& request, BootTime now) {
  if (!CanFinish(admission, request, now)) {
    return {AdmissionDecision::kShed, std::nullopt, "deadline can't be met"};
  }
  // Between a Release and the next TakeNext a slot may be free while requests are queued; the new
  // request must not overtake one that ranks before it.
  const bool is_next = std::none_of(
      admission.queue_.begin(), admission.queue_.end(), [&](const WaitingRequest& queued) {
        return !RunsBefore(request, queued) && CanFinish(admission, queued, now);
      });
  if (is_next && admission.running_ < CurrentLimit(admission, now)) {
    ++admission.running_;
    return {AdmissionDecision::kRun, std::nullopt, "below limit"};
  }
  return QueueOrShed(admission, request);
}

void Release(Admission& admission, ServiceResult result, milliseconds service_time, BootTime now) {
  const bool was_at_limit = admission.running_ >= CurrentLimit(admission, now);
  if (admission.running_ > 0) {
    --admission.running_;
  }
  switch (result) {
    case ServiceResult::kCompleted:
      ObserveLatency(admission, static_cast<double>(service_time.count()));
      AdaptToLatency(admission, was_at_limit);
      return;
    case ServiceResult::kRefused:
      admission.limit_ = ClampLimit(admission, admission.limit_ * kRefusalFactor);
      return;
    case ServiceResult::kFailed:
      // A failure, such as a lost connection, doesn't show the upstream's capacity, and its
      // duration isn't a service time.
      return;
  }
}

std::optional<WaitingRequest> TakeNext(Admission& admission, BootTime now) {
  if (admission.running_ >= CurrentLimit(admission, now)) {
    return std::nullopt;
  }
  const auto next = std::find_if(
      admission.queue_.begin(), admission.queue_.end(),
      [&](const WaitingRequest& request) { return CanFinish(admission, request, now); });
  if (next == admission.queue_.end()) {
    return std::nullopt;
  }
  const WaitingRequest request = *next;
  admission.queue_.erase(next);
  ++admission.running_;
  return request;
}

std::vector<WaitingRequest> TakeExpired(Admission& admission, BootTime now) {
  const auto expired = std::stable_partition(
      admission.queue_.begin(), admission.queue_.end(),
      [&](const WaitingRequest& request) { return CanFinish(admission, request, now); });
  std::vector<WaitingRequest> taken(expired, admission.queue_.end());
  admission.queue_.erase(expired, admission.queue_.end());
  return taken;
}

bool RemoveQueued(Admission& admission, std::uint64_t number) {
  return std::erase_if(admission.queue_, [number](const WaitingRequest& request) {
           return request.number_ == number;
         }) > 0;
}

std::uint32_t CurrentLimit(const Admission& admission, BootTime now) {
  double limit = ClampLimit(admission, admission.limit_);
  const BootTime::duration age = now - admission.started_at_;
  if (age < admission.terms_.cold_start_) {
    const double progress =
        std::max(0.0, std::chrono::duration<double>(age) /
                          std::chrono::duration<double>(admission.terms_.cold_start_));
    const double ramp = kColdStartFraction + (1.0 - kColdStartFraction) * progress;
    limit = std::min(limit, ClampLimit(admission, ramp * admission.terms_.slots_));
  }
  return static_cast<std::uint32_t>(std::floor(limit));
}

}  // namespace sassafrasbay

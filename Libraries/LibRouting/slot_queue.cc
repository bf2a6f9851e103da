#include "LibRouting/slot_queue.h"

#include <algorithm>
#include <cmath>

namespace sassafrasbay {
namespace {

/// Weight of a new sample in the smoothed service times.
constexpr double kSampleWeight = 0.1;

/// Longest expected wait as a share of the time to the objective. With longer queues an overloaded
/// upstream answers all requests late instead of most in time: lookups of szvk-mesh had a median of
/// 507 ms with an objective of 300 ms.
constexpr double kWaitShare = 0.3;

/// It is less when the service itself needs most of that time, with this factor for requests that
/// take longer than the mean, but not less than the share below, which costs the caller little.
constexpr double kServiceMargin = 1.1;
constexpr double kLeastWaitShare = 0.08;

/// The same for a request whose objective has passed, as a share of the time to the deadline.
constexpr double kLateWaitShare = 0.1;

/// A class is short when its service time is at most this share of the time that a slot in use is
/// held on average. It takes few of the slots, so that longer waits of it hardly delay others.
constexpr double kShortShare = 0.25;

/// Longest wait of a short request as a share of the time to its deadline. Most short requests are
/// calls of requests that hold a slot elsewhere and fail with the call: on scale-1 of
/// szvk-mesh-grown 4345 of 17697 assignments failed that way.
constexpr double kShortWaitShare = 0.3;

/// A request that has waited this many times longer than it might expect to is refused.
constexpr double kWaitTolerance = 1.3;

bool RunsBefore(const SlotRequest& left, const SlotRequest& right) {
  if (left.rank_ != right.rank_) {
    return left.rank_ < right.rank_;
  }
  return left.deadline_ < right.deadline_;
}

double ServiceTime(const SlotQueue& queue, std::string_view request_class) {
  const auto found = queue.service_ms_.find(request_class);
  return found == queue.service_ms_.end() ? 0 : found->second;
}

double MillisecondsUntil(BootTime time, BootTime now) {
  return std::chrono::duration<double, std::milli>(time - now).count();
}

void Smooth(double& value, double sample) {
  value = value == 0 ? sample : value + kSampleWeight * (sample - value);
}

bool CanFinish(const SlotQueue& queue, const SlotRequest& request, BootTime now) {
  return MillisecondsUntil(request.deadline_, now) > ServiceTime(queue, request.class_);
}

bool IsShort(const SlotQueue& queue, std::string_view request_class) {
  const double service = ServiceTime(queue, request_class);
  const double held = queue.mean_square_service_ms2_ / std::max(queue.mean_service_ms_, 1.0);
  return service > 0 && service <= kShortShare * held;
}

/// Longest wait that leaves the request enough of its time.
double LongestWait(const SlotQueue& queue, const SlotRequest& request, BootTime now) {
  const double left = MillisecondsUntil(request.deadline_, now);
  const double to_objective = std::max(0.0, MillisecondsUntil(request.objective_, now));
  const double in_time = to_objective - kServiceMargin * ServiceTime(queue, request.class_);
  const double share =
      std::clamp(in_time / std::max(to_objective, 1.0), kLeastWaitShare, kWaitShare);
  const double usual = std::max(share * to_objective, kLateWaitShare * left);
  return IsShort(queue, request.class_) ? std::max({usual, in_time, kShortWaitShare * left})
                                        : usual;
}

bool MayWait(const SlotQueue& queue, const SlotRequest& request, double wait_ms, BootTime now) {
  return wait_ms <= LongestWait(queue, request, now) &&
         wait_ms + ServiceTime(queue, request.class_) < MillisecondsUntil(request.deadline_, now);
}

bool IsHopeless(const SlotQueue& queue, const SlotRequest& request, BootTime now) {
  return now > request.wait_deadline_ || !CanFinish(queue, request, now);
}

}  // namespace

milliseconds ExpectedWait(const SlotQueue& queue, std::size_t ahead) {
  const double slots = std::max<std::uint32_t>(queue.slots_, 1);
  return milliseconds(
      std::llround(queue.mean_service_ms_ * (static_cast<double>(ahead) + 1) / slots));
}

SlotVerdict OfferRequest(SlotQueue& queue, const SlotRequest& request, BootTime now) {
  SlotVerdict verdict;
  if (!CanFinish(queue, request, now) && queue.running_ > 0) {
    return verdict;
  }
  const auto position =
      std::upper_bound(queue.waiting_.begin(), queue.waiting_.end(), request, RunsBefore);
  const auto ahead = static_cast<std::size_t>(position - queue.waiting_.begin());
  if (queue.running_ < queue.slots_ && ahead == 0) {
    ++queue.running_;
    verdict.decision_ = SlotDecision::kRun;
    return verdict;
  }
  verdict.expected_wait_ = ExpectedWait(queue, ahead);
  if (!MayWait(queue, request, static_cast<double>(verdict.expected_wait_.count()), now)) {
    return verdict;
  }
  SlotRequest waiting = request;
  waiting.wait_deadline_ =
      now + milliseconds(std::llround(kWaitTolerance * LongestWait(queue, request, now)));
  queue.waiting_.insert(position, waiting);
  verdict.decision_ = SlotDecision::kWait;
  // Those behind the new request wait one turn longer, which may be too long for the last of them.
  while (!queue.waiting_.empty()) {
    const SlotRequest& last = queue.waiting_.back();
    const milliseconds wait = ExpectedWait(queue, queue.waiting_.size() - 1);
    if (last.number_ == request.number_ ||
        (now + wait <= last.wait_deadline_ && CanFinish(queue, last, now + wait))) {
      break;
    }
    verdict.displaced_.push_back(last);
    queue.waiting_.pop_back();
  }
  return verdict;
}

void FreeSlot(SlotQueue& queue, std::string_view request_class,
              std::optional<milliseconds> service) {
  if (queue.running_ > 0) {
    --queue.running_;
  }
  if (!service) {
    return;
  }
  const double sample = std::max(1.0, static_cast<double>(service->count()));
  Smooth(queue.mean_service_ms_, sample);
  Smooth(queue.mean_square_service_ms2_, sample * sample);
  Smooth(queue.service_ms_[std::string(request_class)], sample);
}

std::optional<SlotRequest> TakeWaiting(SlotQueue& queue, BootTime now) {
  if (queue.running_ >= queue.slots_) {
    return std::nullopt;
  }
  const auto next =
      std::find_if(queue.waiting_.begin(), queue.waiting_.end(),
                   [&](const SlotRequest& request) { return CanFinish(queue, request, now); });
  if (next == queue.waiting_.end()) {
    return std::nullopt;
  }
  SlotRequest request = std::move(*next);
  queue.waiting_.erase(next);
  ++queue.running_;
  return request;
}

std::vector<SlotRequest> TakeOverdue(SlotQueue& queue, BootTime now) {
  const auto hopeless = std::stable_partition(
      queue.waiting_.begin(), queue.waiting_.end(),
      [&](const SlotRequest& request) { return !IsHopeless(queue, request, now); });
  std::vector<SlotRequest> taken(hopeless, queue.waiting_.end());
  queue.waiting_.erase(hopeless, queue.waiting_.end());
  return taken;
}

bool RemoveWaiting(SlotQueue& queue, std::uint64_t number) {
  return std::erase_if(queue.waiting_, [number](const SlotRequest& request) {
           return request.number_ == number;
         }) > 0;
}

}  // namespace sassafrasbay

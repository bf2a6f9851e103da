#include "LibRouting/slot_queue.h"

#include <algorithm>
#include <cmath>

namespace sassafrasbay {
namespace {

/// Weight of a new sample in the smoothed service times.
constexpr double kSampleWeight = 0.1;

/// Maximum expected wait as a fraction of the time to the objective. With longer queues an
/// overloaded upstream answers all requests late instead of most of them in time: in the scenario
/// szvk-mesh, lookups had a median of 507 ms with an objective of 300 ms.
constexpr double kMaxWaitFraction = 0.3;

/// The fraction is lower when the service time takes most of the time to the objective, see
/// MaxWaitMs. The margin is for requests that take longer than the mean.
constexpr double kServiceTimeMargin = 1.1;

/// Lower bound of the fraction; a wait this short costs the caller little.
constexpr double kMinWaitFraction = 0.08;

/// Maximum expected wait of a request whose objective has passed, as a fraction of the time to the
/// deadline.
constexpr double kMaxLateWaitFraction = 0.1;

/// A class is short when its service time is at most this fraction of the mean service time of the
/// requests that occupy slots. Short requests use little of the slots, so that longer waits of them
/// hardly delay others.
constexpr double kShortServiceRatio = 0.25;

/// Maximum expected wait of a short request as a fraction of the time to its deadline. Most short
/// requests are calls made by requests that hold a slot at another upstream and fail if the call is
/// refused: on scale-1 of the scenario szvk-mesh-grown 4345 of 17697 assignments failed that way.
constexpr double kMaxShortWaitFraction = 0.3;

/// A request is refused once it has waited this many times its maximum expected wait.
constexpr double kWaitLimitFactor = 1.3;

/// A call is taken next when its wait ends within this number of expected slots. With one slot left
/// its chance of getting it in time is 0.63, with four 0.98.
constexpr int kLastSlotsOfCall = 4;

/// A waiting request is refused at the latest this long before its deadline, so that the node where
/// it began learns in time that it wasn't sent.
constexpr milliseconds kRefusalMargin{20};

/// Order of the queue: starved classes, then by rank, then calls, requests that came back and new
/// ones, then by deadline.
bool RunsBefore(const SlotRequest& left, const SlotRequest& right) {
  if (left.by_floor_ != right.by_floor_) {
    return left.by_floor_;
  }
  if (left.rank_ != right.rank_) {
    return left.rank_ < right.rank_;
  }
  if (left.is_call_ != right.is_call_) {
    return left.is_call_;
  }
  if (left.returned_ != right.returned_) {
    return left.returned_;
  }
  return left.deadline_ < right.deadline_;
}

/// Smoothed service time of a class in milliseconds; 0 when unknown.
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

/// Whether the service time of a class is short. The mean over the requests that occupy slots at a
/// given moment, E[t^2] / E[t], gives long requests the weight of their time in a slot.
bool IsShort(const SlotQueue& queue, std::string_view request_class) {
  const double service = ServiceTime(queue, request_class);
  const double mean_occupancy_ms =
      queue.mean_square_service_ms2_ / std::max(queue.mean_service_ms_, 1.0);
  return service > 0 && service <= kShortServiceRatio * mean_occupancy_ms;
}

/// Maximum expected wait that still leaves the request enough time. A call may wait for all of the
/// time that its caller has: refusing it loses the caller's work as well.
double MaxWaitMs(const SlotQueue& queue, const SlotRequest& request, BootTime now) {
  const double to_deadline = MillisecondsUntil(request.deadline_, now);
  if (request.is_call_) {
    return std::max(0.0, to_deadline - kServiceTimeMargin * ServiceTime(queue, request.class_));
  }
  const double to_objective = std::max(0.0, MillisecondsUntil(request.objective_, now));
  const double slack_ms = to_objective - kServiceTimeMargin * ServiceTime(queue, request.class_);
  const double fraction =
      std::clamp(slack_ms / std::max(to_objective, 1.0), kMinWaitFraction, kMaxWaitFraction);
  const double regular_ms = std::max(fraction * to_objective, kMaxLateWaitFraction * to_deadline);
  return IsShort(queue, request.class_)
             ? std::max({regular_ms, slack_ms, kMaxShortWaitFraction * to_deadline})
             : regular_ms;
}

bool MayWait(const SlotQueue& queue, const SlotRequest& request, double wait_ms, BootTime now) {
  return wait_ms <= MaxWaitMs(queue, request, now) &&
         wait_ms + ServiceTime(queue, request.class_) < MillisecondsUntil(request.deadline_, now);
}

bool IsOverdue(const SlotQueue& queue, const SlotRequest& request, BootTime now) {
  return now > request.wait_deadline_ || !CanFinish(queue, request, now);
}

BootTime WaitDeadline(const SlotQueue& queue, const SlotRequest& request, BootTime now) {
  const double factor = request.is_call_ ? 1 : kWaitLimitFactor;
  const milliseconds max_wait(std::llround(factor * MaxWaitMs(queue, request, now)));
  return std::min(now + max_wait, request.deadline_ - kRefusalMargin);
}

AdmissionRequest Describe(const SlotQueue& queue, const SlotRequest& request) {
  const double service = ServiceTime(queue, request.class_);
  return {request.class_,
          request.rank_,
          request.is_call_,
          request.returned_,
          request.by_floor_,
          request.weight_,
          service > 0 ? service : queue.mean_service_ms_};
}

/// Expected wait of a request, including the requests that are going to overtake it. A call is kept
/// in time by KeepCallsInTime().
milliseconds ExpectedWaitOf(const SlotQueue& queue, const SlotRequest& request, std::size_t ahead,
                            BootTime now) {
  const milliseconds wait = ExpectedWait(queue, ahead, now);
  if (request.is_call_ || request.by_floor_) {
    return wait;
  }
  const double share = ShareAhead(queue.history_, Describe(queue, request), queue.slots_,
                                  queue.rate_limit_.per_second_);
  return milliseconds(std::llround(static_cast<double>(wait.count()) / (1 - share)));
}

/// Whether a request may be the one that the floor lets go first; one of each class at a time.
bool MayUseFloor(const SlotQueue& queue, std::string_view request_class, BootTime now) {
  return IsStarved(queue.history_, request_class, now) &&
         std::none_of(queue.waiting_.begin(), queue.waiting_.end(),
                      [&](const SlotRequest& waiting) {
                        return waiting.by_floor_ && waiting.class_ == request_class;
                      });
}

/// Whether a call has to get one of the next slots to be in time.
bool IsUrgentCall(const SlotQueue& queue, const SlotRequest& request, BootTime now) {
  return request.is_call_ && !request.by_floor_ &&
         now + kLastSlotsOfCall * ExpectedWait(queue, 0, now) >= request.wait_deadline_;
}

/// Moves a call that would be too late to the front, or the first request of a starved class.
void PromoteNext(SlotQueue& queue, BootTime now) {
  if (!IsMixed(queue.history_, now)) {
    return;
  }
  const auto next =
      std::find_if(queue.waiting_.begin(), queue.waiting_.end(), [&](const SlotRequest& request) {
        return CanFinish(queue, request, now) &&
               (IsUrgentCall(queue, request, now) || MayUseFloor(queue, request.class_, now));
      });
  if (next != queue.waiting_.end()) {
    next->by_floor_ = true;
    std::stable_sort(queue.waiting_.begin(), queue.waiting_.end(), RunsBefore);
  }
}

/// Whether a waiting request that gets a slot after `wait` is in time.
bool RunsInTime(const SlotQueue& queue, const SlotRequest& request, milliseconds wait,
                BootTime now) {
  return now + wait <= request.wait_deadline_ && CanFinish(queue, request, now + wait);
}

/// Index of the last new request, that is no call, before the index.
std::optional<std::size_t> LastNewRequest(const SlotQueue& queue, std::size_t before) {
  for (std::size_t index = before; index > 0; --index) {
    if (!queue.waiting_[index - 1].is_call_) {
      return index - 1;
    }
  }
  return std::nullopt;
}

void Displace(SlotQueue& queue, std::size_t index, SlotVerdict& verdict) {
  const auto displaced = queue.waiting_.begin() + static_cast<std::ptrdiff_t>(index);
  verdict.displaced_.push_back(std::move(*displaced));
  queue.waiting_.erase(displaced);
}

/// Removes one request if the one inserted at `position` makes a call behind it wait too long: the
/// least urgent new request ahead of that call, possibly the inserted one. The call itself is
/// removed only if nothing but calls is ahead of it.
void KeepCallsInTime(SlotQueue& queue, std::size_t position, BootTime now, SlotVerdict& verdict) {
  for (std::size_t index = position + 1; index < queue.waiting_.size(); ++index) {
    const SlotRequest& waiting = queue.waiting_[index];
    if (waiting.is_call_ && !RunsInTime(queue, waiting, ExpectedWait(queue, index, now), now)) {
      Displace(queue, LastNewRequest(queue, index).value_or(index), verdict);
      return;
    }
  }
}

/// Whether a request may displace another one that waits. Without ranks, the one with the earlier
/// deadline does; otherwise it is better refused at once than another one after a wait.
bool MayDisplace(const SlotQueue& queue, const SlotRequest& request, const SlotRequest& waiting,
                 BootTime now) {
  return !IsMixed(queue.history_, now) || request.rank_ < waiting.rank_ || request.is_call_ ||
         request.by_floor_ || (request.returned_ && !waiting.returned_);
}

/// Removes new requests behind the inserted one that are expected to wait too long now, or the
/// inserted one if it may not displace them. Without ranks, only the last ones are considered.
void RemoveLate(SlotQueue& queue, const SlotRequest& inserted, BootTime now, SlotVerdict& verdict) {
  const bool mixed = IsMixed(queue.history_, now);
  auto index = LastNewRequest(queue, queue.waiting_.size());
  for (; index && queue.waiting_[*index].number_ != inserted.number_;
       index = LastNewRequest(queue, *index)) {
    const SlotRequest& waiting = queue.waiting_[*index];
    const bool may_displace = MayDisplace(queue, inserted, waiting, now);
    const milliseconds wait = may_displace ? ExpectedWait(queue, *index, now)
                                           : ExpectedWaitOf(queue, waiting, *index, now);
    if (RunsInTime(queue, waiting, wait, now)) {
      if (mixed) {
        continue;
      }
      return;
    }
    if (may_displace) {
      Displace(queue, *index, verdict);
      continue;
    }
    if (RemoveWaiting(queue, inserted.number_)) {
      verdict.displaced_.push_back(inserted);
    }
    return;
  }
}

}  // namespace

milliseconds ExpectedWait(const SlotQueue& queue, std::size_t ahead, BootTime now) {
  const double slots = std::max<std::uint32_t>(queue.slots_, 1);
  const double requests = static_cast<double>(ahead) + 1;
  const milliseconds for_slot(std::llround(queue.mean_service_ms_ * requests / slots));
  return std::max(for_slot, TimeToTokens(queue.rate_limit_, requests, now));
}

milliseconds ExpectedWaitBehindAll(const SlotQueue& queue, const SlotRequest& request,
                                   BootTime now) {
  return ExpectedWaitOf(queue, request, queue.waiting_.size(), now);
}

std::uint32_t UsableSlots(const SlotQueue& queue) {
  if (!queue.rate_limit_.per_second_) {
    return queue.slots_;
  }
  const double in_use = std::ceil(*queue.rate_limit_.per_second_ * queue.mean_service_ms_ / 1000);
  return static_cast<std::uint32_t>(
      std::clamp(in_use, 1.0, std::max(1.0, static_cast<double>(queue.slots_))));
}

// The order is the one of before as long as all requests have the same rank and none is a call.
SlotVerdict OfferRequest(SlotQueue& queue, const SlotRequest& offered, BootTime now) {
  SlotVerdict verdict;
  SlotRequest request = offered;
  CountOffered(queue.history_, Describe(queue, request), now);
  request.by_floor_ = MayUseFloor(queue, request.class_, now);
  request.returned_ = request.returned_ && MayGoBeforeNew(queue.history_, request.rank_, now);
  if (!CanFinish(queue, request, now) && queue.running_ > 0) {
    return verdict;
  }
  const auto position =
      std::upper_bound(queue.waiting_.begin(), queue.waiting_.end(), request, RunsBefore);
  const auto ahead = static_cast<std::size_t>(position - queue.waiting_.begin());
  if (queue.running_ < queue.slots_ && ahead == 0 && TakeToken(queue.rate_limit_, now)) {
    ++queue.running_;
    CountAdmitted(queue.history_, Describe(queue, request), now);
    verdict.decision_ = SlotDecision::kRun;
    return verdict;
  }
  verdict.expected_wait_ = ExpectedWaitOf(queue, request, ahead, now);
  if (!MayWait(queue, request, static_cast<double>(verdict.expected_wait_.count()), now)) {
    CountRefused(queue.history_, Describe(queue, request), now);
    return verdict;
  }
  request.wait_deadline_ = WaitDeadline(queue, request, now);
  queue.waiting_.insert(position, request);
  verdict.decision_ = SlotDecision::kWait;
  // The requests behind the new one now wait longer, which may be too long for some of them.
  KeepCallsInTime(queue, ahead, now, verdict);
  RemoveLate(queue, request, now, verdict);
  for (const SlotRequest& displaced : verdict.displaced_) {
    CountRefused(queue.history_, Describe(queue, displaced), now);
  }
  if (std::erase_if(verdict.displaced_, [&](const SlotRequest& displaced) {
        return displaced.number_ == request.number_;
      }) > 0) {
    verdict.decision_ = SlotDecision::kRefuse;
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
  PromoteNext(queue, now);
  const auto next =
      std::find_if(queue.waiting_.begin(), queue.waiting_.end(),
                   [&](const SlotRequest& request) { return CanFinish(queue, request, now); });
  if (next == queue.waiting_.end() || !TakeToken(queue.rate_limit_, now)) {
    return std::nullopt;
  }
  SlotRequest request = std::move(*next);
  queue.waiting_.erase(next);
  ++queue.running_;
  CountAdmitted(queue.history_, Describe(queue, request), now);
  return request;
}

std::vector<SlotRequest> TakeOverdue(SlotQueue& queue, BootTime now) {
  const auto overdue = std::stable_partition(
      queue.waiting_.begin(), queue.waiting_.end(),
      [&](const SlotRequest& request) { return !IsOverdue(queue, request, now); });
  std::vector<SlotRequest> taken(overdue, queue.waiting_.end());
  queue.waiting_.erase(overdue, queue.waiting_.end());
  for (const SlotRequest& request : taken) {
    CountRefused(queue.history_, Describe(queue, request), now);
  }
  return taken;
}

std::optional<BootTime> NextOverdue(const SlotQueue& queue) {
  std::optional<BootTime> next;
  for (const SlotRequest& request : queue.waiting_) {
    const milliseconds service(std::llround(ServiceTime(queue, request.class_)));
    const BootTime end = std::min(request.wait_deadline_, request.deadline_ - service);
    next = std::min(next.value_or(end), end);
  }
  return next;
}

bool RemoveWaiting(SlotQueue& queue, std::uint64_t number) {
  return std::erase_if(queue.waiting_, [number](const SlotRequest& request) {
           return request.number_ == number;
         }) > 0;
}

}  // namespace sassafrasbay

#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "LibCore/clock.h"
#include "LibRouting/admission_history.h"
#include "LibRouting/rate_limit.h"

namespace sassafrasbay {

/// A request for a slot of an upstream.
struct SlotRequest {
  std::uint64_t number_ = 0;
  std::string class_;     ///< Requests of a class have similar service times.
  int rank_ = 0;          ///< Priority; 0 is the highest.
  BootTime objective_{};  ///< Latency objective; a later answer is worth less.
  BootTime deadline_{};   ///< A later answer is worthless.
  /// End of the wait for a slot; the request is refused then. Set by OfferRequest.
  BootTime wait_deadline_{};
  bool is_call_ = false;   ///< Made by a running request, which fails if the call is refused.
  bool returned_ = false;  ///< Its caller was refused before and came back when it was told to.
  double weight_ = 1;      ///< Requests that it represents, including those held back elsewhere.
  bool by_floor_ = false;  ///< Taken next, as its class is starved or a call would be late.
};

/// Slots of one upstream and the queue of requests waiting for them.
struct SlotQueue {
  std::uint32_t slots_ = 1;
  std::uint32_t running_ = 0;
  std::vector<SlotRequest> waiting_;                       ///< In the order in which they run.
  std::map<std::string, double, std::less<>> service_ms_;  ///< Smoothed service time by class.
  double mean_service_ms_ = 0;          ///< Smoothed service time of all classes.
  double mean_square_service_ms2_ = 0;  ///< Smoothed square of the service times.
  RateLimit rate_limit_;                ///< Named by the upstream; each request takes a token.
  AdmissionHistory history_;
};

enum class SlotDecision : std::uint8_t { kRun, kWait, kRefuse };

struct SlotVerdict {
  SlotDecision decision_ = SlotDecision::kRefuse;
  milliseconds expected_wait_{0};
  /// Waiting requests removed for the new one; to be refused.
  std::vector<SlotRequest> displaced_;
};

/// Decides on a new request: it runs when a slot is free, waits when a slot is expected to be free
/// early enough, and otherwise is refused at once.
SlotVerdict OfferRequest(SlotQueue& queue, const SlotRequest& request, BootTime now);

/// Frees a slot and records the service time; nothing when the time isn't a sample for the class,
/// as of a failed request.
void FreeSlot(SlotQueue& queue, std::string_view request_class,
              std::optional<milliseconds> service);

/// Removes the next waiting request that can meet its deadline from the queue and gives it a free
/// slot.
std::optional<SlotRequest> TakeWaiting(SlotQueue& queue, BootTime now);

/// Removes the waiting requests that have passed their wait deadline, because requests of higher
/// priority overtook them, or that can't meet their deadline any more.
std::vector<SlotRequest> TakeOverdue(SlotQueue& queue, BootTime now);

/// When the next waiting request becomes overdue; nothing when none waits.
std::optional<BootTime> NextOverdue(const SlotQueue& queue);

/// Removes a waiting request. Returns false when it isn't in the queue.
bool RemoveWaiting(SlotQueue& queue, std::uint64_t number);

/// Expected time until a new request gets a slot when `ahead` others are before it.
milliseconds ExpectedWait(const SlotQueue& queue, std::size_t ahead, BootTime now);

/// Expected wait of a refused request if it came back now, behind all that wait and including those
/// that are going to overtake it.
milliseconds ExpectedWaitBehindAll(const SlotQueue& queue, const SlotRequest& request,
                                   BootTime now);

/// Slots that the upstream's rate limit leaves in use at the mean service time; at least 1.
std::uint32_t UsableSlots(const SlotQueue& queue);

}  // namespace sassafrasbay

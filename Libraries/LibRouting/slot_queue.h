#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "LibCore/clock.h"

namespace sassafrasbay {

/// A request that wants a slot of an upstream.
struct SlotRequest {
  std::uint64_t number_ = 0;
  std::string class_;         ///< Requests of a class take about the same time.
  int rank_ = 0;              ///< 0 is the most urgent.
  BootTime objective_{};      ///< An answer after this time is of less worth.
  BootTime deadline_{};       ///< An answer after this time is of none.
  BootTime wait_deadline_{};  ///< Set by OfferRequest: it is refused when it still waits then.
};

/// Slots of one upstream and the requests that wait for them.
struct SlotQueue {
  std::uint32_t slots_ = 1;
  std::uint32_t running_ = 0;
  std::vector<SlotRequest> waiting_;  ///< In the order in which they get slots.
  std::map<std::string, double, std::less<>> service_ms_;  ///< Smoothed time in a slot by class.
  double mean_service_ms_ = 0;                             ///< Smoothed over all classes.
  double mean_square_service_ms2_ = 0;                     ///< Smoothed square of the times.
};

enum class SlotDecision : std::uint8_t { kRun, kWait, kRefuse };

struct SlotVerdict {
  SlotDecision decision_ = SlotDecision::kRefuse;
  milliseconds expected_wait_{0};
  std::vector<SlotRequest> displaced_;  ///< Waiting requests that can't be served any more.
};

/// Decides on a new request. It runs when a slot is free, waits when a slot will be free early
/// enough for its answer, and is refused otherwise, at once.
SlotVerdict OfferRequest(SlotQueue& queue, const SlotRequest& request, BootTime now);

/// A slot is free again after `service`; nothing when the time says nothing about the class.
void FreeSlot(SlotQueue& queue, std::string_view request_class,
              std::optional<milliseconds> service);

/// The next waiting request for a free slot; it then runs.
std::optional<SlotRequest> TakeWaiting(SlotQueue& queue, BootTime now);

/// Removes waiting requests that have waited too long, because more urgent ones came in between, or
/// that would be answered after their deadline.
std::vector<SlotRequest> TakeOverdue(SlotQueue& queue, BootTime now);

/// False when it doesn't wait.
bool RemoveWaiting(SlotQueue& queue, std::uint64_t number);

/// Time until a request that comes now behind `ahead` others gets a slot.
milliseconds ExpectedWait(const SlotQueue& queue, std::size_t ahead);

}  // namespace sassafrasbay

#include "LibRouting/return_schedule.h"

#include <algorithm>

namespace sassafrasbay {
namespace {

/// Fraction of the capacity for callers that return; the rest is for new requests.
constexpr double kReturnFraction = 0.5;

/// Maximum delay. Callers honour a third of the time that they have left, and few have longer
/// deadlines than 10 s.
constexpr milliseconds kMaxReturnDelay{3000};

}  // namespace

milliseconds ScheduleReturn(ReturnSchedule& schedule, double capacity_per_second,
                            milliseconds expected_wait, BootTime now) {
  const BootTime latest = now + kMaxReturnDelay;
  const BootTime due = std::clamp(schedule.next_, std::min(now + expected_wait, latest), latest);
  const double interval_seconds = 1 / (kReturnFraction * std::max(capacity_per_second, 1.0));
  schedule.next_ = std::min(latest, due + std::chrono::duration_cast<BootTime::duration>(
                                              std::chrono::duration<double>(interval_seconds)));
  return std::chrono::ceil<milliseconds>(due - now);
}

}  // namespace sassafrasbay

#pragma once

#include "LibCore/clock.h"

namespace sassafrasbay {

/// Times at which refused callers of one upstream are told to return.
struct ReturnSchedule {
  BootTime next_{};  ///< Time that the next refused caller is told, if it is in the future.
};

/// Returns the Retry-After for a request that the upstream has no slot for, at least
/// `expected_wait`. Returns are spread over time, so that they take up only a part of the
/// upstream's `capacity_per_second`.
///
/// Load: a burst of several times the capacity. If all refused callers return after the same short
/// time, they meet each other and the burst, and nearly all are refused again.
milliseconds ScheduleReturn(ReturnSchedule& schedule, double capacity_per_second,
                            milliseconds expected_wait, BootTime now);

}  // namespace sassafrasbay

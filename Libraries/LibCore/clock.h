#pragma once

#include <chrono>
#include <cstdint>

namespace sassafrasbay {

using std::chrono::milliseconds;

/// Clock based on CLOCK_BOOTTIME, which also advances while the VM is suspended.
struct BootClock {
  using duration = std::chrono::nanoseconds;  // NOLINT(readability-identifier-naming): std clock
  using rep = duration::rep;                  // NOLINT(readability-identifier-naming)
  using period = duration::period;            // NOLINT(readability-identifier-naming)
  using time_point = std::chrono::time_point<BootClock>;  // NOLINT(readability-identifier-naming)
  static constexpr bool is_steady = true;                 // NOLINT(readability-identifier-naming)
  static time_point now() noexcept;                       // NOLINT(readability-identifier-naming)
};

using BootTime = BootClock::time_point;

/// Wall-clock time, used only to check the timestamps in idempotency keys.
using WallTime = std::chrono::time_point<std::chrono::system_clock, milliseconds>;
WallTime WallNow();

/// Milliseconds since boot, as sent to upstreams on the same VM.
std::int64_t ToBootMilliseconds(BootTime time);

}  // namespace sassafrasbay

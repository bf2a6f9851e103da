#include "LibRouting/transit_time.h"

#include <algorithm>

namespace sassafrasbay {
namespace {

/// Clocks of two VMs drift apart by up to 100 ppm, so two windows add 12 ms to a transit time.
constexpr milliseconds kWindow{60'000};

/// Longer than any VM runs; larger values of a faulty sender would overflow differences.
constexpr std::uint64_t kMaxClockMs = 1ULL << 53U;

std::int64_t Difference(std::uint64_t sender_clock_ms, BootTime received_at) {
  return ToBootMilliseconds(received_at) -
         static_cast<std::int64_t>(std::min(sender_clock_ms, kMaxClockMs));
}

}  // namespace

void RecordMessage(TransitClock& clock, std::uint64_t sender_clock_ms, BootTime received_at) {
  const std::int64_t difference = Difference(sender_clock_ms, received_at);
  if (!clock.smallest_ms_ || received_at - clock.window_started_ >= kWindow) {
    clock.smallest_before_ms_ = clock.smallest_ms_;
    clock.smallest_ms_ = difference;
    clock.window_started_ = received_at;
    return;
  }
  clock.smallest_ms_ = std::min(*clock.smallest_ms_, difference);
}

// The fastest message took some time too, so that the result is never too long by more than the
// drift of the clocks.
milliseconds TransitTime(const TransitClock& clock, std::uint64_t sender_clock_ms,
                         BootTime received_at) {
  if (!clock.smallest_ms_) {
    return milliseconds(0);
  }
  const std::int64_t fastest =
      std::min(*clock.smallest_ms_, clock.smallest_before_ms_.value_or(*clock.smallest_ms_));
  return milliseconds(
      std::max<std::int64_t>(0, Difference(sender_clock_ms, received_at) - fastest));
}

}  // namespace sassafrasbay

#pragma once

#include <cstdint>
#include <optional>

#include "LibCore/clock.h"

namespace sassafrasbay {

/// Offset between the clock of another process and the local one, learnt from messages that state
/// when they were made.
struct TransitClock {
  BootTime window_started_{};
  /// Smallest difference between a message's receipt and its sender's clock, in the current window
  /// and the one before it.
  std::optional<std::int64_t> smallest_ms_;
  std::optional<std::int64_t> smallest_before_ms_;
};

/// Takes a message that was made when the sender's clock showed `sender_clock_ms`.
void RecordMessage(TransitClock& clock, std::uint64_t sender_clock_ms, BootTime received_at);

/// Lower bound of the time that a message was on its way; 0 when nothing is known of the sender's
/// clock.
milliseconds TransitTime(const TransitClock& clock, std::uint64_t sender_clock_ms,
                         BootTime received_at);

}  // namespace sassafrasbay

#pragma once

#include <cstdint>
#include <optional>
#include <string_view>

#include "LibCore/clock.h"
#include "LibRouting/node_messages.h"

namespace sassafrasbay {

/// Time on this VM's clock at which this process sent the report that `report` returns the clock
/// of. Nothing when there was none, when another process of this VM sent it, whose clock may be
/// that of an earlier boot, or when it lies in the future.
std::optional<BootTime> EchoedTime(const NodeReport& report, std::string_view incarnation_id,
                                   BootTime now);

/// Time `age_ms` before `time`; nothing when the age is longer than the clock has run.
std::optional<BootTime> TimeBefore(BootTime time, std::uint64_t age_ms);

}  // namespace sassafrasbay

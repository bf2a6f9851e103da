#pragma once

#include <string>
#include <string_view>

#include "LibCore/error.h"
#include "LibRouting/messages.h"

namespace sassafrasbay {

/// Largest frame between nodes, in bytes.
inline constexpr std::size_t kMaxFrameBytes = 4U << 20U;

std::string Encode(const TrafficMessage& message);
std::string Encode(const ControlMessage& message);

/// Errors: kMalformed, kTooLarge, kUnsupportedVersion for an unknown type.
Result<TrafficMessage> DecodeTrafficMessage(std::string_view frame);
Result<ControlMessage> DecodeControlMessage(std::string_view frame);

}  // namespace sassafrasbay

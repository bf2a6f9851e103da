#pragma once

#include <string>
#include <string_view>

#include "LibCore/error.h"
#include "LibRouting/messages.h"

namespace sassafrasbay {

/// Maximum size of a frame between nodes.
inline constexpr std::size_t kMaxFrameBytes = 4U << 20U;

std::string Encode(const TrafficMessage& message);
std::string Encode(const ControlMessage& message);

/// Decodes one frame. Errors: kMalformed, kTooLarge, kUnsupportedVersion for an unknown type.
Result<TrafficMessage> DecodeTrafficMessage(std::string_view frame);
Result<ControlMessage> DecodeControlMessage(std::string_view frame);

}  // namespace sassafrasbay

#pragma once

#include <array>
#include <cinttypes>
#include <cstdint>
#include <cstdio>
#include <string>

#include "LibCore/clock.h"

/// UUIDv7 texts for tests of the request table.
namespace sassafrasbay {

/// Makes a UUIDv7 from a time and a number in place of the random bits.
inline std::string MakeId(WallTime time, std::uint64_t number) {
  std::array<char, 64> text{};
  const auto bits = static_cast<std::uint64_t>(time.time_since_epoch().count());
  std::snprintf(text.data(), text.size(), "%08" PRIx64 "-%04" PRIx64 "-7000-8000-%012" PRIx64,
                bits >> 16U, bits & 0xFFFFU, number);
  return text.data();
}

}  // namespace sassafrasbay

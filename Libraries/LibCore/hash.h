#pragma once

#include <cstdint>
#include <span>
#include <string>
#include <string_view>

namespace sassafrasbay {

/// XXH3 64-bit hash. Nodes must agree on it, since it maps keys to shards.
std::uint64_t HashBytes(std::string_view bytes);

/// Hash of several parts, each with its length, so that ("ab","c") and ("a","bc") differ.
std::uint64_t HashParts(std::span<const std::string_view> parts);

/// 128 random bits as 32 hexadecimal digits.
std::string RandomId();

}  // namespace sassafrasbay

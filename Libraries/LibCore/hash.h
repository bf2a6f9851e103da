#pragma once

#include <cstdint>
#include <span>
#include <string>
#include <string_view>

namespace sassafrasbay {

/// XXH3 64-bit hash. It maps keys to shards, so all nodes must use the same function.
std::uint64_t HashBytes(std::string_view bytes);

/// Hash of several parts that includes their lengths, so that ("ab","c") and ("a","bc") differ.
std::uint64_t HashParts(std::span<const std::string_view> parts);

/// Returns 128 random bits as 32 hexadecimal digits.
std::string RandomId();

}  // namespace sassafrasbay

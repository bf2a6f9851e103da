#include "LibCore/hash.h"

#define XXH_INLINE_ALL
#include <xxhash.h>

#include <array>
#include <random>

namespace sassafrasbay {

std::uint64_t HashBytes(std::string_view bytes) { return XXH3_64bits(bytes.data(), bytes.size()); }

std::uint64_t HashParts(std::span<const std::string_view> parts) {
  std::uint64_t hash = 0;
  for (const std::string_view part : parts) {
    const std::array<std::uint64_t, 2> link = {hash, part.size()};
    hash = XXH3_64bits_withSeed(part.data(), part.size(),
                                XXH3_64bits(link.data(), sizeof(std::uint64_t) * link.size()));
  }
  return hash;
}

std::string RandomId() {
  static constexpr std::string_view kDigits = "0123456789abcdef";
  thread_local std::random_device device;
  std::string id;
  id.reserve(32);
  for (int word = 0; word < 4; ++word) {
    std::uint32_t bits = device();
    for (int digit = 0; digit < 8; ++digit) {
      id += kDigits[bits & 0xFU];
      bits >>= 4U;
    }
  }
  return id;
}

}  // namespace sassafrasbay

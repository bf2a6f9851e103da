#pragma once

#include <compare>
#include <cstdint>
#include <string>

namespace sassafrasbay {

/// Position in a topic of the store: an offset, and the history in which it counts. A store that is
/// restored from an older copy gives out offsets again, in a new era; eras rise. An offset alone
/// names no record.
struct TopicPosition {
  std::uint64_t era_ = 0;
  std::uint64_t offset_ = 0;

  friend auto operator<=>(const TopicPosition&, const TopicPosition&) = default;
};

/// "era:offset", for log lines.
std::string ToString(const TopicPosition& position);

}  // namespace sassafrasbay

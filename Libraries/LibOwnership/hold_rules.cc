#include "LibOwnership/hold_rules.h"

#include <algorithm>

namespace sassafrasbay {

// The record that assigns a successor isn't written before `reference`, and the successor's node
// waits for kTakeoverDelay after it has read that record. A grant that expires on any clock at the
// latest kTakeoverDelay after `reference` therefore expires before the successor is granted the
// range.
std::optional<milliseconds> GrantDuration(BootTime reference, BootTime now,
                                          milliseconds max_duration) {
  const auto remaining = std::chrono::duration_cast<milliseconds>(reference + kTakeoverDelay - now);
  const milliseconds safe(static_cast<milliseconds::rep>(static_cast<double>(remaining.count()) /
                                                         (1.0 + kMaxClockDriftRatio)));
  const milliseconds duration = std::min({safe, kMaxGrantDuration, max_duration});
  if (duration < kMinGrantDuration) {
    return std::nullopt;
  }
  return duration;
}

BootTime GrantExpiry(BootTime now, milliseconds duration) {
  const auto stretched = static_cast<milliseconds::rep>(static_cast<double>(duration.count()) *
                                                        (1.0 + kMaxClockDriftRatio)) +
                         1;
  return now + milliseconds(stretched);
}

std::vector<HeldRange> RangesToGrant(const KeyTable& table, const Holder& holder) {
  std::vector<HeldRange> ranges;
  for (const KeyRange& range : table.ranges_) {
    if (range.owner_ == holder && !range.successor_) {
      ranges.push_back({{range.first_, range.last_}, range.token_, range.handover_});
    }
  }
  return ranges;
}

bool HasUnplannedSuccessor(const KeyTable& table, const Holder& holder) {
  return std::any_of(table.ranges_.begin(), table.ranges_.end(), [&](const KeyRange& range) {
    return range.owner_ == holder && range.successor_ && !range.planned_;
  });
}

std::vector<KeySpan> KeysNotHeld(KeySpan span, const std::vector<HeldRange>& held) {
  std::vector<KeySpan> parts{span};
  for (const HeldRange& range : held) {
    std::vector<KeySpan> rest;
    for (const KeySpan& part : parts) {
      if (range.keys_.last_ < part.first_ || range.keys_.first_ > part.last_) {
        rest.push_back(part);
        continue;
      }
      if (range.keys_.first_ > part.first_) {
        rest.push_back({part.first_, range.keys_.first_ - 1});
      }
      if (range.keys_.last_ < part.last_) {
        rest.push_back({range.keys_.last_ + 1, part.last_});
      }
    }
    parts = std::move(rest);
  }
  return parts;
}

}  // namespace sassafrasbay

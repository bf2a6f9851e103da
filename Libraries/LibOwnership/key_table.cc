#include "LibOwnership/key_table.h"

#include <algorithm>

namespace sassafrasbay {
namespace {

bool CanMerge(const KeyRange& left, const KeyRange& right) {
  return left.last_ + 1 == right.first_ && left.token_ == right.token_ &&
         left.owner_ == right.owner_ && left.successor_ == right.successor_ &&
         left.planned_ == right.planned_ && left.handover_ == right.handover_;
}

}  // namespace

const KeyRange* FindRange(const KeyTable& table, ShardKey key) {
  const auto after =
      std::upper_bound(table.ranges_.begin(), table.ranges_.end(), key,
                       [](ShardKey value, const KeyRange& range) { return value < range.first_; });
  if (after == table.ranges_.begin()) {
    return nullptr;
  }
  const KeyRange& range = *std::prev(after);
  return key <= range.last_ ? &range : nullptr;
}

std::vector<KeySpan> UnownedKeys(const KeyTable& table) {
  std::vector<KeySpan> gaps;
  ShardKey next = 0;
  for (const KeyRange& range : table.ranges_) {
    if (range.first_ > next) {
      gaps.push_back({next, range.first_ - 1});
    }
    next = range.last_ + 1;
  }
  if (next <= kLastShardKey) {
    gaps.push_back({next, kLastShardKey});
  }
  return gaps;
}

std::uint32_t CountOwnedKeys(const KeyTable& table, const Holder& holder) {
  std::uint32_t keys = 0;
  for (const KeyRange& range : table.ranges_) {
    if (range.owner_ == holder) {
      keys += range.last_ - range.first_ + 1;
    }
  }
  return keys;
}

KeyTable ChangedRanges(const KeyTable& before, const KeyTable& after) {
  KeyTable changes{after.service_, after.version_, {}};
  for (const KeyRange& range : after.ranges_) {
    const KeyRange* same = FindRange(before, range.first_);
    if (same == nullptr || *same != range) {
      changes.ranges_.push_back(range);
    }
  }
  return changes;
}

// Ranges are disjoint in both tables, and an owned key always has an owner in later versions. The
// ranges of `before` that overlap a changed range are therefore exactly those that were replaced.
std::optional<KeyTable> ApplyChanges(const KeyTable& before, const KeyTable& changes) {
  if (before.service_ != changes.service_ || before.version_ + 1 != changes.version_) {
    return std::nullopt;
  }
  KeyTable after = changes;
  for (const KeyRange& range : before.ranges_) {
    const bool replaced =
        std::any_of(changes.ranges_.begin(), changes.ranges_.end(), [&](const KeyRange& changed) {
          return changed.first_ <= range.last_ && range.first_ <= changed.last_;
        });
    if (!replaced) {
      after.ranges_.push_back(range);
    }
  }
  SortRanges(after);
  return after;
}

void SortRanges(KeyTable& table) {
  std::sort(table.ranges_.begin(), table.ranges_.end(),
            [](const KeyRange& left, const KeyRange& right) { return left.first_ < right.first_; });
}

void MergeAdjacentRanges(KeyTable& table) {
  std::vector<KeyRange> merged;
  for (KeyRange& range : table.ranges_) {
    if (!merged.empty() && CanMerge(merged.back(), range)) {
      merged.back().last_ = range.last_;
      continue;
    }
    merged.push_back(std::move(range));
  }
  table.ranges_ = std::move(merged);
}

void SplitRangeAt(KeyTable& table, ShardKey key) {
  for (auto range = table.ranges_.begin(); range != table.ranges_.end(); ++range) {
    if (range->first_ < key && key <= range->last_) {
      KeyRange upper = *range;
      upper.first_ = key;
      range->last_ = key - 1;
      table.ranges_.insert(std::next(range), std::move(upper));
      return;
    }
  }
}

}  // namespace sassafrasbay

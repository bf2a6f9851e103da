#include "LibOwnership/table_changes.h"

#include <algorithm>
#include <map>
#include <utility>

namespace sassafrasbay {
namespace {

constexpr std::uint32_t kAllKeys = kLastShardKey + 1;

/// Keys per weight of each candidate, in their order. Counted across all ranges of a change, so
/// that several ranges are spread over all candidates.
struct KeyCounts {
  std::vector<double> keys_per_weight_;
};

double WeightOf(const Candidate& candidate) {
  return std::max<std::uint32_t>(candidate.weight_, 1);
}

KeyCounts CountKeys(const KeyTable& table, std::span<const Candidate> candidates) {
  std::map<Holder, double> keys;
  for (const KeyRange& range : table.ranges_) {
    keys[range.successor_ ? *range.successor_ : range.owner_] += range.last_ - range.first_ + 1;
  }
  KeyCounts counts;
  for (const Candidate& candidate : candidates) {
    const auto found = keys.find(candidate.holder_);
    counts.keys_per_weight_.push_back((found == keys.end() ? 0 : found->second) /
                                      WeightOf(candidate));
  }
  return counts;
}

/// Number of keys that are assigned at once. A sixteenth of an equal share balances differences
/// between candidates. If a small span were divided like that, it would go to all candidates, and
/// the number of ranges would grow with each owner that leaves.
std::uint32_t PieceSize(std::uint32_t keys, std::size_t candidates) {
  constexpr std::size_t kPiecesPerCandidate = 16;
  constexpr std::size_t kMinPiecesPerShare = 4;
  const std::size_t piece = keys / (kPiecesPerCandidate * candidates);
  const std::size_t min_piece =
      keys < kAllKeys / 2 ? kAllKeys / (kMinPiecesPerShare * candidates) : 1;
  return static_cast<std::uint32_t>(std::max<std::size_t>({piece, min_piece, 1}));
}

/// Divides a span of keys between the candidates. Returns one part for each candidate that gets
/// keys.
std::vector<std::pair<KeySpan, Holder>> DivideSpan(KeySpan span, KeyCounts& counts,
                                                   std::span<const Candidate> candidates) {
  std::vector<std::pair<KeySpan, Holder>> parts;
  const std::uint32_t total = span.last_ - span.first_ + 1;
  const std::uint32_t piece = PieceSize(total, candidates.size());
  std::vector<std::uint32_t> assigned(candidates.size(), 0);
  for (std::uint32_t remaining = total; remaining > 0;) {
    const auto least =
        std::min_element(counts.keys_per_weight_.begin(), counts.keys_per_weight_.end());
    const auto recipient = static_cast<std::size_t>(least - counts.keys_per_weight_.begin());
    const std::uint32_t size = std::min(piece, remaining);
    assigned[recipient] += size;
    *least += size / WeightOf(candidates[recipient]);
    remaining -= size;
  }
  ShardKey next = span.first_;
  for (std::size_t i = 0; i < candidates.size(); ++i) {
    if (assigned[i] > 0) {
      parts.push_back({{next, next + assigned[i] - 1}, candidates[i].holder_});
      next += assigned[i];
    }
  }
  return parts;
}

KeyTable NextVersion(const KeyTable& table) {
  KeyTable next = table;
  ++next.version_;
  return next;
}

void SetOwner(KeyRange& range, const Holder& owner, std::uint64_t token, std::string handover) {
  range.owner_ = owner;
  range.token_ = token;
  range.successor_.reset();
  range.planned_ = false;
  range.handover_ = std::move(handover);
}

/// Divides each range for which `matches` returns true between the candidates, and calls `apply`
/// with each part and its candidate.
template <typename Matches, typename Apply>
void DivideRanges(KeyTable& table, std::span<const Candidate> candidates, Matches matches,
                  Apply apply) {
  KeyCounts counts = CountKeys(table, candidates);
  std::vector<KeyRange> ranges;
  for (const KeyRange& range : table.ranges_) {
    if (!matches(range)) {
      ranges.push_back(range);
      continue;
    }
    for (const auto& [span, holder] : DivideSpan({range.first_, range.last_}, counts, candidates)) {
      KeyRange part = range;
      part.first_ = span.first_;
      part.last_ = span.last_;
      apply(part, holder);
      ranges.push_back(std::move(part));
    }
  }
  table.ranges_ = std::move(ranges);
}

}  // namespace

KeyTable AssignUnownedKeys(const KeyTable& table, std::span<const Candidate> candidates) {
  KeyTable next = NextVersion(table);
  if (candidates.empty()) {
    return next;
  }
  KeyCounts counts = CountKeys(table, candidates);
  for (const KeySpan& gap : UnownedKeys(table)) {
    for (const auto& [span, holder] : DivideSpan(gap, counts, candidates)) {
      KeyRange range;
      range.first_ = span.first_;
      range.last_ = span.last_;
      SetOwner(range, holder, next.version_, {});
      next.ranges_.push_back(std::move(range));
    }
  }
  SortRanges(next);
  MergeAdjacentRanges(next);
  return next;
}

KeyTable ReplaceOwner(const KeyTable& table, const Holder& former_owner,
                      std::span<const Candidate> candidates) {
  KeyTable next = NextVersion(table);
  if (candidates.empty()) {
    return next;
  }
  // A moving range is assigned to its successor, whose node may already expect it.
  for (KeyRange& range : next.ranges_) {
    if (range.owner_ == former_owner && range.successor_ && *range.successor_ != former_owner) {
      SetOwner(range, Holder(*range.successor_), next.version_, {});
    }
  }
  DivideRanges(
      next, candidates, [&](const KeyRange& range) { return range.owner_ == former_owner; },
      [&](KeyRange& part, const Holder& holder) { SetOwner(part, holder, next.version_, {}); });
  MergeAdjacentRanges(next);
  return next;
}

KeyTable AssignSuccessors(const KeyTable& table, const Holder& owner,
                          std::span<const Candidate> candidates, bool planned) {
  KeyTable next = NextVersion(table);
  if (candidates.empty()) {
    return next;
  }
  DivideRanges(
      next, candidates,
      [&](const KeyRange& range) { return range.owner_ == owner && !range.successor_; },
      [&](KeyRange& part, const Holder& holder) {
        part.successor_ = holder;
        part.planned_ = planned;
      });
  MergeAdjacentRanges(next);
  return next;
}

KeyTable BeginMove(const KeyTable& table, const Holder& owner, KeySpan keys,
                   const Holder& successor) {
  KeyTable next = NextVersion(table);
  SplitRangeAt(next, keys.first_);
  if (keys.last_ < kLastShardKey) {
    SplitRangeAt(next, keys.last_ + 1);
  }
  for (KeyRange& range : next.ranges_) {
    const bool inside = range.first_ >= keys.first_ && range.last_ <= keys.last_;
    if (inside && range.owner_ == owner && !range.successor_ && successor != owner) {
      range.successor_ = successor;
      range.planned_ = true;
    }
  }
  MergeAdjacentRanges(next);
  return next;
}

KeyTable ReleaseKeys(const KeyTable& table, const Holder& owner,
                     std::span<const ReleasedKeys> released) {
  KeyTable next = NextVersion(table);
  for (const ReleasedKeys& keys : released) {
    SplitRangeAt(next, keys.keys_.first_);
    if (keys.keys_.last_ < kLastShardKey) {
      SplitRangeAt(next, keys.keys_.last_ + 1);
    }
    for (KeyRange& range : next.ranges_) {
      const bool inside = range.first_ >= keys.keys_.first_ && range.last_ <= keys.keys_.last_;
      if (inside && range.owner_ == owner && range.successor_) {
        SetOwner(range, Holder(*range.successor_), next.version_, keys.handover_);
      }
    }
  }
  MergeAdjacentRanges(next);
  return next;
}

KeyTable CompleteMoves(const KeyTable& table, std::span<const KeySpan> ranges) {
  KeyTable next = NextVersion(table);
  for (KeyRange& range : next.ranges_) {
    const KeySpan span{range.first_, range.last_};
    if (range.successor_ && std::find(ranges.begin(), ranges.end(), span) != ranges.end()) {
      SetOwner(range, Holder(*range.successor_), next.version_, {});
    }
  }
  MergeAdjacentRanges(next);
  return next;
}

KeyTable CancelUnplannedMoves(const KeyTable& table, const Holder& owner) {
  KeyTable next = NextVersion(table);
  for (KeyRange& range : next.ranges_) {
    if (range.owner_ == owner && range.successor_ && !range.planned_) {
      range.successor_.reset();
    }
  }
  MergeAdjacentRanges(next);
  return next;
}

bool SameRanges(const KeyTable& left, const KeyTable& right) {
  return left.ranges_ == right.ranges_;
}

}  // namespace sassafrasbay

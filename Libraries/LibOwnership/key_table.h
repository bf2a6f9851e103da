#pragma once

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace sassafrasbay {

/// A shard key as callers send it, 0 to kLastShardKey.
using ShardKey = std::uint32_t;
inline constexpr ShardKey kLastShardKey = 65535;

/// One incarnation of an upstream and the node beside it. Only that node can grant keys to it.
struct Holder {
  std::string node_;  ///< Peer address of the node, "ip:port".
  std::string instance_;
  std::int64_t born_ms_ = 0;  ///< Unix time of the incarnation's start.

  friend auto operator<=>(const Holder&, const Holder&) = default;
};

/// Keys from first_ to last_, both included, with one owner.
struct KeyRange {
  ShardKey first_ = 0;
  ShardKey last_ = 0;
  std::uint64_t token_ = 0;  ///< Fencing token; that of the table version that named the owner.
  Holder owner_;
  /// Set while the range changes its owner. The owner may not be granted it for longer, the
  /// successor may not be granted it yet.
  std::optional<Holder> successor_;
  /// The change is a planned move: the owner's node releases the range. Otherwise the owner's node
  /// seems lost, and it may take the range back.
  bool planned_ = false;
  std::string handover_;  ///< Given by the previous owner's upstream on release.

  friend bool operator==(const KeyRange&, const KeyRange&) = default;
};

/// Who owns the keys of a service. Keys outside all ranges have no owner.
struct KeyTable {
  std::string service_;
  std::uint64_t version_ = 0;  ///< Each written table has the version of the one before, plus one.
  std::vector<KeyRange> ranges_;  ///< Disjoint, ascending.

  friend bool operator==(const KeyTable&, const KeyTable&) = default;
};

/// Null when the key has no owner.
const KeyRange* FindRange(const KeyTable& table, ShardKey key);

/// A span of keys, both ends included.
struct KeySpan {
  ShardKey first_ = 0;
  ShardKey last_ = 0;

  friend bool operator==(const KeySpan&, const KeySpan&) = default;
};

/// Keys without an owner, ascending.
std::vector<KeySpan> UnownedKeys(const KeyTable& table);

/// Number of keys that the holder owns.
std::uint32_t CountOwnedKeys(const KeyTable& table, const Holder& holder);

/// The ranges of `after` that aren't in `before`, with the version of `after`. Tables follow each
/// other in the store, so that a node that knows `before` needs no more.
KeyTable ChangedRanges(const KeyTable& before, const KeyTable& after);

/// The table that ChangedRanges was made from; nothing when `before` isn't the version before it.
std::optional<KeyTable> ApplyChanges(const KeyTable& before, const KeyTable& changes);

/// Puts the ranges into ascending order.
void SortRanges(KeyTable& table);

/// Joins neighbours that differ in their keys only.
void MergeAdjacentRanges(KeyTable& table);

/// Splits ranges so that one starts at `key`.
void SplitRangeAt(KeyTable& table, ShardKey key);

}  // namespace sassafrasbay

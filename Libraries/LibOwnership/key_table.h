#pragma once

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace sassafrasbay {

/// A shard key as sent by callers, from 0 to kLastShardKey.
using ShardKey = std::uint32_t;
inline constexpr ShardKey kLastShardKey = 65535;

/// Identifies one incarnation of an upstream and the node beside it, the only node that can grant
/// keys to this upstream.
struct Holder {
  std::string node_;  ///< Peer address of the node, "ip:port".
  std::string instance_;
  std::int64_t born_ms_ = 0;  ///< Unix time at which the incarnation started.

  friend auto operator<=>(const Holder&, const Holder&) = default;
};

/// Adjacent keys with the same owner. A range with a successor is moving.
struct KeyRange {
  ShardKey first_ = 0;
  ShardKey last_ = 0;        ///< Inclusive.
  std::uint64_t token_ = 0;  ///< Fencing token: the version of the table that assigned the owner.
  Holder owner_;
  /// The next owner, set while the range is moving. The grant of the owner isn't renewed, and the
  /// successor isn't granted the range yet.
  std::optional<Holder> successor_;
  /// True for a planned move, in which the owner's node releases the range. False for an unplanned
  /// one, in which the owner's node is presumed lost; that node may cancel it.
  bool planned_ = false;
  std::string handover_;  ///< Data that the previous owner's upstream passed on at the release.

  friend bool operator==(const KeyRange&, const KeyRange&) = default;
};

/// The owners of the keys of a service. Keys outside all ranges have no owner.
struct KeyTable {
  std::string service_;
  std::uint64_t version_ = 0;     ///< Increases by one with each written table.
  std::vector<KeyRange> ranges_;  ///< Disjoint, in ascending order.

  friend bool operator==(const KeyTable&, const KeyTable&) = default;
};

/// The range that contains the key; null when the key has no owner.
const KeyRange* FindRange(const KeyTable& table, ShardKey key);

/// A span of adjacent keys.
struct KeySpan {
  ShardKey first_ = 0;
  ShardKey last_ = 0;  ///< Inclusive.

  friend bool operator==(const KeySpan&, const KeySpan&) = default;
};

/// Keys without an owner, in ascending order.
std::vector<KeySpan> UnownedKeys(const KeyTable& table);

/// Number of keys that the holder owns.
std::uint32_t CountOwnedKeys(const KeyTable& table, const Holder& holder);

/// The ranges of `after` that aren't in `before`, with the version of `after`. A node that has
/// `before`, the preceding table in the store, needs only these in order to build `after`.
KeyTable ChangedRanges(const KeyTable& before, const KeyTable& after);

/// Applies the result of ChangedRanges to `before`. Returns nothing when the services differ, or
/// `before` isn't the version that directly precedes the changes.
std::optional<KeyTable> ApplyChanges(const KeyTable& before, const KeyTable& changes);

/// Sorts the ranges in ascending order of keys.
void SortRanges(KeyTable& table);

/// Merges adjacent ranges that differ only in their keys.
void MergeAdjacentRanges(KeyTable& table);

/// Splits the range that contains `key`, so that a range starts there.
void SplitRangeAt(KeyTable& table, ShardKey key);

}  // namespace sassafrasbay

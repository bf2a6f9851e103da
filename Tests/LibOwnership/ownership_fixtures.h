#pragma once

#include <string>
#include <vector>

#include "LibOwnership/ownership_decision.h"

namespace sassafrasbay {

inline Holder HolderAt(const std::string& node) { return {node, "i-" + node, 1000}; }

inline KeyRange RangeOf(ShardKey first, ShardKey last, const Holder& owner,
                        std::uint64_t token = 1) {
  KeyRange range;
  range.first_ = first;
  range.last_ = last;
  range.token_ = token;
  range.owner_ = owner;
  return range;
}

/// A table in which each holder owns an equal part of all keys, in the order of the holders.
inline KeyTable EquallyDividedTable(const std::vector<Holder>& holders) {
  KeyTable table{"lookup", 1, {}};
  const auto size = static_cast<ShardKey>((kLastShardKey + 1) / holders.size());
  for (std::size_t i = 0; i < holders.size(); ++i) {
    const auto first = static_cast<ShardKey>(i * size);
    const ShardKey last = i + 1 == holders.size() ? kLastShardKey : first + size - 1;
    table.ranges_.push_back(RangeOf(first, last, holders[i]));
  }
  return table;
}

/// A time relative to ten minutes after boot, so that `after_ms` may be negative.
inline BootTime At(std::int64_t after_ms) {
  return BootTime(std::chrono::minutes(10)) + milliseconds(after_ms);
}

/// The view of node "a", ten seconds after its start, in a healthy system of the nodes "a", "b" and
/// "c".
inline OwnershipView HealthyView() {
  OwnershipView view;
  view.self_ = "a";
  view.now_ = At(10'000);
  view.started_ = At(0);
  view.registered_ = At(-60'000);
  view.reaches_store_ = true;
  view.local_upstream_.holder_ = HolderAt("a");
  view.local_upstream_.slots_ = 18;
  view.local_upstream_.last_heartbeat_ = At(9'500);
  view.local_upstream_.granted_until_ = At(14'000);
  for (const std::string node : {"b", "c"}) {
    NodeView other;
    other.address_ = node;
    other.last_seen_ = At(9'900);
    other.reaches_store_ = true;
    other.upstream_ = Candidate{HolderAt(node), 18};
    view.nodes_.push_back(other);
  }
  view.known_nodes_ = 3;
  view.reachable_nodes_ = 3;
  return view;
}

}  // namespace sassafrasbay

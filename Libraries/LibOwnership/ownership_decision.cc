#include "LibOwnership/ownership_decision.h"

#include <algorithm>
#include <cmath>
#include <map>
#include <set>
#include <span>
#include <string>
#include <utility>

#include "LibOwnership/report_timing.h"

namespace sassafrasbay {
namespace {

using Decision = std::optional<OwnershipChange>;

MoveId MoveIdOf(const KeyRange& range) {
  return {range.first_, range.last_, range.token_, range.owner_, *range.successor_};
}

/// The change to `next`, or nothing when its ranges are those of `table`.
Decision IfChanged(const KeyTable& table, KeyTable next, std::string reason) {
  if (SameRanges(table, next)) {
    return std::nullopt;
  }
  return OwnershipChange{std::move(next), std::move(reason)};
}

bool IsReachable(const OwnershipView& view, const NodeView& node) {
  return view.now_ - node.last_seen_ < SuspicionTimeout(view.known_nodes_);
}

bool CanTakeKeys(const LocalUpstream& upstream) {
  return upstream.holder_ && !upstream.draining_ && !upstream.has_left_ && !upstream.has_exited_ &&
         !upstream.evacuated_;
}

/// Upstreams that can take keys now, including the local one if `include_local` is set.
std::vector<Candidate> Candidates(const OwnershipView& view, bool include_local) {
  std::vector<Candidate> candidates;
  if (include_local && CanTakeKeys(view.local_upstream_)) {
    candidates.push_back({*view.local_upstream_.holder_, view.local_upstream_.slots_});
  }
  for (const NodeView& node : view.nodes_) {
    if (node.upstream_ && IsReachable(view, node)) {
      candidates.push_back(*node.upstream_);
    }
  }
  return candidates;
}

const NodeView* FindNode(const OwnershipView& view, const std::string& address) {
  const auto found = std::find_if(view.nodes_.begin(), view.nodes_.end(),
                                  [&](const NodeView& node) { return node.address_ == address; });
  return found == view.nodes_.end() ? nullptr : &*found;
}

/// True when this node plans for all nodes: the planner is the node with the lowest address among
/// the reachable ones that reach the store. If two nodes both consider themselves the planner, the
/// conditional writes let only one of their changes take effect.
bool IsPlanner(const OwnershipView& view) {
  return std::none_of(view.nodes_.begin(), view.nodes_.end(), [&](const NodeView& node) {
    return node.reaches_store_ && IsReachable(view, node) && node.address_ < view.self_;
  });
}

bool IsOlderIncarnation(const OwnershipView& view, const Holder& owner) {
  if (owner.born_ms_ != view.newest_born_ms_) {
    return owner.born_ms_ < view.newest_born_ms_;
  }
  return view.local_upstream_.holder_ && owner != *view.local_upstream_.holder_;
}

/// True when an owner beside this node has certainly exited, which a confirmed later incarnation or
/// a closed port proves.
bool HasExited(const OwnershipView& view, const Holder& owner) {
  const bool is_current = view.local_upstream_.holder_ && owner == *view.local_upstream_.holder_;
  return is_current ? view.local_upstream_.has_exited_ : IsOlderIncarnation(view, owner);
}

/// True when an owner beside this node sends no heartbeats, or those of another incarnation have
/// taken their place, and all its grants have expired. It may still run, and may be granted the
/// ranges again.
bool HaveGrantsExpired(const OwnershipView& view, const Holder& owner) {
  const LocalUpstream& upstream = view.local_upstream_;
  const bool is_current = upstream.holder_ && owner == *upstream.holder_;
  if (is_current && !upstream.has_left_ &&
      view.now_ - upstream.last_heartbeat_ <= kUpstreamHeartbeatTimeout) {
    return false;
  }
  // Grants by an earlier process of this node expire within kTakeoverDelay after the start of this
  // process.
  const BootTime earlier_processes = view.started_ + kTakeoverDelay;
  const BootTime granted_until =
      is_current ? upstream.granted_until_ : upstream.earlier_granted_until_;
  return view.now_ > std::max(granted_until, earlier_processes);
}

/// Assigns new owners to ranges of incarnations beside this node that have exited. If their grants
/// have only expired, successors are assigned first and the ranges are released in a second step: a
/// write that takes effect late can't take ranges then that have been granted again in the
/// meantime.
Decision ReplaceExitedOwners(const KeyTable& table, const OwnershipView& view) {
  for (const KeyRange& range : table.ranges_) {
    if (range.owner_.node_ != view.self_) {
      continue;
    }
    const std::string name = "upstream " + range.owner_.instance_ + " beside this node ";
    if (HasExited(view, range.owner_)) {
      const std::vector<Candidate> candidates = Candidates(view, true);
      return IfChanged(table, ReplaceOwner(table, range.owner_, candidates), name + "has exited");
    }
    if (!HaveGrantsExpired(view, range.owner_)) {
      continue;
    }
    if (!range.successor_) {
      const std::vector<Candidate> candidates = Candidates(view, false);
      return IfChanged(table, AssignSuccessors(table, range.owner_, candidates, true),
                       name + "sends no heartbeats");
    }
    const std::vector<ReleasedKeys> all = {{{0, kLastShardKey}, {}}};
    return IfChanged(table, ReleaseKeys(table, range.owner_, all),
                     name + "sends no heartbeats and its grants have expired");
  }
  return std::nullopt;
}

/// Passes moving keys that the local upstream no longer holds on to their successors. An isolated
/// node also releases keys of unplanned moves, since it doesn't cancel these moves.
Decision ReleaseMovingKeys(const KeyTable& table, const OwnershipView& view) {
  const LocalUpstream& upstream = view.local_upstream_;
  if (!upstream.holder_) {
    return std::nullopt;
  }
  std::vector<ReleasedKeys> released;
  std::uint32_t releasable_keys = 0;
  for (const KeyRange& range : table.ranges_) {
    const bool may_release = range.planned_ || IsIsolated(view);
    if (range.owner_ != *upstream.holder_ || !range.successor_ || !may_release) {
      continue;
    }
    const KeySpan span{range.first_, range.last_};
    releasable_keys += span.last_ - span.first_ + 1;
    bool is_whole_range_released = false;
    for (const ReleasedKeys& keys : upstream.released_) {
      const KeySpan part{std::max(keys.keys_.first_, span.first_),
                         std::min(keys.keys_.last_, span.last_)};
      if (part.first_ <= part.last_) {
        released.push_back({part, keys.handover_});
        is_whole_range_released = is_whole_range_released || part == span;
      }
    }
    // Keys that aren't reported as held are released too, without handover data.
    if (!is_whole_range_released && upstream.held_is_current_) {
      for (const KeySpan& part : KeysNotHeld(span, upstream.held_)) {
        released.push_back({part, {}});
      }
    }
  }
  if (released.empty()) {
    return std::nullopt;
  }
  KeyTable next = ReleaseKeys(table, *upstream.holder_, released);
  const bool is_partial =
      CountOwnedKeys(table, *upstream.holder_) - CountOwnedKeys(next, *upstream.holder_) <
      releasable_keys;
  if (is_partial && view.now_ - view.last_release_ < kMinReleaseInterval) {
    return std::nullopt;
  }
  Decision decision = IfChanged(table, std::move(next), "upstream released moving keys");
  if (decision) {
    decision->is_release_ = true;
  }
  return decision;
}

/// Cancels unplanned moves of the local upstream's ranges: other nodes presumed this node lost.
Decision CancelMovesOfOwnRanges(const KeyTable& table, const OwnershipView& view) {
  if (!CanTakeKeys(view.local_upstream_) || IsIsolated(view)) {
    return std::nullopt;
  }
  if (!HasUnplannedSuccessor(table, *view.local_upstream_.holder_)) {
    return std::nullopt;
  }
  return IfChanged(table, CancelUnplannedMoves(table, *view.local_upstream_.holder_),
                   "this node was presumed lost, but is running");
}

/// Replaces the successor `former`. This makes it another move, whose takeover delay starts anew.
KeyTable ChangeSuccessor(KeyTable table, const Holder& former, const Holder& successor) {
  for (KeyRange& range : table.ranges_) {
    if (range.successor_ == former) {
      range.successor_ = successor;
    }
  }
  return table;
}

/// Moves all keys away from a draining or evacuated local upstream, and redirects keys that are
/// moving to it.
Decision DrainLocalUpstream(const KeyTable& table, const OwnershipView& view) {
  const LocalUpstream& upstream = view.local_upstream_;
  if (!upstream.holder_ || !(upstream.draining_ || upstream.has_left_ || upstream.evacuated_)) {
    return std::nullopt;
  }
  const Holder& holder = *upstream.holder_;
  // Each change of the table causes a decision at each node, and few of them have keys to move.
  const bool has_keys_to_move =
      std::any_of(table.ranges_.begin(), table.ranges_.end(), [&](const KeyRange& range) {
        return range.successor_ == holder ||
               (range.owner_ == holder && !range.successor_ && !view.local_upstream_.has_left_);
      });
  if (!has_keys_to_move) {
    return std::nullopt;
  }
  const std::vector<Candidate> candidates = Candidates(view, false);
  if (candidates.empty()) {
    return std::nullopt;
  }
  KeyTable next =
      view.local_upstream_.has_left_ ? table : AssignSuccessors(table, holder, candidates, true);
  next = ChangeSuccessor(std::move(next), holder, candidates.front().holder_);
  next.version_ = table.version_ + 1;
  const bool is_leaving = upstream.draining_ || upstream.has_left_;
  return IfChanged(table, std::move(next),
                   is_leaving ? "upstream is draining" : "data centre is evacuated");
}

/// Takes over ranges whose successor is beside this node, once the grants of the former owner have
/// certainly expired.
Decision CompleteTakeovers(const KeyTable& table, const OwnershipView& view) {
  if (!view.registered_ || view.now_ - *view.registered_ < kNewNodeTakeoverDelay) {
    return std::nullopt;
  }
  std::vector<KeySpan> spans;
  std::set<std::string> owners;
  for (const KeyRange& range : table.ranges_) {
    if (!range.successor_ || range.successor_->node_ != view.self_ ||
        range.owner_.node_ == view.self_) {
      continue;
    }
    const auto read = view.moves_first_read_.find(MoveIdOf(range));
    const auto promised = view.promised_until_.find(range.owner_.node_);
    const bool is_promised =
        promised != view.promised_until_.end() && view.now_ <= promised->second;
    if (read != view.moves_first_read_.end() && view.now_ - read->second > kTakeoverDelay &&
        !is_promised) {
      spans.push_back({range.first_, range.last_});
      owners.insert(range.owner_.node_);
    }
  }
  if (spans.empty()) {
    return std::nullopt;
  }
  Decision decision =
      IfChanged(table, CompleteMoves(table, spans), "the former owner's grants have expired");
  if (decision) {
    decision->taken_over_nodes_.assign(owners.begin(), owners.end());
  }
  return decision;
}

/// True when the holder's node is presumed lost, since no reports have been received from it.
bool IsPresumedLost(const OwnershipView& view, const Holder& holder) {
  if (holder.node_ == view.self_) {
    return false;
  }
  if (const auto cancelled = view.moves_cancelled_at_.find(holder);
      cancelled != view.moves_cancelled_at_.end() &&
      view.now_ - cancelled->second < kUnplannedMoveBackoff) {
    return false;
  }
  const NodeView* node = FindNode(view, holder.node_);
  return (node == nullptr || !IsReachable(view, *node)) &&
         view.now_ - view.started_ > kMinFirstAssignmentDelay;
}

/// Writes the known table again after a late append of an earlier era.
Decision RewriteTable(const KeyTable& table, const OwnershipView& view) {
  if (!view.is_overwritten_) {
    return std::nullopt;
  }
  KeyTable next = table;
  ++next.version_;
  return OwnershipChange{std::move(next), "the store has a table of an earlier era"};
}

/// Assigns successors to ranges whose owner or successor is beside a node that is presumed lost.
Decision ReplaceLostNodes(const KeyTable& table, const OwnershipView& view) {
  if (IsIsolated(view)) {
    return std::nullopt;
  }
  const std::vector<Candidate> candidates = Candidates(view, true);
  for (const KeyRange& range : table.ranges_) {
    if (!range.successor_ && IsPresumedLost(view, range.owner_)) {
      return IfChanged(table, AssignSuccessors(table, range.owner_, candidates, false),
                       "node " + range.owner_.node_ + " is not reachable");
    }
    if (range.successor_ && IsPresumedLost(view, *range.successor_) && !candidates.empty()) {
      const Holder lost = *range.successor_;
      KeyTable next = ChangeSuccessor(table, lost, candidates.front().holder_);
      ++next.version_;
      return IfChanged(table, std::move(next), "node " + lost.node_ + " is not reachable");
    }
  }
  return std::nullopt;
}

// In a large system it takes some seconds until all upstreams are known. If keys were assigned to
// the first few of them, nearly all keys would have to move again afterwards.
Decision AssignKeysWithoutOwner(const KeyTable& table, const OwnershipView& view) {
  /// Minimum number of known nodes for each node with an unknown upstream.
  constexpr std::size_t kMinNodesPerUnknownUpstream = 10;
  const auto waited = view.now_ - view.started_;
  const bool enough_known =
      view.unknown_upstreams_ * kMinNodesPerUnknownUpstream <= view.known_nodes_;
  if (UnownedKeys(table).empty() || waited < kMinFirstAssignmentDelay ||
      (!enough_known && waited < kMaxFirstAssignmentDelay)) {
    return std::nullopt;
  }
  return IfChanged(table, AssignUnownedKeys(table, Candidates(view, true)),
                   "keys without an owner");
}

/// The largest range that isn't moving, of the upstream that has the maximum number of keys after
/// all moves; null when all ranges are moving.
const KeyRange* FindRangeToSplit(const KeyTable& table) {
  std::map<Holder, std::uint32_t> keys;
  for (const KeyRange& range : table.ranges_) {
    keys[range.successor_.value_or(range.owner_)] += range.last_ - range.first_ + 1;
  }
  const KeyRange* largest = nullptr;
  for (const KeyRange& range : table.ranges_) {
    if (range.successor_) {
      continue;
    }
    const auto size = std::pair(keys[range.owner_], range.last_ - range.first_);
    if (largest == nullptr ||
        size > std::pair(keys[largest->owner_], largest->last_ - largest->first_)) {
      largest = &range;
    }
  }
  return largest;
}

/// Moves keys to each upstream without keys: half of an equal share, but at most half of the range
/// that is split.
Decision MoveKeysToEmptyUpstreams(const KeyTable& table, const OwnershipView& view) {
  const bool moving = std::any_of(table.ranges_.begin(), table.ranges_.end(),
                                  [](const KeyRange& range) { return range.successor_; });
  if (moving) {
    return std::nullopt;
  }
  const std::vector<Candidate> candidates = Candidates(view, true);
  KeyTable next = table;
  std::string names;
  for (const Candidate& candidate : candidates) {
    const bool has_keys =
        std::any_of(next.ranges_.begin(), next.ranges_.end(), [&](const KeyRange& range) {
          return range.owner_ == candidate.holder_ || range.successor_ == candidate.holder_;
        });
    const KeyRange* split = has_keys ? nullptr : FindRangeToSplit(next);
    if (split == nullptr || split->first_ == split->last_) {
      continue;
    }
    const std::uint32_t equal_share =
        (kLastShardKey + 1) / static_cast<std::uint32_t>(candidates.size());
    const std::uint32_t wanted = std::min((split->last_ - split->first_ + 1) / 2, equal_share / 2);
    const KeySpan span{split->last_ + 1 - std::max<std::uint32_t>(wanted, 1), split->last_};
    const Holder owner = split->owner_;
    next = BeginMove(next, owner, span, candidate.holder_);
    names += " " + candidate.holder_.instance_;
  }
  next.version_ = table.version_ + 1;
  return IfChanged(table, std::move(next), "upstreams without keys:" + names);
}

/// Demand on the upstreams that can take keys. The demand for moving keys counts for their
/// successor.
std::vector<UpstreamDemand> DemandAfterMoves(const KeyTable& table, const OwnershipView& view) {
  std::map<Holder, UpstreamDemand> demand;
  const std::vector<Candidate> candidates = Candidates(view, true);
  for (const UpstreamDemand& upstream : view.demand_) {
    const bool takes_keys = std::any_of(
        candidates.begin(), candidates.end(),
        [&](const Candidate& candidate) { return candidate.holder_ == upstream.holder_; });
    if (takes_keys) {
      demand[upstream.holder_] = upstream;
    }
  }
  for (auto& [holder, upstream] : demand) {
    for (const KeyDemand& piece : std::exchange(upstream.pieces_, {})) {
      const KeyRange* range = FindRange(table, piece.keys_.first_);
      if (range == nullptr || range->owner_ != holder || !range->successor_) {
        upstream.pieces_.push_back(piece);
        continue;
      }
      if (const auto successor = demand.find(*range->successor_); successor != demand.end()) {
        successor->second.incoming_per_second_ += piece.per_second_;
      }
    }
  }
  // The gate of a successor has measured only part of the demand for keys that it has just
  // received.
  for (const RecentMove& recent : view.recent_moves_) {
    const auto successor = demand.find(recent.move_.successor_);
    const KeyRange* range = FindRange(table, recent.move_.keys_.first_);
    const double age =
        std::chrono::duration<double>(view.now_ - recent.planned_at_) / kRecentMoveRetention;
    if (successor != demand.end() && range != nullptr && !range->successor_ &&
        range->owner_ == recent.move_.successor_ && age < 1) {
      successor->second.incoming_per_second_ += (1 - age) * recent.move_.per_second_;
    }
  }
  std::vector<UpstreamDemand> all;
  all.reserve(demand.size());
  for (auto& [holder, upstream] : demand) {
    all.push_back(std::move(upstream));
  }
  return all;
}

/// The utilization of the upstreams in percent, in ascending order, for the log line.
std::string FormatUtilization(std::span<const UpstreamDemand> demand) {
  std::vector<int> percentages;
  percentages.reserve(demand.size());
  for (const UpstreamDemand& upstream : demand) {
    percentages.push_back(static_cast<int>(std::lround(Utilization(upstream) * 100)));
  }
  std::sort(percentages.begin(), percentages.end());
  std::string text = " uses=";
  for (const int percentage : percentages) {
    text += (text.ends_with('=') ? "" : ",") + std::to_string(percentage);
  }
  return text;
}

/// Moves keys between upstreams so that their utilization becomes about equal.
Decision BalanceDemand(const KeyTable& table, const OwnershipView& view) {
  if (view.now_ - view.last_balance_ < kMinBalanceInterval) {
    return std::nullopt;
  }
  KeyTable next = table;
  std::string moves;
  const std::vector<UpstreamDemand> demand = DemandAfterMoves(table, view);
  const std::vector<PlannedMove> planned = PlanBalance(demand);
  for (const PlannedMove& move : planned) {
    next = BeginMove(next, move.owner_, move.keys_, move.successor_);
    moves += " " + std::to_string(move.keys_.first_) + "-" + std::to_string(move.keys_.last_) +
             ":" + move.owner_.instance_ + ">" + move.successor_.instance_;
  }
  next.version_ = table.version_ + 1;
  Decision decision =
      IfChanged(table, std::move(next), "balance of demand," + FormatUtilization(demand) + moves);
  if (decision) {
    decision->moves_ = planned;
  }
  return decision;
}

}  // namespace

bool IsIsolated(const OwnershipView& view) { return view.reachable_nodes_ * 2 < view.known_nodes_; }

bool ExpectsRanges(const KeyTable& table, const OwnershipView& view) {
  if (!CanTakeKeys(view.local_upstream_)) {
    return false;
  }
  const Holder& holder = *view.local_upstream_.holder_;
  // Keys of an earlier incarnation beside this node, and keys without an owner, are assigned within
  // a few milliseconds.
  return !UnownedKeys(table).empty() ||
         std::any_of(table.ranges_.begin(), table.ranges_.end(), [&](const KeyRange& range) {
           const bool is_incoming = range.successor_ == holder && range.planned_;
           const bool is_suspected = range.successor_ && !range.planned_ && range.owner_ == holder;
           const bool is_inherited = range.owner_.node_ == view.self_ && range.owner_ != holder &&
                                     HasExited(view, range.owner_);
           return is_incoming || is_suspected || is_inherited;
         });
}

HeartbeatAnswer DecideHeartbeatAnswer(const KeyTable& table, const OwnershipView& view,
                                      BootTime reference, milliseconds max_duration) {
  HeartbeatAnswer answer;
  if (!view.local_upstream_.holder_ || view.local_upstream_.has_left_) {
    return answer;
  }
  const Holder& holder = *view.local_upstream_.holder_;
  // Ranges with an unplanned move are neither renewed nor withdrawn until this node has cancelled
  // it.
  if (HasUnplannedSuccessor(table, holder) && !IsIsolated(view)) {
    return answer;
  }
  answer.grant_duration_ = GrantDuration(reference, view.now_, max_duration);
  if (answer.grant_duration_) {
    answer.ranges_ = RangesToGrant(table, holder);
  }
  return answer;
}

Decision DecideOwnershipChange(const KeyTable& table, const OwnershipView& view) {
  if (!view.reaches_store_) {
    return std::nullopt;
  }
  for (const auto decide : {&ReplaceExitedOwners, &ReleaseMovingKeys, &CancelMovesOfOwnRanges,
                            &DrainLocalUpstream, &CompleteTakeovers}) {
    if (Decision decision = decide(table, view)) {
      return decision;
    }
  }
  if (!IsPlanner(view)) {
    return std::nullopt;
  }
  for (const auto decide : {&RewriteTable, &ReplaceLostNodes, &AssignKeysWithoutOwner,
                            &MoveKeysToEmptyUpstreams, &BalanceDemand}) {
    if (Decision decision = decide(table, view)) {
      return decision;
    }
  }
  return std::nullopt;
}

void TrackMoves(const KeyTable& table, BootTime now, std::map<MoveId, BootTime>& first_read) {
  std::set<MoveId> current;
  for (const KeyRange& range : table.ranges_) {
    if (range.successor_) {
      current.insert(MoveIdOf(range));
      first_read.try_emplace(MoveIdOf(range), now);
    }
  }
  std::erase_if(first_read, [&](const auto& entry) { return !current.contains(entry.first); });
}

}  // namespace sassafrasbay

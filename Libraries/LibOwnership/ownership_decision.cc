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

MoveId KeyOf(const KeyRange& range) {
  return {range.first_, range.last_, range.token_, range.owner_, *range.successor_};
}

Decision IfChanged(const KeyTable& table, KeyTable next, std::string reason) {
  if (SameRanges(table, next)) {
    return std::nullopt;
  }
  return OwnershipChange{std::move(next), std::move(reason)};
}

bool IsReachable(const OwnershipView& view, const NodeView& node) {
  return view.now_ - node.last_seen_ < SuspicionTimeout(view.known_nodes_);
}

bool CanTakeKeys(const LocalUpstream& own) {
  return own.holder_ && !own.draining_ && !own.has_left_ && !own.has_exited_;
}

/// Upstreams that can take keys now, with the own one if `with_own`.
std::vector<Candidate> Candidates(const OwnershipView& view, bool with_own) {
  std::vector<Candidate> candidates;
  if (with_own && CanTakeKeys(view.local_upstream_)) {
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

/// The reachable node with the lowest address that reaches the store plans for all; the conditional
/// writes settle it when two take themselves for that node.
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

/// A new incarnation, or a closed port, proves that an owner beside this node is gone.
bool IsGone(const OwnershipView& view, const Holder& owner) {
  const bool is_current = view.local_upstream_.holder_ && owner == *view.local_upstream_.holder_;
  return is_current ? view.local_upstream_.has_exited_ : IsOlderIncarnation(view, owner);
}

/// Whether a silent owner beside this node holds nothing any more, because all its grants have
/// ended. It may live, so that it may be granted the ranges again.
bool HasLapsed(const OwnershipView& view, const Holder& owner) {
  const bool is_current = view.local_upstream_.holder_ && owner == *view.local_upstream_.holder_;
  const bool silent = (is_current && view.local_upstream_.has_left_) ||
                      view.now_ - view.local_upstream_.last_heartbeat_ > kUpstreamHeartbeatTimeout;
  // Grants of an earlier process of this node end within one wait after the start of this one.
  const BootTime earlier_grants = view.started_ + kTakeoverDelay;
  return silent && view.now_ > std::max(view.local_upstream_.granted_until_, earlier_grants);
}

/// Gives away what incarnations beside this node owned that are gone. Those that have only lapsed
/// get successors first and release in a second step: a write that takes effect late then can't
/// take ranges that have been granted again meanwhile.
Decision ReplaceGoneOwners(const KeyTable& table, const OwnershipView& view) {
  for (const KeyRange& range : table.ranges_) {
    if (range.owner_.node_ != view.self_) {
      continue;
    }
    const std::string name = "upstream " + range.owner_.instance_ + " beside this node ";
    if (IsGone(view, range.owner_)) {
      const std::vector<Candidate> candidates = Candidates(view, true);
      return IfChanged(table, ReplaceOwner(table, range.owner_, candidates), name + "is gone");
    }
    if (!HasLapsed(view, range.owner_)) {
      continue;
    }
    if (!range.successor_) {
      const std::vector<Candidate> candidates = Candidates(view, false);
      return IfChanged(table, AssignSuccessors(table, range.owner_, candidates, true),
                       name + "is silent");
    }
    const std::vector<ReleasedKeys> all = {{{0, kLastShardKey}, {}}};
    return IfChanged(table, ReleaseKeys(table, range.owner_, all), name + "has lapsed");
  }
  return std::nullopt;
}

Decision ReleaseMovingKeys(const KeyTable& table, const OwnershipView& view) {
  const LocalUpstream& own = view.local_upstream_;
  if (!own.holder_) {
    return std::nullopt;
  }
  std::vector<ReleasedKeys> released;
  std::uint32_t yielded_keys = 0;
  for (const KeyRange& range : table.ranges_) {
    const bool yields = range.planned_ || IsIsolated(view);
    if (range.owner_ != *own.holder_ || !range.successor_ || !yields) {
      continue;
    }
    const KeySpan span{range.first_, range.last_};
    yielded_keys += span.last_ - span.first_ + 1;
    bool freed_whole = false;
    for (const ReleasedKeys& keys : own.released_) {
      const KeySpan part{std::max(keys.keys_.first_, span.first_),
                         std::min(keys.keys_.last_, span.last_)};
      if (part.first_ <= part.last_) {
        released.push_back({part, keys.handover_});
        freed_whole = freed_whole || part == span;
      }
    }
    // Keys that it doesn't list any more, and didn't hand over, are not held either.
    if (!freed_whole && own.held_is_current_) {
      for (const KeySpan& part : KeysNotHeld(span, own.held_)) {
        released.push_back({part, {}});
      }
    }
  }
  if (released.empty()) {
    return std::nullopt;
  }
  KeyTable next = ReleaseKeys(table, *own.holder_, released);
  const bool is_partial =
      CountOwnedKeys(table, *own.holder_) - CountOwnedKeys(next, *own.holder_) < yielded_keys;
  if (is_partial && view.now_ - view.last_release_ < kMinReleaseInterval) {
    return std::nullopt;
  }
  Decision decision = IfChanged(table, std::move(next), "upstream released the keys");
  if (decision) {
    decision->is_release_ = true;
  }
  return decision;
}

Decision KeepOwnRanges(const KeyTable& table, const OwnershipView& view) {
  if (!CanTakeKeys(view.local_upstream_) || IsIsolated(view)) {
    return std::nullopt;
  }
  return IfChanged(table, CancelUnplannedMoves(table, *view.local_upstream_.holder_),
                   "this node is not lost");
}

/// Names another successor instead of `former`. That is another change, with a wait of its own.
KeyTable ChangeSuccessor(KeyTable table, const Holder& former, const Holder& successor) {
  for (KeyRange& range : table.ranges_) {
    if (range.successor_ == former) {
      range.successor_ = successor;
    }
  }
  return table;
}

/// Moves its keys away, and those that are on their way to it to another upstream.
Decision EmptyDrainingUpstream(const KeyTable& table, const OwnershipView& view) {
  if (!view.local_upstream_.holder_ ||
      !(view.local_upstream_.draining_ || view.local_upstream_.has_left_)) {
    return std::nullopt;
  }
  const Holder& own = *view.local_upstream_.holder_;
  const std::vector<Candidate> candidates = Candidates(view, false);
  if (candidates.empty()) {
    return std::nullopt;
  }
  KeyTable next =
      view.local_upstream_.has_left_ ? table : AssignSuccessors(table, own, candidates, true);
  next = ChangeSuccessor(std::move(next), own, candidates.front().holder_);
  next.version_ = table.version_ + 1;
  return IfChanged(table, std::move(next), "upstream is draining");
}

/// The successor's node makes it the owner once the former owner's hold has certainly ended.
Decision CompleteWaitedMoves(const KeyTable& table, const OwnershipView& view) {
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
    const auto read = view.moves_first_read_.find(KeyOf(range));
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
      IfChanged(table, CompleteMoves(table, spans), "the former owner's hold has ended");
  if (decision) {
    decision->taken_over_nodes_.assign(owners.begin(), owners.end());
  }
  return decision;
}

bool IsLost(const OwnershipView& view, const Holder& holder) {
  if (holder.node_ == view.self_) {
    return false;
  }
  if (const auto kept = view.moves_cancelled_at_.find(holder);
      kept != view.moves_cancelled_at_.end() && view.now_ - kept->second < kUnplannedMoveBackoff) {
    return false;
  }
  const NodeView* node = FindNode(view, holder.node_);
  return (node == nullptr || !IsReachable(view, *node)) &&
         view.now_ - view.started_ > kMinFirstAssignmentDelay;
}

Decision ReplaceLostNodes(const KeyTable& table, const OwnershipView& view) {
  if (IsIsolated(view)) {
    return std::nullopt;
  }
  const std::vector<Candidate> candidates = Candidates(view, true);
  for (const KeyRange& range : table.ranges_) {
    if (!range.successor_ && IsLost(view, range.owner_)) {
      return IfChanged(table, AssignSuccessors(table, range.owner_, candidates, false),
                       "node " + range.owner_.node_ + " is not reachable");
    }
    if (range.successor_ && IsLost(view, *range.successor_) && !candidates.empty()) {
      const Holder lost = *range.successor_;
      KeyTable next = ChangeSuccessor(table, lost, candidates.front().holder_);
      ++next.version_;
      return IfChanged(table, std::move(next), "node " + lost.node_ + " is not reachable");
    }
  }
  return std::nullopt;
}

// In a large system the upstreams become known over some seconds. An assignment to the first few of
// them moves nearly all keys again afterwards.
Decision AssignFirst(const KeyTable& table, const OwnershipView& view) {
  constexpr std::size_t kMostUnknownShare = 10;  ///< One in this many.
  const auto waited = view.now_ - view.started_;
  const bool all_known = view.unknown_upstreams_ * kMostUnknownShare <= view.known_nodes_;
  if (UnownedKeys(table).empty() || waited < kMinFirstAssignmentDelay ||
      (!all_known && waited < kMaxFirstAssignmentDelay)) {
    return std::nullopt;
  }
  return IfChanged(table, AssignUnownedKeys(table, Candidates(view, true)), "keys had no owner");
}

/// The widest range that isn't changing hands, of the upstream with most keys once all changes have
/// ended; null when all are changing hands.
const KeyRange* WidestRange(const KeyTable& table) {
  std::map<Holder, std::uint32_t> keys;
  for (const KeyRange& range : table.ranges_) {
    keys[range.successor_.value_or(range.owner_)] += range.last_ - range.first_ + 1;
  }
  const KeyRange* widest = nullptr;
  for (const KeyRange& range : table.ranges_) {
    if (range.successor_) {
      continue;
    }
    const auto size = std::pair(keys[range.owner_], range.last_ - range.first_);
    if (widest == nullptr ||
        size > std::pair(keys[widest->owner_], widest->last_ - widest->first_)) {
      widest = &range;
    }
  }
  return widest;
}

/// Each upstream without keys gets half of an even share, but not more than half of a range.
Decision FillEmptyUpstreams(const KeyTable& table, const OwnershipView& view) {
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
    const KeyRange* widest = has_keys ? nullptr : WidestRange(next);
    if (widest == nullptr || widest->first_ == widest->last_) {
      continue;
    }
    const std::uint32_t even = (kLastShardKey + 1) / static_cast<std::uint32_t>(candidates.size());
    const std::uint32_t wanted = std::min((widest->last_ - widest->first_ + 1) / 2, even / 2);
    const KeySpan span{widest->last_ + 1 - std::max<std::uint32_t>(wanted, 1), widest->last_};
    const Holder owner = widest->owner_;
    next = BeginMove(next, owner, span, candidate.holder_);
    names += " " + candidate.holder_.instance_;
  }
  next.version_ = table.version_ + 1;
  return IfChanged(table, std::move(next), "upstreams without keys:" + names);
}

/// Demand on the upstreams that can take keys, with that for moving keys already at their
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
  // A successor's gate has measured only part of the demand for what has just arrived.
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

/// The uses that a plan was made from, in percent, for the log.
std::string UsesText(std::span<const UpstreamDemand> demand) {
  std::vector<int> uses;
  uses.reserve(demand.size());
  for (const UpstreamDemand& upstream : demand) {
    uses.push_back(static_cast<int>(std::lround(Utilization(upstream) * 100)));
  }
  std::sort(uses.begin(), uses.end());
  std::string text = " uses=";
  for (const int use : uses) {
    text += (text.ends_with('=') ? "" : ",") + std::to_string(use);
  }
  return text;
}

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
      IfChanged(table, std::move(next), "balance of demand," + UsesText(demand) + moves);
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
  const Holder& own = *view.local_upstream_.holder_;
  // Keys of an earlier incarnation here, or of nobody, are assigned within some milliseconds.
  return !UnownedKeys(table).empty() ||
         std::any_of(table.ranges_.begin(), table.ranges_.end(), [&](const KeyRange& range) {
           const bool arrives = range.successor_ == own && range.planned_;
           const bool disputed = range.successor_ && !range.planned_ && range.owner_ == own;
           const bool inherited = range.owner_.node_ == view.self_ && range.owner_ != own;
           return arrives || disputed || inherited;
         });
}

HeartbeatAnswer DecideHeartbeatAnswer(const KeyTable& table, const OwnershipView& view,
                                      BootTime base, milliseconds longest) {
  HeartbeatAnswer answer;
  if (!view.local_upstream_.holder_ || view.local_upstream_.has_left_) {
    return answer;
  }
  const Holder& holder = *view.local_upstream_.holder_;
  // Ranges that others think lost are neither renewed nor given up before this node has decided.
  if (HasUnplannedSuccessor(table, holder) && !IsIsolated(view)) {
    return answer;
  }
  answer.grant_duration_ = GrantDuration(base, view.now_, longest);
  if (answer.grant_duration_) {
    answer.ranges_ = RangesToGrant(table, holder);
  }
  return answer;
}

Decision DecideOwnershipChange(const KeyTable& table, const OwnershipView& view) {
  if (!view.reaches_store_) {
    return std::nullopt;
  }
  for (const auto decide : {&ReplaceGoneOwners, &ReleaseMovingKeys, &KeepOwnRanges,
                            &EmptyDrainingUpstream, &CompleteWaitedMoves}) {
    if (Decision decision = decide(table, view)) {
      return decision;
    }
  }
  if (!IsPlanner(view)) {
    return std::nullopt;
  }
  for (const auto decide : {&ReplaceLostNodes, &AssignFirst, &FillEmptyUpstreams, &BalanceDemand}) {
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
      current.insert(KeyOf(range));
      first_read.try_emplace(KeyOf(range), now);
    }
  }
  std::erase_if(first_read, [&](const auto& entry) { return !current.contains(entry.first); });
}

}  // namespace sassafrasbay

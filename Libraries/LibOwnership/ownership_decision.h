#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <tuple>
#include <vector>

#include "LibCore/clock.h"
#include "LibOwnership/balance_plan.h"
#include "LibOwnership/heartbeat.h"
#include "LibOwnership/hold_rules.h"
#include "LibOwnership/key_table.h"
#include "LibOwnership/table_changes.h"

namespace sassafrasbay {

/// What a node knows of another node of the service, or of itself.
struct NodeView {
  std::string address_;  ///< Peer address of the node.
  BootTime last_seen_{};
  bool reaches_store_ = false;  ///< It has read the newest table within the last second.
  /// The upstream beside it that can take keys; nothing when it has none that is ready.
  std::optional<Candidate> upstream_;
};

/// The upstream beside this node.
struct LocalUpstream {
  std::optional<Holder> holder_;  ///< Newest incarnation that sent a heartbeat.
  std::uint32_t slots_ = 1;
  bool draining_ = false;
  bool has_left_ = false;    ///< It said that it leaves for good and sends no further heartbeats.
  bool has_exited_ = false;  ///< Its port refuses connections and its heartbeats have stopped.
  /// When everything that was granted to any incarnation here has certainly ended.
  BootTime granted_until_{};
  BootTime last_heartbeat_{};
  std::vector<HeldRange> held_;  ///< What it holds or still works on, by its newest heartbeat.
  /// That heartbeat was sent after an answer that left out all ranges that are changing hands.
  bool held_is_current_ = false;
  std::vector<ReleasedKeys> released_;  ///< Keys released since the last written release.
};

/// Identifies one change of owner: keys, token and the two holders.
using MoveId = std::tuple<ShardKey, ShardKey, std::uint64_t, Holder, Holder>;

/// A move for balance and when it was planned.
struct RecentMove {
  PlannedMove move_;
  BootTime planned_at_{};
};

/// Everything that one decision depends on.
struct OwnershipView {
  std::string self_;
  BootTime now_{};
  BootTime started_{};  ///< When this process began to read the table.
  bool reaches_store_ = false;
  /// When this process read back its registration; nothing before.
  std::optional<BootTime> registered_;
  LocalUpstream local_upstream_;
  /// Start of the newest incarnation beside this node, of any service, in Unix milliseconds. It
  /// proves the end of all earlier ones.
  std::int64_t newest_born_ms_ = 0;
  /// Until when this node has promised to take nothing from another, by that node's address.
  std::map<std::string, BootTime> promised_until_;
  std::vector<NodeView> nodes_;         ///< All known nodes of the service but this one.
  std::size_t known_nodes_ = 1;         ///< All nodes of the system, with this one.
  std::size_t unknown_upstreams_ = 0;   ///< Nodes that haven't reported an upstream of any service.
  std::size_t reachable_nodes_ = 1;     ///< Those heard of within SuspicionTimeout, with this one.
  std::vector<UpstreamDemand> demand_;  ///< Of all upstreams that reported within kMaxDemandAge.
  BootTime last_balance_{};             ///< When this node last wrote moves for balance.
  std::vector<RecentMove> recent_moves_;  ///< Of its plans in the last kRecentMoveRetention.
  BootTime last_release_{};               ///< When this node last wrote a release.
  /// When a node took back ranges that others thought lost.
  std::map<Holder, BootTime> moves_cancelled_at_;
  std::map<MoveId, BootTime> moves_first_read_;  ///< When this process first read of each change.
};

/// Before the first assignment, time for the upstreams to send their first heartbeats, which come
/// up to 1.5 s apart.
inline constexpr milliseconds kMinFirstAssignmentDelay{2500};

/// Longest time for which the first assignment waits for nodes without a known upstream. Callers
/// come 8 s after the start.
inline constexpr milliseconds kMaxFirstAssignmentDelay{6000};

/// Silence of the own upstream after which its keys go to others, once its grants have ended.
inline constexpr milliseconds kUpstreamHeartbeatTimeout{3000};

/// A node that has just taken back its ranges is not taken for lost again for this long, since it
/// lives and reaches the store even if this node doesn't hear of it.
inline constexpr milliseconds kUnplannedMoveBackoff{4000};

/// Demand older than this isn't planned on.
inline constexpr milliseconds kMaxDemandAge{1500};

/// Time for which a planned move counts as demand on its successor. A gate measures the demand for
/// keys that it has just got over about this time.
inline constexpr milliseconds kRecentMoveRetention{3000};

/// Time between two changes for balance, in which the effect of the first shows in the demand.
inline constexpr milliseconds kMinBalanceInterval{1200};

/// Time between two releases of a node while more keys are still in use. Keys come free one after
/// the other as requests end: 1492 writes on a quiet day of 91 nodes with requests of 2 s.
inline constexpr milliseconds kMinReleaseInterval{300};

struct OwnershipChange {
  KeyTable table_;
  std::string reason_;              ///< For the log.
  std::vector<PlannedMove> moves_;  ///< For balance; empty for all other changes.
  bool is_release_ = false;
  /// Nodes that lose ranges without having released them.
  std::vector<std::string> taken_over_nodes_;
};

/// True when this node reaches less than half of all nodes: it can't judge others, and its own keys
/// are of little use to callers elsewhere.
bool IsIsolated(const OwnershipView& view);

/// What the answer to a heartbeat of this node's upstream may grant. `base` is from
/// GrantReferenceTime; `longest` is the upstream's bound on one grant.
HeartbeatAnswer DecideHeartbeatAnswer(const KeyTable& table, const OwnershipView& view,
                                      BootTime base, milliseconds longest);

/// Whether ranges of the own upstream are about to change in its favour, so that an answer to its
/// heartbeat that waits a little spares it the time until the next one.
bool ExpectsRanges(const KeyTable& table, const OwnershipView& view);

/// The change that this node has to write now, if any. One at a time: the next is decided on the
/// table that results.
std::optional<OwnershipChange> DecideOwnershipChange(const KeyTable& table,
                                                     const OwnershipView& view);

/// Notes new changes of owner with `now` and forgets those that have ended.
void TrackMoves(const KeyTable& table, BootTime now, std::map<MoveId, BootTime>& first_read);

}  // namespace sassafrasbay

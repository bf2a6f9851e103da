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

/// State of another node of the service, as known to this node.
struct NodeView {
  std::string address_;  ///< Peer address of the node.
  BootTime last_seen_{};
  bool reaches_store_ = false;  ///< It has read the latest table within the last second.
  /// The upstream beside that node, when it can take keys.
  std::optional<Candidate> upstream_;
};

/// The upstream beside this node.
struct LocalUpstream {
  std::optional<Holder> holder_;  ///< Latest incarnation that sent a heartbeat.
  std::uint32_t slots_ = 1;
  bool draining_ = false;
  bool has_left_ = false;    ///< It has announced its leave and sends no further heartbeats.
  bool evacuated_ = false;   ///< Nothing is sent to the upstreams of its data centre.
  bool has_exited_ = false;  ///< Its port is closed and its heartbeats are overdue.
  /// Time at which all grants to all incarnations beside this node have expired on any clock.
  BootTime granted_until_{};
  /// The same for the incarnations before the current one, which are granted nothing any more.
  BootTime earlier_granted_until_{};
  BootTime last_heartbeat_{};
  BootTime cold_until_{};        ///< End of the time for which it serves slowly after its start.
  std::vector<HeldRange> held_;  ///< Ranges it holds or still works on, by its latest heartbeat
                                 ///< and the grants since.
  /// Whether this process had granted ranges to the incarnation before its latest heartbeat. A
  /// moving range that isn't in held_ is then certainly not held: grants leave out moving ranges.
  bool held_is_current_ = false;
  std::vector<ReleasedKeys> released_;  ///< Keys released, until they are granted again.
};

/// Identifies the move of a range: first and last key, token, owner and successor.
using MoveId = std::tuple<ShardKey, ShardKey, std::uint64_t, Holder, Holder>;

/// A move that was planned in order to balance the demand.
struct RecentMove {
  PlannedMove move_;
  BootTime planned_at_{};
};

/// The inputs of a decision other than the key table.
struct OwnershipView {
  std::string self_;  ///< Peer address of this node.
  BootTime now_{};
  BootTime started_{};  ///< When this process started to read the table.
  bool reaches_store_ = false;
  /// The newest table in the store is void, so that the known one has to be written again.
  bool is_overwritten_ = false;
  /// When this process read its own registration from the store.
  std::optional<BootTime> registered_;
  LocalUpstream local_upstream_;
  /// Unix time at which the latest confirmed incarnation beside this node started, of whatever
  /// service; 0 without one. All earlier incarnations have ended by then.
  std::int64_t newest_born_ms_ = 0;
  /// Time until which this node has promised not to take over ranges of another node, by the
  /// address of that node.
  std::map<std::string, BootTime> promised_until_;
  std::vector<NodeView> nodes_;         ///< All other known nodes of the service.
  std::size_t known_nodes_ = 1;         ///< Number of nodes in the system, including this one.
  std::size_t unknown_upstreams_ = 0;   ///< Number of nodes that haven't reported an upstream.
  std::size_t reachable_nodes_ = 1;     ///< Nodes seen within SuspicionTimeout, including this one.
  std::vector<UpstreamDemand> demand_;  ///< Reports that aren't older than kMaxDemandAge.
  BootTime last_balance_{};  ///< When this node last wrote moves that balance the demand.
  std::vector<RecentMove> recent_moves_;  ///< Those planned within kRecentMoveRetention.
  BootTime last_release_{};               ///< When this node last wrote a release.
  /// When a node last cancelled unplanned moves of its ranges, by holder.
  std::map<Holder, BootTime> moves_cancelled_at_;
  std::map<MoveId, BootTime> moves_first_read_;  ///< When this process first read of each move.
};

/// Minimum delay of the first assignment after the start. Upstreams send their first heartbeats
/// within this time, since heartbeats are up to 1.5 s apart.
inline constexpr milliseconds kMinFirstAssignmentDelay{2500};

/// Maximum delay of the first assignment, while upstreams of many nodes are unknown. Callers send
/// their first requests 8 s after the start.
inline constexpr milliseconds kMaxFirstAssignmentDelay{6000};

/// Time without a heartbeat after which the keys of the local upstream are moved to other
/// upstreams, once its grants have expired.
inline constexpr milliseconds kUpstreamHeartbeatTimeout{3000};

/// Time for which a node that has cancelled unplanned moves isn't presumed lost again: it runs and
/// reaches the store, even if this node receives no reports from it.
inline constexpr milliseconds kUnplannedMoveBackoff{4000};

/// Demand reports older than this aren't used for planning.
inline constexpr milliseconds kMaxDemandAge{1500};

/// Time for which a planned move counts as demand on its successor. The gate of the successor needs
/// about this time to measure the demand for keys that it has just received.
inline constexpr milliseconds kRecentMoveRetention{3000};

/// Minimum time between two changes that balance the demand. Within it the effect of the first
/// becomes visible in the measured demand.
inline constexpr milliseconds kMinBalanceInterval{1200};

/// Minimum time between two releases by a node while further moving keys are in use. Keys are
/// released one by one as requests end, which caused 1492 writes on a day of low load with 91 nodes
/// and requests of 2 s.
inline constexpr milliseconds kMinReleaseInterval{300};

/// A change of the key table that this node has to write.
struct OwnershipChange {
  KeyTable table_;
  std::string reason_;              ///< For the log line.
  std::vector<PlannedMove> moves_;  ///< Set only for changes that balance the demand.
  bool is_release_ = false;
  /// Nodes whose ranges are taken over without their release.
  std::vector<std::string> taken_over_nodes_;
};

/// True when this node reaches less than half of all nodes. It can't tell then whether other nodes
/// are lost, and most callers can't reach the keys of its upstream.
bool IsIsolated(const OwnershipView& view);

/// Decides what the answer to a heartbeat of the local upstream grants. `reference` is the result
/// of GrantReferenceTime; `max_duration` is the limit that the upstream sets on one grant.
HeartbeatAnswer DecideHeartbeatAnswer(const KeyTable& table, const OwnershipView& view,
                                      BootTime reference, milliseconds max_duration);

/// True when the local upstream is about to receive ranges. A short delay of the answer to its
/// heartbeat then lets that answer grant them, instead of the answer to the next heartbeat.
bool ExpectsRanges(const KeyTable& table, const OwnershipView& view);

/// Decides which change this node has to write now, if any. Changes are decided one at a time, each
/// from the table that results from the previous one.
std::optional<OwnershipChange> DecideOwnershipChange(const KeyTable& table,
                                                     const OwnershipView& view);

/// Adds new moves with the time `now`, and removes those that have ended.
void TrackMoves(const KeyTable& table, BootTime now, std::map<MoveId, BootTime>& first_read);

}  // namespace sassafrasbay

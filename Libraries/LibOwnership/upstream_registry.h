#pragma once

#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "LibOwnership/fleet_records.h"
#include "LibOwnership/heartbeat.h"
#include "LibOwnership/ownership_decision.h"

namespace sassafrasbay {

/// What is known of an upstream that leaves before its first heartbeat to this process.
struct EarlyLeave {
  LeavingUpstream leaving_;
  BootTime since_{};
  bool has_left_ = false;  ///< It has sent its leave, after which no heartbeats follow.
};

/// State of the upstream beside this node, as derived from its heartbeats. Does no I/O.
struct UpstreamRegistry {
  std::string self_;                         ///< Peer address of this node.
  std::optional<UpstreamHeartbeat> newest_;  ///< The latest heartbeat of the current incarnation.
  /// Whether the current incarnation certainly runs: it has sent two heartbeats to this process,
  /// answers at the port, or has followed one whose port refused connections.
  bool is_confirmed_ = false;
  /// The latest heartbeat of a later incarnation that isn't confirmed yet.
  std::optional<UpstreamHeartbeat> challenger_;
  LocalUpstream local_upstream_;
  std::vector<HeldRange> last_grant_;  ///< Ranges in the latest answer with a grant.
  bool has_granted_ = false;  ///< Whether the current incarnation has been answered with a grant.
  /// When the current incarnation began to drain or leave.
  std::optional<BootTime> draining_since_;
  std::optional<EarlyLeave> early_leave_;
};

/// What a heartbeat changes in the registry.
enum class HeartbeatEffect : std::uint8_t {
  kOutdated,     ///< From an earlier incarnation, or older than the latest one; ignored.
  kUnconfirmed,  ///< The first of a later incarnation, while the current one isn't overdue.
  kUnchanged,
  kChanged,  ///< State, slots, held or released ranges, or the confirmation differ.
  kNewIncarnation,
};

/// Updates the registry from a heartbeat. A single one of a later incarnation proves nothing.
HeartbeatEffect RecordHeartbeat(UpstreamRegistry& registry, UpstreamHeartbeat heartbeat,
                                BootTime now);

/// Records that the incarnation answers at the upstream's port, so that those before it have ended.
/// Returns false unless it is the current one and that was unknown.
bool ConfirmIncarnation(UpstreamRegistry& registry, const Holder& holder);

/// Unix time in milliseconds at which the current incarnation started if it is confirmed, otherwise
/// 0. Incarnations that started before it have ended.
std::int64_t ConfirmedBornMs(const UpstreamRegistry& registry);

/// Records the leave of an upstream. Returns false when it isn't the current one.
bool RecordLeave(UpstreamRegistry& registry, const LeavingUpstream& leaving, BootTime now);

/// Records that an upstream drains or leaves, as the store, other nodes or its responses say, since
/// `since`. Returns false when that changes nothing now.
bool RecordDraining(UpstreamRegistry& registry, const LeavingUpstream& leaving, BootTime since);

/// The upstream beside this node if it is known to drain or leave.
std::optional<LeavingUpstream> FindLeaving(const UpstreamRegistry& registry);

/// Records that the upstream's port refuses connections. The upstream is considered exited only
/// when its heartbeats are overdue too, since an upstream with too many connections also refuses
/// them. Returns true when that changes its state.
bool RecordConnectionRefusal(UpstreamRegistry& registry, BootTime now,
                             milliseconds heartbeat_interval);

/// Records the grants in the answer to the latest heartbeat.
void RecordGrant(UpstreamRegistry& registry, const HeartbeatAnswer& answer, BootTime now);

}  // namespace sassafrasbay

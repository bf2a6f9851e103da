#pragma once

#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "LibOwnership/heartbeat.h"
#include "LibOwnership/ownership_decision.h"

namespace sassafrasbay {

/// State of the upstream beside this node, as derived from its heartbeats. Does no I/O.
struct UpstreamRegistry {
  std::string self_;                         ///< Peer address of this node.
  std::optional<UpstreamHeartbeat> newest_;  ///< The latest heartbeat.
  LocalUpstream local_upstream_;
  /// Instances whose leave was received before a heartbeat.
  std::set<std::string, std::less<>> early_leaves_;
  std::vector<HeldRange> last_grant_;  ///< Ranges in the latest answer with a grant.
  bool has_granted_ = false;  ///< Whether the current incarnation has been answered with a grant.
  /// When the current incarnation began to drain or leave.
  std::optional<BootTime> draining_since_;
  /// Incarnation that drains according to another node or to its own responses, before its first
  /// heartbeat to this process.
  std::optional<std::pair<Holder, BootTime>> early_drain_;
};

/// What a heartbeat changes in the registry.
enum class HeartbeatEffect : std::uint8_t {
  kOutdated,  ///< From an earlier incarnation, or older than the latest one; ignored.
  kUnchanged,
  kChanged,  ///< State, slots, or held or released ranges differ.
  kNewIncarnation,
};

/// Updates the registry from a heartbeat.
HeartbeatEffect RecordHeartbeat(UpstreamRegistry& registry, UpstreamHeartbeat heartbeat,
                                BootTime now);

/// Records that an instance leaves. Returns false when it isn't the current one.
bool RecordLeave(UpstreamRegistry& registry, std::string_view instance, BootTime now);

/// Records that an incarnation drains or leaves, as other nodes or its responses say, since
/// `since`. Returns false when that changes nothing now.
bool RecordDraining(UpstreamRegistry& registry, const Holder& holder, BootTime since);

/// Records that the upstream's port refuses connections. The upstream is considered exited only
/// when its heartbeats are overdue too, since an upstream with too many connections also refuses
/// them. Returns true when that changes its state.
bool RecordConnectionRefusal(UpstreamRegistry& registry, BootTime now,
                             milliseconds heartbeat_interval);

/// Records the grants in the answer to the latest heartbeat.
void RecordGrant(UpstreamRegistry& registry, const HeartbeatAnswer& answer, BootTime now);

}  // namespace sassafrasbay

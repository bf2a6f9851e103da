#pragma once

#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "LibOwnership/heartbeat.h"
#include "LibOwnership/ownership_decision.h"

namespace sassafrasbay {

/// What the heartbeats of the upstream beside this node say. No I/O.
struct UpstreamRegistry {
  std::string self_;  ///< Peer address of this node.
  std::optional<UpstreamHeartbeat> newest_;
  LocalUpstream local_upstream_;
  std::set<std::string, std::less<>>
      early_leaves_;                   ///< Incarnations that left before a heartbeat came.
  std::vector<HeldRange> last_grant_;  ///< Ranges of the last answer that granted any.
  bool has_granted_ = false;
  std::optional<BootTime> draining_since_;  ///< When the current incarnation said that it leaves.
};

enum class HeartbeatEffect : std::uint8_t {
  kOutdated,  ///< Of a former incarnation, or older than the newest; changes nothing.
  kUnchanged,
  kChanged,  ///< State, slots or held ranges differ.
  kNewIncarnation,
};

/// Notes a heartbeat.
HeartbeatEffect RecordHeartbeat(UpstreamRegistry& registry, UpstreamHeartbeat heartbeat,
                                BootTime now);

/// Notes that an incarnation leaves. False when it isn't the current one.
bool RecordLeave(UpstreamRegistry& registry, std::string_view instance, BootTime now);

/// Notes that the upstream's port refuses connections. It counts as gone only when its heartbeats
/// are overdue too: an upstream with too many connections refuses as well.
bool RecordConnectionRefusal(UpstreamRegistry& registry, BootTime now,
                             milliseconds heartbeat_interval);

/// Notes what the answer to the newest heartbeat grants.
void RecordGrant(UpstreamRegistry& registry, const HeartbeatAnswer& answer, BootTime now);

}  // namespace sassafrasbay

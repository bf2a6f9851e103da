#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
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

/// What is known of whether the current incarnation runs, in ascending order of certainty.
enum class Standing : std::uint8_t {
  kHeardOnce,
  kHeardAgain,     ///< Two heartbeats in a row, as another writer may send too.
  kFollowsExited,  ///< The port has proved that the one before it has exited.
  kAnswersAtPort,  ///< The upstream's port has named it, so that all others have exited.
};

/// What decides between two incarnations that send heartbeats.
enum class Arbiter : std::uint8_t {
  kHeartbeats,  ///< Two in a row of the later one, or the silence of the current one.
  kPort,        ///< The instance that answers at the upstream's port.
};

/// State of the upstream beside this node, as derived from its heartbeats. Does no I/O.
struct UpstreamRegistry {
  std::string self_;                         ///< Peer address of this node.
  std::optional<UpstreamHeartbeat> newest_;  ///< The latest heartbeat of the current incarnation.
  Standing standing_ = Standing::kHeardOnce;
  /// The latest heartbeat of another incarnation that may have replaced the current one.
  std::optional<UpstreamHeartbeat> challenger_;
  /// The latest incarnation that sent heartbeats while the port named another one.
  std::optional<Holder> denied_;
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
  kUnconfirmed,  ///< From another incarnation, while the current one may still run.
  kUnchanged,
  kChanged,  ///< State, slots, held or released ranges, or the confirmation differ.
  kNewIncarnation,
};

/// Updates the registry from a heartbeat. With Arbiter::kPort, the caller asks the port if
/// CanPortDecide, and calls RecordPortAnswer.
HeartbeatEffect RecordHeartbeat(UpstreamRegistry& registry, UpstreamHeartbeat heartbeat,
                                BootTime now, Arbiter arbiter);

/// Whether there is a challenger that the port can tell from the current incarnation.
bool CanPortDecide(const UpstreamRegistry& registry);

/// Records which instance answers at the upstream's port; empty if unknown. Only one process can
/// listen there. Returns kNewIncarnation if the challenger has become the current incarnation.
HeartbeatEffect RecordPortAnswer(UpstreamRegistry& registry, std::string_view instance,
                                 BootTime now);

/// Unix time in milliseconds at which the current incarnation started if all those that started
/// before it have certainly ended, otherwise 0.
std::int64_t ConfirmedBornMs(const UpstreamRegistry& registry);

/// Records the leave of an upstream. Returns false when it isn't the current one.
bool RecordLeave(UpstreamRegistry& registry, const LeavingUpstream& leaving, BootTime now);

/// Records that an upstream drains or leaves, as the store, other nodes or its responses say, since
/// `since`. Returns false when that changes nothing now.
bool RecordDraining(UpstreamRegistry& registry, const LeavingUpstream& leaving, BootTime since);

/// The upstream beside this node if it is known to drain or leave.
std::optional<LeavingUpstream> FindLeaving(const UpstreamRegistry& registry);

/// What is known when the upstream's port refuses a connection of this node, whose connections are
/// the only ones there.
struct PortRefusal {
  std::size_t open_connections_ = 0;
  /// Closed by this node, while the upstream may not have noticed.
  std::size_t abandoned_connections_ = 0;
  std::uint32_t slots_ = 1;
  std::optional<std::uint32_t> max_connections_;  ///< That the upstream accepts.
};

/// Whether no process listens at the port. An upstream that runs refuses connections beyond its
/// limit, or earlier while requests wait for its slots.
bool IsPortClosed(const PortRefusal& refusal);

/// Records that no process listens at the upstream's port. The upstream is considered exited only
/// when its heartbeats are overdue too. Returns true when that changes its state.
bool RecordClosedPort(UpstreamRegistry& registry, BootTime now, milliseconds heartbeat_interval);

/// Records the grants in the answer to the latest heartbeat.
void RecordGrant(UpstreamRegistry& registry, const HeartbeatAnswer& answer, BootTime now);

}  // namespace sassafrasbay

#pragma once

#include <cstdint>
#include <map>
#include <string_view>
#include <vector>

#include "LibControl/control_state.h"
#include "LibCore/clock.h"

namespace sassafrasbay {

struct LeaseSettings {
  milliseconds lease_{1000};
  milliseconds heartbeat_{200};  ///< Interval between heartbeats.
  int drift_percent_ = 10;       ///< Margin for VM clocks that run at different rates.
};

/// How long a grantor waits before it attests a lapse: the lease plus the clock drift margin.
milliseconds AttestationDelay(const LeaseSettings& settings);

struct Heartbeat {
  SessionId session_;
  std::uint64_t epoch_ = 0;
  std::uint64_t sequence_ = 0;
};

struct HeartbeatAck {
  SessionId session_;
  std::uint64_t epoch_ = 0;
  std::uint64_t sequence_ = 0;
  SessionId grantor_;
};

/// The lease of this node's own session, as the node itself counts it.
struct HolderLease {
  std::uint64_t epoch_ = 0;
  BootTime end_{};
};

bool IsHeld(const HolderLease& lease, BootTime now);

/// Extends the lease to `sent_at` plus the lease duration, where `sent_at` is the send time of the
/// acknowledged heartbeat. Returns false when the acknowledgement is for another session or epoch,
/// or its sender isn't a current grantor.
bool ExtendByAcknowledgement(HolderLease& lease, const Session& own, const HeartbeatAck& ack,
                             BootTime sent_at, const LeaseSettings& settings);

/// Extends the lease when a SessionJoined or SessionRenewed of the own session was read back from
/// the log as valid. Its append was sent at `append_sent_at`.
void ExtendByRecord(HolderLease& lease, std::uint64_t epoch, BootTime append_sent_at,
                    const LeaseSettings& settings);

/// A session that has this node's session as a grantor.
struct Grantee {
  std::uint64_t epoch_ = 0;
  BootTime timer_started_at_{};  ///< Time of the latest acknowledgement or timer restart.
  bool attestation_sent_ = false;
  milliseconds lease_{1000};  ///< The grantee's own lease duration.
};

struct GrantorState {
  std::map<SessionId, Grantee> grantees_;
};

/// Updates the grantees from the control state. Called after records were applied.
void SynchronizeGrantees(GrantorState& grantor, const ControlState& state, std::string_view own,
                         BootTime now);

/// Returns whether to acknowledge the heartbeat. If so, restarts the grantee's lease timer.
bool Acknowledge(GrantorState& grantor, const Heartbeat& heartbeat, bool own_lease_held,
                 BootTime now);

/// Returns the attestations that are due, each once. After that, heartbeats of the grantee's epoch
/// are no longer acknowledged.
std::vector<LapseAttested> TakeDueAttestations(GrantorState& grantor, std::string_view own,
                                               BootTime now, const LeaseSettings& settings);

/// Restarts the lease timers of all grantees. Called after the node's own event loop was paused,
/// since heartbeats that arrived meanwhile have not been processed.
void RestartLeaseTimers(GrantorState& grantor, BootTime now);

}  // namespace sassafrasbay

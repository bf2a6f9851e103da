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
  milliseconds heartbeat_{200};
  int drift_percent_ = 10;
};

/// The lease stretched by the drift margin: what a grantor waits before it attests a lapse.
milliseconds AttestationDelay(const LeaseSettings& terms);

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

/// The lease of this node's own session.
struct HolderLease {
  std::uint64_t epoch_ = 0;
  BootTime end_{};
};

bool IsHeld(const HolderLease& lease, BootTime now);

/// Extends the lease to sent_at + T. Returns false when the acknowledgement is for another session
/// or epoch, or its sender isn't a present grantor.
bool ExtendByAcknowledgement(HolderLease& lease, const Session& own, const HeartbeatAck& ack,
                             BootTime sent_at, const LeaseSettings& terms);

/// Extends the lease by a SessionJoined or SessionRenewed of the own session that was read back as
/// valid and whose append was sent at `append_sent_at`.
void ExtendByRecord(HolderLease& lease, std::uint64_t epoch, BootTime append_sent_at,
                    const LeaseSettings& terms);

/// A session whose lease this node extends.
struct Grantee {
  std::uint64_t epoch_ = 0;
  BootTime
      timer_started_at_{};  ///< Latest acknowledgement, or when the role was read from the log.
  bool attestation_sent_ = false;
  milliseconds lease_{1000};  ///< By which the grantee serves.
};

struct GrantorState {
  std::map<SessionId, Grantee> grantees_;
};

/// Brings the grantees in line with the log after records were applied.
void SynchronizeGrantees(GrantorState& grantor, const ControlState& state, std::string_view own,
                         BootTime now);

/// Decides whether to acknowledge; records the promise when it does.
bool Acknowledge(GrantorState& grantor, const Heartbeat& heartbeat, bool own_lease_held,
                 BootTime now);

/// Attestations that are due. Each is returned once; from then on the grantee's epoch is never
/// acknowledged again.
std::vector<LapseAttested> TakeDueAttestations(GrantorState& grantor, std::string_view own,
                                               BootTime now, const LeaseSettings& terms);

/// Restarts all counts after the node's own loop was paused.
void RestartLeaseTimers(GrantorState& grantor, BootTime now);

}  // namespace sassafrasbay

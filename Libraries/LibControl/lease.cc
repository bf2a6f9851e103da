#include "LibControl/lease.h"

#include <algorithm>

namespace sassafrasbay {
namespace {

void ExtendLease(HolderLease& lease, std::uint64_t epoch, BootTime end) {
  lease.epoch_ = epoch;
  lease.end_ = std::max(lease.end_, end);
}

const GrantorAssignment* FindAssignment(const Session& session, std::string_view grantor) {
  const auto assignment =
      std::ranges::find(session.grantors_, grantor, &GrantorAssignment::grantor_);
  return assignment == session.grantors_.end() ? nullptr : &*assignment;
}

}  // namespace

// Rounds up, since a longer wait is always safe.
milliseconds AttestationDelay(const LeaseSettings& settings) {
  return milliseconds((settings.lease_.count() * (100 + settings.drift_percent_) + 99) / 100);
}

bool IsHeld(const HolderLease& lease, BootTime now) { return now < lease.end_; }

bool ExtendByAcknowledgement(HolderLease& lease, const Session& own, const HeartbeatAck& ack,
                             BootTime sent_at, const LeaseSettings& settings) {
  if (ack.session_ != own.join_.session_ || ack.epoch_ != own.epoch_ ||
      FindAssignment(own, ack.grantor_) == nullptr) {
    return false;
  }
  ExtendLease(lease, ack.epoch_, sent_at + settings.lease_);
  return true;
}

// The lease is counted from the send time. A record that is appended late is therefore harmless: it
// extends the lease to a time that has already passed.
void ExtendByRecord(HolderLease& lease, std::uint64_t epoch, BootTime append_sent_at,
                    const LeaseSettings& settings) {
  ExtendLease(lease, epoch, append_sent_at + settings.lease_);
}

// The timer of a new grantee or a new epoch starts when the record is read, because the holder may
// have extended its lease by the record itself or by a grantor that this node replaces.
void SynchronizeGrantees(GrantorState& grantor, const ControlState& state, std::string_view own,
                         BootTime now) {
  std::map<SessionId, Grantee> grantees;
  for (const auto& [id, session] : state.sessions_) {
    const GrantorAssignment* assignment = FindAssignment(session, own);
    if (assignment == nullptr || !state.sessions_.contains(SessionId(own))) {
      continue;
    }
    const auto existing = grantor.grantees_.find(id);
    Grantee grantee{session.epoch_, now, false, milliseconds(session.join_.lease_ms_)};
    if (existing != grantor.grantees_.end() && existing->second.epoch_ == session.epoch_) {
      grantee = existing->second;
    }
    grantee.attestation_sent_ = grantee.attestation_sent_ || assignment->attested_;
    grantees.emplace(id, grantee);
  }
  grantor.grantees_ = std::move(grantees);
}

bool Acknowledge(GrantorState& grantor, const Heartbeat& heartbeat, bool own_lease_held,
                 BootTime now) {
  const auto grantee = grantor.grantees_.find(heartbeat.session_);
  if (!own_lease_held || grantee == grantor.grantees_.end() ||
      grantee->second.epoch_ != heartbeat.epoch_ || grantee->second.attestation_sent_) {
    return false;
  }
  grantee->second.timer_started_at_ = std::max(grantee->second.timer_started_at_, now);
  return true;
}

std::vector<LapseAttested> TakeDueAttestations(GrantorState& grantor, std::string_view own,
                                               BootTime now, const LeaseSettings& settings) {
  std::vector<LapseAttested> due;
  for (auto& [id, grantee] : grantor.grantees_) {
    const LeaseSettings grantee_settings{grantee.lease_, settings.heartbeat_,
                                         settings.drift_percent_};
    if (!grantee.attestation_sent_ &&
        now - grantee.timer_started_at_ >= AttestationDelay(grantee_settings)) {
      grantee.attestation_sent_ = true;
      due.push_back({id, grantee.epoch_, SessionId(own)});
    }
  }
  return due;
}

void RestartLeaseTimers(GrantorState& grantor, BootTime now) {
  for (auto& [id, grantee] : grantor.grantees_) {
    grantee.timer_started_at_ = std::max(grantee.timer_started_at_, now);
  }
}

}  // namespace sassafrasbay

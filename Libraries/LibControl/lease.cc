#include "LibControl/lease.h"

#include <algorithm>

namespace sassafrasbay {
namespace {

void ExtendTo(HolderLease& lease, std::uint64_t epoch, BootTime end) {
  lease.epoch_ = epoch;
  lease.end_ = std::max(lease.end_, end);
}

const GrantorAssignment* FindLink(const Session& session, std::string_view grantor) {
  const auto link = std::ranges::find(session.grantors_, grantor, &GrantorAssignment::grantor_);
  return link == session.grantors_.end() ? nullptr : &*link;
}

}  // namespace

// Rounded up: waiting longer is always safe.
milliseconds AttestationDelay(const LeaseSettings& terms) {
  return milliseconds((terms.lease_.count() * (100 + terms.drift_percent_) + 99) / 100);
}

bool IsHeld(const HolderLease& lease, BootTime now) { return now < lease.end_; }

bool ExtendByAcknowledgement(HolderLease& lease, const Session& own, const HeartbeatAck& ack,
                             BootTime sent_at, const LeaseSettings& terms) {
  if (ack.session_ != own.join_.session_ || ack.epoch_ != own.epoch_ ||
      FindLink(own, ack.grantor_) == nullptr) {
    return false;
  }
  ExtendTo(lease, ack.epoch_, sent_at + terms.lease_);
  return true;
}

// Counting from the send time makes a record that lands late harmless: it extends the lease to a
// time that has passed.
void ExtendByRecord(HolderLease& lease, std::uint64_t epoch, BootTime append_sent_at,
                    const LeaseSettings& terms) {
  ExtendTo(lease, epoch, append_sent_at + terms.lease_);
}

// A new role or a new epoch restarts the count at the time of reading, because the holder may
// have extended its lease by the record itself or by a grantor that this one replaces.
void SynchronizeGrantees(GrantorState& grantor, const ControlState& state, std::string_view own,
                         BootTime now) {
  std::map<SessionId, Grantee> grantees;
  for (const auto& [id, session] : state.sessions_) {
    const GrantorAssignment* link = FindLink(session, own);
    if (link == nullptr || !state.sessions_.contains(SessionId(own))) {
      continue;
    }
    const auto known = grantor.grantees_.find(id);
    Grantee grantee{session.epoch_, now, false, milliseconds(session.join_.lease_ms_)};
    if (known != grantor.grantees_.end() && known->second.epoch_ == session.epoch_) {
      grantee = known->second;
    }
    grantee.attestation_sent_ = grantee.attestation_sent_ || link->attested_;
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
                                               BootTime now, const LeaseSettings& terms) {
  std::vector<LapseAttested> due;
  for (auto& [id, grantee] : grantor.grantees_) {
    const LeaseSettings grantee_terms{grantee.lease_, terms.heartbeat_, terms.drift_percent_};
    if (!grantee.attestation_sent_ &&
        now - grantee.timer_started_at_ >= AttestationDelay(grantee_terms)) {
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

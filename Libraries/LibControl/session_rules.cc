#include <algorithm>

#include "LibControl/fold.h"

namespace sassafrasbay::fold {
namespace {

Session* FindActive(Step& step, std::string_view session) {
  const auto found = step.state_.sessions_.find(SessionId(session));
  if (found == step.state_.sessions_.end()) {
    Refuse(step, "session is not active");
    return nullptr;
  }
  return &found->second;
}

// The order matters: units go to sessions that are still active, and the grantors at the end are
// recorded before any set changes.
void EndSession(Step& step, std::string_view session) {
  const auto found = step.state_.sessions_.find(SessionId(session));
  const Session ended = std::move(found->second);
  step.state_.sessions_.erase(found);
  EndedSession memory{step.offset_, {}, ended.grantors_changed_at_};
  for (const GrantorAssignment& link : ended.grantors_) {
    memory.grantors_.push_back(link.grantor_);
  }
  step.state_.ended_[ended.join_.session_] = std::move(memory);
  ReplaceGrantor(step, ended.join_.session_);
  TakeOverUnits(step, ended.join_);
}

}  // namespace

void StartEpoch(Session& session, std::uint64_t epoch, Offset offset) {
  session.epoch_ = epoch;
  session.epoch_since_ = offset;
  for (GrantorAssignment& link : session.grantors_) {
    link.attested_ = false;
  }
}

void Handle(Step& step, const SessionJoined& record) {
  ControlState& state = step.state_;
  if (record.session_.empty() || state.sessions_.contains(record.session_) ||
      state.ended_.contains(record.session_)) {
    return Refuse(step, "session id is empty or was used before");
  }
  if (record.based_on_ > step.offset_ || step.offset_ - record.based_on_ > kEndedSessionRetention) {
    return Refuse(step, "based on offset " + std::to_string(record.based_on_) +
                            ", which is too far from this record");
  }
  Session& session = state.sessions_[record.session_];
  session.join_ = record;
  session.joined_at_ = step.offset_;
  session.epoch_since_ = step.offset_;
  session.grantors_changed_at_ = step.offset_;
  FillGrantors(step, session);
  OfferNewGrantor(step, session);
  AssignUnownedUnits(step, record.service_, "first available session");
  Accept(step);
}

void Handle(Step& step, const SessionRenewed& record) {
  Session* session = FindActive(step, record.session_);
  if (session == nullptr) {
    return;
  }
  if (record.epoch_ != session->epoch_ + 1) {
    return Refuse(step, "epoch is not the next one");
  }
  StartEpoch(*session, record.epoch_, step.offset_);
  Accept(step);
}

void Handle(Step& step, const LapseAttested& record) {
  Session* session = FindActive(step, record.session_);
  if (session == nullptr) {
    return;
  }
  if (record.epoch_ != session->epoch_) {
    return Refuse(step, "epoch is not current");
  }
  const auto link =
      std::ranges::find(session->grantors_, record.grantor_, &GrantorAssignment::grantor_);
  if (link == session->grantors_.end()) {
    return Refuse(step, "not a grantor of the session");
  }
  if (link->attested_) {
    return Refuse(step, "attested already");
  }
  link->attested_ = true;
  Accept(step);
  if (std::ranges::all_of(session->grantors_, &GrantorAssignment::attested_)) {
    EndSession(step, record.session_);
  }
}

void Handle(Step& step, const SessionDraining& record) {
  Session* session = FindActive(step, record.session_);
  if (session == nullptr) {
    return;
  }
  if (session->draining_) {
    return Refuse(step, "session is draining already");
  }
  session->draining_ = true;
  MoveUnitsAway(step, *session);
  Accept(step);
}

void Handle(Step& step, const SessionEnded& record) {
  if (FindActive(step, record.session_) == nullptr) {
    return;
  }
  EndSession(step, record.session_);
  Accept(step);
}

}  // namespace sassafrasbay::fold

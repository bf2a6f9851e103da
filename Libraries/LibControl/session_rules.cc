#include <algorithm>

#include "LibControl/fold.h"

namespace sassafrasbay::fold {
namespace {

Session* FindActiveSession(FoldContext& context, std::string_view session) {
  const auto found = context.state_.sessions_.find(SessionId(session));
  if (found == context.state_.sessions_.end()) {
    Reject(context, "the session is unknown or has ended");
    return nullptr;
  }
  return &found->second;
}

// The order matters. The session is removed first, so that its units go to sessions that are still
// active, and its grantors are recorded before ReplaceGrantor() changes the grantors of any
// session.
void EndSession(FoldContext& context, std::string_view session) {
  const auto found = context.state_.sessions_.find(SessionId(session));
  const Session ended = std::move(found->second);
  context.state_.sessions_.erase(found);
  EndedSession entry{context.offset_, {}, ended.grantors_changed_at_};
  for (const GrantorAssignment& assignment : ended.grantors_) {
    entry.grantors_.push_back(assignment.grantor_);
  }
  context.state_.ended_[ended.join_.session_] = std::move(entry);
  ReplaceGrantor(context, ended.join_.session_);
  ReassignUnitsOfEndedSession(context, ended.join_);
}

}  // namespace

void StartEpoch(Session& session, std::uint64_t epoch, Offset offset) {
  session.epoch_ = epoch;
  session.epoch_since_ = offset;
  for (GrantorAssignment& assignment : session.grantors_) {
    assignment.attested_ = false;
  }
}

void Handle(FoldContext& context, const SessionJoined& record) {
  ControlState& state = context.state_;
  if (record.session_.empty() || state.sessions_.contains(record.session_) ||
      state.ended_.contains(record.session_)) {
    return Reject(context, "the session id is empty or was used before");
  }
  if (record.based_on_ > context.offset_ ||
      context.offset_ - record.based_on_ > kEndedSessionRetention) {
    return Reject(context, "the join is based on offset " + std::to_string(record.based_on_) +
                               ", which is too far from the offset of this record");
  }
  Session& session = state.sessions_[record.session_];
  session.join_ = record;
  session.joined_at_ = context.offset_;
  session.epoch_since_ = context.offset_;
  session.grantors_changed_at_ = context.offset_;
  AddMissingGrantors(context, session);
  AddNewSessionAsGrantor(context, session);
  AssignUnownedUnits(context, record.service_, "first available session");
  Accept(context);
}

void Handle(FoldContext& context, const SessionRenewed& record) {
  Session* session = FindActiveSession(context, record.session_);
  if (session == nullptr) {
    return;
  }
  if (record.epoch_ != session->epoch_ + 1) {
    return Reject(context, "the epoch is not the session's current epoch + 1");
  }
  StartEpoch(*session, record.epoch_, context.offset_);
  Accept(context);
}

void Handle(FoldContext& context, const LapseAttested& record) {
  Session* session = FindActiveSession(context, record.session_);
  if (session == nullptr) {
    return;
  }
  if (record.epoch_ != session->epoch_) {
    return Reject(context, "the epoch is not the session's current epoch");
  }
  const auto assignment =
      std::ranges::find(session->grantors_, record.grantor_, &GrantorAssignment::grantor_);
  if (assignment == session->grantors_.end()) {
    return Reject(context, "the attesting session is not a grantor of this session");
  }
  if (assignment->attested_) {
    return Reject(context, "the grantor has already attested the lapse of this epoch");
  }
  assignment->attested_ = true;
  Accept(context);
  if (std::ranges::all_of(session->grantors_, &GrantorAssignment::attested_)) {
    EndSession(context, record.session_);
  }
}

void Handle(FoldContext& context, const SessionDraining& record) {
  Session* session = FindActiveSession(context, record.session_);
  if (session == nullptr) {
    return;
  }
  if (session->draining_) {
    return Reject(context, "the session is already draining");
  }
  session->draining_ = true;
  StartDrainMoves(context, *session);
  Accept(context);
}

void Handle(FoldContext& context, const SessionEnded& record) {
  if (FindActiveSession(context, record.session_) == nullptr) {
    return;
  }
  EndSession(context, record.session_);
  Accept(context);
}

}  // namespace sassafrasbay::fold

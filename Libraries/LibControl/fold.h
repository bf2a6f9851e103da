#pragma once

#include <map>
#include <string>
#include <string_view>

#include "LibControl/control_state.h"

// Internal header of the fold: a handler for each record type, and the functions that the handlers
// share.

namespace sassafrasbay::fold {

/// Arguments and result of applying one record: the state that it changes, and its offset.
struct FoldContext {
  ControlState& state_;
  Offset offset_;
  ApplyResult result_;
};

void Reject(FoldContext& context, std::string_view reason);
void Accept(FoldContext& context);

void Handle(FoldContext& context, const ConfigurationPublished& record);
void Handle(FoldContext& context, const SessionJoined& record);
void Handle(FoldContext& context, const SessionRenewed& record);
void Handle(FoldContext& context, const LapseAttested& record);
void Handle(FoldContext& context, const SessionDraining& record);
void Handle(FoldContext& context, const SessionEnded& record);
void Handle(FoldContext& context, const MovesStarted& record);
void Handle(FoldContext& context, const MovesCompleted& record);
void Handle(FoldContext& context, const KeySplit& record);
void Handle(FoldContext& context, const KeyMerged& record);
void Handle(FoldContext& context, const Checkpoint& record);

/// Number of units of each session that can receive units, for one service.
using UnitCounts = std::map<SessionId, std::size_t, std::less<>>;

UnitCounts CountUnitsOfAvailableSessions(const ControlState& state, std::string_view service);

/// Returns the session with the fewest units (of several, the one with the lowest id) and counts
/// one more unit for it. Returns an empty id when `counts` is empty.
SessionId TakeSessionWithMinUnits(UnitCounts& counts);

/// Assigns each unit of the service that has no owner to an available session.
void AssignUnownedUnits(FoldContext& context, std::string_view service, std::string_view reason);

/// Starts a move for each unit of a draining session that has no running move.
void StartDrainMoves(FoldContext& context, const Session& session);

/// Reassigns the units of an ended session, which must already be removed from the state.
void ReassignUnitsOfEndedSession(FoldContext& context, const SessionJoined& ended);

/// Starts a new epoch of the session, which clears its grantors' attestations.
void StartEpoch(Session& session, std::uint64_t epoch, Offset offset);

/// Adds grantors to a session until it has kGrantorsPerSession, as far as there are candidates.
void AddMissingGrantors(FoldContext& context, Session& session);

/// Adds a newly joined session as a grantor to the sessions that have too few grantors.
void AddNewSessionAsGrantor(FoldContext& context, const Session& new_session);

/// Removes an ended session from the grantors of all sessions and adds replacements.
void ReplaceGrantor(FoldContext& context, std::string_view ended);

}  // namespace sassafrasbay::fold

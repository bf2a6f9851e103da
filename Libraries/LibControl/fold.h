#pragma once

#include <map>
#include <string>
#include <string_view>

#include "LibControl/control_state.h"

// Internal to the fold: one handler for each record type, and the rules that handlers share.

namespace sassafrasbay::fold {

/// The record being applied: the state it changes, its offset, and the verdict under way.
struct Step {
  ControlState& state_;
  Offset offset_;
  ApplyResult verdict_;
};

void Refuse(Step& step, std::string_view reason);
void Accept(Step& step);

void Handle(Step& step, const ConfigurationPublished& record);
void Handle(Step& step, const SessionJoined& record);
void Handle(Step& step, const SessionRenewed& record);
void Handle(Step& step, const LapseAttested& record);
void Handle(Step& step, const SessionDraining& record);
void Handle(Step& step, const SessionEnded& record);
void Handle(Step& step, const MovesStarted& record);
void Handle(Step& step, const MovesCompleted& record);
void Handle(Step& step, const KeySplit& record);
void Handle(Step& step, const KeyMerged& record);
void Handle(Step& step, const Checkpoint& record);

/// Number of units by session, for the sessions of one service that may receive units.
using UnitCounts = std::map<SessionId, std::size_t, std::less<>>;

UnitCounts CountsOfAvailableSessions(const ControlState& state, std::string_view service);

/// The session with the fewest units, ties by id, counting the new unit; empty without sessions.
SessionId TakeLeastLoaded(UnitCounts& counts);

/// Gives every unit of the service that has no owner to an available session.
void AssignUnownedUnits(Step& step, std::string_view service, std::string_view reason);

/// Starts a move of each unit of a draining session that isn't moving yet.
void MoveUnitsAway(Step& step, const Session& session);

/// Reassigns the units of a session that has been removed from the state.
void TakeOverUnits(Step& step, const SessionJoined& ended);

/// Clears the attestations of earlier epochs.
void StartEpoch(Session& session, std::uint64_t epoch, Offset offset);

/// Picks grantors for a session that has too few.
void FillGrantors(Step& step, Session& session);

/// Makes a newly joined session a grantor of the sessions that have too few.
void OfferNewGrantor(Step& step, const Session& newcomer);

/// Removes an ended session from all grantor sets and picks replacements.
void ReplaceGrantor(Step& step, std::string_view ended);

}  // namespace sassafrasbay::fold

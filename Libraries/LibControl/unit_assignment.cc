#include <algorithm>

#include "LibControl/fold.h"

namespace sassafrasbay::fold {
namespace {

void Assign(FoldContext& context, const UnitId& id, Unit& unit, const SessionId& owner,
            std::string_view reason) {
  context.result_.decisions_.push_back(
      {id, unit.owner_, owner, context.offset_, std::string(reason)});
  unit.owner_ = owner;
  unit.token_ = context.offset_;
  unit.move_.reset();
}

void SetInheritedFrom(Unit& unit, const SessionId& ended, Offset token) {
  if (unit.move_) {
    // A holder that has released the unit no longer sends copies of its request table to its
    // grantors. Recovery must not skip it and use the copies of an earlier holder, since these lack
    // the requests that it ran.
    unit.earlier_holders_.clear();
  } else if (!unit.inherited_from_.empty()) {
    std::vector<FormerHolder>& earlier = unit.earlier_holders_;
    earlier.insert(earlier.begin(), {unit.inherited_from_, unit.inherited_token_});
    earlier.resize(std::min(earlier.size(), kMaxEarlierHolders));
  }
  unit.inherited_from_ = ended;
  unit.inherited_token_ = token;
}

}  // namespace

UnitCounts CountUnitsOfAvailableSessions(const ControlState& state, std::string_view service) {
  UnitCounts counts;
  for (const auto& [id, session] : state.sessions_) {
    if (session.join_.service_ == service && !session.draining_) {
      counts[id] = 0;
    }
  }
  const auto units = state.services_.find(service);
  if (units != state.services_.end()) {
    ForEachUnit(service, units->second, [&counts](const UnitId&, const Unit& unit) {
      const auto count = counts.find(unit.move_ ? unit.move_->to_ : unit.owner_);
      if (count != counts.end()) {
        ++count->second;
      }
    });
  }
  return counts;
}

SessionId TakeSessionWithMinUnits(UnitCounts& counts) {
  const auto least = std::ranges::min_element(
      counts, [](const auto& left, const auto& right) { return left.second < right.second; });
  if (least == counts.end()) {
    return {};
  }
  ++least->second;
  return least->first;
}

void AssignUnownedUnits(FoldContext& context, std::string_view service, std::string_view reason) {
  const auto units = context.state_.services_.find(service);
  if (units == context.state_.services_.end()) {
    return;
  }
  UnitCounts counts = CountUnitsOfAvailableSessions(context.state_, service);
  if (counts.empty()) {
    return;
  }
  ForEachUnit(service, units->second, [&](const UnitId& id, Unit& unit) {
    if (unit.owner_.empty()) {
      Assign(context, id, unit, TakeSessionWithMinUnits(counts), reason);
    }
  });
}

void StartDrainMoves(FoldContext& context, const Session& session) {
  const std::string& service = session.join_.service_;
  const auto units = context.state_.services_.find(service);
  if (units == context.state_.services_.end()) {
    return;
  }
  UnitCounts counts = CountUnitsOfAvailableSessions(context.state_, service);
  ForEachUnit(service, units->second, [&](const UnitId& id, Unit& unit) {
    if (unit.owner_ != session.join_.session_ || unit.move_ || counts.empty()) {
      return;
    }
    unit.move_ = PendingMove{TakeSessionWithMinUnits(counts), context.offset_};
    context.result_.decisions_.push_back(
        {id, unit.owner_, unit.move_->to_, context.offset_, "move started: session is draining"});
  });
}

void ReassignUnitsOfEndedSession(FoldContext& context, const SessionJoined& ended) {
  const auto units = context.state_.services_.find(ended.service_);
  if (units == context.state_.services_.end()) {
    return;
  }
  UnitCounts counts = CountUnitsOfAvailableSessions(context.state_, ended.service_);
  ForEachUnit(ended.service_, units->second, [&](const UnitId& id, Unit& unit) {
    if (unit.owner_ == ended.session_) {
      // With a running move, its target becomes the owner, since the target may already serve the
      // unit after the old owner released it directly.
      const bool moving = unit.move_ && context.state_.sessions_.contains(unit.move_->to_);
      const SessionId successor = moving ? unit.move_->to_ : TakeSessionWithMinUnits(counts);
      SetInheritedFrom(unit, ended.session_, unit.token_);
      Assign(context, id, unit, successor,
             moving ? "the owner's session ended during a move" : "the owner's session ended");
    } else if (unit.move_ && unit.move_->to_ == ended.session_) {
      // The target may have served the unit after the owner released it directly, so the owner
      // needs a new token and the target's request table.
      SetInheritedFrom(unit, ended.session_, unit.move_->token_);
      Assign(context, id, unit, unit.owner_, "the session of the move's target ended");
    }
  });
}

}  // namespace sassafrasbay::fold

#include <algorithm>

#include "LibControl/fold.h"

namespace sassafrasbay::fold {
namespace {

void Assign(Step& step, const UnitId& id, Unit& unit, const SessionId& owner,
            std::string_view reason) {
  step.verdict_.decisions_.push_back({id, unit.owner_, owner, step.offset_, std::string(reason)});
  unit.owner_ = owner;
  unit.token_ = step.offset_;
  unit.move_.reset();
}

void Inherit(Unit& unit, const SessionId& ended, Offset token) {
  if (unit.move_) {
    // A holder that has released the unit no longer copies what it ran, so nobody may look past it
    // at the holder before.
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

UnitCounts CountsOfAvailableSessions(const ControlState& state, std::string_view service) {
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

SessionId TakeLeastLoaded(UnitCounts& counts) {
  const auto least = std::ranges::min_element(
      counts, [](const auto& left, const auto& right) { return left.second < right.second; });
  if (least == counts.end()) {
    return {};
  }
  ++least->second;
  return least->first;
}

void AssignUnownedUnits(Step& step, std::string_view service, std::string_view reason) {
  const auto units = step.state_.services_.find(service);
  if (units == step.state_.services_.end()) {
    return;
  }
  UnitCounts counts = CountsOfAvailableSessions(step.state_, service);
  if (counts.empty()) {
    return;
  }
  ForEachUnit(service, units->second, [&](const UnitId& id, Unit& unit) {
    if (unit.owner_.empty()) {
      Assign(step, id, unit, TakeLeastLoaded(counts), reason);
    }
  });
}

void MoveUnitsAway(Step& step, const Session& session) {
  const std::string& service = session.join_.service_;
  const auto units = step.state_.services_.find(service);
  if (units == step.state_.services_.end()) {
    return;
  }
  UnitCounts counts = CountsOfAvailableSessions(step.state_, service);
  ForEachUnit(service, units->second, [&](const UnitId& id, Unit& unit) {
    if (unit.owner_ != session.join_.session_ || unit.move_ || counts.empty()) {
      return;
    }
    unit.move_ = PendingMove{TakeLeastLoaded(counts), step.offset_};
    step.verdict_.decisions_.push_back(
        {id, unit.owner_, unit.move_->to_, step.offset_, "move started: session is draining"});
  });
}

void TakeOverUnits(Step& step, const SessionJoined& ended) {
  const auto units = step.state_.services_.find(ended.service_);
  if (units == step.state_.services_.end()) {
    return;
  }
  UnitCounts counts = CountsOfAvailableSessions(step.state_, ended.service_);
  ForEachUnit(ended.service_, units->second, [&](const UnitId& id, Unit& unit) {
    if (unit.owner_ == ended.session_) {
      // A running move names the successor, which may already serve after a direct release.
      const bool moving = unit.move_ && step.state_.sessions_.contains(unit.move_->to_);
      const SessionId successor = moving ? unit.move_->to_ : TakeLeastLoaded(counts);
      Inherit(unit, ended.session_, unit.token_);
      Assign(step, id, unit, successor, moving ? "owner ended during a move" : "owner ended");
    } else if (unit.move_ && unit.move_->to_ == ended.session_) {
      // The target may have served the unit after a direct release, so the old owner needs a new
      // token and the target's request table.
      Inherit(unit, ended.session_, unit.move_->token_);
      Assign(step, id, unit, unit.owner_, "target of the move ended");
    }
  });
}

}  // namespace sassafrasbay::fold

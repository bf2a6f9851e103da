#include <algorithm>

#include "LibControl/fold.h"

namespace sassafrasbay::fold {
namespace {

Unit* FindUnitToChange(ControlState& state, const UnitId& id) {
  return const_cast<Unit*>(FindUnit(state, id));  // NOLINT: the state itself isn't const
}

/// Why a move can't start; empty when it can.
std::string_view FaultOf(const ControlState& state, const Move& move) {
  const Unit* unit = FindUnit(state, move.unit_);
  if (unit == nullptr) {
    return "unknown unit";
  }
  if (unit->owner_ != move.from_ || unit->owner_.empty()) {
    return "owner changed";
  }
  if (unit->token_ != move.base_token_) {
    return "token changed";
  }
  if (unit->move_) {
    return "a move is running";
  }
  const Session* target = FindSession(state, move.to_);
  if (target == nullptr || target->draining_ || target->join_.service_ != move.unit_.service_) {
    return "target is not available";
  }
  return move.to_ == move.from_ ? "target is the owner" : "";
}

void ReportIgnored(Step& step, const UnitId& unit, std::string_view fault) {
  std::string& reason = step.verdict_.reason_;
  reason += reason.empty() ? "ignored " : ", ";
  reason += unit.service_ + "/" + std::to_string(unit.unit_) + " (" + std::string(fault) + ")";
}

void CompleteMove(Step& step, const UnitId& id, Unit& unit) {
  step.verdict_.decisions_.push_back(
      {id, unit.owner_, unit.move_->to_, unit.move_->token_, "move completed"});
  unit.owner_ = unit.move_->to_;
  unit.token_ = unit.move_->token_;
  unit.move_.reset();
  unit.inherited_from_.clear();
  unit.earlier_holders_.clear();
}

/// The shard that holds a key, regardless of overrides.
Unit& ShardOfKey(ServiceState& service, std::uint64_t key_hash) {
  return service.shards_[key_hash % service.shards_.size()];
}

}  // namespace

void Handle(Step& step, const MovesStarted& record) {
  for (const Move& move : record.moves_) {
    const std::string_view fault = FaultOf(step.state_, move);
    if (!fault.empty()) {
      ReportIgnored(step, move.unit_, fault);
      continue;
    }
    FindUnitToChange(step.state_, move.unit_)->move_ = PendingMove{move.to_, step.offset_};
    step.verdict_.decisions_.push_back(
        {move.unit_, move.from_, move.to_, step.offset_, "move started: " + record.reason_});
  }
  step.verdict_.valid_ = !step.verdict_.decisions_.empty();
  if (record.moves_.empty()) {
    Refuse(step, "no moves");
  }
}

void Handle(Step& step, const MovesCompleted& record) {
  for (const CompletedMove& completed : record.moves_) {
    Unit* unit = FindUnitToChange(step.state_, completed.unit_);
    if (unit == nullptr || !unit->move_ || unit->move_->to_ != record.session_ ||
        unit->move_->token_ != completed.token_) {
      ReportIgnored(step, completed.unit_, "that move is not running");
      continue;
    }
    CompleteMove(step, completed.unit_, *unit);
  }
  step.verdict_.valid_ = !step.verdict_.decisions_.empty();
  if (record.moves_.empty()) {
    Refuse(step, "no moves");
  }
}

void Handle(Step& step, const KeySplit& record) {
  const auto service = step.state_.services_.find(record.service_);
  if (service == step.state_.services_.end() || service->second.shards_.empty()) {
    return Refuse(step, "unknown service");
  }
  ServiceState& units = service->second;
  if (units.overrides_.contains(record.key_hash_)) {
    return Refuse(step, "the key is split already");
  }
  if (units.overrides_.size() >= kMaxOverrides) {
    return Refuse(step, "too many overrides");
  }
  const Unit& shard = ShardOfKey(units, record.key_hash_);
  if (shard.token_ != record.base_token_) {
    return Refuse(step, "token of the shard changed");
  }
  if (shard.owner_.empty() || shard.move_) {
    return Refuse(step, "the shard has no owner or is moving");
  }
  Override entry{units.next_override_unit_, shard};
  entry.ownership_.token_ = step.offset_;
  // The owner starts the override with its own copy of the shard's request table, whatever that
  // table was recovered from.
  entry.ownership_.inherited_from_.clear();
  entry.ownership_.earlier_holders_.clear();
  ++units.next_override_unit_;
  step.verdict_.decisions_.push_back(
      {{record.service_, entry.unit_}, shard.owner_, shard.owner_, step.offset_, "key split off"});
  units.overrides_.emplace(record.key_hash_, std::move(entry));
  Accept(step);
}

void Handle(Step& step, const KeyMerged& record) {
  const auto service = step.state_.services_.find(record.service_);
  if (service == step.state_.services_.end() || service->second.shards_.empty()) {
    return Refuse(step, "unknown service");
  }
  ServiceState& units = service->second;
  const auto entry = units.overrides_.find(record.key_hash_);
  if (entry == units.overrides_.end()) {
    return Refuse(step, "the key is not split");
  }
  const Unit& key = entry->second.ownership_;
  Unit& shard = ShardOfKey(units, record.key_hash_);
  if (key.token_ != record.base_token_) {
    return Refuse(step, "token of the override changed");
  }
  if (key.owner_ != shard.owner_ || key.owner_.empty() || key.move_ || shard.move_) {
    return Refuse(step, "override and shard differ in owner, or one is moving");
  }
  if (!key.inherited_from_.empty() || !shard.inherited_from_.empty()) {
    return Refuse(step, "override or shard was inherited");
  }
  // A new token, because the token that fences the key must not fall back to the shard's old one,
  // and because copies of the shard's table made before this record lack the key's entries.
  shard.token_ = step.offset_;
  const auto shard_index = static_cast<std::uint32_t>(record.key_hash_ % units.shards_.size());
  step.verdict_.decisions_.push_back({{record.service_, shard_index},
                                      shard.owner_,
                                      shard.owner_,
                                      step.offset_,
                                      "key merged back"});
  units.overrides_.erase(entry);
  Accept(step);
}

}  // namespace sassafrasbay::fold

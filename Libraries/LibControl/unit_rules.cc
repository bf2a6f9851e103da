#include <algorithm>

#include "LibControl/fold.h"

namespace sassafrasbay::fold {
namespace {

Unit* FindMutableUnit(ControlState& state, const UnitId& id) {
  return const_cast<Unit*>(FindUnit(state, id));  // NOLINT: the state itself isn't const
}

/// Why a move can't start; empty when it can start.
std::string_view FindMoveFault(const ControlState& state, const Move& move) {
  const Unit* unit = FindUnit(state, move.unit_);
  if (unit == nullptr) {
    return "unknown unit";
  }
  if (unit->owner_ != move.from_ || unit->owner_.empty()) {
    return "the unit has another owner";
  }
  if (unit->token_ != move.base_token_) {
    return "the unit has another token";
  }
  if (unit->move_) {
    return "the unit is already moving";
  }
  const Session* target = FindSession(state, move.to_);
  if (target == nullptr || target->draining_ || target->join_.service_ != move.unit_.service_) {
    return "the target session can't receive units";
  }
  return move.to_ == move.from_ ? "the target session is the owner" : "";
}

void AppendIgnoredMove(FoldContext& context, const UnitId& unit, std::string_view fault) {
  std::string& reason = context.result_.reason_;
  reason += reason.empty() ? "ignored " : ", ";
  reason += unit.service_ + "/" + std::to_string(unit.unit_) + " (" + std::string(fault) + ")";
}

void CompleteMove(FoldContext& context, const UnitId& id, Unit& unit) {
  context.result_.decisions_.push_back(
      {id, unit.owner_, unit.move_->to_, unit.move_->token_, "move completed"});
  unit.owner_ = unit.move_->to_;
  unit.token_ = unit.move_->token_;
  unit.move_.reset();
  unit.inherited_from_.clear();
  unit.earlier_holders_.clear();
}

/// The shard to which a key belongs when it has no override.
Unit& FindShardOfKey(ServiceState& service, std::uint64_t key_hash) {
  return service.shards_[key_hash % service.shards_.size()];
}

}  // namespace

void Handle(FoldContext& context, const MovesStarted& record) {
  for (const Move& move : record.moves_) {
    const std::string_view fault = FindMoveFault(context.state_, move);
    if (!fault.empty()) {
      AppendIgnoredMove(context, move.unit_, fault);
      continue;
    }
    FindMutableUnit(context.state_, move.unit_)->move_ = PendingMove{move.to_, context.offset_};
    context.result_.decisions_.push_back(
        {move.unit_, move.from_, move.to_, context.offset_, "move started: " + record.reason_});
  }
  context.result_.valid_ = !context.result_.decisions_.empty();
  if (record.moves_.empty()) {
    Reject(context, "the record contains no moves");
  }
}

void Handle(FoldContext& context, const MovesCompleted& record) {
  for (const CompletedMove& completed : record.moves_) {
    Unit* unit = FindMutableUnit(context.state_, completed.unit_);
    if (unit == nullptr || !unit->move_ || unit->move_->to_ != record.session_ ||
        unit->move_->token_ != completed.token_) {
      AppendIgnoredMove(context, completed.unit_, "this move is not running");
      continue;
    }
    CompleteMove(context, completed.unit_, *unit);
  }
  context.result_.valid_ = !context.result_.decisions_.empty();
  if (record.moves_.empty()) {
    Reject(context, "the record contains no moves");
  }
}

void Handle(FoldContext& context, const KeySplit& record) {
  const auto service = context.state_.services_.find(record.service_);
  if (service == context.state_.services_.end() || service->second.shards_.empty()) {
    return Reject(context, "unknown service");
  }
  ServiceState& units = service->second;
  if (units.overrides_.contains(record.key_hash_)) {
    return Reject(context, "the key already has an override");
  }
  if (units.overrides_.size() >= kMaxOverrides) {
    return Reject(context, "the service has the maximum number of overrides");
  }
  const Unit& shard = FindShardOfKey(units, record.key_hash_);
  if (shard.token_ != record.base_token_) {
    return Reject(context, "the shard's token is not the base token of the record");
  }
  if (shard.owner_.empty() || shard.move_) {
    return Reject(context, "the shard has no owner or is moving");
  }
  Override entry{units.next_override_unit_, shard};
  entry.ownership_.token_ = context.offset_;
  // The owner fills the override's request table from its own table of the shard, whichever copies
  // that table was recovered from.
  entry.ownership_.inherited_from_.clear();
  entry.ownership_.earlier_holders_.clear();
  ++units.next_override_unit_;
  context.result_.decisions_.push_back({{record.service_, entry.unit_},
                                        shard.owner_,
                                        shard.owner_,
                                        context.offset_,
                                        "the key got an override"});
  units.overrides_.emplace(record.key_hash_, std::move(entry));
  Accept(context);
}

void Handle(FoldContext& context, const KeyMerged& record) {
  const auto service = context.state_.services_.find(record.service_);
  if (service == context.state_.services_.end() || service->second.shards_.empty()) {
    return Reject(context, "unknown service");
  }
  ServiceState& units = service->second;
  const auto entry = units.overrides_.find(record.key_hash_);
  if (entry == units.overrides_.end()) {
    return Reject(context, "the key has no override");
  }
  const Unit& key = entry->second.ownership_;
  Unit& shard = FindShardOfKey(units, record.key_hash_);
  if (key.token_ != record.base_token_) {
    return Reject(context, "the override's token is not the base token of the record");
  }
  if (key.owner_ != shard.owner_ || key.owner_.empty() || key.move_ || shard.move_) {
    return Reject(
        context,
        "the override and its shard have different owners or no owner, or one of them is moving");
  }
  if (!key.inherited_from_.empty() || !shard.inherited_from_.empty()) {
    return Reject(context, "the override or its shard was taken over from an ended session");
  }
  // The shard gets a new token, because the token that fences the key must not decrease to the
  // shard's old one, and because copies of the shard's table made before this record lack the key's
  // entries.
  shard.token_ = context.offset_;
  const auto shard_index = static_cast<std::uint32_t>(record.key_hash_ % units.shards_.size());
  context.result_.decisions_.push_back({{record.service_, shard_index},
                                        shard.owner_,
                                        shard.owner_,
                                        context.offset_,
                                        "the override was merged into its shard"});
  units.overrides_.erase(entry);
  Accept(context);
}

}  // namespace sassafrasbay::fold

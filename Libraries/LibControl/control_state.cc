#include "LibControl/control_state.h"

#include <algorithm>

#include "LibControl/fold.h"

namespace sassafrasbay {
namespace {

/// Ended sessions are pruned at multiples of this offset, so that most records don't need a scan.
constexpr Offset kPruneIntervalOffsets = 1024;

// A late duplicate of a SessionJoined is rejected either because the session is still in ended_ or
// because the record's based_on_ is too old. Therefore no entry may be pruned before
// kEndedSessionRetention offsets have passed. Pruning later is safe.
void Advance(ControlState& state, Offset offset) {
  state.next_offset_ = offset + 1;
  if (offset % kPruneIntervalOffsets == 0) {
    std::erase_if(state.ended_, [offset](const auto& entry) {
      return offset - entry.second.ended_at_ > kEndedSessionRetention;
    });
  }
}

}  // namespace

namespace fold {

void Reject(FoldContext& context, std::string_view reason) {
  context.result_.valid_ = false;
  context.result_.reason_ = reason;
}

void Accept(FoldContext& context) { context.result_.valid_ = true; }

// Only starting nodes read checkpoints. Applying one has no effect.
void Handle(FoldContext& context, const Checkpoint& /*record*/) { Accept(context); }

}  // namespace fold

ApplyResult Apply(ControlState& state, Offset offset, const Record& record) {
  if (offset != state.next_offset_) {
    return {false, "offset is not the next offset of the log", {}};
  }
  if (record.rules_version_ != kRulesVersion) {
    return {false, "unknown rules version", {}};
  }
  fold::FoldContext context{state, offset, {}};
  std::visit([&context](const auto& body) { fold::Handle(context, body); }, record.body_);
  Advance(state, offset);
  return std::move(context.result_);
}

void SkipRecord(ControlState& state, Offset offset) {
  if (offset == state.next_offset_) {
    Advance(state, offset);
  }
}

const Session* FindSession(const ControlState& state, std::string_view session) {
  const auto found = state.sessions_.find(SessionId(session));
  return found == state.sessions_.end() ? nullptr : &found->second;
}

const ServiceSpec* FindService(const RoutingConfiguration& configuration, std::string_view name) {
  const auto found = std::ranges::find(configuration.services_, name, &ServiceSpec::name_);
  return found == configuration.services_.end() ? nullptr : &*found;
}

const Unit* FindUnit(const ControlState& state, const UnitId& unit) {
  const auto service = state.services_.find(unit.service_);
  if (service == state.services_.end()) {
    return nullptr;
  }
  if (unit.unit_ < service->second.shards_.size()) {
    return &service->second.shards_[unit.unit_];
  }
  for (const auto& [hash, entry] : service->second.overrides_) {
    if (entry.unit_ == unit.unit_) {
      return &entry.ownership_;
    }
  }
  return nullptr;
}

std::optional<std::uint32_t> ShardOfOverride(const ControlState& state, const UnitId& unit) {
  const auto service = state.services_.find(unit.service_);
  if (unit.unit_ < kFirstOverrideUnit || service == state.services_.end()) {
    return std::nullopt;
  }
  for (const auto& [key_hash, item] : service->second.overrides_) {
    if (item.unit_ == unit.unit_) {
      return static_cast<std::uint32_t>(key_hash % service->second.shards_.size());
    }
  }
  return std::nullopt;
}

UnitId UnitOfKey(const ServiceState& service, std::string_view name, std::uint64_t key_hash) {
  UnitId id{std::string(name), 0};
  const auto entry = service.overrides_.find(key_hash);
  if (entry != service.overrides_.end()) {
    id.unit_ = entry->second.unit_;
  } else if (!service.shards_.empty()) {
    id.unit_ = static_cast<std::uint32_t>(key_hash % service.shards_.size());
  }
  return id;
}

std::size_t CountUnits(const ControlState& state, std::string_view session) {
  const Session* found = FindSession(state, session);
  if (found == nullptr) {
    return 0;
  }
  const auto service = state.services_.find(found->join_.service_);
  std::size_t count = 0;
  if (service != state.services_.end()) {
    ForEachUnit(service->first, service->second, [&](const UnitId&, const Unit& unit) {
      count += (unit.move_ ? unit.move_->to_ : unit.owner_) == session ? 1 : 0;
    });
  }
  return count;
}

}  // namespace sassafrasbay

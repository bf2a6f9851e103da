#include "owned_units.h"

#include <algorithm>
#include <utility>

#include "LibCore/logging.h"

namespace sassafrasbay {
namespace {

constexpr std::string_view kPart = "units";

}  // namespace

std::string Describe(const UnitId& unit, Offset token) {
  return unit.service_ + "/" + std::to_string(unit.unit_) + " under token " + std::to_string(token);
}

OwnedUnits::OwnedUnits(ReactorLoop& loop, SharedState& shared, const StateChart& chart,
                       UpstreamLink& link, TrafficPeers& peers, RequestCopies& copies,
                       RequestTable& table)
    : loop_(loop),
      shared_(shared),
      chart_(chart),
      link_(link),
      peers_(peers),
      copies_(copies),
      table_(table) {}

void OwnedUnits::SetSnapshot(const std::shared_ptr<const RoutingSnapshot>& snapshot) {
  const bool session_changed = snapshot_ && snapshot_->own_session_ != snapshot->own_session_;
  snapshot_ = snapshot;
  if (session_changed) {
    // A new session keeps nothing of the earlier one, not even a unit that the log assigns to both.
    while (!units_.empty()) {
      RemoveUnit(units_.begin()->first, "the session of this node has changed");
    }
    handed_over_tokens_.clear();
    early_handovers_.clear();
  }
  RemoveLostUnits();
  const Session* own = FindSession(*snapshot_->state_, snapshot_->own_session_);
  if (own != nullptr) {
    const auto service = snapshot_->state_->services_.find(own->join_.service_);
    if (service != snapshot_->state_->services_.end()) {
      ForEachUnit(service->first, service->second,
                  [this](const UnitId& id, const Unit& unit) { Synchronize(id, unit); });
    }
    units_changed_ = units_changed_ || own->grantors_changed_at_ != grantors_changed_at_;
    grantors_changed_at_ = own->grantors_changed_at_;
  }
  if (units_changed_) {
    ApplyUnitChanges();
  }
}

void OwnedUnits::RemoveLostUnits() {
  std::vector<UnitId> lost_units;
  for (const auto& [id, held] : units_) {
    const Unit* unit = FindUnit(*snapshot_->state_, id);
    // A newer token of the same owner continues the tenure, unless the unit was handed over
    // meanwhile.
    const bool owner = unit != nullptr && unit->owner_ == snapshot_->own_session_ &&
                       unit->token_ >= held.token_ && !handed_over_tokens_.contains(id);
    const bool successor = unit != nullptr && unit->move_ &&
                           unit->move_->to_ == snapshot_->own_session_ &&
                           unit->move_->token_ == held.token_;
    const bool releasing =
        unit != nullptr && unit->owner_ == snapshot_->own_session_ && unit->token_ == held.token_;
    if (snapshot_->own_session_.empty() || (!owner && !successor && !releasing)) {
      lost_units.push_back(id);
    }
  }
  for (const UnitId& id : lost_units) {
    RemoveUnit(id, "the log names another owner or token");
  }
}

void OwnedUnits::Synchronize(const UnitId& id, const Unit& unit) {
  const SessionId& own = snapshot_->own_session_;
  if (unit.move_ && unit.move_->to_ == own) {
    const auto early = early_handovers_.find(id);
    if (early != early_handovers_.end()) {
      const Handover handover = std::move(early->second);
      early_handovers_.erase(early);
      TakeOver(handover);
    }
    return;
  }
  if (unit.owner_ != own) {
    return;
  }
  const auto released = handed_over_tokens_.find(id);
  if (released != handed_over_tokens_.end()) {
    if (unit.token_ <= released->second) {
      return;
    }
    handed_over_tokens_.erase(released);
  }
  const auto held = units_.find(id);
  if (held == units_.end()) {
    Acquire(id, unit);
  } else if (held->second.token_ != unit.token_) {
    UpdateToken(id, held->second, unit.token_);
  }
  if (unit.move_ && units_.contains(id)) {
    StartRelease(id, *unit.move_);
  }
}

OwnedUnits::OwnedUnit& OwnedUnits::AddUnit(const UnitId& id, Offset token) {
  OwnedUnit& held = units_[id];
  held = OwnedUnit{};
  held.position_ = StartChart(chart_);
  held.token_ = token;
  held.tenure_ = next_tenure_++;
  held.split_from_ = ShardOfOverride(*snapshot_->state_, id);
  units_changed_ = true;
  return held;
}

void OwnedUnits::Acquire(const UnitId& id, const Unit& unit) {
  OwnedUnit& held = AddUnit(id, unit.token_);
  if (!unit.inherited_from_.empty()) {
    OpenUnit(table_, id, true, WallNow(), TableTerms());
    Advance(id, held, "assigned");
    held.recovery_pending_ = true;
    Recover(id);
    return;
  }
  if (!InitializeFromShard(id, held)) {
    OpenUnit(table_, id, false, WallNow(), TableTerms());
  }
  Advance(id, held, "assigned_new");
}

void OwnedUnits::UpdateToken(const UnitId& id, OwnedUnit& held, Offset token) {
  LogInfo(kPart, "Keeping unit " + Describe(id, held.token_) + "; its token is now " +
                     std::to_string(token) + ".");
  held.token_ = token;
  held.move_.reset();
  held.serving_announced_ = false;
  units_changed_ = true;
  if (held.position_.state_ == "releasing") {
    Advance(id, held, "kept");
  }
}

OwnedUnits::Availability OwnedUnits::Check(const UnitId& unit) const {
  const auto found = units_.find(unit);
  if (found == units_.end() || found->second.position_.state_ == "releasing") {
    return Availability::kNotOwned;
  }
  if (found->second.position_.state_ != "serving" || !link_.IsGranted(unit, found->second.token_)) {
    return Availability::kStarting;
  }
  return Availability::kServing;
}

Offset OwnedUnits::TokenOf(const UnitId& unit) const {
  const auto found = units_.find(unit);
  return found == units_.end() ? 0 : found->second.token_;
}

std::uint64_t OwnedUnits::Pin(const UnitId& unit) {
  OwnedUnit& held = units_.at(unit);
  ++held.pins_;
  return held.tenure_;
}

bool OwnedUnits::IsCurrent(const UnitId& unit, std::uint64_t tenure) const {
  const auto found = units_.find(unit);
  return found != units_.end() && found->second.tenure_ == tenure;
}

void OwnedUnits::Unpin(const UnitId& unit, std::uint64_t tenure, BootTime unanswered_until) {
  const auto found = units_.find(unit);
  if (found == units_.end() || found->second.tenure_ != tenure || found->second.pins_ == 0) {
    return;
  }
  --found->second.pins_;
  found->second.unanswered_until_ = std::max(found->second.unanswered_until_, unanswered_until);
  TryHandover(unit);
}

void OwnedUnits::OnGranted() {
  for (auto& [id, unit] : units_) {
    // An upstream that was lost and announced itself again had no grants meanwhile. Requests that
    // arrived in that time wait until the unit is announced as serving again.
    unit.serving_announced_ = false;
    AnnounceServing(id, unit);
  }
}

void OwnedUnits::RemoveUnit(const UnitId& id, std::string_view reason) {
  const auto found = units_.find(id);
  LogInfo(kPart,
          "Removed unit " + Describe(id, found->second.token_) + ": " + std::string(reason) + ".");
  if (found->second.position_.state_ != "absent") {
    Advance(id, found->second, "lost");
  }
  const std::optional<std::uint32_t> shard = found->second.split_from_;
  if (shard && FindUnit(*snapshot_->state_, id) == nullptr &&
      units_.contains(UnitId{id.service_, *shard})) {
    // The key was merged into its shard, whose table holds the key's ids from now on.
    OwnedUnit& merged = units_.at(UnitId{id.service_, *shard});
    merged.unanswered_until_ = std::max(merged.unanswered_until_, found->second.unanswered_until_);
    MergeTable(id, UnitId{id.service_, *shard});
  }
  CloseUnit(table_, id);
  units_.erase(found);
  units_changed_ = true;
  hooks_.on_unavailable_(id);
}

void OwnedUnits::Advance(const UnitId& id, OwnedUnit& unit, std::string_view event) {
  if (auto fired = Fire(unit.position_, event); !fired) {
    LogError(kPart, Describe(id, unit.token_) + ": " + ToString(fired.error()));
  }
}

void OwnedUnits::AnnounceServing(const UnitId& id, OwnedUnit& unit) {
  if (unit.serving_announced_ || unit.position_.state_ != "serving" ||
      !link_.IsGranted(id, unit.token_)) {
    return;
  }
  unit.serving_announced_ = true;
  hooks_.on_serving_(id);
}

void OwnedUnits::ApplyUnitChanges() {
  units_changed_ = false;
  std::map<UnitId, Offset> tokens;
  for (const auto& [id, unit] : units_) {
    tokens.emplace(id, unit.token_);
  }
  link_.SetUnits(std::move(tokens));
  CopyTables();
  for (auto& [id, unit] : units_) {
    AnnounceServing(id, unit);
  }
}

}  // namespace sassafrasbay

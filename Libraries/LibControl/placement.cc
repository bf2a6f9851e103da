#include "LibControl/placement.h"

#include <algorithm>
#include <array>
#include <cstdio>
#include <optional>
#include <utility>

#include "LibControl/service_load.h"

namespace sassafrasbay {
namespace {

using placement::MovableUnit;
using placement::ServiceLoad;

/// Planned moves reduce the excess of max over mean load to this fraction of the excess that the
/// threshold allows, so that small changes of load don't trigger the next plan.
constexpr double kTargetExcessFraction = 0.6;

/// A session below kMinLoadThreshold times the mean load triggers moves too, since a new session of
/// a large service never raises max over mean load above the threshold. The moves bring its load to
/// at least kMinLoadTarget times the mean load.
constexpr double kMinLoadThreshold = 0.5;
constexpr double kMinLoadTarget = 0.75;

/// An override is merged when its load falls below this fraction of the load from which a key gets
/// an override.
constexpr double kMergeThresholdFraction = 0.25;

/// After n consecutive plans without enough effect, the planner skips 2^n rounds. This limits n.
constexpr int kMaxBackoffExponent = 5;

constexpr std::chrono::minutes kMoveBudgetPeriod{1};

std::string FormatReason(std::string_view what, double value) {
  std::array<char, 32> number{};
  std::snprintf(number.data(), number.size(), " %.2f", value);
  return std::string(what) + number.data();
}

bool NeedsBalancing(const ServiceLoad& load, const PlacementSettings& settings) {
  return placement::MaxOverMean(load) > settings.imbalance_threshold_ ||
         placement::MinOverMean(load) < kMinLoadThreshold;
}

bool IsBalanced(const ServiceLoad& load, const PlacementSettings& settings, double min_load) {
  const double target = 1 + (settings.imbalance_threshold_ - 1) * kTargetExcessFraction;
  return placement::MaxOverMean(load) <= target && placement::MinOverMean(load) >= min_load;
}

/// The donor's unit whose move gives the lowest maximum of both sessions' loads; null when no move
/// lowers the maximum.
MovableUnit* ChooseUnitToMove(ServiceLoad& load, const std::string& donor,
                              const std::string& target) {
  const double donor_load = load.sessions_[donor];
  const double target_load = load.sessions_[target];
  double min_maximum = donor_load;
  MovableUnit* chosen = nullptr;
  for (MovableUnit& unit : load.units_) {
    if (unit.owner_ != donor || unit.load_ <= 0) {
      continue;
    }
    const double maximum = std::max(donor_load - unit.load_, target_load + unit.load_);
    if (maximum < min_maximum) {
      min_maximum = maximum;
      chosen = &unit;
    }
  }
  return chosen;
}

void PlanMove(ServiceLoad& load, MovableUnit& unit, const SessionId& target,
              std::vector<Move>& moves) {
  moves.push_back({unit.id_, unit.owner_, target, unit.token_});
  const auto donor = load.sessions_.find(unit.owner_);
  if (donor != load.sessions_.end()) {
    donor->second -= unit.load_;
  }
  load.sessions_[target] += unit.load_;
  unit.owner_.clear();  // Keeps this plan from moving the unit again.
}

/// Plans the moves off draining sessions that the fold couldn't start because no session could
/// receive the units. A drain can't end without these moves, so the move budget doesn't apply.
void PlanDrainMoves(ServiceLoad& load, std::vector<Move>& moves) {
  for (MovableUnit& unit : load.units_) {
    if (!load.sessions_.contains(unit.owner_)) {
      PlanMove(load, unit, placement::SessionWithMinLoad(load), moves);
    }
  }
}

void PlanBalancingMoves(ServiceLoad& load, const PlacementSettings& settings, std::size_t budget,
                        std::vector<Move>& moves) {
  const double min_load = placement::MinOverMean(load) < kMinLoadThreshold ? kMinLoadTarget : 0.0;
  while (budget > 0 && !IsBalanced(load, settings, min_load)) {
    const SessionId donor = placement::SessionWithMaxLoad(load);
    const SessionId target = placement::SessionWithMinLoad(load);
    MovableUnit* unit = ChooseUnitToMove(load, donor, target);
    if (unit == nullptr) {
      return;
    }
    PlanMove(load, *unit, target, moves);
    --budget;
  }
}

std::size_t RemainingBudget(PlannerState& planner, const std::string& service,
                            const PlacementSettings& settings, BootTime now) {
  auto& recent = planner.recent_moves_[service];
  std::erase_if(recent, [now](BootTime at) { return now - at >= kMoveBudgetPeriod; });
  const auto limit = static_cast<std::size_t>(std::max(settings.moves_per_minute_, 0));
  return limit > recent.size() ? limit - recent.size() : 0;
}

/// Checks whether the latest plan has had its effect, and counts down the backoff. Returns whether
/// to skip this round.
bool IsBackingOff(PlannerState& planner, const std::string& service, const ServiceLoad& load) {
  const auto threshold = planner.deviation_threshold_.find(service);
  if (threshold != planner.deviation_threshold_.end()) {
    int& ineffective_plans = planner.ineffective_plans_[service];
    ineffective_plans = placement::RelativeDeviation(load) <= threshold->second
                            ? 0
                            : std::min(ineffective_plans + 1, kMaxBackoffExponent);
    planner.backoff_rounds_[service] = ineffective_plans == 0 ? 0 : 1 << ineffective_plans;
    planner.deviation_threshold_.erase(threshold);
  }
  int& backoff_rounds = planner.backoff_rounds_[service];
  if (backoff_rounds == 0) {
    return false;
  }
  --backoff_rounds;
  return true;
}

/// Plans an override for the key with the highest load of at least `min_load` whose shard has an
/// owner and no running move.
std::optional<KeySplit> PlanSplit(const ServiceState& service, const std::string& name,
                                  const MeasuredLoad& measured, double min_load,
                                  std::size_t max_overrides) {
  std::optional<KeySplit> split;
  if (service.overrides_.size() >= max_overrides) {
    return split;
  }
  double max_load = min_load;
  for (auto key = measured.hot_keys_.lower_bound({name, 0});
       key != measured.hot_keys_.end() && key->first.first == name; ++key) {
    const std::uint64_t hash = key->first.second;
    if (key->second < max_load || service.overrides_.contains(hash)) {
      continue;
    }
    const Unit& shard = service.shards_[UnitOfKey(service, name, hash).unit_];
    if (!shard.owner_.empty() && !shard.move_) {
      max_load = key->second;
      split = KeySplit{name, hash, shard.token_};
    }
  }
  return split;
}

/// Plans the merge of the first override whose load is below `merge_threshold` and that meets the
/// fold's conditions for a merge.
std::optional<KeyMerged> PlanMerge(const ServiceState& service, const std::string& name,
                                   const MeasuredLoad& measured, double merge_threshold) {
  for (const auto& [hash, entry] : service.overrides_) {
    const Unit& shard = service.shards_[hash % service.shards_.size()];
    const Unit& key = entry.ownership_;
    const bool allowed = key.owner_ == shard.owner_ && !key.owner_.empty() && !key.move_ &&
                         !shard.move_ && key.inherited_from_.empty() &&
                         shard.inherited_from_.empty();
    if (allowed &&
        placement::MeasuredLoadOfUnit(measured, {name, entry.unit_}, hash) < merge_threshold) {
      return KeyMerged{name, hash, key.token_};
    }
  }
  return std::nullopt;
}

/// Plans a split when the service needs balancing, otherwise a merge. Without any measured load
/// nothing is merged, because a planner that has just started has received no reports yet.
std::optional<RecordBody> PlanOverride(const ServiceState& service, const std::string& name,
                                       const ServiceLoad& load, const MeasuredLoad& measured,
                                       const PlacementSettings& settings) {
  if (load.measured_total_ <= 0 || service.shards_.empty()) {
    return std::nullopt;
  }
  const double hot_key_load = settings.hot_key_load_ratio_ * load.measured_total_ /
                              static_cast<double>(load.sessions_.size());
  if (load.sessions_.size() > 1 && NeedsBalancing(load, settings)) {
    const std::size_t limit = std::min(settings.max_overrides_, kMaxOverrides);
    if (auto split = PlanSplit(service, name, measured, hot_key_load, limit)) {
      return *std::move(split);
    }
  }
  if (auto merge = PlanMerge(service, name, measured, hot_key_load * kMergeThresholdFraction)) {
    return *std::move(merge);
  }
  return std::nullopt;
}

void PlanService(PlannerState& planner, const ControlState& state, const std::string& name,
                 const MeasuredLoad& measured, const PlacementSettings& settings, BootTime now,
                 std::vector<RecordBody>& plan) {
  ServiceLoad load = placement::ComputeServiceLoad(state, name, measured);
  if (load.sessions_.empty()) {
    return;
  }
  std::vector<Move> moves;
  PlanDrainMoves(load, moves);
  // While moves are running, the measured load doesn't show their effect yet.
  const bool may_balance = moves.empty() && load.running_moves_ == 0;
  std::string reason = "session is draining";
  if (may_balance && !IsBackingOff(planner, name, load)) {
    if (auto change = PlanOverride(state.services_.at(name), name, load, measured, settings)) {
      plan.push_back(*std::move(change));
      return;  // The split or merge changes the loads of the units, so balancing waits.
    }
    if (NeedsBalancing(load, settings)) {
      reason = FormatReason("max over mean load", placement::MaxOverMean(load));
      const double before = placement::RelativeDeviation(load);
      PlanBalancingMoves(load, settings, RemainingBudget(planner, name, settings, now), moves);
      if (!moves.empty()) {
        // The moves count as effective when at least half of the expected effect is measured.
        planner.deviation_threshold_[name] = (before + placement::RelativeDeviation(load)) / 2;
      }
    }
  }
  if (!moves.empty()) {
    auto& recent = planner.recent_moves_[name];
    recent.insert(recent.end(), moves.size(), now);
    plan.emplace_back(MovesStarted{std::move(moves), std::move(reason)});
  }
}

}  // namespace

SessionId PlannerSession(const ControlState& state) {
  return state.sessions_.empty() ? SessionId() : state.sessions_.begin()->first;
}

std::vector<RecordBody> PlanPlacement(PlannerState& planner, const ControlState& state,
                                      const MeasuredLoad& load, const PlacementSettings& settings,
                                      BootTime now) {
  std::vector<RecordBody> plan;
  for (const auto& [name, service] : state.services_) {
    PlanService(planner, state, name, load, settings, now, plan);
  }
  return plan;
}

double Imbalance(const ControlState& state, std::string_view service, const MeasuredLoad& load) {
  const ServiceLoad measured = placement::ComputeServiceLoad(state, service, load);
  return measured.measured_total_ > 0 ? placement::MaxOverMean(measured) : 1.0;
}

}  // namespace sassafrasbay

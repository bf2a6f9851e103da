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

/// Once moves are planned, they bring the excess of max over mean down to this part of the
/// threshold's, so that small changes of load don't trigger the next plan.
constexpr double kExcessAfterMoves = 0.6;

/// A session below the first part of the mean load triggers moves too, since a newcomer of a large
/// service never lifts max over mean above the threshold; moves bring it to the second part.
constexpr double kUnderload = 0.5;
constexpr double kLoadAfterJoin = 0.75;

/// An override is merged when its load falls to this part of what splits a key off.
constexpr double kMergeShare = 0.25;

/// Bound of the doubling pause after moves that did not help.
constexpr int kMaxFutilePlans = 5;

constexpr std::chrono::minutes kBudgetPeriod{1};

std::string Describe(std::string_view what, double value) {
  std::array<char, 32> number{};
  std::snprintf(number.data(), number.size(), " %.2f", value);
  return std::string(what) + number.data();
}

bool IsTriggered(const ServiceLoad& load, const PlacementSettings& terms) {
  return placement::MaxOverMean(load) > terms.imbalance_threshold_ ||
         placement::MinOverMean(load) < kUnderload;
}

bool IsSettled(const ServiceLoad& load, const PlacementSettings& terms, double least_load) {
  const double target = 1 + (terms.imbalance_threshold_ - 1) * kExcessAfterMoves;
  return placement::MaxOverMean(load) <= target && placement::MinOverMean(load) >= least_load;
}

/// The unit of the donor whose move leaves the lower maximum of both; null when none lowers it.
MovableUnit* BestUnit(ServiceLoad& load, const std::string& donor, const std::string& target) {
  const double donor_load = load.sessions_[donor];
  const double target_load = load.sessions_[target];
  double best_maximum = donor_load;
  MovableUnit* best = nullptr;
  for (MovableUnit& unit : load.units_) {
    if (unit.owner_ != donor || unit.load_ <= 0) {
      continue;
    }
    const double maximum = std::max(donor_load - unit.load_, target_load + unit.load_);
    if (maximum < best_maximum) {
      best_maximum = maximum;
      best = &unit;
    }
  }
  return best;
}

void TakeUnit(ServiceLoad& load, MovableUnit& unit, const SessionId& target,
              std::vector<Move>& moves) {
  moves.push_back({unit.id_, unit.owner_, target, unit.token_});
  const auto donor = load.sessions_.find(unit.owner_);
  if (donor != load.sessions_.end()) {
    donor->second -= unit.load_;
  }
  load.sessions_[target] += unit.load_;
  unit.owner_.clear();  // Not to be moved again by this plan.
}

/// Moves off draining sessions, which the fold could not start for lack of a target. They are
/// needed, so the churn budget doesn't apply.
void PlanEvacuation(ServiceLoad& load, std::vector<Move>& moves) {
  for (MovableUnit& unit : load.units_) {
    if (!load.sessions_.contains(unit.owner_)) {
      TakeUnit(load, unit, placement::LeastLoaded(load), moves);
    }
  }
}

void PlanBalance(ServiceLoad& load, const PlacementSettings& terms, std::size_t budget,
                 std::vector<Move>& moves) {
  const double least_load = placement::MinOverMean(load) < kUnderload ? kLoadAfterJoin : 0.0;
  while (budget > 0 && !IsSettled(load, terms, least_load)) {
    const SessionId donor = placement::MostLoaded(load);
    const SessionId target = placement::LeastLoaded(load);
    MovableUnit* unit = BestUnit(load, donor, target);
    if (unit == nullptr) {
      return;
    }
    TakeUnit(load, *unit, target, moves);
    --budget;
  }
}

std::size_t RemainingBudget(PlannerState& planner, const std::string& service,
                            const PlacementSettings& terms, BootTime now) {
  auto& recent = planner.recent_moves_[service];
  std::erase_if(recent, [now](BootTime at) { return now - at >= kBudgetPeriod; });
  const auto bound = static_cast<std::size_t>(std::max(terms.moves_per_minute_, 0));
  return bound > recent.size() ? bound - recent.size() : 0;
}

/// Judges the latest plan and counts down the pause. Returns whether this round is skipped.
bool IsBackingOff(PlannerState& planner, const std::string& service, const ServiceLoad& load) {
  const auto limit = planner.deviation_threshold_.find(service);
  if (limit != planner.deviation_threshold_.end()) {
    int& futile = planner.ineffective_plans_[service];
    futile = placement::Spread(load) <= limit->second ? 0 : std::min(futile + 1, kMaxFutilePlans);
    planner.backoff_rounds_[service] = futile == 0 ? 0 : 1 << futile;
    planner.deviation_threshold_.erase(limit);
  }
  int& rounds = planner.backoff_rounds_[service];
  if (rounds == 0) {
    return false;
  }
  --rounds;
  return true;
}

/// The hottest key that is worth an override and whose shard may be split now.
std::optional<KeySplit> PlanSplit(const ServiceState& service, const std::string& name,
                                  const MeasuredLoad& measured, double least_load,
                                  std::size_t max_overrides) {
  std::optional<KeySplit> split;
  if (service.overrides_.size() >= max_overrides) {
    return split;
  }
  double hottest = least_load;
  for (auto key = measured.hot_keys_.lower_bound({name, 0});
       key != measured.hot_keys_.end() && key->first.first == name; ++key) {
    const std::uint64_t hash = key->first.second;
    if (key->second < hottest || service.overrides_.contains(hash)) {
      continue;
    }
    const Unit& shard = service.shards_[UnitOfKey(service, name, hash).unit_];
    if (!shard.owner_.empty() && !shard.move_) {
      hottest = key->second;
      split = KeySplit{name, hash, shard.token_};
    }
  }
  return split;
}

/// The first override that has cooled down and may be merged now.
std::optional<KeyMerged> PlanMerge(const ServiceState& service, const std::string& name,
                                   const MeasuredLoad& measured, double most_load) {
  for (const auto& [hash, entry] : service.overrides_) {
    const Unit& shard = service.shards_[hash % service.shards_.size()];
    const Unit& key = entry.ownership_;
    const bool allowed = key.owner_ == shard.owner_ && !key.owner_.empty() && !key.move_ &&
                         !shard.move_ && key.inherited_from_.empty() &&
                         shard.inherited_from_.empty();
    if (allowed && placement::MeasuredOf(measured, {name, entry.unit_}, hash) < most_load) {
      return KeyMerged{name, hash, key.token_};
    }
  }
  return std::nullopt;
}

/// A split when the service is out of balance, else a merge. Without any measured load nothing is
/// merged, because a planner that has just started has no reports yet.
std::optional<RecordBody> PlanOverride(const ServiceState& service, const std::string& name,
                                       const ServiceLoad& load, const MeasuredLoad& measured,
                                       const PlacementSettings& terms) {
  if (load.measured_total_ <= 0 || service.shards_.empty()) {
    return std::nullopt;
  }
  const double hot =
      terms.hot_key_load_ratio_ * load.measured_total_ / static_cast<double>(load.sessions_.size());
  if (load.sessions_.size() > 1 && IsTriggered(load, terms)) {
    const std::size_t bound = std::min(terms.max_overrides_, kMaxOverrides);
    if (auto split = PlanSplit(service, name, measured, hot, bound)) {
      return *std::move(split);
    }
  }
  if (auto merge = PlanMerge(service, name, measured, hot * kMergeShare)) {
    return *std::move(merge);
  }
  return std::nullopt;
}

void PlanService(PlannerState& planner, const ControlState& state, const std::string& name,
                 const MeasuredLoad& measured, const PlacementSettings& terms, BootTime now,
                 std::vector<RecordBody>& plan) {
  ServiceLoad load = placement::LoadOfService(state, name, measured);
  if (load.sessions_.empty()) {
    return;
  }
  std::vector<Move> moves;
  PlanEvacuation(load, moves);
  // While moves run, the measured load doesn't show their effect yet.
  const bool may_balance = moves.empty() && load.running_moves_ == 0;
  std::string reason = "session is draining";
  if (may_balance && !IsBackingOff(planner, name, load)) {
    if (auto change = PlanOverride(state.services_.at(name), name, load, measured, terms)) {
      plan.push_back(*std::move(change));
      return;  // The change of units alters the loads to balance.
    }
    if (IsTriggered(load, terms)) {
      reason = Describe("max over mean load", placement::MaxOverMean(load));
      const double before = placement::Spread(load);
      PlanBalance(load, terms, RemainingBudget(planner, name, terms, now), moves);
      if (!moves.empty()) {
        // The moves helped when at least half of the expected effect shows.
        planner.deviation_threshold_[name] = (before + placement::Spread(load)) / 2;
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
                                      const MeasuredLoad& load, const PlacementSettings& terms,
                                      BootTime now) {
  std::vector<RecordBody> plan;
  for (const auto& [name, service] : state.services_) {
    PlanService(planner, state, name, load, terms, now, plan);
  }
  return plan;
}

double Imbalance(const ControlState& state, std::string_view service, const MeasuredLoad& load) {
  const ServiceLoad measured = placement::LoadOfService(state, service, load);
  return measured.measured_total_ > 0 ? placement::MaxOverMean(measured) : 1.0;
}

}  // namespace sassafrasbay

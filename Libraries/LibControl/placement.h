#pragma once

#include <map>
#include <string>
#include <vector>

#include "LibControl/control_state.h"
#include "LibCore/clock.h"

namespace sassafrasbay {

struct PlacementSettings {
  double imbalance_threshold_ = 1.25;  ///< Max over mean load above which moves are planned.
  int moves_per_minute_ = 10;          ///< Churn budget for each service.
  double hot_key_load_ratio_ = 0.3;    ///< Share of the mean session load that splits a key off.
  std::size_t max_overrides_ = 64;     ///< For each service.
};

/// Measured load, requests per second, as the planner has received it.
struct MeasuredLoad {
  std::map<UnitId, double> units_;
  std::map<std::pair<std::string, std::uint64_t>, double> hot_keys_;  ///< Service and key hash.
};

/// What the planner remembers between rounds, by service.
struct PlannerState {
  std::map<std::string, std::vector<BootTime>> recent_moves_;
  std::map<std::string, double>
      deviation_threshold_;                       ///< Spread below which the latest moves helped.
  std::map<std::string, int> ineffective_plans_;  ///< Consecutive plans that did not help.
  std::map<std::string, int> backoff_rounds_;     ///< Rounds to skip after moves that did not help.
};

/// The session that plans now: the active one with the lowest id. Empty without sessions.
SessionId PlannerSession(const ControlState& state);

/// Proposes the smallest set of moves (and at most one key split or merge for each service).
/// Units without measured load count with a small equal weight, so that an idle fleet is balanced
/// by number of units.
std::vector<RecordBody> PlanPlacement(PlannerState& planner, const ControlState& state,
                                      const MeasuredLoad& load, const PlacementSettings& terms,
                                      BootTime now);

/// Max over mean load of the sessions of a service; 1 when balanced or idle.
double Imbalance(const ControlState& state, std::string_view service, const MeasuredLoad& load);

}  // namespace sassafrasbay

#pragma once

#include <map>
#include <string>
#include <vector>

#include "LibControl/control_state.h"
#include "LibCore/clock.h"

namespace sassafrasbay {

struct PlacementSettings {
  double imbalance_threshold_ = 1.25;  ///< Ratio of max to mean load above which moves are planned.
  int moves_per_minute_ = 10;          ///< Move budget of each service.
  /// Ratio of a key's load to the mean session load from which the key gets an override.
  double hot_key_load_ratio_ = 0.3;
  std::size_t max_overrides_ = 64;  ///< Maximum number of overrides of each service.
};

/// Load in requests per second, as reported to the planner.
struct MeasuredLoad {
  std::map<UnitId, double> units_;
  std::map<std::pair<std::string, std::uint64_t>, double> hot_keys_;  ///< By service and key hash.
};

/// State that the planner keeps between rounds, by service.
struct PlannerState {
  std::map<std::string, std::vector<BootTime>> recent_moves_;
  /// Relative deviation up to which the moves of the latest plan count as effective.
  std::map<std::string, double> deviation_threshold_;
  std::map<std::string, int> ineffective_plans_;  ///< Consecutive plans without enough effect.
  std::map<std::string, int> backoff_rounds_;     ///< Rounds still to be skipped.
};

/// Returns the session that plans: the active one with the lowest id, so that all nodes agree on
/// one planner. Empty when no session is active.
SessionId PlannerSession(const ControlState& state);

/// Proposes as few moves as needed to balance each service, or one key split or merge of the
/// service. Units without measured load count with a small equal load, so that an idle fleet is
/// balanced by number of units.
std::vector<RecordBody> PlanPlacement(PlannerState& planner, const ControlState& state,
                                      const MeasuredLoad& load, const PlacementSettings& settings,
                                      BootTime now);

/// Ratio of max to mean load of the sessions of a service; 1 when balanced or idle.
double Imbalance(const ControlState& state, std::string_view service, const MeasuredLoad& load);

}  // namespace sassafrasbay

#pragma once

#include <map>
#include <string_view>
#include <vector>

#include "LibControl/placement.h"

// Internal header of the planner: the load of one service as it will be when the running moves have
// completed.

namespace sassafrasbay::placement {

/// A unit with an owner and without a running move.
struct MovableUnit {
  UnitId id_;
  SessionId owner_;
  Offset token_ = 0;
  double load_ = 0;
};

struct ServiceLoad {
  std::map<SessionId, double> sessions_;  ///< Load of each active session that isn't draining.
  std::vector<MovableUnit> units_;
  std::size_t running_moves_ = 0;
  double measured_total_ = 0;  ///< Requests per second of all units; 0 when idle.
};

/// Requests per second of a unit. For an override without a measured load yet, this is the load
/// measured for its key.
double MeasuredLoadOfUnit(const MeasuredLoad& measured, const UnitId& unit, std::uint64_t key_hash);

ServiceLoad ComputeServiceLoad(const ControlState& state, std::string_view service,
                               const MeasuredLoad& measured);

double MaxOverMean(const ServiceLoad& load);
double MinOverMean(const ServiceLoad& load);

/// Sum of the sessions' absolute deviations from the mean load, as a fraction of the total load: 0
/// when balanced. Unlike max over mean load, it decreases with each useful move, also when several
/// sessions have the maximum load.
double RelativeDeviation(const ServiceLoad& load);

SessionId SessionWithMaxLoad(const ServiceLoad& load);
SessionId SessionWithMinLoad(const ServiceLoad& load);

}  // namespace sassafrasbay::placement

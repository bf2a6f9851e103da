#pragma once

#include <map>
#include <string_view>
#include <vector>

#include "LibControl/placement.h"

// Internal to the planner: the load of one service as it will be when running moves are complete.

namespace sassafrasbay::placement {

/// A unit that no move is running for.
struct MovableUnit {
  UnitId id_;
  SessionId owner_;
  Offset token_ = 0;
  double load_ = 0;
};

struct ServiceLoad {
  std::map<SessionId, double> sessions_;  ///< Active sessions that aren't draining.
  std::vector<MovableUnit> units_;
  std::size_t running_moves_ = 0;
  double measured_total_ = 0;  ///< Requests per second; 0 when idle.
};

/// Requests per second of a unit; for a new override, what was measured for its key.
double MeasuredOf(const MeasuredLoad& measured, const UnitId& unit, std::uint64_t key_hash);

ServiceLoad LoadOfService(const ControlState& state, std::string_view service,
                          const MeasuredLoad& measured);

double MaxOverMean(const ServiceLoad& load);
double MinOverMean(const ServiceLoad& load);

/// Sum of the distances from the mean, as a part of the total load: 0 when balanced. Other than max
/// over mean it falls with every useful move, also while several sessions share the maximum.
double Spread(const ServiceLoad& load);

SessionId MostLoaded(const ServiceLoad& load);
SessionId LeastLoaded(const ServiceLoad& load);

}  // namespace sassafrasbay::placement

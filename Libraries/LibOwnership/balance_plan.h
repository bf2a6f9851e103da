#pragma once

#include <span>
#include <vector>

#include "LibOwnership/key_table.h"

namespace sassafrasbay {

/// Demand for a span of keys of one upstream.
struct KeyDemand {
  KeySpan keys_;
  double per_second_ = 0;  ///< Requests per second.
};

/// Demand on one upstream and its capacity.
struct UpstreamDemand {
  Holder holder_;
  double capacity_per_second_ = 0;  ///< Requests that the upstream can complete per second.
  std::vector<KeyDemand> pieces_;   ///< In ascending order of keys.
  /// Demand for keys that are moving to this upstream. A plan doesn't move these keys again.
  double incoming_per_second_ = 0;
};

/// Keys to be moved from one upstream to another in order to balance the demand.
struct PlannedMove {
  Holder owner_;
  KeySpan keys_;
  Holder successor_;
  double per_second_ = 0;  ///< Requests per second for the keys at the time of planning.
};

/// Demand on an upstream as a fraction of its capacity.
double Utilization(const UpstreamDemand& upstream);

/// Plans moves that balance the utilization of the upstreams. Returns no moves while no upstream is
/// near its capacity or the utilization is about equal.
///
/// Designed for demand that is concentrated on a few adjacent keys which change within seconds, and
/// for upstreams of different speed.
std::vector<PlannedMove> PlanBalance(std::span<const UpstreamDemand> upstreams);

}  // namespace sassafrasbay

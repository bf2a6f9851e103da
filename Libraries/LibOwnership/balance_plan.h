#pragma once

#include <span>
#include <vector>

#include "LibOwnership/key_table.h"

namespace sassafrasbay {

/// Keys of an upstream with the requests a second for them.
struct KeyDemand {
  KeySpan keys_;
  double per_second_ = 0;
};

/// Demand on one upstream and what it can serve.
struct UpstreamDemand {
  Holder holder_;
  double capacity_per_second_ = 0;  ///< Requests that it can finish.
  std::vector<KeyDemand> pieces_;   ///< Ascending by key.
  double incoming_per_second_ = 0;  ///< For keys that are on their way to it; they stay there.
};

struct PlannedMove {
  Holder owner_;
  KeySpan keys_;
  Holder successor_;
  double per_second_ = 0;  ///< Demand for the keys when the move was planned.
};

/// Demand on an upstream as a share of what it can serve.
double Utilization(const UpstreamDemand& upstream);

/// Moves that even out the use of the upstreams. Pattern: the busy keys are few neighbours, which
/// keys are busy changes within seconds, and upstreams differ in speed. Empty while no upstream is
/// near its capacity or the use is about even.
std::vector<PlannedMove> PlanBalance(std::span<const UpstreamDemand> upstreams);

}  // namespace sassafrasbay

#pragma once

#include "LibCore/error.h"
#include "LibCore/state_chart.h"

namespace sassafrasbay {

/// The compiled-in state charts, parsed.
struct Charts {
  StateChart node_lifecycle_;
  StateChart unit_ownership_;
  StateChart upstream_health_;
  StateChart request_;
};

/// Errors: kMalformed, naming the chart.
Result<Charts> LoadCharts();

}  // namespace sassafrasbay

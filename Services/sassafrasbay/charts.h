#pragma once

#include "LibCore/error.h"
#include "LibCore/state_chart.h"

namespace sassafrasbay {

/// The parsed state charts that are compiled into the program.
struct Charts {
  StateChart node_lifecycle_;
  StateChart unit_ownership_;
  StateChart upstream_health_;
  StateChart request_;
};

/// Errors: kMalformed; the error names the chart.
Result<Charts> LoadCharts();

}  // namespace sassafrasbay

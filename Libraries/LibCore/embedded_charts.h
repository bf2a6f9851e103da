#pragma once

#include <string_view>

namespace sassafrasbay {

/// TOML text of the chart files compiled into the program, for ParseStateChart.
std::string_view NodeLifecycleChartText();
std::string_view UnitOwnershipChartText();
std::string_view UpstreamHealthChartText();
std::string_view RequestChartText();

}  // namespace sassafrasbay

#include "LibCore/embedded_charts.h"

namespace sassafrasbay {
namespace charts {

// Defined in files that Meta/cmake/embed_charts.cmake generates from the chart files.
extern const char kNodeLifecycle[];
extern const char kUnitOwnership[];
extern const char kUpstreamHealth[];
extern const char kRequest[];

}  // namespace charts

std::string_view NodeLifecycleChartText() { return charts::kNodeLifecycle; }

std::string_view UnitOwnershipChartText() { return charts::kUnitOwnership; }

std::string_view UpstreamHealthChartText() { return charts::kUpstreamHealth; }

std::string_view RequestChartText() { return charts::kRequest; }

}  // namespace sassafrasbay

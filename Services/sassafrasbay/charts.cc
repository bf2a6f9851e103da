#include "charts.h"

#include "LibCore/embedded_charts.h"

namespace sassafrasbay {

Result<Charts> LoadCharts() {
  Charts charts;
  SASSAFRASBAY_TRY(node_lifecycle, ParseStateChart("node_lifecycle", NodeLifecycleChartText()));
  SASSAFRASBAY_TRY(unit_ownership, ParseStateChart("unit_ownership", UnitOwnershipChartText()));
  SASSAFRASBAY_TRY(upstream_health, ParseStateChart("upstream_health", UpstreamHealthChartText()));
  SASSAFRASBAY_TRY(request, ParseStateChart("request", RequestChartText()));
  charts.node_lifecycle_ = std::move(node_lifecycle);
  charts.unit_ownership_ = std::move(unit_ownership);
  charts.upstream_health_ = std::move(upstream_health);
  charts.request_ = std::move(request);
  return charts;
}

}  // namespace sassafrasbay

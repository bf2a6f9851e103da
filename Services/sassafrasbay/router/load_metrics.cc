#include "router/load_metrics.h"

namespace sassafrasbay {

void PublishLoad(Metrics& metrics, const GateLoad& load, double accepted_ratio) {
  metrics.SetGauge("sassafrasbay_upstream_usable_slots", {}, load.slots_);
  metrics.SetGauge("sassafrasbay_upstream_running", {}, load.running_);
  metrics.SetGauge("sassafrasbay_upstream_waiting", {}, load.waiting_);
  metrics.SetGauge("sassafrasbay_upstream_arrivals_per_second", {}, load.arrivals_per_second_);
  metrics.SetGauge("sassafrasbay_upstream_slowness_percent", {}, load.slowness_percent_);
  metrics.SetGauge("sassafrasbay_upstream_accepted_ratio", {}, accepted_ratio);
}

}  // namespace sassafrasbay

#pragma once

#include "LibCore/metrics.h"
#include "LibRouting/node_messages.h"

namespace sassafrasbay {

/// Sets the gauges that show the load of the upstream beside this node as it is reported.
void PublishLoad(Metrics& metrics, const GateLoad& load, double accepted_ratio);

}  // namespace sassafrasbay

#pragma once

#include "LibCore/clock.h"

namespace sassafrasbay {

/// What became of the requests for one other node, decayed. Each node keeps one for each other.
struct SendThrottle {
  double offered_ = 0;  ///< Requests for that node, sent or held back.
  double held_ = 0;     ///< Of these, those held back.
  double refused_ = 0;  ///< Of those sent, those that found no slot or got no answer in time.
  BootTime decayed_at_{};
};

/// Counts a request for that node and decides whether it is sent. Pattern: one key gets so many
/// requests that the node beside its owner spends all its processor time on refusing them. Far more
/// requests than it accepts are held back where they came in; some more are sent, so that a change
/// shows. `sample` is uniform in [0, 1).
bool MaySend(SendThrottle& throttle, BootTime now, double sample);

/// Counts a sent request that found no slot.
void CountRefused(SendThrottle& throttle);

/// Requests that each one sent stands for, those held back included; at least 1.
double SamplingWeight(const SendThrottle& throttle);

}  // namespace sassafrasbay

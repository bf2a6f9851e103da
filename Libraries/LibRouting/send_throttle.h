#pragma once

#include "LibCore/clock.h"

namespace sassafrasbay {

/// Client-side throttle for the requests to one other node. Counts are exponentially decayed.
struct SendThrottle {
  double offered_ = 0;    ///< Requests for the node, both sent and held back.
  double held_back_ = 0;  ///< Requests that were held back.
  double refused_ = 0;    ///< Sent requests that found no slot or got no answer in time.
  BootTime decayed_at_{};
};

/// Counts a request for the node and decides whether it is sent. Requests far beyond what the node
/// accepts are held back at the node that received them, at random; some more than accepted are
/// sent, so that a change is noticed. `sample` is uniform in [0, 1).
///
/// Load: one key gets so many requests that the node beside its owner would spend all its processor
/// time on refusing them.
bool MaySend(SendThrottle& throttle, BootTime now, double sample);

/// Counts a sent request that found no slot.
void CountRefused(SendThrottle& throttle);

/// Number of requests that a sent one represents, including those held back; at least 1. It is the
/// inverse of the probability that a request is sent.
double SamplingWeight(const SendThrottle& throttle);

}  // namespace sassafrasbay

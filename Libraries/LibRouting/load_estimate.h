#pragma once

#include <cstdint>

#include "LibCore/clock.h"
#include "LibRouting/node_messages.h"

namespace sassafrasbay {

/// Smoothed rate of the requests that arrive at an upstream.
struct ArrivalRate {
  double decayed_ = 0;     ///< Exponentially decayed sum of the arrivals, at `counted_at_`.
  BootTime counted_at_{};  ///< The last arrival.
  BootTime started_at_{};  ///< The first arrival.
};

void CountArrival(ArrivalRate& rate, BootTime now);

/// Requests per second; falls towards 0 while none arrive.
double RatePerSecond(const ArrivalRate& rate, BootTime now);

/// Slowness that an upstream states in its responses.
struct SlownessWindow {
  double percent_ = kUsualSlownessPercent;  ///< Smoothed.
  BootTime recorded_at_{};
};

void RecordSlowness(SlownessWindow& window, std::uint32_t percent, BootTime now);

/// As usual when the upstream has stated nothing in the last 400 ms.
std::uint32_t SlownessPercent(const SlownessWindow& window, BootTime now);

/// Smoothed ratio of the requests that the upstream didn't reject as not run.
struct AcceptedRatio {
  double ratio_ = 1;
  BootTime recorded_at_{};
};

/// The ratio approaches 1 while no requests are sent.
double RatioAt(const AcceptedRatio& ratio, BootTime now);

void RecordAccepted(AcceptedRatio& ratio, bool accepted, BootTime now);

/// Slots of which the free ones are scaled by the ratio of accepted requests; at least 1 of a
/// positive number, so that an upstream that rejects all requests still gets a few.
std::uint32_t AcceptingSlots(std::uint32_t slots, std::uint32_t running, const AcceptedRatio& ratio,
                             BootTime now);

/// What is known of the load of an upstream and of what may have changed since.
struct HeardLoad {
  GateLoad load_;
  double age_ms_ = 0;             ///< Time since the load was received.
  std::uint32_t sent_since_ = 0;  ///< Requests that this node has sent to the upstream since.
  double service_ms_ = 0;         ///< Of the requests of the class; 0 when unknown.
};

/// Load of an upstream at present.
struct LoadEstimate {
  double outstanding_ = 0;  ///< Requests that run and wait.
  double known_ = 1;        ///< Fraction of the reported requests that haven't ended since.
};

LoadEstimate EstimateLoad(const HeardLoad& heard);

/// Slowness of the upstream now relative to its service time; 1 is as usual.
double EstimateSlowness(const HeardLoad& heard);

}  // namespace sassafrasbay

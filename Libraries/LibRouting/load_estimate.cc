#include "LibRouting/load_estimate.h"

#include <algorithm>
#include <cmath>

namespace sassafrasbay {
namespace {

/// Time constant of the arrival rate. An upstream gets 10 to 50 requests a second, and all nodes
/// react to its rate: with 2 s, 13% of the attempts at a load of 0.8 left the data centre in the
/// test EvenLoad, with 8 s it was 11%. Bursts of 5 s are spread alike with both.
constexpr double kArrivalSmoothingSeconds = 8;

/// Minimum time for which the first rate of a gate counts.
constexpr double kMinRateSeconds = 1;

/// Service time that is assumed until one has been measured.
constexpr double kDefaultServiceMs = 100;

/// Upstreams are slow in periods of this length; an older statement says nothing about the present.
constexpr milliseconds kSlownessWindow{400};

/// Weight of one response in the smoothed slowness and in the smoothed ratio of accepted requests.
constexpr double kSlownessWeight = 0.3;
constexpr double kAcceptedWeight = 0.05;

/// The ratio of accepted requests approaches 1 with this time constant while none are sent.
constexpr double kAcceptedRecoverySeconds = 10;

/// Bounds the share of an upstream that states that it is faster than usual.
constexpr double kMinSlowness = 0.5;

double SecondsBetween(BootTime from, BootTime to) {
  return std::max(0.0, std::chrono::duration<double>(to - from).count());
}

/// The sum of all arrivals, each divided by the time constant and decayed since.
double Decayed(const ArrivalRate& rate, BootTime now) {
  return rate.decayed_ *
         std::exp(-SecondsBetween(rate.counted_at_, now) / kArrivalSmoothingSeconds);
}

/// Service time of the requests at the upstream, which can be of other classes than the one chosen
/// for.
double MeanServiceMs(const HeardLoad& heard) {
  if (heard.load_.mean_service_ms_ > 0) {
    return heard.load_.mean_service_ms_;
  }
  return heard.service_ms_ > 0 ? heard.service_ms_ : kDefaultServiceMs;
}

}  // namespace

// The decayed sum rises to the rate within some time constants. Until then it is divided by what it
// would be at a rate of 1: an upstream whose gate has restarted would seem to have room.
double RatePerSecond(const ArrivalRate& rate, BootTime now) {
  const double since_start = SecondsBetween(rate.started_at_, now);
  const double known =
      1 - std::exp(-std::max(since_start, kMinRateSeconds) / kArrivalSmoothingSeconds);
  return Decayed(rate, now) / known;
}

void CountArrival(ArrivalRate& rate, BootTime now) {
  if (rate.counted_at_ == BootTime{}) {
    rate.started_at_ = now;
  }
  rate.decayed_ = Decayed(rate, now) + 1 / kArrivalSmoothingSeconds;
  rate.counted_at_ = now;
}

void RecordSlowness(SlownessWindow& window, std::uint32_t percent, BootTime now) {
  const bool current = now - window.recorded_at_ <= kSlownessWindow;
  window.percent_ = current ? window.percent_ + kSlownessWeight * (percent - window.percent_)
                            : static_cast<double>(percent);
  window.recorded_at_ = now;
}

std::uint32_t SlownessPercent(const SlownessWindow& window, BootTime now) {
  if (now - window.recorded_at_ > kSlownessWindow) {
    return kUsualSlownessPercent;
  }
  return static_cast<std::uint32_t>(std::lround(window.percent_));
}

double RatioAt(const AcceptedRatio& ratio, BootTime now) {
  const double seconds = SecondsBetween(ratio.recorded_at_, now);
  return 1 - (1 - ratio.ratio_) * std::exp(-seconds / kAcceptedRecoverySeconds);
}

void RecordAccepted(AcceptedRatio& ratio, bool accepted, BootTime now) {
  const double before = RatioAt(ratio, now);
  ratio.ratio_ = before + kAcceptedWeight * ((accepted ? 1.0 : 0.0) - before);
  ratio.recorded_at_ = now;
}

// The slots in use aren't scaled: with them, an upstream that accepts half of its requests would
// seem full with half of its slots free, and requests were refused although it would have taken
// them.
std::uint32_t AcceptingSlots(std::uint32_t slots, std::uint32_t running, const AcceptedRatio& ratio,
                             BootTime now) {
  const std::uint32_t in_use = std::min(running, slots);
  const auto scaled =
      in_use + static_cast<std::uint32_t>(std::lround((slots - in_use) * RatioAt(ratio, now)));
  return std::max(scaled, std::min<std::uint32_t>(slots, 1));
}

// The load approaches the mean number of requests of an upstream with this arrival rate and service
// time (Little's law). While requests wait, they end only as fast as the slots allow. The node's
// own requests are counted exactly and are part of the arrivals, so the larger number applies. A
// node that reports requests but no arrivals is of a version without rates; its load is taken as it
// is.
LoadEstimate EstimateLoad(const HeardLoad& heard) {
  const double slots = std::max<std::uint32_t>(heard.load_.slots_, 1);
  const double reported = static_cast<double>(heard.load_.running_) + heard.load_.waiting_;
  const double arrivals_per_ms = heard.load_.arrivals_per_second_ / 1000;
  if (arrivals_per_ms <= 0) {
    return {reported + heard.sent_since_, 1};
  }
  const double service_ms = MeanServiceMs(heard);
  const double busy_ms = std::clamp((reported - slots) * service_ms / slots, 0.0, heard.age_ms_);
  const double known = std::exp(-(heard.age_ms_ - busy_ms) / service_ms);
  const double remaining = (reported - busy_ms * slots / service_ms) * known;
  const double arrived = arrivals_per_ms * (busy_ms + service_ms * (1 - known));
  return {remaining + std::max<double>(arrived, heard.sent_since_), known};
}

double EstimateSlowness(const HeardLoad& heard) {
  const double excess =
      static_cast<double>(heard.load_.slowness_percent_) / kUsualSlownessPercent - 1;
  const double window_ms = static_cast<double>(kSlownessWindow.count());
  return std::max(kMinSlowness, 1 + excess * std::exp(-heard.age_ms_ / window_ms));
}

}  // namespace sassafrasbay

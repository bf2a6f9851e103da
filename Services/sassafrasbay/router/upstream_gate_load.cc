#include <algorithm>
#include <cmath>
#include <map>
#include <utility>

#include "platform/request_translation.h"
#include "router/upstream_gate.h"

namespace sassafrasbay {
namespace {

/// Maximum number of key ranges in a demand report.
constexpr std::size_t kMaxDemandRanges = 32;

/// Service time that is assumed until one has been measured.
constexpr double kDefaultServiceMs = 100;

/// A reported service time is halved after each such time without a sample.
constexpr milliseconds kServiceTimeHalfLife{3000};

/// Minimum success ratio that is used for the capacity.
constexpr double kMinSuccessRatio = 0.2;

double MillisecondsBetween(BootTime time, BootTime now) {
  return std::chrono::duration<double, std::milli>(now - time).count();
}

}  // namespace

GateLoad UpstreamGate::Load() const {
  const BootTime now = BootClock::now();
  GateLoad load = {
      IsUsable() ? AcceptingSlots(UsableSlots(queue_), queue_.running_, accepted_, now) : 0,
      queue_.running_,
      static_cast<std::uint32_t>(queue_.waiting_.size()),
      RatePerSecond(arrivals_, now),
      SlownessPercent(slowness_, now),
      static_cast<std::uint32_t>(std::lround(queue_.mean_service_ms_))};
  load.admitted_rank_ = AdmittedRank(queue_.history_, now);
  return load;
}

double UpstreamGate::AcceptedRatioNow() const { return RatioAt(accepted_, BootClock::now()); }

double UpstreamGate::SampledServiceMs(std::string_view request_class, BootTime now) const {
  const auto sampled = last_sampled_.find(request_class);
  const auto time = queue_.service_ms_.find(request_class);
  if (sampled == last_sampled_.end() || time == queue_.service_ms_.end()) {
    return 0;
  }
  const double age = std::chrono::duration<double>(now - sampled->second) / kServiceTimeHalfLife;
  return time->second * std::exp2(-std::floor(age));
}

// The value that ServiceTimes states for the class, without making the list.
double UpstreamGate::ServiceTimeMs(std::string_view request_class) const {
  const BootTime now = BootClock::now();
  double longest = SampledServiceMs(request_class, now);
  for (const auto& [number, open] : open_requests_) {
    if (open.call_ != 0 && open.request_.class_ == request_class) {
      longest = std::max(longest, MillisecondsBetween(open.started_, now));
    }
  }
  return longest;
}

// A slow upstream gets few requests, so samples are rare. Running requests count with the time that
// they have taken so far, and without samples the time is halved until requests arrive again.
std::vector<ServiceTime> UpstreamGate::ServiceTimes() const {
  const BootTime now = BootClock::now();
  std::map<std::string_view, double> times;
  for (const auto& [request_class, sampled] : last_sampled_) {
    if (const double time = SampledServiceMs(request_class, now); time > 0) {
      times[request_class] = time;
    }
  }
  for (const auto& [number, open] : open_requests_) {
    if (open.call_ != 0) {
      double& time = times[open.request_.class_];
      time = std::max(time, MillisecondsBetween(open.started_, now));
    }
  }
  std::vector<ServiceTime> reported;
  reported.reserve(times.size());
  for (const auto& [request_class, time] : times) {
    reported.push_back({std::string(request_class), static_cast<std::uint32_t>(time)});
  }
  return reported;
}

std::optional<DemandReport> UpstreamGate::Demand() {
  if (upstream_ == nullptr) {
    return std::nullopt;
  }
  Decay(key_load_, BootClock::now());
  DemandReport report;
  report.address_ = shared_.self_;
  report.service_ = upstream_->service_;
  const double service_ms =
      queue_.mean_service_ms_ > 0 ? queue_.mean_service_ms_ : kDefaultServiceMs;
  report.capacity_per_second_ =
      queue_.slots_ * 1000.0 / service_ms * std::max(success_ratio_, kMinSuccessRatio);
  // The rate of a cold upstream isn't its capacity: it applies for seconds only, and keys that move
  // away would make their new owner cold for them.
  if (named_rate_) {
    report.capacity_per_second_ = std::min(report.capacity_per_second_, *named_rate_);
  }
  report.pieces_ = PartitionKeyLoad(key_load_, kMaxDemandRanges);
  return report;
}

void UpstreamGate::RecordLoad(const HttpResponse& response, bool accepted) {
  const BootTime now = BootClock::now();
  RecordAccepted(accepted_, accepted, now);
  const auto load = platform::ReadUpstreamLoad(response);
  if (load && load->slowness_percent_) {
    RecordSlowness(slowness_, *load->slowness_percent_, now);
  }
}

}  // namespace sassafrasbay

#include "LibRouting/upstream_choice.h"

#include <algorithm>
#include <vector>

namespace sassafrasbay {
namespace {

/// Added cost of another data centre: its load, as a fraction of the slots, must be lower by this.
/// Traffic between data centres is paid for, but a full upstream costs a caller more.
constexpr double kCrossDataCentrePenalty = 0.3;

/// Added cost of an upstream with recent failures. It is still chosen when the load of the others
/// is higher by this, so that its recovery is noticed.
constexpr double kFailurePenalty = 0.8;

/// Weight of the service time relative to the median of the candidates. Upstreams of a service
/// differ threefold in speed, and degraded ones take up to twelve times as long.
constexpr double kServiceTimeWeight = 0.6;

/// Added cost of an upstream without a free slot. It is chosen when the others are full too or cost
/// more by this.
constexpr double kNoFreeSlotPenalty = 1.3;

/// Median of the known service times (the upper one of an even number); 0 when none is known.
double MedianServiceTimeMs(std::span<const UpstreamCandidate> candidates) {
  std::vector<double> times;
  for (const UpstreamCandidate& candidate : candidates) {
    if (candidate.service_ms_ > 0) {
      times.push_back(candidate.service_ms_);
    }
  }
  if (times.empty()) {
    return 0;
  }
  const auto middle = times.begin() + static_cast<std::ptrdiff_t>(times.size() / 2);
  std::nth_element(times.begin(), middle, times.end());
  return *middle;
}

/// Cost of sending a request to the candidate; a load of 1 means that all slots are occupied.
double Cost(const UpstreamCandidate& candidate, double median_ms) {
  const double load = (candidate.outstanding_requests_ + 1.0) / candidate.slots_;
  const double relative_service_time =
      candidate.service_ms_ > 0 ? candidate.service_ms_ / median_ms : 1;
  return load + (candidate.same_data_centre_ ? 0 : kCrossDataCentrePenalty) +
         (candidate.failing_ ? kFailurePenalty : 0) + kServiceTimeWeight * relative_service_time +
         (candidate.outstanding_requests_ >= candidate.slots_ ? kNoFreeSlotPenalty : 0);
}

}  // namespace

std::optional<std::size_t> ChooseUpstream(std::span<const UpstreamCandidate> candidates,
                                          double sample) {
  if (candidates.empty()) {
    return std::nullopt;
  }
  const double median_ms = MedianServiceTimeMs(candidates);
  const auto start = static_cast<std::size_t>(sample * static_cast<double>(candidates.size()));
  std::size_t best = start % candidates.size();
  double best_cost = Cost(candidates[best], median_ms);
  for (std::size_t i = 1; i < candidates.size(); ++i) {
    const std::size_t index = (start + i) % candidates.size();
    const double cost = Cost(candidates[index], median_ms);
    if (cost < best_cost) {
      best = index;
      best_cost = cost;
    }
  }
  return best;
}

}  // namespace sassafrasbay

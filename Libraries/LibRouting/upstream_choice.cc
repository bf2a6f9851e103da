#include "LibRouting/upstream_choice.h"

#include <algorithm>
#include <vector>

namespace sassafrasbay {
namespace {

/// Load, as a share of the slots, that an upstream of another data centre must be lower by. Bytes
/// between data centres are paid for, but a full upstream costs a caller more.
constexpr double kDistancePenalty = 0.3;

/// A failing upstream is still chosen when the others are this much fuller, so that its recovery is
/// noticed.
constexpr double kFailurePenalty = 0.8;

/// Load, as a share of the slots, that an upstream must be lower by for each time that it takes the
/// typical service time longer. Upstreams of a service differ threefold in speed, and slow ones
/// take up to twelve times as long.
constexpr double kSlownessPenalty = 0.6;

/// An upstream without a free slot is chosen when the others are full too or this much worse.
constexpr double kFullPenalty = 1.3;

/// The median of the known service times; 0 when none is known.
double TypicalServiceTime(std::span<const UpstreamCandidate> options) {
  std::vector<double> times;
  for (const UpstreamCandidate& option : options) {
    if (option.service_ms_ > 0) {
      times.push_back(option.service_ms_);
    }
  }
  if (times.empty()) {
    return 0;
  }
  const auto middle = times.begin() + static_cast<std::ptrdiff_t>(times.size() / 2);
  std::nth_element(times.begin(), middle, times.end());
  return *middle;
}

double Cost(const UpstreamCandidate& option, double typical_ms) {
  const double load = (option.outstanding_requests_ + 1.0) / option.slots_;
  const double slowness = option.service_ms_ > 0 ? option.service_ms_ / typical_ms : 1;
  return load + (option.same_data_centre_ ? 0 : kDistancePenalty) +
         (option.failing_ ? kFailurePenalty : 0) + kSlownessPenalty * slowness +
         (option.outstanding_requests_ >= option.slots_ ? kFullPenalty : 0);
}

}  // namespace

std::optional<std::size_t> ChooseUpstream(std::span<const UpstreamCandidate> options,
                                          double sample) {
  if (options.empty()) {
    return std::nullopt;
  }
  const double typical_ms = TypicalServiceTime(options);
  const auto start = static_cast<std::size_t>(sample * static_cast<double>(options.size()));
  std::size_t best = start % options.size();
  double best_cost = Cost(options[best], typical_ms);
  for (std::size_t i = 1; i < options.size(); ++i) {
    const std::size_t index = (start + i) % options.size();
    const double cost = Cost(options[index], typical_ms);
    if (cost < best_cost) {
      best = index;
      best_cost = cost;
    }
  }
  return best;
}

}  // namespace sassafrasbay

#include "LibRouting/upstream_choice.h"

#include <cmath>

namespace sassafrasbay {
namespace {

/// Load, as a share of the slots, that an upstream of another data centre must be lower by. Bytes
/// between data centres are paid for, but a full upstream costs a caller more.
constexpr double kDistancePenalty = 0.3;

/// A failing upstream is still chosen when the others are this much fuller, so that its recovery is
/// noticed.
constexpr double kFailurePenalty = 0.8;

double Cost(const UpstreamOption& option) {
  const double load = (option.in_use_ + 1.0) / option.slots_;
  return load + (option.same_data_centre_ ? 0 : kDistancePenalty) +
         (option.failing_ ? kFailurePenalty : 0);
}

}  // namespace

std::optional<std::size_t> ChooseUpstream(std::span<const UpstreamOption> options, double sample) {
  if (options.empty()) {
    return std::nullopt;
  }
  const auto start = static_cast<std::size_t>(sample * static_cast<double>(options.size()));
  std::size_t best = start % options.size();
  for (std::size_t i = 1; i < options.size(); ++i) {
    const std::size_t index = (start + i) % options.size();
    if (Cost(options[index]) < Cost(options[best])) {
      best = index;
    }
  }
  return best;
}

}  // namespace sassafrasbay

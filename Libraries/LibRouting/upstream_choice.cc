#include "LibRouting/upstream_choice.h"

#include <algorithm>
#include <array>

namespace sassafrasbay {
namespace {

/// Other data centres are used when a smaller fraction of the slots than this is free in the own
/// one. Traffic between data centres is paid for, but a full upstream costs a caller more.
constexpr double kMinFreeFraction = 0.4;

/// Excess of the free fraction of the other data centres at which they are used in full. All nodes
/// of a data centre see the same load, so that a smaller value makes them change sides together:
/// with 0.2, 23% of the attempts at a load of 0.8 left the data centre in the test EvenLoad, with
/// 0.5 it was 11%.
constexpr double kFreeFractionExcess = 0.5;

/// Factor of the weight of an upstream with recent failures. It gets some requests even when others
/// have free slots, so that its recovery is noticed.
constexpr double kFailingWeight = 0.02;

/// Weight of a slot that is in use, relative to a free one. The smallest number of free slots would
/// otherwise attract the requests of all nodes.
constexpr double kOccupiedSlotWeight = 0.02;

/// Speed relative to the median below which the weight falls with the fourth power. Upstreams of a
/// service differ threefold in speed; a degraded one can take up to twelve times as long, so that
/// waiting for the others takes less time.
constexpr double kDegradedSpeed = 0.4;

/// Weight of the estimated part of the load in the utilisation. All nodes react to estimates with
/// the same delay: with a weight of 1, 53% of the attempts at a load of 0.8 met a full upstream in
/// the test EvenLoad, with 0.25 it was 43%.
constexpr double kEstimateWeight = 0.25;

/// The median of more candidates is taken from a sample of about this size.
constexpr std::size_t kMaxMedianSample = 64;

/// Capacity and load of the upstreams inside or outside of the data centre. The unit is a slot of
/// an upstream of median speed.
struct Group {
  double slots_ = 0;
  double usable_slots_ = 0;  ///< Less for failing upstreams.
  double outstanding_ = 0;   ///< In the usable slots.
  double weight_ = 0;        ///< Sum of the weights.
};

struct Groups {
  Group near_;
  Group far_;
};

template <typename Pair>
auto& GroupOf(Pair& groups, const UpstreamCandidate& candidate) {
  return candidate.same_data_centre_ ? groups.near_ : groups.far_;
}

/// Median of the known service times (the upper one of an even number); 0 when none is known.
double MedianServiceTimeMs(std::span<const UpstreamCandidate> candidates) {
  std::array<double, kMaxMedianSample> times{};
  const std::size_t step = (candidates.size() + kMaxMedianSample - 1) / kMaxMedianSample;
  std::size_t count = 0;
  for (std::size_t i = 0; i < candidates.size(); i += step) {
    if (candidates[i].service_ms_ > 0) {
      times.at(count++) = candidates[i].service_ms_;
    }
  }
  if (count == 0) {
    return 0;
  }
  auto* const middle = times.data() + count / 2;
  std::nth_element(times.data(), middle, times.data() + count);
  return *middle;
}

/// Speed relative to the median.
double Speed(const UpstreamCandidate& candidate, double median_ms) {
  const double usual = candidate.service_ms_ > 0 ? median_ms / candidate.service_ms_ : 1;
  return usual / candidate.slowness_;
}

double Preference(const UpstreamCandidate& candidate, double speed) {
  const double degraded = std::min(1.0, speed / kDegradedSpeed);
  return speed * degraded * degraded * degraded * (candidate.failing_ ? kFailingWeight : 1);
}

/// Requests relative to the usable slots; above 1 when requests wait.
double Utilisation(const Group& group) {
  return group.usable_slots_ > 0 ? group.outstanding_ / group.usable_slots_ : 0;
}

/// Free slots relative to all; negative when requests wait.
double FreeFraction(const Group& group) {
  return group.slots_ > 0 ? (group.usable_slots_ - group.outstanding_) / group.slots_ : 0;
}

/// The older the load, the closer to the mean of the group the utilisation is taken to be.
double Weight(const UpstreamCandidate& candidate, double speed, double mean_utilisation) {
  const double reaction = kEstimateWeight + (1 - kEstimateWeight) * candidate.known_;
  const double utilisation =
      mean_utilisation + reaction * (candidate.outstanding_ / candidate.slots_ - mean_utilisation);
  const double free_slots = candidate.slots_ * (1 - utilisation);
  const double requests_ahead = std::max(0.0, 1 - free_slots);
  return Preference(candidate, speed) *
         (std::max(0.0, free_slots) +
          kOccupiedSlotWeight * candidate.slots_ / (1 + requests_ahead));
}

Groups Summarize(std::span<const UpstreamCandidate> candidates, double median_ms) {
  Groups groups;
  for (const UpstreamCandidate& candidate : candidates) {
    const double speed = Speed(candidate, median_ms);
    const double preference = Preference(candidate, speed);
    Group& group = GroupOf(groups, candidate);
    group.slots_ += speed * candidate.slots_;
    group.usable_slots_ += preference * candidate.slots_;
    group.outstanding_ += preference * candidate.outstanding_;
  }
  return groups;
}

/// Factor of the weights of the upstreams in other data centres.
double FarWeight(const Groups& groups) {
  if (groups.near_.slots_ <= 0) {
    return 1;
  }
  const double near_free = FreeFraction(groups.near_);
  const double need = std::clamp(1 - near_free / kMinFreeFraction, 0.0, 1.0);
  const double excess = (FreeFraction(groups.far_) - near_free) / kFreeFractionExcess;
  return need * std::clamp(excess, 0.0, 1.0);
}

}  // namespace

std::optional<std::size_t> ChooseUpstream(std::span<const UpstreamCandidate> candidates,
                                          double sample) {
  if (candidates.empty()) {
    return std::nullopt;
  }
  const double median_ms = MedianServiceTimeMs(candidates);
  Groups groups = Summarize(candidates, median_ms);
  const double near_utilisation = Utilisation(groups.near_);
  const double far_utilisation = Utilisation(groups.far_);
  const auto weight_of = [&](const UpstreamCandidate& candidate) {
    return Weight(candidate, Speed(candidate, median_ms),
                  candidate.same_data_centre_ ? near_utilisation : far_utilisation);
  };
  for (const UpstreamCandidate& candidate : candidates) {
    GroupOf(groups, candidate).weight_ += weight_of(candidate);
  }
  const double far_weight = FarWeight(groups);
  double left = sample * (groups.near_.weight_ + far_weight * groups.far_.weight_);
  std::size_t chosen = 0;
  for (std::size_t i = 0; i < candidates.size(); ++i) {
    const double weight =
        weight_of(candidates[i]) * (candidates[i].same_data_centre_ ? 1 : far_weight);
    if (weight <= 0) {
      continue;
    }
    chosen = i;
    left -= weight;
    if (left < 0) {
      break;
    }
  }
  return chosen;
}

}  // namespace sassafrasbay

#include "LibOwnership/balance_plan.h"

#include <algorithm>
#include <utility>

namespace sassafrasbay {
namespace {

/// Utilization below which no keys are moved away from an upstream: its requests hardly queue,
/// while a move leaves the keys unserved for about 100 ms.
constexpr double kRebalanceThreshold = 0.55;

/// Utilization above which no keys are moved to an upstream. When all upstreams are saturated,
/// moves only leave keys unserved for a time.
constexpr double kSaturationThreshold = 0.95;

/// Minimum difference between the utilization of two upstreams for a move between them.
constexpr double kMinUtilizationDifference = 0.15;

/// Maximum number of moves in one plan: kMaxMovesPerUpstream for each upstream, but not below
/// kMinMoveLimit. Further moves are planned from the next measurement.
constexpr std::size_t kMaxMovesPerUpstream = 3;
constexpr std::size_t kMinMoveLimit = 24;

/// One upstream during planning.
struct PlannedLoad {
  UpstreamDemand demand_;
  double planned_per_second_ = 0;  ///< Requests per second after the moves planned so far.
  /// Not considered as a source, since no move of its keys lowers the utilization. This is the case
  /// for an upstream with a single hot key.
  bool is_excluded_ = false;
};

double PlannedUtilization(const PlannedLoad& load) {
  return load.planned_per_second_ / std::max(load.demand_.capacity_per_second_, 1.0);
}

double TotalPerSecond(const UpstreamDemand& upstream) {
  double per_second = upstream.incoming_per_second_;
  for (const KeyDemand& piece : upstream.pieces_) {
    per_second += piece.per_second_;
  }
  return per_second;
}

/// The keys whose move results in the lowest maximum of both utilizations; null when no move lowers
/// that maximum by more than 0.02.
KeyDemand* FindKeysToMove(PlannedLoad& from, const PlannedLoad& to) {
  const double before = PlannedUtilization(from);
  double lowest = before - 0.02;
  KeyDemand* choice = nullptr;
  for (KeyDemand& piece : from.demand_.pieces_) {
    const double capacity_from = std::max(from.demand_.capacity_per_second_, 1.0);
    const double capacity_to = std::max(to.demand_.capacity_per_second_, 1.0);
    const double after = std::max((from.planned_per_second_ - piece.per_second_) / capacity_from,
                                  (to.planned_per_second_ + piece.per_second_) / capacity_to);
    if (piece.per_second_ > 0 && after < lowest) {
      lowest = after;
      choice = &piece;
    }
  }
  return choice;
}

}  // namespace

double Utilization(const UpstreamDemand& upstream) {
  return TotalPerSecond(upstream) / std::max(upstream.capacity_per_second_, 1.0);
}

std::vector<PlannedMove> PlanBalance(std::span<const UpstreamDemand> upstreams) {
  std::vector<PlannedLoad> loads;
  for (const UpstreamDemand& upstream : upstreams) {
    loads.push_back({upstream, TotalPerSecond(upstream), false});
  }
  std::vector<PlannedMove> moves;
  if (loads.size() < 2) {
    return moves;
  }
  const auto by_utilization = [](const PlannedLoad& left, const PlannedLoad& right) {
    return PlannedUtilization(left) < PlannedUtilization(right);
  };
  const auto excluded_first = [](const PlannedLoad& left, const PlannedLoad& right) {
    return std::pair(!left.is_excluded_, PlannedUtilization(left)) <
           std::pair(!right.is_excluded_, PlannedUtilization(right));
  };
  const std::size_t max_moves = std::max(kMinMoveLimit, kMaxMovesPerUpstream * loads.size());
  while (moves.size() < max_moves) {
    const auto target = std::min_element(loads.begin(), loads.end(), by_utilization);
    const auto source = std::max_element(loads.begin(), loads.end(), excluded_first);
    if (source->is_excluded_ || PlannedUtilization(*source) < kRebalanceThreshold ||
        PlannedUtilization(*target) > kSaturationThreshold ||
        PlannedUtilization(*source) - PlannedUtilization(*target) < kMinUtilizationDifference) {
      break;
    }
    KeyDemand* piece = FindKeysToMove(*source, *target);
    if (piece == nullptr) {
      source->is_excluded_ = true;
      continue;
    }
    moves.push_back(
        {source->demand_.holder_, piece->keys_, target->demand_.holder_, piece->per_second_});
    source->planned_per_second_ -= piece->per_second_;
    target->planned_per_second_ += piece->per_second_;
    // A plan moves the same keys only once.
    *piece = source->demand_.pieces_.back();
    source->demand_.pieces_.pop_back();
  }
  return moves;
}

}  // namespace sassafrasbay

#include "LibOwnership/balance_plan.h"

#include <algorithm>
#include <utility>

namespace sassafrasbay {
namespace {

/// Use, as a share of the capacity, below which an upstream keeps its keys: its requests hardly
/// wait, and a moved key is unserved for about a tenth of a second.
constexpr double kBusy = 0.55;

/// Use above which an upstream has no room for more. When all are that busy, moves only make keys
/// unserved for a while.
constexpr double kSaturated = 0.95;

/// Least difference in use that is worth a move.
constexpr double kWorthwhileDifference = 0.15;

/// Moves of one plan, for each upstream and at least. Further ones follow from the next
/// measurement.
constexpr std::size_t kMostMovesPerUpstream = 3;
constexpr std::size_t kLeastMoves = 24;

struct Use {
  UpstreamDemand demand_;
  double per_second_ = 0;
  bool is_settled_ = false;  ///< No move of its keys helps, such as those of a single hot key.
};

double ShareOf(const Use& use) {
  return use.per_second_ / std::max(use.demand_.capacity_per_second_, 1.0);
}

double RateOf(const UpstreamDemand& upstream) {
  double per_second = upstream.incoming_per_second_;
  for (const KeyDemand& piece : upstream.pieces_) {
    per_second += piece.per_second_;
  }
  return per_second;
}

/// The piece whose move lowers the greater of the two uses most; null when none does.
KeyDemand* BestPiece(Use& from, const Use& to) {
  const double before = ShareOf(from);
  double best = before - 0.02;
  KeyDemand* choice = nullptr;
  for (KeyDemand& piece : from.demand_.pieces_) {
    const double capacity_from = std::max(from.demand_.capacity_per_second_, 1.0);
    const double capacity_to = std::max(to.demand_.capacity_per_second_, 1.0);
    const double after = std::max((from.per_second_ - piece.per_second_) / capacity_from,
                                  (to.per_second_ + piece.per_second_) / capacity_to);
    if (piece.per_second_ > 0 && after < best) {
      best = after;
      choice = &piece;
    }
  }
  return choice;
}

}  // namespace

double Utilization(const UpstreamDemand& upstream) {
  return RateOf(upstream) / std::max(upstream.capacity_per_second_, 1.0);
}

std::vector<PlannedMove> PlanBalance(std::span<const UpstreamDemand> upstreams) {
  std::vector<Use> uses;
  for (const UpstreamDemand& upstream : upstreams) {
    uses.push_back({upstream, RateOf(upstream), false});
  }
  std::vector<PlannedMove> moves;
  if (uses.size() < 2) {
    return moves;
  }
  const auto less = [](const Use& left, const Use& right) {
    return ShareOf(left) < ShareOf(right);
  };
  const auto less_open = [](const Use& left, const Use& right) {
    return std::pair(!left.is_settled_, ShareOf(left)) <
           std::pair(!right.is_settled_, ShareOf(right));
  };
  const std::size_t most_moves = std::max(kLeastMoves, kMostMovesPerUpstream * uses.size());
  while (moves.size() < most_moves) {
    const auto least = std::min_element(uses.begin(), uses.end(), less);
    const auto most = std::max_element(uses.begin(), uses.end(), less_open);
    if (most->is_settled_ || ShareOf(*most) < kBusy || ShareOf(*least) > kSaturated ||
        ShareOf(*most) - ShareOf(*least) < kWorthwhileDifference) {
      break;
    }
    KeyDemand* piece = BestPiece(*most, *least);
    if (piece == nullptr) {
      most->is_settled_ = true;
      continue;
    }
    moves.push_back(
        {most->demand_.holder_, piece->keys_, least->demand_.holder_, piece->per_second_});
    most->per_second_ -= piece->per_second_;
    least->per_second_ += piece->per_second_;
    // What has just moved isn't moved again in this plan.
    *piece = most->demand_.pieces_.back();
    most->demand_.pieces_.pop_back();
  }
  return moves;
}

}  // namespace sassafrasbay

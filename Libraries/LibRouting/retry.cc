#include "LibRouting/retry.h"

#include <algorithm>
#include <cmath>

namespace sassafrasbay {
namespace {

/// Doublings after which every delay has reached any sensible maximum; keeps the shift defined.
constexpr int kMaxDoublings = 20;

constexpr double kTokensPerRetry = 1.0;

/// Upper bound of the delay before the next attempt.
milliseconds BackoffCeiling(const RetryTerms& terms, int attempts) {
  const int doublings = std::clamp(attempts - 1, 0, kMaxDoublings);
  return std::min(terms.max_delay_, terms.base_delay_ * (1 << doublings));
}

}  // namespace

RetryTerms RetryTermsPerNode(double ratio, double slack, std::size_t nodes) {
  // The rest covers what nodes can't see of each other: calls that a repeated request repeats, and
  // nodes that have started again with a full reserve.
  constexpr double kUsed = 0.5;
  RetryTerms terms;
  terms.budget_percent_ = static_cast<int>(std::lround(kUsed * ratio * 100));
  terms.reserve_ = kUsed * slack / static_cast<double>(std::max<std::size_t>(nodes, 1));
  terms.base_delay_ = milliseconds(0);
  terms.max_delay_ = milliseconds(0);
  return terms;
}

RetryBudget MakeRetryBudget(const RetryTerms& terms) {
  RetryBudget budget;
  budget.terms_ = terms;
  budget.tokens_ = terms.reserve_;
  return budget;
}

void CountSuccess(RetryBudget& budget) {
  // The cap bounds the burst of retries that a long healthy time could otherwise pay for.
  const double cap = std::max(budget.terms_.reserve_, kTokensPerRetry);
  budget.tokens_ = std::min(cap, budget.tokens_ + budget.terms_.budget_percent_ / 100.0);
}

std::optional<milliseconds> DecideRetry(RetryBudget& budget, const RetryContext& question,
                                        BootTime now, std::mt19937_64& random) {
  if (question.suspect_) {
    return std::nullopt;
  }
  if (question.kind_ == RequestKind::kBinding && question.handed_to_upstream_) {
    return std::nullopt;
  }
  if (budget.tokens_ < kTokensPerRetry) {
    return std::nullopt;
  }
  // Full jitter spreads the retries of callers that failed at the same moment.
  std::uniform_int_distribution<milliseconds::rep> jitter(
      0, std::max<milliseconds::rep>(0, BackoffCeiling(budget.terms_, question.attempts_).count()));
  const milliseconds delay(jitter(random));
  if (now + delay >= question.deadline_) {
    return std::nullopt;
  }
  budget.tokens_ -= kTokensPerRetry;
  return delay;
}

}  // namespace sassafrasbay

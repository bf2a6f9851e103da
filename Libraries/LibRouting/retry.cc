#include "LibRouting/retry.h"

#include <algorithm>
#include <cmath>

namespace sassafrasbay {
namespace {

/// Maximum number of doublings of the delay. Any sensible maximum delay is reached by then, and the
/// limit keeps the shift defined.
constexpr int kMaxDoublings = 20;

constexpr double kTokensPerRetry = 1.0;

/// Upper bound of the jittered delay before the next attempt: exponential in the attempts, up to
/// max_delay_.
milliseconds BackoffCeiling(const RetryTerms& terms, int attempts) {
  const int doublings = std::clamp(attempts - 1, 0, kMaxDoublings);
  return std::min(terms.max_delay_, terms.base_delay_ * (1 << doublings));
}

}  // namespace

RetryTerms RetryTermsPerNode(double ratio, double slack, std::size_t nodes) {
  // The other half covers retries that the nodes' budgets don't count: calls repeated by a repeated
  // request, and nodes that have restarted with a full reserve.
  constexpr double kAllocatedFraction = 0.5;
  RetryTerms terms;
  terms.budget_percent_ = static_cast<int>(std::lround(kAllocatedFraction * ratio * 100));
  terms.reserve_ =
      kAllocatedFraction * slack / static_cast<double>(std::max<std::size_t>(nodes, 1));
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
  // The cap limits the burst of retries after a long time without failures.
  const double cap = std::max(budget.terms_.reserve_, kTokensPerRetry);
  budget.tokens_ = std::min(cap, budget.tokens_ + budget.terms_.budget_percent_ / 100.0);
}

std::optional<milliseconds> DecideRetry(RetryBudget& budget, const RetryContext& context,
                                        BootTime now, std::mt19937_64& random) {
  if (context.suspect_) {
    return std::nullopt;
  }
  if (context.kind_ == RequestKind::kBinding && context.handed_to_upstream_) {
    return std::nullopt;
  }
  if (budget.tokens_ < kTokensPerRetry) {
    return std::nullopt;
  }
  // Full jitter spreads the retries of requests that failed at the same moment.
  std::uniform_int_distribution<milliseconds::rep> jitter(
      0, std::max<milliseconds::rep>(0, BackoffCeiling(budget.terms_, context.attempts_).count()));
  const milliseconds delay(jitter(random));
  if (now + delay >= context.deadline_) {
    return std::nullopt;
  }
  budget.tokens_ -= kTokensPerRetry;
  return delay;
}

}  // namespace sassafrasbay

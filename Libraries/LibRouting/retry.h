#pragma once

#include <cstddef>
#include <optional>
#include <random>

#include "LibConfiguration/routing_configuration.h"
#include "LibCore/clock.h"

namespace sassafrasbay {

/// Limits on retries.
struct RetryTerms {
  int budget_percent_ = 10;  ///< Retries allowed per 100 successful requests.
  /// Initial number of tokens, and the capacity of the bucket (at least one token).
  double reserve_ = 10;
  milliseconds base_delay_{20};
  milliseconds max_delay_{250};
};

/// Limits for one of `nodes` nodes, so that all together keep within `ratio` retries per request
/// plus `slack` in any window. There is no delay, since another upstream is tried.
RetryTerms RetryTermsPerNode(double ratio, double slack, std::size_t nodes);

/// Token bucket of retries, refilled by successful requests.
struct RetryBudget {
  RetryTerms terms_;
  double tokens_ = 0;
};

RetryBudget MakeRetryBudget(const RetryTerms& terms);

void CountSuccess(RetryBudget& budget);

/// What DecideRetry needs to know of a failed request.
struct RetryContext {
  RequestKind kind_ = RequestKind::kIdempotent;
  bool handed_to_upstream_ = false;  ///< A byte may have reached an upstream.
  bool suspect_ = false;             ///< The request may have crashed an upstream.
  int attempts_ = 1;                 ///< Attempts made so far.
  BootTime deadline_{};
};

/// Returns the delay before the next attempt, with full jitter, and takes a token from the budget.
/// Returns nothing when the request must not be retried.
std::optional<milliseconds> DecideRetry(RetryBudget& budget, const RetryContext& context,
                                        BootTime now, std::mt19937_64& random);

}  // namespace sassafrasbay

#pragma once

#include <cstddef>
#include <optional>
#include <random>

#include "LibConfiguration/routing_configuration.h"
#include "LibCore/clock.h"

namespace sassafrasbay {

struct RetryTerms {
  int budget_percent_ = 10;  ///< Retries allowed per successful request, in percent.
  double reserve_ = 10;      ///< Retries allowed without any traffic; also the cap's floor.
  milliseconds base_delay_{20};
  milliseconds max_delay_{250};
};

/// The share of one of `nodes` nodes in retries that all nodes together may make in any window:
/// `ratio` for each request, and `slack` besides. Without a delay, as another upstream is tried.
RetryTerms RetryTermsPerNode(double ratio, double slack, std::size_t nodes);

/// Token bucket filled by successful requests.
struct RetryBudget {
  RetryTerms terms_;
  double tokens_ = 0;
};

RetryBudget MakeRetryBudget(const RetryTerms& terms);

void CountSuccess(RetryBudget& budget);

struct RetryContext {
  RequestKind kind_ = RequestKind::kIdempotent;
  bool handed_to_upstream_ = false;  ///< A byte may have reached an upstream.
  bool suspect_ = false;             ///< The request may have crashed an upstream.
  int attempts_ = 1;
  BootTime deadline_{};
};

/// Delay before the next attempt, with full jitter; nothing when it must not be retried. Takes a
/// token from the budget when it allows the retry.
std::optional<milliseconds> DecideRetry(RetryBudget& budget, const RetryContext& question,
                                        BootTime now, std::mt19937_64& random);

}  // namespace sassafrasbay

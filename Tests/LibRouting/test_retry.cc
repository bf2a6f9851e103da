#define BOOST_TEST_MODULE Retry
#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <iostream>

#include "LibRouting/retry.h"

namespace sassafrasbay {
namespace {

constexpr std::uint64_t kSeed = 51'000;
const BootTime kStart{std::chrono::hours(1)};
const BootTime kFarDeadline = kStart + milliseconds(60'000);

RetryContext Context() { return {RequestKind::kIdempotent, false, false, 1, kFarDeadline}; }

/// Number of retries that `requests` failing requests make.
int CountRetries(RetryBudget& budget, int requests, std::mt19937_64& random) {
  int retries = 0;
  for (int i = 0; i < requests; ++i) {
    RetryContext context = Context();
    while (DecideRetry(budget, context, kStart, random).has_value()) {
      ++retries;
      ++context.attempts_;
    }
  }
  return retries;
}

// Guards against retries multiplying the load on a service that is down.
BOOST_AUTO_TEST_CASE(OutageRetriesStayWithinBudget) {
  std::cout << "seed " << kSeed << '\n';
  std::mt19937_64 random(kSeed);
  RetryBudget budget = MakeRetryBudget(RetryTerms{});
  BOOST_TEST(CountRetries(budget, 10'000, random) == 10);
  for (int i = 0; i < 100'000; ++i) {
    CountSuccess(budget);
  }
  BOOST_TEST(CountRetries(budget, 10'000, random) == 10);
}

// Guards against more retries than the budget allows while some requests succeed.
BOOST_AUTO_TEST_CASE(PartialOutageRetriesStayWithinShare) {
  std::cout << "seed " << kSeed << '\n';
  std::mt19937_64 random(kSeed);
  const RetryTerms terms;
  RetryBudget budget = MakeRetryBudget(terms);
  int successes = 0;
  int retries = 0;
  for (int i = 0; i < 100'000; ++i) {
    if (random() % 2 == 0) {
      CountSuccess(budget);
      ++successes;
    } else {
      retries += CountRetries(budget, 1, random);
    }
  }
  const double allowed = terms.reserve_ + successes * terms.budget_percent_ / 100.0;
  std::cout << "retries " << retries << ", allowed " << allowed << '\n';
  BOOST_TEST(retries <= allowed);
  BOOST_TEST(retries >= 0.9 * allowed);
}

// Guards against sending a binding request to upstreams twice, and against repeating a request that
// may have crashed an upstream.
BOOST_AUTO_TEST_CASE(BindingAndSuspectRequestsAreNotRepeated) {
  std::mt19937_64 random(kSeed);
  RetryBudget budget = MakeRetryBudget(RetryTerms{});
  RetryContext context = Context();
  context.kind_ = RequestKind::kBinding;
  BOOST_TEST(DecideRetry(budget, context, kStart, random).has_value());
  context.handed_to_upstream_ = true;
  BOOST_TEST(!DecideRetry(budget, context, kStart, random).has_value());
  context.kind_ = RequestKind::kIdempotent;
  BOOST_TEST(DecideRetry(budget, context, kStart, random).has_value());
  context.suspect_ = true;
  BOOST_TEST(!DecideRetry(budget, context, kStart, random).has_value());
  BOOST_TEST(budget.tokens_ == 8.0);
}

// Guards against synchronized retries, and against retries that can't finish before the deadline.
BOOST_AUTO_TEST_CASE(DelayIsJitteredAndWithinDeadline) {
  std::cout << "seed " << kSeed << '\n';
  std::mt19937_64 random(kSeed);
  const RetryTerms terms;
  for (const auto& [attempts, ceiling] : {std::pair(1, 20), std::pair(2, 40), std::pair(4, 160),
                                          std::pair(5, 250), std::pair(1000, 250)}) {
    milliseconds lowest(1'000'000);
    milliseconds highest(0);
    for (int i = 0; i < 5000; ++i) {
      RetryBudget budget = MakeRetryBudget(terms);
      RetryContext context = Context();
      context.attempts_ = attempts;
      const auto delay = DecideRetry(budget, context, kStart, random);
      BOOST_REQUIRE(delay.has_value());
      lowest = std::min(lowest, *delay);
      highest = std::max(highest, *delay);
    }
    BOOST_TEST(lowest.count() == 0);
    BOOST_TEST(highest.count() == ceiling);
  }
  for (int i = 0; i < 5000; ++i) {
    RetryBudget budget = MakeRetryBudget(terms);
    RetryContext context = Context();
    context.deadline_ = kStart + milliseconds(7);
    const auto delay = DecideRetry(budget, context, kStart, random);
    BOOST_REQUIRE((!delay.has_value() || kStart + *delay < context.deadline_));
    BOOST_REQUIRE(budget.tokens_ == terms.reserve_ - (delay.has_value() ? 1 : 0));
  }
}

// Guards against the nodes together exceeding the operator's bound on retries while a service is
// down and every node retries as often as it may. With a fixed reserve per node the bound was
// exceeded at 73 nodes.
BOOST_AUTO_TEST_CASE(FleetRetriesStayWithinConfiguredBound) {
  constexpr double kRatio = 0.2;
  constexpr double kSlack = 172;
  for (const std::size_t nodes : {1U, 11U, 73U, 300U}) {
    for (const int successes : {0, 5, 40}) {
      double retries = 0;
      for (std::size_t node = 0; node < nodes; ++node) {
        RetryBudget budget = MakeRetryBudget(RetryTermsPerNode(kRatio, kSlack, nodes));
        std::mt19937_64 random(1);
        const RetryContext context{RequestKind::kIdempotent, true, false, 1,
                                   BootTime(std::chrono::hours(1))};
        for (int i = 0; i <= successes; ++i) {
          while (DecideRetry(budget, context, BootTime{}, random)) {
            ++retries;
          }
          CountSuccess(budget);
        }
      }
      const double requests = static_cast<double>(nodes) * successes;
      BOOST_TEST(retries <= kRatio * requests + kSlack, nodes << " nodes, " << successes);
    }
  }
}

}  // namespace
}  // namespace sassafrasbay

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

RetryContext Question() { return {RequestKind::kIdempotent, false, false, 1, kFarDeadline}; }

/// Attempts beyond the first that `requests` failing requests make.
int CountRetries(RetryBudget& budget, int requests, std::mt19937_64& random) {
  int retries = 0;
  for (int i = 0; i < requests; ++i) {
    RetryContext question = Question();
    while (DecideRetry(budget, question, kStart, random).has_value()) {
      ++retries;
      ++question.attempts_;
    }
  }
  return retries;
}

// Guards against retries multiplying the load of a fleet that is down already.
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

// Guards against retries above their share while some of the traffic succeeds.
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

// Guards against a binding request reaching upstreams twice, and against a crash being repeated.
BOOST_AUTO_TEST_CASE(BindingAndSuspectRequestsAreNotRepeated) {
  std::mt19937_64 random(kSeed);
  RetryBudget budget = MakeRetryBudget(RetryTerms{});
  RetryContext question = Question();
  question.kind_ = RequestKind::kBinding;
  BOOST_TEST(DecideRetry(budget, question, kStart, random).has_value());
  question.handed_to_upstream_ = true;
  BOOST_TEST(!DecideRetry(budget, question, kStart, random).has_value());
  question.kind_ = RequestKind::kIdempotent;
  BOOST_TEST(DecideRetry(budget, question, kStart, random).has_value());
  question.suspect_ = true;
  BOOST_TEST(!DecideRetry(budget, question, kStart, random).has_value());
  BOOST_TEST(budget.tokens_ == 8.0);
}

// Guards against retries in step with each other, and against ones that can't be in time.
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
      RetryContext question = Question();
      question.attempts_ = attempts;
      const auto delay = DecideRetry(budget, question, kStart, random);
      BOOST_REQUIRE(delay.has_value());
      lowest = std::min(lowest, *delay);
      highest = std::max(highest, *delay);
    }
    BOOST_TEST(lowest.count() == 0);
    BOOST_TEST(highest.count() == ceiling);
  }
  for (int i = 0; i < 5000; ++i) {
    RetryBudget budget = MakeRetryBudget(terms);
    RetryContext question = Question();
    question.deadline_ = kStart + milliseconds(7);
    const auto delay = DecideRetry(budget, question, kStart, random);
    BOOST_REQUIRE((!delay.has_value() || kStart + *delay < question.deadline_));
    BOOST_REQUIRE(budget.tokens_ == terms.reserve_ - (delay.has_value() ? 1 : 0));
  }
}

// Pattern: an outage of a service in a large system, where every node retries all it may. A fixed
// reserve of each node exceeded the operators' bound at 73 nodes.
BOOST_AUTO_TEST_CASE(FleetRetriesStayWithinConfiguredBound) {
  constexpr double kRatio = 0.2;
  constexpr double kSlack = 172;
  for (const std::size_t nodes : {1U, 11U, 73U, 300U}) {
    for (const int successes : {0, 5, 40}) {
      double retries = 0;
      for (std::size_t node = 0; node < nodes; ++node) {
        RetryBudget budget = MakeRetryBudget(RetryTermsPerNode(kRatio, kSlack, nodes));
        std::mt19937_64 random(1);
        const RetryContext question{RequestKind::kIdempotent, true, false, 1,
                                    BootTime(std::chrono::hours(1))};
        for (int i = 0; i <= successes; ++i) {
          while (DecideRetry(budget, question, BootTime{}, random)) {
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

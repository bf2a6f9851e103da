#define BOOST_TEST_MODULE LeaseHistories
#include <boost/test/unit_test.hpp>
#include <cstdlib>
#include <iostream>

#include "LibControl/lease_model.h"

namespace sassafrasbay::testing {
namespace {

/// Seeds of the regular run; the variables choose others for longer runs.
std::uint64_t FromEnvironment(const char* name, std::uint64_t otherwise) {
  const char* value = std::getenv(name);
  return value == nullptr ? otherwise : std::strtoull(value, nullptr, 10);
}

const std::uint64_t kFirstSeed = FromEnvironment("LEASE_FIRST_SEED", 1);
const std::uint64_t kSeeds = FromEnvironment("LEASE_SEEDS", 300);

ModelCounts& operator+=(ModelCounts& sum, const ModelCounts& part) {
  sum.lapses_ += part.lapses_;
  sum.graceful_ends_ += part.graceful_ends_;
  sum.moves_ += part.moves_;
  sum.renewals_ += part.renewals_;
  sum.direct_claims_ += part.direct_claims_;
  sum.claims_ += part.claims_;
  sum.compared_states_ += part.compared_states_;
  return sum;
}

void PrintTrace(std::uint64_t seed, ModelOptions options) {
  options.trace_ = true;
  for (const std::string& line : RunHistory(seed, options).trace_) {
    std::cout << line << "\n";
  }
}

/// The first of 300 seeds whose history breaks a check; 0 when none does.
std::uint64_t FindViolation(const ModelOptions& options, std::uint64_t first_seed) {
  for (std::uint64_t seed = first_seed; seed < first_seed + 300; ++seed) {
    const ModelResult result = RunHistory(seed, options);
    if (!result.violation_.empty()) {
      std::cout << "seed " << seed << ": " << result.violation_ << "\n";
      return seed;
    }
  }
  return 0;
}

/// Runs the regular seeds and reports each violation; returns what happened in all of them.
ModelCounts CheckHistories(const ModelOptions& options) {
  std::cout << "seeds " << kFirstSeed << " to " << kFirstSeed + kSeeds - 1 << "\n";
  ModelCounts sum;
  for (std::uint64_t seed = kFirstSeed; seed < kFirstSeed + kSeeds; ++seed) {
    const ModelResult result = RunHistory(seed, options);
    sum += result.counts_;
    BOOST_TEST(result.violation_.empty(), "seed " << seed << " " << result.violation_);
    if (!result.violation_.empty() && std::getenv("LEASE_TRACE") != nullptr) {
      PrintTrace(seed, options);
      break;
    }
  }
  std::cout << "lapses " << sum.lapses_ << ", graceful ends " << sum.graceful_ends_ << ", moves "
            << sum.moves_ << ", renewals " << sum.renewals_ << ", claims " << sum.claims_
            << ", direct claims " << sum.direct_claims_ << ", states " << sum.compared_states_
            << "\n";
  return sum;
}

// Guards against two sessions serving a key at once, tokens that decrease, and nodes that derive
// different states from the same log.
BOOST_AUTO_TEST_CASE(RulesKeepOwnershipExclusive) {
  const ModelCounts sum = CheckHistories({});
  // The histories must exercise what they check.
  BOOST_TEST(sum.lapses_ > kSeeds);
  BOOST_TEST(sum.graceful_ends_ > kSeeds / 4);
  BOOST_TEST(sum.moves_ > kSeeds);
  BOOST_TEST(sum.renewals_ > kSeeds);
  BOOST_TEST(sum.direct_claims_ > kSeeds);
}

// Guards against a second owner when a service is removed and published again: a new assignment
// would not wait for an old owner that has read neither record.
BOOST_AUTO_TEST_CASE(RepublishedServiceIsExclusive) {
  ModelOptions options;
  options.republishes_ = true;
  CheckHistories(options);
}

// Shows that the checks can fail: a grantor that waits less than the lease is found out.
BOOST_AUTO_TEST_CASE(TooShortAttestationDelayIsDetected) {
  ModelOptions options;
  options.attestation_terms_.drift_percent_ = -40;
  BOOST_TEST(FindViolation(options, 1) != 0U);
}

// Shows that the checks can fail: grantors that acknowledge without an own lease are found out.
BOOST_AUTO_TEST_CASE(AcknowledgingWithoutLeaseIsDetected) {
  ModelOptions options;
  options.rule_two_ = false;
  BOOST_TEST(FindViolation(options, 1) != 0U);
}

// Shows that the checks can fail: a session that keeps acknowledging after it has sent its
// SessionEnded is found out, although its lease still holds.
BOOST_AUTO_TEST_CASE(AcknowledgingAfterSessionEndedIsDetected) {
  ModelOptions options;
  options.silent_after_end_ = false;
  BOOST_TEST(FindViolation(options, 345) != 0U);
}

}  // namespace
}  // namespace sassafrasbay::testing

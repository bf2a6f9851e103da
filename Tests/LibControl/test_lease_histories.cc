#define BOOST_TEST_MODULE LeaseHistories
#include <boost/test/unit_test.hpp>
#include <cstdlib>
#include <iostream>

#include "LibControl/lease_model.h"

namespace sassafrasbay::testing {
namespace {

/// Returns the number in an environment variable, which selects other seeds than the default ones.
std::uint64_t ReadEnvironment(const char* name, std::uint64_t default_value) {
  const char* value = std::getenv(name);
  return value == nullptr ? default_value : std::strtoull(value, nullptr, 10);
}

const std::uint64_t kFirstSeed = ReadEnvironment("LEASE_FIRST_SEED", 1);
const std::uint64_t kSeedCount = ReadEnvironment("LEASE_SEEDS", 300);

ModelCounts& operator+=(ModelCounts& sum, const ModelCounts& part) {
  sum.lapses_ += part.lapses_;
  sum.graceful_ends_ += part.graceful_ends_;
  sum.moves_ += part.moves_;
  sum.renewals_ += part.renewals_;
  sum.claims_after_direct_release_ += part.claims_after_direct_release_;
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

/// Returns the first of 300 seeds whose history violates a check; 0 when none does.
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

/// Runs the histories of all seeds and reports each violation. Returns the sums of their counts.
ModelCounts CheckHistories(const ModelOptions& options) {
  std::cout << "seeds " << kFirstSeed << " to " << kFirstSeed + kSeedCount - 1 << "\n";
  ModelCounts sum;
  for (std::uint64_t seed = kFirstSeed; seed < kFirstSeed + kSeedCount; ++seed) {
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
            << ", direct claims " << sum.claims_after_direct_release_ << ", states "
            << sum.compared_states_ << "\n";
  return sum;
}

// Guards against two sessions that serve a key at the same time, tokens that decrease, and nodes
// that derive different states from the same log.
BOOST_AUTO_TEST_CASE(RulesKeepOwnershipExclusive) {
  const ModelCounts sum = CheckHistories({});
  // Checks that the histories exercise the rules.
  BOOST_TEST(sum.lapses_ > kSeedCount);
  BOOST_TEST(sum.graceful_ends_ > kSeedCount / 4);
  BOOST_TEST(sum.moves_ > kSeedCount);
  BOOST_TEST(sum.renewals_ > kSeedCount);
  BOOST_TEST(sum.claims_after_direct_release_ > kSeedCount);
}

// Guards against a second owner when a service is removed and published again. A new assignment
// wouldn't wait for the lease of an old owner that has read neither record.
BOOST_AUTO_TEST_CASE(RepublishedServiceIsExclusive) {
  ModelOptions options;
  options.republishes_service_ = true;
  CheckHistories(options);
}

// Checks that the histories detect a grantor that waits less than the lease before it attests.
BOOST_AUTO_TEST_CASE(TooShortAttestationDelayIsDetected) {
  ModelOptions options;
  options.attestation_settings_.drift_percent_ = -40;
  BOOST_TEST(FindViolation(options, 1) != 0U);
}

// Checks that the histories detect grantors that acknowledge without holding a lease themselves.
BOOST_AUTO_TEST_CASE(AcknowledgingWithoutLeaseIsDetected) {
  ModelOptions options;
  options.acknowledging_requires_lease_ = false;
  BOOST_TEST(FindViolation(options, 1) != 0U);
}

// Checks that the histories detect a session that keeps acknowledging after it has sent its
// SessionEnded, although its lease still holds.
BOOST_AUTO_TEST_CASE(AcknowledgingAfterSessionEndedIsDetected) {
  ModelOptions options;
  options.stops_acknowledging_after_end_ = false;
  BOOST_TEST(FindViolation(options, 345) != 0U);
}

}  // namespace
}  // namespace sassafrasbay::testing

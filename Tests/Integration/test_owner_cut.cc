#define BOOST_TEST_MODULE OwnerCut
#include <boost/test/unit_test.hpp>
#include <thread>

#include "harness/trial.h"

using namespace sassafrasbay;  // NOLINT(google-build-using-namespace)
using namespace harness;       // NOLINT(google-build-using-namespace)

namespace {

constexpr milliseconds kPartitionDuration{4000};
constexpr milliseconds kLoadAfterPartition{3000};

struct Partition {
  bool grantors_ = false;
  bool log_ = false;
};

void SetOwnerPartition(Trial& trial, const Partition& partition,
                       std::span<const std::size_t> grantors, bool active) {
  for (const std::size_t grantor : grantors) {
    BOOST_REQUIRE(!partition.grantors_ || trial.fleet_->SetPartition(0, grantor, active));
  }
  BOOST_REQUIRE(!partition.log_ || trial.fleet_->SetLogPartition(0, active));
}

// Partitions the owner, heals the partition, and checks the history. Returns the time at which the
// partition started.
std::int64_t CheckPartition(Trial& trial, const Partition& partition, std::int64_t limit_ms) {
  const std::vector<std::size_t> grantors = GrantorsOf(trial, 0);
  const std::int64_t partitioned_ms = NowMs();
  SetOwnerPartition(trial, partition, grantors, true);
  std::this_thread::sleep_for(kPartitionDuration);
  SetOwnerPartition(trial, partition, grantors, false);
  const auto answers = FinishTrial(trial, kLoadAfterPartition);
  CheckServed(answers, KeysNotOf(trial, {}), partitioned_ms, limit_ms);
  return partitioned_ms;
}

}  // namespace

// Guards against keys that are unavailable, or have two owners, when an owner can't reach its
// grantors. It can reach the log, so it renews its lease there or loses its units.
BOOST_AUTO_TEST_CASE(PartitionedFromGrantors) {
  Trial trial = StartTrial({.proxies_ = true});
  CheckPartition(trial, {.grantors_ = true}, kMaxRecoveryMs);
}

// Guards against an owner that gives up or loses its units only because it can't reach the log.
BOOST_AUTO_TEST_CASE(PartitionedFromLogOnly) {
  Trial trial = StartTrial({.proxies_ = true});
  const std::int64_t partitioned_ms = CheckPartition(trial, {.log_ = true}, kMaxServingGapMs);
  CheckOwnersKept(trial, {}, partitioned_ms);
}

// Guards against an owner that continues to serve after its lease has expired.
BOOST_AUTO_TEST_CASE(PartitionedFromGrantorsAndLog) {
  Trial trial = StartTrial({.proxies_ = true});
  const std::int64_t partitioned_ms =
      CheckPartition(trial, {.grantors_ = true, .log_ = true}, kMaxRecoveryMs);
  BOOST_TEST(RunsSince(trial, 0, partitioned_ms + kMaxRecoveryMs).empty());
}

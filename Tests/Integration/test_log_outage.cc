#define BOOST_TEST_MODULE LogOutage
#include <array>
#include <boost/test/unit_test.hpp>
#include <thread>

#include "harness/trial.h"

using namespace sassafrasbay;  // NOLINT(google-build-using-namespace)
using namespace harness;       // NOLINT(google-build-using-namespace)

namespace {

/// Longer than a lease, so that a lease that is renewed through the log expires.
constexpr milliseconds kOutageDuration{5000};
constexpr milliseconds kLoadAfterOutage{4000};

}  // namespace

// Guards against owners that stop serving, or lose their units, during a log outage without other
// faults.
BOOST_AUTO_TEST_CASE(OwnershipSurvivesLogOutage) {
  Trial trial = StartTrial({});
  const std::int64_t lost_ms = NowMs();
  BOOST_REQUIRE(trial.fleet_->SetLogFaults({{"outage", true}}));
  std::this_thread::sleep_for(kOutageDuration);
  BOOST_REQUIRE(trial.fleet_->SetLogFaults({{"outage", false}}));
  const auto answers = FinishTrial(trial, kLoadAfterOutage);
  CheckServed(answers, KeysNotOf(trial, {}), lost_ms, kMaxServingGapMs);
  CheckOwnersKept(trial, {}, lost_ms);
}

// Guards against a lost node taking other owners with it, since its session was also a grantor of
// their leases, and against a takeover that doesn't start when the log is available again.
BOOST_AUTO_TEST_CASE(NodeKilledDuringLogOutage) {
  Trial trial = StartTrial({});
  constexpr std::array<std::size_t, 1> kLostNodes = {0};
  const std::int64_t lost_ms = NowMs();
  BOOST_REQUIRE(trial.fleet_->SetLogFaults({{"outage", true}}));
  trial.fleet_->Node(0).node_->Kill();
  trial.fleet_->Node(0).upstream_->Kill();
  std::this_thread::sleep_for(kOutageDuration);
  const std::int64_t returned_ms = NowMs();
  BOOST_REQUIRE(trial.fleet_->SetLogFaults({{"outage", false}}));
  const auto answers = FinishTrial(trial, kLoadAfterOutage);
  CheckServed(answers, KeysNotOf(trial, kLostNodes), lost_ms, kMaxServingGapMs);
  CheckOwnersKept(trial, kLostNodes, lost_ms);
  CheckServed(answers, KeysOf(trial, kLostNodes), returned_ms, kMaxRecoveryMs);
}

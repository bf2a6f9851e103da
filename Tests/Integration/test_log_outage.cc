#define BOOST_TEST_MODULE LogOutage
#include <array>
#include <boost/test/unit_test.hpp>
#include <thread>

#include "harness/trial.h"

using namespace sassafrasbay;  // NOLINT(google-build-using-namespace)
using namespace harness;       // NOLINT(google-build-using-namespace)

namespace {

/// Longer than any lease, so that a lease that needs the log ends.
constexpr milliseconds kOutage{5000};
constexpr milliseconds kRest{4000};

}  // namespace

// Guards against ownership that depends on the log while nothing changes.
BOOST_AUTO_TEST_CASE(AllKeepServing) {
  Trial trial = StartTrial({});
  const std::int64_t lost_ms = NowMs();
  BOOST_REQUIRE(trial.fleet_->SetLogFaults({{"outage", true}}));
  std::this_thread::sleep_for(kOutage);
  BOOST_REQUIRE(trial.fleet_->SetLogFaults({{"outage", false}}));
  const auto answers = FinishTrial(trial, kRest);
  CheckServed(answers, KeysNotOf(trial, {}), lost_ms, kMaxServingGapMs);
  CheckOwnersKept(trial, {}, lost_ms);
}

// Guards against the loss of further owners together with one, since each lost session was also a
// grantor, and against a takeover that doesn't start when the log returns.
BOOST_AUTO_TEST_CASE(NodeKilledDuringOutage) {
  Trial trial = StartTrial({});
  constexpr std::array<std::size_t, 1> kVictim = {0};
  const std::int64_t lost_ms = NowMs();
  BOOST_REQUIRE(trial.fleet_->SetLogFaults({{"outage", true}}));
  trial.fleet_->Node(0).node_->Kill();
  trial.fleet_->Node(0).upstream_->Kill();
  std::this_thread::sleep_for(kOutage);
  const std::int64_t returned_ms = NowMs();
  BOOST_REQUIRE(trial.fleet_->SetLogFaults({{"outage", false}}));
  const auto answers = FinishTrial(trial, kRest);
  CheckServed(answers, KeysNotOf(trial, kVictim), lost_ms, kMaxServingGapMs);
  CheckOwnersKept(trial, kVictim, lost_ms);
  CheckServed(answers, KeysOf(trial, kVictim), returned_ms, kMaxRecoveryMs);
}

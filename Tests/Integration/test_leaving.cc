#define BOOST_TEST_MODULE Leaving
#include <boost/test/unit_test.hpp>
#include <thread>

#include "harness/trial.h"

using namespace sassafrasbay;  // NOLINT(google-build-using-namespace)
using namespace harness;       // NOLINT(google-build-using-namespace)

namespace {

/// drain.grace_ms of the settings' default: no new work after this time.
constexpr std::int64_t kGraceMs = 3000;
constexpr milliseconds kRest{5000};
constexpr std::chrono::seconds kExitLimit{60};

void CheckLeaving(bool outage) {
  Trial trial = StartTrial({});
  BOOST_REQUIRE(!outage || trial.fleet_->SetLogFaults({{"outage", true}}));
  Process& node = *trial.fleet_->Node(0).node_;
  const std::int64_t asked_ms = NowMs();
  node.Terminate();
  BOOST_TEST((node.Wait(kExitLimit) == 0));
  const auto answers = FinishTrial(trial, kRest);
  BOOST_TEST(RunsSince(trial, 0, asked_ms + kGraceMs).empty());
  for (const LoadAnswer& answer : answers) {
    const bool cut = answer.connected_ && answer.record_.outcome_ == "lost";
    BOOST_TEST(!cut, "a request to node " << answer.node_ << " sent " << answer.sent_ms_ - asked_ms
                                          << " ms after the signal was cut");
  }
}

}  // namespace

// Guards against requests that are cut by a graceful exit, and against work for a leaving upstream.
BOOST_AUTO_TEST_CASE(NodeLeaves) { CheckLeaving(false); }

// Without the log no unit can move, and the node must leave all the same.
BOOST_AUTO_TEST_CASE(NodeLeavesDuringLogOutage) { CheckLeaving(true); }

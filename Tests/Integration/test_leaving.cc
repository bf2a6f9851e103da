#define BOOST_TEST_MODULE Leaving
#include <boost/test/unit_test.hpp>
#include <thread>

#include "harness/trial.h"

using namespace sassafrasbay;  // NOLINT(google-build-using-namespace)
using namespace harness;       // NOLINT(google-build-using-namespace)

namespace {

/// Default of the setting drain.grace_ms: the upstream gets no new requests after this time.
constexpr std::int64_t kGraceMs = 3000;
constexpr milliseconds kLoadAfterExit{5000};
constexpr std::chrono::seconds kExitTimeout{60};

void CheckDrain(bool outage) {
  Trial trial = StartTrial({});
  BOOST_REQUIRE(!outage || trial.fleet_->SetLogFaults({{"outage", true}}));
  Process& node = *trial.fleet_->Node(0).node_;
  const std::int64_t terminated_ms = NowMs();
  node.Terminate();
  BOOST_TEST((node.Wait(kExitTimeout) == 0));
  const auto answers = FinishTrial(trial, kLoadAfterExit);
  BOOST_TEST(RunsSince(trial, 0, terminated_ms + kGraceMs).empty());
  for (const LoadAnswer& answer : answers) {
    const bool interrupted = answer.connected_ && answer.record_.outcome_ == "lost";
    BOOST_TEST(!interrupted, "a request to node " << answer.node_ << " sent "
                                                  << answer.sent_ms_ - terminated_ms
                                                  << " ms after the signal got no complete answer");
  }
}

}  // namespace

// Guards against a graceful exit that interrupts requests, and against new requests for the
// upstream of the terminating node after the grace period.
BOOST_AUTO_TEST_CASE(NodeDrainsOnTermination) { CheckDrain(false); }

// Guards against a node that doesn't exit during a log outage, when no unit can move.
BOOST_AUTO_TEST_CASE(NodeDrainsDuringLogOutage) { CheckDrain(true); }

#define BOOST_TEST_MODULE OwnerLoss
#include <boost/test/unit_test.hpp>
#include <thread>

#include "harness/trial.h"

using namespace sassafrasbay;  // NOLINT(google-build-using-namespace)
using namespace harness;       // NOLINT(google-build-using-namespace)

namespace {

// Longer than the target, so that the load still runs when the keys must be served again.
constexpr milliseconds kRest{4000};

enum class Lost { kNodeAndUpstream, kUpstream, kNode };

void CheckLoss(Lost lost) {
  Trial trial = StartTrial({});
  FleetNode& victim = trial.fleet_->Node(0);
  const std::int64_t lost_ms = NowMs();
  if (lost != Lost::kUpstream) {
    victim.node_->Kill();
  }
  if (lost != Lost::kNode) {
    victim.upstream_->Kill();
  }
  const auto answers = FinishTrial(trial, kRest);
  CheckServed(answers, KeysNotOf(trial, {}), lost_ms, kMaxRecoveryMs);
}

}  // namespace

// Guards against keys that stay without an owner, or get two, when their owner is lost.
BOOST_AUTO_TEST_CASE(NodeAndUpstreamKilled) { CheckLoss(Lost::kNodeAndUpstream); }

BOOST_AUTO_TEST_CASE(UpstreamKilled) { CheckLoss(Lost::kUpstream); }

// The upstream goes on running with grants that nobody extends.
BOOST_AUTO_TEST_CASE(NodeKilled) { CheckLoss(Lost::kNode); }

// Guards against a takeover that serves only what was lost: a data centre takes a third of the
// fleet at once, and the fault detection of its nodes with it.
BOOST_AUTO_TEST_CASE(DataCentreKilled) {
  Trial trial = StartTrial({});
  const std::int64_t lost_ms = NowMs();
  for (std::size_t node = 0; node < trial.fleet_->Size(); node += 3) {
    trial.fleet_->Node(node).node_->Kill();
    trial.fleet_->Node(node).upstream_->Kill();
  }
  const auto answers = FinishTrial(trial, kRest);
  CheckServed(answers, KeysNotOf(trial, {}), lost_ms, kMaxRecoveryMs);
}

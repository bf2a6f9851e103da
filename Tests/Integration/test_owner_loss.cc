#define BOOST_TEST_MODULE OwnerLoss
#include <boost/test/unit_test.hpp>
#include <thread>

#include "harness/trial.h"

using namespace sassafrasbay;  // NOLINT(google-build-using-namespace)
using namespace harness;       // NOLINT(google-build-using-namespace)

namespace {

// Longer than kMaxRecoveryMs, so that the load still runs when the keys must be served again.
constexpr milliseconds kLoadAfterLoss{4000};

enum class LostProcesses { kNodeAndUpstream, kUpstream, kNode };

void CheckLoss(LostProcesses lost) {
  Trial trial = StartTrial({});
  FleetNode& owner = trial.fleet_->Node(0);
  const std::int64_t lost_ms = NowMs();
  if (lost != LostProcesses::kUpstream) {
    owner.node_->Kill();
  }
  if (lost != LostProcesses::kNode) {
    owner.upstream_->Kill();
  }
  const auto answers = FinishTrial(trial, kLoadAfterLoss);
  CheckServed(answers, KeysNotOf(trial, {}), lost_ms, kMaxRecoveryMs);
}

}  // namespace

// Guards against keys that remain without an owner, or get two owners, when their owner is lost.
BOOST_AUTO_TEST_CASE(NodeAndUpstreamKilled) { CheckLoss(LostProcesses::kNodeAndUpstream); }

BOOST_AUTO_TEST_CASE(UpstreamKilled) { CheckLoss(LostProcesses::kUpstream); }

// The upstream continues to run with grants that are no longer extended, while the units move to
// other owners.
BOOST_AUTO_TEST_CASE(NodeKilled) { CheckLoss(LostProcesses::kNode); }

// Guards against a takeover that works for single nodes only: the loss of a data centre removes a
// third of the fleet at once, together with the failure detection by its nodes.
BOOST_AUTO_TEST_CASE(DataCentreKilled) {
  Trial trial = StartTrial({});
  const std::int64_t lost_ms = NowMs();
  for (std::size_t node = 0; node < trial.fleet_->Size(); node += 3) {
    trial.fleet_->Node(node).node_->Kill();
    trial.fleet_->Node(node).upstream_->Kill();
  }
  const auto answers = FinishTrial(trial, kLoadAfterLoss);
  CheckServed(answers, KeysNotOf(trial, {}), lost_ms, kMaxRecoveryMs);
}

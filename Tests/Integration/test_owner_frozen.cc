#define BOOST_TEST_MODULE OwnerFrozen
#include <boost/test/unit_test.hpp>
#include <thread>

#include "harness/trial.h"

using namespace sassafrasbay;  // NOLINT(google-build-using-namespace)
using namespace harness;       // NOLINT(google-build-using-namespace)

namespace {

/// Longer than the lease and the takeover together.
constexpr milliseconds kFrozen{4000};
constexpr milliseconds kRest{3000};

/// The lease of the settings' default: a session that is paused holds no lease after this time.
constexpr std::int64_t kLeaseMs = 1000;

/// Time in which requests of the load reach the socket of the frozen upstream.
constexpr milliseconds kFillSocket{60};

struct Freeze {
  bool node_ = false;
  bool upstream_ = false;
};

// Freezes the owner, resumes it, and returns the times of both.
std::pair<std::int64_t, std::int64_t> FreezeAndResume(Trial& trial, Freeze freeze) {
  FleetNode& victim = trial.fleet_->Node(0);
  const std::int64_t frozen_ms = NowMs();
  if (freeze.upstream_) {
    PauseIdleUpstream(trial, 0);
    std::this_thread::sleep_for(kFillSocket);
  }
  if (freeze.node_) {
    victim.node_->Pause();
  }
  std::this_thread::sleep_for(kFrozen);
  const std::int64_t resumed_ms = NowMs();
  // The upstream first: its stale requests then run into no newer grant.
  victim.upstream_->Resume();
  victim.node_->Resume();
  return {frozen_ms, resumed_ms};
}

void CheckFreeze(Freeze freeze) {
  Trial trial = StartTrial({});
  const auto [frozen_ms, resumed_ms] = FreezeAndResume(trial, freeze);
  const auto answers = FinishTrial(trial, kRest);
  CheckServed(answers, KeysNotOf(trial, {}), frozen_ms, kMaxRecoveryMs);
  // All units have other owners by then, and no move gives the node a unit back.
  for (const RunRecord& run : RunsSince(trial, 0, frozen_ms + kLeaseMs)) {
    BOOST_ERROR("the former owner's upstream ran " + run.path_ + " at " +
                std::to_string(run.start_ms_ - frozen_ms) + " ms");
  }
  if (freeze.upstream_) {
    BOOST_TEST(CountRefusals(trial, 0, resumed_ms) > 0U, "no request waited in the socket");
  }
}

}  // namespace

// Guards against an owner that resumes unaware and hands over the requests it finds waiting. Its
// upstream runs on and would take them.
BOOST_AUTO_TEST_CASE(NodeFrozen) { CheckFreeze({.node_ = true}); }

// Guards against the late run of a request that waited in the socket of a frozen upstream.
BOOST_AUTO_TEST_CASE(UpstreamFrozen) { CheckFreeze({.upstream_ = true}); }

// A paused VM: neither the node nor the upstream notices the pause by the other.
BOOST_AUTO_TEST_CASE(NodeAndUpstreamFrozen) { CheckFreeze({.node_ = true, .upstream_ = true}); }

// Negative control: without checks of grants the late run happens (design page, section 8), and the
// checker must see it.
BOOST_AUTO_TEST_CASE(LateRunWithoutGrantChecksIsReported) {
  Trial trial = StartTrial({.checks_grants_ = false});
  const auto [frozen_ms, resumed_ms] = FreezeAndResume(trial, {.upstream_ = true});
  std::this_thread::sleep_for(kRest);
  trial.load_->Stop();
  BOOST_TEST(!RunsSince(trial, 0, resumed_ms).empty());
  BOOST_TEST(!CheckTokensNeverDecrease(trial.fleet_->Runs()).empty());
}

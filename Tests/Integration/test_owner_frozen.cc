#define BOOST_TEST_MODULE OwnerFrozen
#include <boost/test/unit_test.hpp>
#include <thread>

#include "harness/trial.h"

using namespace sassafrasbay;  // NOLINT(google-build-using-namespace)
using namespace harness;       // NOLINT(google-build-using-namespace)

namespace {

/// Longer than the lease duration and the takeover together.
constexpr milliseconds kFreezeDuration{4000};
constexpr milliseconds kLoadAfterResume{3000};

/// Default lease duration of the settings. A paused session holds no lease after this time.
constexpr std::int64_t kLeaseMs = 1000;

/// Delay before the node is paused, in which requests of the load reach the socket of the frozen
/// upstream.
constexpr milliseconds kSocketFillDelay{60};

struct Freeze {
  bool node_ = false;
  bool upstream_ = false;
};

// Freezes the processes of the owner and resumes them. Returns the times of both.
std::pair<std::int64_t, std::int64_t> FreezeAndResume(Trial& trial, Freeze freeze) {
  FleetNode& owner = trial.fleet_->Node(0);
  const std::int64_t frozen_ms = NowMs();
  if (freeze.upstream_) {
    PauseIdleUpstream(trial, 0);
    std::this_thread::sleep_for(kSocketFillDelay);
  }
  if (freeze.node_) {
    owner.node_->Pause();
  }
  std::this_thread::sleep_for(kFreezeDuration);
  const std::int64_t resumed_ms = NowMs();
  // Resumes the upstream first, so that it meets the stale requests without a newer grant.
  owner.upstream_->Resume();
  owner.node_->Resume();
  return {frozen_ms, resumed_ms};
}

void CheckFreeze(Freeze freeze) {
  Trial trial = StartTrial({});
  const auto [frozen_ms, resumed_ms] = FreezeAndResume(trial, freeze);
  const auto answers = FinishTrial(trial, kLoadAfterResume);
  CheckServed(answers, KeysNotOf(trial, {}), frozen_ms, kMaxRecoveryMs);
  // All units have other owners by then, and none is moved back to the node.
  for (const RunRecord& run : RunsSince(trial, 0, frozen_ms + kLeaseMs)) {
    BOOST_ERROR("the former owner's upstream ran " + run.path_ + " at " +
                std::to_string(run.start_ms_ - frozen_ms) + " ms");
  }
  if (freeze.upstream_) {
    BOOST_TEST(CountRefusals(trial, 0, resumed_ms) > 0U, "no request waited in the socket");
  }
}

}  // namespace

// Guards against an owner that resumes after its lease has expired and forwards the requests that
// waited in its socket. Its upstream was not paused and would run them.
BOOST_AUTO_TEST_CASE(NodeFrozen) { CheckFreeze({.node_ = true}); }

// Guards against an upstream that resumes and runs a request that waited in its socket.
BOOST_AUTO_TEST_CASE(UpstreamFrozen) { CheckFreeze({.upstream_ = true}); }

// Guards against late runs after a pause of the whole VM, in which neither the node nor the
// upstream can detect the pause from the other's silence.
BOOST_AUTO_TEST_CASE(NodeAndUpstreamFrozen) { CheckFreeze({.node_ = true, .upstream_ = true}); }

// Negative control: an upstream that doesn't check grants runs late requests (design page,
// section 8), and the checker must report them.
BOOST_AUTO_TEST_CASE(LateRunWithoutGrantChecksIsReported) {
  Trial trial = StartTrial({.checks_grants_ = false});
  const auto [frozen_ms, resumed_ms] = FreezeAndResume(trial, {.upstream_ = true});
  std::this_thread::sleep_for(kLoadAfterResume);
  trial.load_->Stop();
  BOOST_TEST(!RunsSince(trial, 0, resumed_ms).empty());
  BOOST_TEST(!CheckTokensNeverDecrease(trial.fleet_->Runs()).empty());
}

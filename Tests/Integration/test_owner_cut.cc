#define BOOST_TEST_MODULE OwnerCut
#include <boost/test/unit_test.hpp>
#include <thread>

#include "harness/trial.h"

using namespace sassafrasbay;  // NOLINT(google-build-using-namespace)
using namespace harness;       // NOLINT(google-build-using-namespace)

namespace {

constexpr milliseconds kCut{4000};
constexpr milliseconds kRest{3000};

struct Cut {
  bool grantors_ = false;
  bool log_ = false;
};

void SetCut(Trial& trial, const Cut& cut, std::span<const std::size_t> grantors, bool on) {
  for (const std::size_t grantor : grantors) {
    BOOST_REQUIRE(!cut.grantors_ || trial.fleet_->SetPartition(0, grantor, on));
  }
  BOOST_REQUIRE(!cut.log_ || trial.fleet_->SetLogPartition(0, on));
}

// Cuts the owner off, heals the cut, and checks the history. Returns the time of the cut.
std::int64_t CheckCut(Trial& trial, const Cut& cut, std::int64_t limit_ms) {
  const std::vector<std::size_t> grantors = GrantorsOf(trial, 0);
  const std::int64_t cut_ms = NowMs();
  SetCut(trial, cut, grantors, true);
  std::this_thread::sleep_for(kCut);
  SetCut(trial, cut, grantors, false);
  const auto answers = FinishTrial(trial, kRest);
  CheckServed(answers, KeysNotOf(trial, {}), cut_ms, limit_ms);
  return cut_ms;
}

}  // namespace

// The log is reachable, so the owner renews its lease through it or loses its units; either way its
// keys must be served, and never by two.
BOOST_AUTO_TEST_CASE(CutFromGrantors) {
  Trial trial = StartTrial({.proxies_ = true});
  CheckCut(trial, {.grantors_ = true}, kMaxRecoveryMs);
}

// Guards against an owner that gives up, or is given up, because it can't read the log.
BOOST_AUTO_TEST_CASE(CutFromLogOnly) {
  Trial trial = StartTrial({.proxies_ = true});
  const std::int64_t cut_ms = CheckCut(trial, {.log_ = true}, kMaxServingGapMs);
  CheckOwnersKept(trial, {}, cut_ms);
}

// Guards against an owner that serves on although nobody extends its lease.
BOOST_AUTO_TEST_CASE(CutFromGrantorsAndLog) {
  Trial trial = StartTrial({.proxies_ = true});
  const std::int64_t cut_ms = CheckCut(trial, {.grantors_ = true, .log_ = true}, kMaxRecoveryMs);
  BOOST_TEST(RunsSince(trial, 0, cut_ms + kMaxRecoveryMs).empty());
}

#define BOOST_TEST_MODULE SoakLedger
#include <boost/test/unit_test.hpp>

#include "Soak/ledger.h"

namespace sassafrasbay::soak {
namespace {

/// Has held one key for a second. `key_` -1 stands for none.
struct OneKeyHolder final : KeyHolder {
  explicit OneKeyHolder(std::string instance) : instance_(std::move(instance)) {}
  const std::string& Instance() const override { return instance_; }
  bool Holds(int key) const override { return key == key_; }
  BootTime HeldSince(int) const override { return since_; }
  BootTime LastRunStart(int) const override { return last_run_start_; }

  std::string instance_;
  int key_ = -1;
  BootTime since_ = BootClock::now() - milliseconds(1000);
  BootTime last_run_start_{};
};

// Guards against checks of the soak that can't fail: each case but the first breaks one rule and
// expects the ledger to report it.
struct LedgerFixture {
  LedgerFixture() {
    ledger_.AddTarget(&target_);
    ledger_.AddTarget(&other_);
  }

  Ledger ledger_;
  OneKeyHolder target_{"i-1"};
  OneKeyHolder other_{"i-2"};

  void Run(const std::string& id, RequestKind kind) {
    ledger_.OnRun(id, RequestPath(kind, id), RequestBody(kind, id), -1, target_);
  }

  std::string Broken() const {
    const auto& violations = ledger_.Violations();
    return violations.empty() ? std::string()
                              : violations.front().substr(0, violations.front().find(':'));
  }
};

HttpResponse GoodAnswer(const std::string& id) {
  return {200, {{std::string(kStampHeader), StampValue(id)}}, AnswerBody(RequestKind::kReport, id)};
}

BOOST_FIXTURE_TEST_SUITE(Ledgers, LedgerFixture)

BOOST_AUTO_TEST_CASE(ServedRequestsBreakNoRule) {
  ledger_.OnSent("a", RequestKind::kBooking);
  Run("a", RequestKind::kBooking);
  ledger_.OnAnswer("a", GoodAnswer("a"));
  ledger_.OnSent("b", RequestKind::kLookup);
  Run("b", RequestKind::kLookup);
  Run("b", RequestKind::kLookup);
  ledger_.OnAnswer("b", {502, {}, {}});
  BOOST_TEST(Broken().empty());
}

BOOST_AUTO_TEST_CASE(BookingThatRunsTwiceBreaksTwice) {
  ledger_.OnSent("a", RequestKind::kBooking);
  Run("a", RequestKind::kBooking);
  Run("a", RequestKind::kBooking);
  BOOST_TEST(Broken() == "TWICE");
}

BOOST_AUTO_TEST_CASE(RefusalOfARunRequestBreaksRefused) {
  ledger_.OnSent("a", RequestKind::kBooking);
  Run("a", RequestKind::kBooking);
  ledger_.OnAnswer("a", {503, {}, {}});
  BOOST_TEST(Broken() == "REFUSED");
}

BOOST_AUTO_TEST_CASE(RunAfterARefusalBreaksRefused) {
  ledger_.OnSent("a", RequestKind::kBooking);
  ledger_.OnAnswer("a", {429, {}, {}});
  Run("a", RequestKind::kBooking);
  BOOST_TEST(Broken() == "REFUSED");
}

BOOST_AUTO_TEST_CASE(AnswerOfAnotherRequestBreaksMixed) {
  ledger_.OnSent("a", RequestKind::kLookup);
  ledger_.OnAnswer("a", GoodAnswer("b"));
  BOOST_TEST(Broken() == "MIXED");
}

BOOST_AUTO_TEST_CASE(UnsentOrChangedRequestBreaksUnasked) {
  Run("a", RequestKind::kLookup);
  BOOST_TEST(Broken() == "UNASKED");
  ledger_.OnSent("b", RequestKind::kBooking);
  ledger_.OnRun("b", RequestPath(RequestKind::kBooking, "b"), "another body", -1, target_);
  BOOST_TEST(ledger_.Violations().size() == 2);
}

BOOST_AUTO_TEST_CASE(LossWithoutADisruptionBreaksLost) {
  const BootTime now = BootClock::now();
  ledger_.OnSent("a", RequestKind::kLookup);
  ledger_.OnDisruption(now - milliseconds(1000));
  ledger_.OnLost("a", true, now);
  BOOST_TEST(Broken().empty());
  ledger_.OnDisruption(now - milliseconds(4000));
  ledger_.OnLost("a", false, now);
  BOOST_TEST(Broken().empty());
  ledger_.OnLost("a", true, now);
  BOOST_TEST(Broken() == "LOST");
}

BOOST_AUTO_TEST_CASE(NonIncreasingTokenBreaksOwner) {
  ledger_.OnKeyAcquired(7, 5, target_, false);
  ledger_.OnKeyAcquired(7, 5, other_, true);
  BOOST_TEST(Broken().empty());
  ledger_.OnKeyAcquired(8, 5, target_, false);
  ledger_.OnKeyAcquired(8, 5, other_, false);
  BOOST_TEST(Broken() == "OWNER");
}

BOOST_AUTO_TEST_CASE(OverlapOfTwoHoldersBeyondTheLimitBreaksOwner) {
  target_.key_ = other_.key_ = 7;
  ledger_.OnKeyAcquired(7, 5, target_, false);
  const BootTime now = BootClock::now();
  ledger_.CheckOverlaps(now + milliseconds(400));
  BOOST_TEST(Broken().empty());
  ledger_.CheckOverlaps(now + milliseconds(600));
  BOOST_TEST(Broken() == "OWNER");
}

BOOST_AUTO_TEST_CASE(RequestsServedByTwoHoldersBreakOwner) {
  target_.key_ = other_.key_ = 7;
  ledger_.OnSent("a", RequestKind::kLookup);
  ledger_.OnSent("b", RequestKind::kLookup);
  target_.last_run_start_ = BootClock::now() - milliseconds(10);
  ledger_.OnRun("a", RequestPath(RequestKind::kLookup, "a"), {}, 7, other_);
  BOOST_TEST(Broken() == "OWNER");
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace sassafrasbay::soak

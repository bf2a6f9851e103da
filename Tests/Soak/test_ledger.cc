#define BOOST_TEST_MODULE SoakLedger
#include <boost/test/unit_test.hpp>

#include "Soak/ledger.h"

namespace sassafrasbay::soak {
namespace {

/// Holds one key since a second ago.
struct OneKeyHolder final : KeyHolder {
  explicit OneKeyHolder(std::string instance) : instance_(std::move(instance)) {}
  const std::string& Instance() const override { return instance_; }
  bool Holds(int key) const override { return key == key_; }
  BootTime HeldSince(int) const override { return since_; }
  BootTime LastRun(int) const override { return last_run_; }

  std::string instance_;
  int key_ = -1;
  BootTime since_ = BootClock::now() - milliseconds(1000);
  BootTime last_run_{};
};

// A check that never fails proves nothing: each case breaks one promise.
struct LedgerFixture {
  LedgerFixture() {
    ledger_.AddTarget(&target_);
    ledger_.AddTarget(&other_);
  }

  Ledger ledger_;
  OneKeyHolder target_{"i-1"};
  OneKeyHolder other_{"i-2"};

  void Run(const std::string& id, Kind kind) {
    ledger_.OnRun(id, PathOf(kind, id), BodyOf(kind, id), -1, target_);
  }

  std::string Broken() const {
    const auto& violations = ledger_.Violations();
    return violations.empty() ? std::string()
                              : violations.front().substr(0, violations.front().find(':'));
  }
};

HttpResponse GoodAnswer(const std::string& id) {
  return {200, {{std::string(kStampHeader), StampOf(id)}}, AnswerTo(id)};
}

BOOST_FIXTURE_TEST_SUITE(Ledgers, LedgerFixture)

BOOST_AUTO_TEST_CASE(ServedRequestsBreakNothing) {
  ledger_.OnSent("a", Kind::kBooking);
  Run("a", Kind::kBooking);
  ledger_.OnAnswer("a", GoodAnswer("a"));
  ledger_.OnSent("b", Kind::kLookup);
  Run("b", Kind::kLookup);
  Run("b", Kind::kLookup);
  ledger_.OnAnswer("b", {502, {}, {}});
  BOOST_TEST(Broken().empty());
}

BOOST_AUTO_TEST_CASE(ABookingThatRunsAgain) {
  ledger_.OnSent("a", Kind::kBooking);
  Run("a", Kind::kBooking);
  Run("a", Kind::kBooking);
  BOOST_TEST(Broken() == "TWICE");
}

BOOST_AUTO_TEST_CASE(ARefusalOfWhatHasRun) {
  ledger_.OnSent("a", Kind::kBooking);
  Run("a", Kind::kBooking);
  ledger_.OnAnswer("a", {503, {}, {}});
  BOOST_TEST(Broken() == "REFUSED");
}

BOOST_AUTO_TEST_CASE(ARunAfterItsRefusal) {
  ledger_.OnSent("a", Kind::kBooking);
  ledger_.OnAnswer("a", {429, {}, {}});
  Run("a", Kind::kBooking);
  BOOST_TEST(Broken() == "REFUSED");
}

BOOST_AUTO_TEST_CASE(AnAnswerOfAnotherRequest) {
  ledger_.OnSent("a", Kind::kLookup);
  ledger_.OnAnswer("a", GoodAnswer("b"));
  BOOST_TEST(Broken() == "MIXED");
}

BOOST_AUTO_TEST_CASE(ARequestThatNobodySentOrThatWasChanged) {
  Run("a", Kind::kLookup);
  BOOST_TEST(Broken() == "UNASKED");
  ledger_.OnSent("b", Kind::kBooking);
  ledger_.OnRun("b", PathOf(Kind::kBooking, "b"), "another body", -1, target_);
  BOOST_TEST(ledger_.Violations().size() == 2);
}

BOOST_AUTO_TEST_CASE(ALossWithoutADisruption) {
  const BootTime now = BootClock::now();
  ledger_.OnSent("a", Kind::kLookup);
  ledger_.OnDisruption(now - milliseconds(1000));
  ledger_.OnLost("a", true, now);
  BOOST_TEST(Broken().empty());
  ledger_.OnDisruption(now - milliseconds(4000));
  ledger_.OnLost("a", false, now);
  BOOST_TEST(Broken().empty());
  ledger_.OnLost("a", true, now);
  BOOST_TEST(Broken() == "LOST");
}

BOOST_AUTO_TEST_CASE(ATokenThatDoesNotRise) {
  ledger_.OnTake(7, 5, target_, false);
  ledger_.OnTake(7, 5, other_, true);
  BOOST_TEST(Broken().empty());
  ledger_.OnTake(8, 5, target_, false);
  ledger_.OnTake(8, 5, other_, false);
  BOOST_TEST(Broken() == "OWNER");
}

BOOST_AUTO_TEST_CASE(TwoHoldersOfAKeyForTooLong) {
  target_.key_ = other_.key_ = 7;
  ledger_.OnTake(7, 5, target_, false);
  const BootTime now = BootClock::now();
  ledger_.CheckOverlaps(now + milliseconds(400));
  BOOST_TEST(Broken().empty());
  ledger_.CheckOverlaps(now + milliseconds(600));
  BOOST_TEST(Broken() == "OWNER");
}

BOOST_AUTO_TEST_CASE(TwoHoldersOfAKeyThatBothServeIt) {
  target_.key_ = other_.key_ = 7;
  ledger_.OnSent("a", Kind::kLookup);
  ledger_.OnSent("b", Kind::kLookup);
  target_.last_run_ = BootClock::now() - milliseconds(10);
  ledger_.OnRun("a", PathOf(Kind::kLookup, "a"), {}, 7, other_);
  BOOST_TEST(Broken() == "OWNER");
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace sassafrasbay::soak

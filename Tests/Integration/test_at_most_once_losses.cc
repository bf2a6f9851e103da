#define BOOST_TEST_MODULE AtMostOnceLosses
#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>
#include <future>
#include <thread>

#include "harness/attempt_history.h"

using namespace sassafrasbay;  // NOLINT(google-build-using-namespace)
using namespace harness;       // NOLINT(google-build-using-namespace)

namespace {

struct LossFleet {
  explicit LossFleet(std::size_t nodes_per_data_centre = 1)
      : fleet_(MakeBenchFleet({.nodes_per_data_centre_ = nodes_per_data_centre})),
        bookings_(*fleet_) {
    BOOST_REQUIRE(fleet_ != nullptr);
  }
  std::unique_ptr<Fleet> fleet_;
  AttemptHistory bookings_;

  CallerRequest Booking(std::size_t owner, std::string marks = {},
                        milliseconds lead = milliseconds(0)) {
    return {.key_ = KeyOwnedBy(*fleet_, owner),
            .id_ = NewUuid(lead),
            .body_ = "lot",
            .stand_in_header_ = std::move(marks)};
  }
  void Kill(std::size_t node, bool with_upstream) {
    fleet_->Node(node).node_->Kill();
    if (with_upstream) {
      fleet_->Node(node).upstream_->Kill();
    }
  }
  std::future<Attempt> SendAsync(std::size_t node, const CallerRequest& request) {
    return std::async(std::launch::async,
                      [this, node, request] { return bookings_.Send(node, request); });
  }
  bool WaitForRun(const CallerRequest& request) {
    return WaitUntil([&] { return CountRuns(*fleet_, request.id_) == 1U; });
  }
  void Report(const Violations& violations) {
    for (const std::string& violation : violations) {
      BOOST_ERROR(violation);
    }
  }
};

const auto kWithUpstream = boost::unit_test::data::make({false, true});

}  // namespace

// The request waits in the socket of an owner that never reads it, so the successor must run it:
// its absence from the copies shows that it has not run.
BOOST_DATA_TEST_CASE(OwnerKilledBeforeTheRun, kWithUpstream, with_upstream) {
  LossFleet losses;
  const CallerRequest booking = losses.Booking(0);
  losses.fleet_->Node(0).node_->Pause();
  auto answer = losses.SendAsync(1, booking);
  std::this_thread::sleep_for(milliseconds(200));
  losses.Kill(0, with_upstream);
  const Attempt first = answer.get();
  BOOST_TEST(IsAcknowledged(first), Describe(first));
  const Attempt again = losses.bookings_.Send(2, booking);
  BOOST_TEST(again.body_ == first.body_, Describe(again));
  BOOST_TEST(CountRuns(*losses.fleet_, booking.id_) == 1U);
  losses.Report(losses.bookings_.Check());
}

// The copy says that the run started, and only the lost owner could learn how it ended.
BOOST_DATA_TEST_CASE(OwnerKilledDuringTheRun, kWithUpstream, with_upstream) {
  LossFleet losses;
  const CallerRequest booking = losses.Booking(0, "sleep=1000");
  auto answer = losses.SendAsync(1, booking);
  BOOST_REQUIRE(losses.WaitForRun(booking));
  losses.Kill(0, with_upstream);
  const Attempt first = answer.get();
  BOOST_TEST(first.outcome_ == "unknown", Describe(first));
  for (const std::size_t node : {2U, 1U}) {
    const Attempt again = losses.bookings_.Send(node, booking);
    BOOST_TEST(again.outcome_ == "unknown", Describe(again));
  }
  BOOST_TEST(CountRuns(*losses.fleet_, booking.id_) == 1U);
  losses.Report(losses.bookings_.Check());
}

// Invariant 2: an acknowledged booking survives the loss of the owner's VM.
BOOST_DATA_TEST_CASE(OwnerKilledAfterTheRun, kWithUpstream, with_upstream) {
  LossFleet losses;
  for (int i = 0; i < 20; ++i) {
    const Attempt attempt = losses.bookings_.Send(1, losses.Booking(0));
    BOOST_TEST(IsAcknowledged(attempt), Describe(attempt));
  }
  losses.Kill(0, with_upstream);
  losses.Report(losses.bookings_.CheckStillAcknowledged({2, 1}));
  losses.Report(losses.bookings_.Check());
}

// Invariant 2: an acknowledged booking survives the loss of the owner's data centre, also when
// bookings are sent while it is lost.
BOOST_AUTO_TEST_CASE(DataCentreLost) {
  LossFleet losses(2);
  for (std::size_t i = 0; i < 60; ++i) {
    const Attempt attempt = losses.bookings_.Send((i + 1) % 6, losses.Booking(i % 6));
    BOOST_TEST(IsAcknowledged(attempt), Describe(attempt));
  }
  std::vector<std::future<Attempt>> during;
  for (const std::size_t owner : {0U, 3U, 0U, 3U}) {
    during.push_back(losses.SendAsync(1, losses.Booking(owner, "sleep=700")));
  }
  std::this_thread::sleep_for(milliseconds(300));
  losses.Kill(0, true);
  losses.Kill(3, true);
  for (std::future<Attempt>& answer : during) {
    answer.get();
  }
  losses.Report(losses.bookings_.CheckStillAcknowledged({1, 2, 4, 5}));
  // A new id for each key of the lost nodes: the recovered tables must be complete.
  std::size_t turn = 0;
  for (const Attempt& attempt : losses.bookings_.Attempts()) {
    if (turn < 60 && turn++ % 3 == 0) {
      const CallerRequest booking{.key_ = attempt.request_.key_, .id_ = NewUuid(), .body_ = "lot"};
      const Attempt fresh = losses.bookings_.Send(2, booking);
      BOOST_TEST(IsAcknowledged(fresh), Describe(fresh));
    }
  }
  losses.Report(losses.bookings_.Check());
}

// Callers' clocks are wrong by minutes. The copies are complete, so the time of an id decides
// nothing when the owner is lost.
BOOST_AUTO_TEST_CASE(CallersClockWrongAcrossALoss) {
  LossFleet losses;
  const auto minutes = [](int count) { return milliseconds(std::chrono::minutes(count)); };
  const std::string key = KeyOwnedBy(*losses.fleet_, 0);
  std::vector<CallerRequest> unsent;
  for (const int lead : {-5, 5}) {
    const Attempt attempt =
        losses.bookings_.Send(1, {.key_ = key, .id_ = NewUuid(minutes(lead)), .body_ = "lot"});
    BOOST_TEST(IsAcknowledged(attempt), Describe(attempt));
    unsent.push_back({.key_ = key, .id_ = NewUuid(minutes(lead)), .body_ = "lot"});
  }
  losses.Kill(0, true);
  losses.Report(losses.bookings_.CheckStillAcknowledged({2, 1}));
  for (const CallerRequest& booking : unsent) {
    const Attempt attempt = losses.bookings_.Send(2, booking);
    BOOST_TEST(IsAcknowledged(attempt), Describe(attempt));
    BOOST_TEST(CountRuns(*losses.fleet_, booking.id_) == 1U);
  }
  losses.Report(losses.bookings_.CheckStillAcknowledged({1, 2}));
  losses.Report(losses.bookings_.Check());
}

// Beyond the allowance an id is refused; older than the retention its record may be gone.
BOOST_AUTO_TEST_CASE(IdsFarFromTheOwnersClock) {
  LossFleet losses;
  const auto minutes = [](int count) { return milliseconds(std::chrono::minutes(count)); };
  const CallerRequest ahead = losses.Booking(0, {}, minutes(20));
  const CallerRequest old = losses.Booking(0, {}, minutes(-61));
  for (const std::size_t node : {1U, 0U, 2U}) {
    const Attempt early = losses.bookings_.Send(node, ahead);
    BOOST_TEST(early.outcome_ == "not-run", Describe(early));
    const Attempt late = losses.bookings_.Send(node, old);
    BOOST_TEST(late.outcome_ == "unknown", Describe(late));
  }
  BOOST_TEST(CountRuns(*losses.fleet_, ahead.id_) == 0U);
  BOOST_TEST(CountRuns(*losses.fleet_, old.id_) == 0U);
  losses.Report(losses.bookings_.Check());
}

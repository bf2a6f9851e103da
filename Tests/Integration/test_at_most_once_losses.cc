#define BOOST_TEST_MODULE AtMostOnceLosses
#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>
#include <future>
#include <thread>

#include "LibControl/record_codec.h"
#include "LibCore/hash.h"
#include "LibRouting/classify.h"
#include "harness/attempt_history.h"

using namespace sassafrasbay;  // NOLINT(google-build-using-namespace)
using namespace harness;       // NOLINT(google-build-using-namespace)

namespace {

struct LossFixture {
  explicit LossFixture(std::size_t nodes_per_data_centre = 1)
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

// Guards against losing a request that the owner never read: it waits in the socket of a paused
// owner, which is then killed. The request is absent from the replicated copies, which shows that
// it has not run, so the successor must run it.
BOOST_DATA_TEST_CASE(OwnerKilledBeforeTheRun, kWithUpstream, with_upstream) {
  LossFixture fixture;
  const CallerRequest booking = fixture.Booking(0);
  fixture.fleet_->Node(0).node_->Pause();
  auto answer = fixture.SendAsync(1, booking);
  std::this_thread::sleep_for(milliseconds(200));
  fixture.Kill(0, with_upstream);
  const Attempt first = answer.get();
  BOOST_TEST(IsAcknowledged(first), Describe(first));
  const Attempt again = fixture.bookings_.Send(2, booking);
  BOOST_TEST(again.body_ == first.body_, Describe(again));
  BOOST_TEST(CountRuns(*fixture.fleet_, booking.id_) == 1U);
  fixture.Report(fixture.bookings_.Check());
}

// Guards against a second run of a request whose owner is killed while it runs. The replicated copy
// says that the run started; its result was known to the lost owner only, so the outcome is
// unknown.
BOOST_DATA_TEST_CASE(OwnerKilledDuringTheRun, kWithUpstream, with_upstream) {
  LossFixture fixture;
  const CallerRequest booking = fixture.Booking(0, "sleep=1000");
  auto answer = fixture.SendAsync(1, booking);
  BOOST_REQUIRE(fixture.WaitForRun(booking));
  fixture.Kill(0, with_upstream);
  const Attempt first = answer.get();
  BOOST_TEST(first.outcome_ == "unknown", Describe(first));
  for (const std::size_t node : {2U, 1U}) {
    const Attempt again = fixture.bookings_.Send(node, booking);
    BOOST_TEST(again.outcome_ == "unknown", Describe(again));
  }
  BOOST_TEST(CountRuns(*fixture.fleet_, booking.id_) == 1U);
  fixture.Report(fixture.bookings_.Check());
}

// Invariant 2: an acknowledged booking must survive the loss of the owner's VM.
BOOST_DATA_TEST_CASE(OwnerKilledAfterTheRun, kWithUpstream, with_upstream) {
  LossFixture fixture;
  for (int i = 0; i < 20; ++i) {
    const Attempt attempt = fixture.bookings_.Send(1, fixture.Booking(0));
    BOOST_TEST(IsAcknowledged(attempt), Describe(attempt));
  }
  fixture.Kill(0, with_upstream);
  fixture.Report(fixture.bookings_.CheckStillAcknowledged({2, 1}));
  fixture.Report(fixture.bookings_.Check());
}

// Guards against losing the outcomes of a key that is split off from its shard when the owner is
// lost already but its session hasn't ended: it never makes a table for the key.
BOOST_AUTO_TEST_CASE(KeySplitOffAfterTheOwnerWasKilled) {
  LossFixture fixture;
  const std::string key = KeyOwnedBy(*fixture.fleet_, 0);
  const std::string explain = "/-/explain?service=bench&key=" + key;
  for (int i = 0; i < 10; ++i) {
    const Attempt attempt =
        fixture.bookings_.Send(1, {.key_ = key, .id_ = NewUuid(), .body_ = "lot"});
    BOOST_TEST(IsAcknowledged(attempt), Describe(attempt));
  }
  const std::uint16_t port = fixture.fleet_->Node(1).callers_port_;
  const auto token = GetJson(port, explain).at("token").get<Offset>();
  fixture.Kill(0, true);
  const Record split{RandomId(), kRulesVersion, KeySplit{"bench", HashKey("bench", key), token}};
  BOOST_REQUIRE(CallStatus(fixture.fleet_->LogPort(), "POST", "/append", EncodeRecord(split)) ==
                200);
  BOOST_REQUIRE(WaitForSessions(*fixture.fleet_, 1, fixture.fleet_->Size() - 1));
  BOOST_TEST(GetJson(port, explain).at("key_override").get<bool>());
  fixture.Report(fixture.bookings_.CheckStillAcknowledged({2, 1}));
  // A new id is answered only if the key's table is complete.
  const CallerRequest booking{.key_ = key, .id_ = NewUuid(), .body_ = "lot"};
  const Attempt booked = fixture.bookings_.Send(1, booking);
  BOOST_TEST(IsAcknowledged(booked), Describe(booked));
  fixture.Report(fixture.bookings_.Check());
}

// Invariant 2: an acknowledged booking must survive the loss of the owner's data centre, also when
// other bookings are running at that moment.
BOOST_AUTO_TEST_CASE(DataCentreLost) {
  LossFixture fixture(2);
  for (std::size_t i = 0; i < 60; ++i) {
    const Attempt attempt = fixture.bookings_.Send((i + 1) % 6, fixture.Booking(i % 6));
    BOOST_TEST(IsAcknowledged(attempt), Describe(attempt));
  }
  std::vector<std::future<Attempt>> running_bookings;
  for (const std::size_t owner : {0U, 3U, 0U, 3U}) {
    running_bookings.push_back(fixture.SendAsync(1, fixture.Booking(owner, "sleep=700")));
  }
  std::this_thread::sleep_for(milliseconds(300));
  fixture.Kill(0, true);
  fixture.Kill(3, true);
  for (std::future<Attempt>& answer : running_bookings) {
    answer.get();
  }
  fixture.Report(fixture.bookings_.CheckStillAcknowledged({1, 2, 4, 5}));
  // Sends new ids for keys of all nodes, including the lost ones. The successors answer them only
  // if the recovered request tables are complete.
  std::size_t attempt_count = 0;
  for (const Attempt& attempt : fixture.bookings_.Attempts()) {
    if (attempt_count < 60 && attempt_count++ % 3 == 0) {
      const CallerRequest booking{.key_ = attempt.request_.key_, .id_ = NewUuid(), .body_ = "lot"};
      const Attempt booked = fixture.bookings_.Send(2, booking);
      BOOST_TEST(IsAcknowledged(booked), Describe(booked));
    }
  }
  fixture.Report(fixture.bookings_.Check());
}

// Guards against a successor that refuses or repeats a request because of the time in its id. The
// clocks of callers may be wrong by minutes. The replicated copies are complete, so the successor
// must decide by them and not by the time.
BOOST_AUTO_TEST_CASE(CallerClockSkewDuringOwnerLoss) {
  LossFixture fixture;
  const auto minutes = [](int count) { return milliseconds(std::chrono::minutes(count)); };
  const std::string key = KeyOwnedBy(*fixture.fleet_, 0);
  std::vector<CallerRequest> unsent_bookings;
  for (const int lead : {-5, 5}) {
    const Attempt attempt =
        fixture.bookings_.Send(1, {.key_ = key, .id_ = NewUuid(minutes(lead)), .body_ = "lot"});
    BOOST_TEST(IsAcknowledged(attempt), Describe(attempt));
    unsent_bookings.push_back({.key_ = key, .id_ = NewUuid(minutes(lead)), .body_ = "lot"});
  }
  fixture.Kill(0, true);
  fixture.Report(fixture.bookings_.CheckStillAcknowledged({2, 1}));
  for (const CallerRequest& booking : unsent_bookings) {
    const Attempt attempt = fixture.bookings_.Send(2, booking);
    BOOST_TEST(IsAcknowledged(attempt), Describe(attempt));
    BOOST_TEST(CountRuns(*fixture.fleet_, booking.id_) == 1U);
  }
  fixture.Report(fixture.bookings_.CheckStillAcknowledged({1, 2}));
  fixture.Report(fixture.bookings_.Check());
}

// Guards against running an id that can't be checked for an earlier run. An id further ahead of the
// owner's clock than the allowance is refused as not-run. The record of an id older than the
// retention may have been deleted, so its outcome is unknown.
BOOST_AUTO_TEST_CASE(IdsOutsideClockAllowanceOrRetention) {
  LossFixture fixture;
  const auto minutes = [](int count) { return milliseconds(std::chrono::minutes(count)); };
  const CallerRequest ahead = fixture.Booking(0, {}, minutes(20));
  const CallerRequest old = fixture.Booking(0, {}, minutes(-61));
  for (const std::size_t node : {1U, 0U, 2U}) {
    const Attempt early = fixture.bookings_.Send(node, ahead);
    BOOST_TEST(early.outcome_ == "not-run", Describe(early));
    const Attempt late = fixture.bookings_.Send(node, old);
    BOOST_TEST(late.outcome_ == "unknown", Describe(late));
  }
  BOOST_TEST(CountRuns(*fixture.fleet_, ahead.id_) == 0U);
  BOOST_TEST(CountRuns(*fixture.fleet_, old.id_) == 0U);
  fixture.Report(fixture.bookings_.Check());
}

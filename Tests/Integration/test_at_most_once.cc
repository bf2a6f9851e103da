#define BOOST_TEST_MODULE AtMostOnce
#include <boost/test/unit_test.hpp>
#include <future>
#include <thread>

#include "harness/attempt_history.h"

using namespace sassafrasbay;  // NOLINT(google-build-using-namespace)
using namespace harness;       // NOLINT(google-build-using-namespace)

namespace {

struct ProxiedFleet {
  ProxiedFleet() { BOOST_REQUIRE(fleet_ != nullptr); }
  std::unique_ptr<Fleet> fleet_ =
      MakeBenchFleet({.data_centres_ = 3, .nodes_per_data_centre_ = 1, .proxies_ = true});
  AttemptHistory bookings_{*fleet_};

  CallerRequest Booking(std::size_t owner, std::string marks = {}) {
    return {.key_ = KeyOwnedBy(*fleet_, owner),
            .id_ = NewUuid(),
            .body_ = "lot",
            .stand_in_header_ = std::move(marks)};
  }
  void CheckHistory() {
    for (const std::string& violation : bookings_.Check()) {
      BOOST_ERROR(violation);
    }
  }
};

}  // namespace

BOOST_FIXTURE_TEST_SUITE(AtMostOnce, ProxiedFleet)

// Guards against a second run, or a different answer, when a caller repeats an id at another node.
BOOST_AUTO_TEST_CASE(SameIdAtAnotherNodeGetsTheRecordedAnswer) {
  const CallerRequest booking = Booking(0);
  const Attempt first = bookings_.Send(1, booking);
  BOOST_TEST(IsAcknowledged(first), Describe(first));
  for (const std::size_t node : {2U, 0U, 1U}) {
    const Attempt again = bookings_.Send(node, booking);
    BOOST_TEST(IsAcknowledged(again), Describe(again));
    BOOST_TEST(again.body_ == first.body_);
  }
  BOOST_TEST(CountRuns(*fleet_, booking.id_) == 1U);
  CheckHistory();
}

// Guards against reporting not-run, or running again, when the upstream ran the request and closed
// the connection without an answer: its result can't be determined.
BOOST_AUTO_TEST_CASE(LostAnswerOfTheUpstreamIsUnknown) {
  const CallerRequest booking = Booking(0, "drop");
  for (const std::size_t node : {1U, 2U, 0U}) {
    const Attempt attempt = bookings_.Send(node, booking);
    BOOST_TEST(attempt.outcome_ == "unknown", Describe(attempt));
  }
  BOOST_TEST(CountRuns(*fleet_, booking.id_) == 1U);
  CheckHistory();
}

// Guards against a second run when the connection between the owner and its upstream is reset while
// the request runs: the answer is lost, and its result can't be determined.
BOOST_AUTO_TEST_CASE(ResetBetweenNodeAndUpstreamIsUnknown) {
  const CallerRequest booking = Booking(0, "sleep=300");
  auto answer = std::async(std::launch::async, [&] { return bookings_.Send(1, booking); });
  BOOST_REQUIRE(WaitUntil([&] { return CountRuns(*fleet_, booking.id_) == 1U; }));
  BOOST_REQUIRE(fleet_->SetProxyFaults("upstream.node0", {{"reset_after_bytes", 10}}));
  const Attempt first = answer.get();
  BOOST_TEST(first.outcome_ == "unknown", Describe(first));
  BOOST_REQUIRE(fleet_->SetProxyFaults("upstream.node0", {{"reset_after_bytes", 0}}));
  const Attempt again = bookings_.Send(2, booking);
  BOOST_TEST(again.outcome_ == "unknown", Describe(again));
  BOOST_TEST(CountRuns(*fleet_, booking.id_) == 1U);
  CheckHistory();
}

// Guards against a second run when the ingress node loses the connection to the owner before the
// answer arrives: it retries until the deadline, and the owner replays the recorded answer.
BOOST_AUTO_TEST_CASE(ResetBetweenNodesIsRetriedWithoutSecondRun) {
  const pid_t ingress = fleet_->Node(1).node_->Id();
  const CallerRequest booking = Booking(0);
  BOOST_REQUIRE(fleet_->SetProxyFaults("traffic.node0", {{"reset_after_bytes", 10}}, ingress));
  const Attempt lost = bookings_.Send(1, booking);
  BOOST_TEST(lost.outcome_ == "unknown", Describe(lost));
  const Attempt other = bookings_.Send(2, booking);
  BOOST_TEST(IsAcknowledged(other), Describe(other));

  BOOST_REQUIRE(fleet_->SetProxyFaults("traffic.node0", {{"reset_after_bytes", 0}}, ingress));
  BOOST_REQUIRE(WaitUntilServing(*fleet_, 1));
  const CallerRequest second = Booking(0, "sleep=500");
  auto answer = std::async(std::launch::async, [&] { return bookings_.Send(1, second); });
  BOOST_REQUIRE(WaitUntil([&] { return CountRuns(*fleet_, second.id_) == 1U; }));
  BOOST_REQUIRE(fleet_->SetProxyFaults("traffic.node0", {{"reset_after_bytes", 10}}, ingress));
  std::this_thread::sleep_for(milliseconds(1000));
  BOOST_REQUIRE(fleet_->SetProxyFaults("traffic.node0", {{"reset_after_bytes", 0}}, ingress));
  const Attempt repeated = answer.get();
  BOOST_TEST(IsAcknowledged(repeated), Describe(repeated));
  BOOST_TEST(CountRuns(*fleet_, booking.id_) == 1U);
  BOOST_TEST(CountRuns(*fleet_, second.id_) == 1U);
  CheckHistory();
}

// Guards against two runs of one id that two callers send through different nodes at the same time.
BOOST_AUTO_TEST_CASE(ConcurrentCallersOfOneIdShareOneRun) {
  for (int round = 0; round < 20; ++round) {
    const CallerRequest booking =
        Booking(static_cast<std::size_t>(round) % 3, round % 2 == 0 ? "sleep=100" : "");
    auto first_answer = std::async(std::launch::async, [&] { return bookings_.Send(1, booking); });
    auto second_answer = std::async(std::launch::async, [&] { return bookings_.Send(2, booking); });
    const Attempt first = first_answer.get();
    const Attempt second = second_answer.get();
    BOOST_TEST(IsAcknowledged(first), Describe(first));
    BOOST_TEST(IsAcknowledged(second), Describe(second));
    BOOST_TEST(CountRuns(*fleet_, booking.id_) == 1U);
  }
  CheckHistory();
}

// Guards against reuse of an id for a different request: the second request must neither run nor
// get the answer of the first, both while the first one runs and after it has ended.
BOOST_AUTO_TEST_CASE(SameIdWithAnotherBodyIsRefused) {
  const CallerRequest booking = Booking(0, "sleep=500");
  CallerRequest other = booking;
  other.body_ = "another lot";
  auto answer = std::async(std::launch::async, [&] { return bookings_.Send(1, booking); });
  BOOST_REQUIRE(WaitUntil([&] { return CountRuns(*fleet_, booking.id_) == 1U; }));
  const Attempt during = bookings_.Send(2, other);
  BOOST_TEST(IsAcknowledged(answer.get()));
  const Attempt after = bookings_.Send(2, other);
  for (const Attempt& refused : {during, after}) {
    BOOST_TEST(refused.outcome_ == "not-run", Describe(refused));
    BOOST_TEST(refused.status_ == 422);
  }
  BOOST_TEST(CountRuns(*fleet_, booking.id_) == 1U);
  CheckHistory();
}

// Guards against running a binding request without an id, since a repeat of it can't be recognized.
BOOST_AUTO_TEST_CASE(BookingWithoutAnIdIsRefused) {
  CallerRequest booking = Booking(0);
  booking.id_.clear();
  const Attempt attempt = bookings_.Send(1, booking);
  BOOST_TEST(attempt.outcome_ == "not-run", Describe(attempt));
  for (const RunRecord& run : fleet_->Runs()) {
    BOOST_TEST(run.method_ != "POST");
  }
}

BOOST_AUTO_TEST_SUITE_END()

#define BOOST_TEST_MODULE Answers
#include <boost/test/unit_test.hpp>
#include <future>
#include <random>
#include <thread>

#include "harness/attempt_history.h"

using namespace sassafrasbay;  // NOLINT(google-build-using-namespace)
using namespace harness;       // NOLINT(google-build-using-namespace)

namespace {

struct ProxiedFleet {
  ProxiedFleet() { BOOST_REQUIRE(fleet_ != nullptr); }
  std::unique_ptr<Fleet> fleet_ = MakeBenchFleet({.proxies_ = true});
  AttemptHistory bookings_{*fleet_};

  // PUT requests are idempotent in the test routing, and the upstream echoes their body.
  CallerRequest Put(std::string rest, std::string marks) {
    return {.method_ = "PUT",
            .key_ = KeyOwnedBy(*fleet_, 0),
            .id_ = {},
            .body_ = NewUuid(),
            .stand_in_header_ = std::move(marks),
            .path_suffix_ = std::move(rest)};
  }
  void CheckAnswers() {
    for (const Attempt& attempt : bookings_.Attempts()) {
      BOOST_TEST((attempt.outcome_ != "answered" || attempt.body_matches_), Describe(attempt));
    }
  }
};

}  // namespace

BOOST_FIXTURE_TEST_SUITE(Answers, ProxiedFleet)

// Guards against passing on a response body as complete after the upstream closed the connection
// in the middle of it.
BOOST_AUTO_TEST_CASE(TruncatedAnswerIsUnknown) {
  for (const std::size_t node : {0U, 1U}) {
    CallerRequest booking = Put("x", "truncate");
    const Attempt read = bookings_.Send(node, booking);
    BOOST_TEST(read.outcome_ == "unknown", Describe(read));
    booking.method_ = "POST";
    booking.id_ = NewUuid();
    const Attempt booked = bookings_.Send(node, booking);
    BOOST_TEST(booked.outcome_ == "unknown", Describe(booked));
    BOOST_TEST(CountRuns(*fleet_, booking.id_) == 1U);
  }
  CheckAnswers();
}

// Guards against delivering a late answer to the next request on the same connection: the answer
// arrives after the deadline of its own request.
BOOST_AUTO_TEST_CASE(LateAnswerIsDropped) {
  for (const std::size_t node : {0U, 1U, 1U}) {
    const CallerRequest late = Put("brief", "sleep=1500");
    const Attempt first = bookings_.Send(node, late);
    BOOST_TEST(first.outcome_ == "unknown", Describe(first));
    CallerRequest next = late;
    next.body_ = NewUuid();
    next.stand_in_header_ = "sleep=700";
    const Attempt second = bookings_.Send(node, next);
    BOOST_TEST(IsAcknowledged(second), Describe(second));
  }
  CheckAnswers();
}

// Guards against cutting off or timing out an answer that is slow but within its deadline.
BOOST_AUTO_TEST_CASE(SlowAnswerIsComplete) {
  for (const std::size_t node : {0U, 1U}) {
    const Attempt attempt = bookings_.Send(node, Put("x", "sleep=2500"));
    BOOST_TEST(IsAcknowledged(attempt), Describe(attempt));
  }
}

// Guards against mixing up answers: with many requests in flight, answers arrive out of order on
// the connections between nodes and to the upstreams.
BOOST_AUTO_TEST_CASE(ConcurrentAnswersReachTheirOwnCallers) {
  constexpr int kCallers = 12;
  constexpr int kRequests = 40;
  std::vector<std::thread> callers;
  for (unsigned caller = 0; caller < kCallers; ++caller) {
    callers.emplace_back([this, caller] {
      std::mt19937 random(caller);
      for (int i = 0; i < kRequests; ++i) {
        const CallerRequest request{
            .method_ = i % 2 == 0 ? "PUT" : "POST",
            .key_ = "shared" + std::to_string(random() % 6),
            .id_ = i % 2 == 0 ? "" : NewUuid(),
            .body_ = NewUuid() + std::string(random() % 20'000, static_cast<char>('a' + caller)),
            .stand_in_header_ = "sleep=" + std::to_string(random() % 40)};
        bookings_.Send((caller + static_cast<unsigned>(i)) % 3, request);
      }
    });
  }
  for (std::thread& caller : callers) {
    caller.join();
  }
  for (const Attempt& attempt : bookings_.Attempts()) {
    // 12 concurrent requests fit into the upstreams' slots and queues, so none is refused.
    BOOST_TEST(IsAcknowledged(attempt), Describe(attempt));
  }
  for (const std::string& violation : bookings_.Check()) {
    BOOST_ERROR(violation);
  }
}

// Guards against a truncated answer when the connection between two nodes is reset in the middle of
// a long body. The resets stop before the deadline, so a retry must return the complete answer.
BOOST_AUTO_TEST_CASE(ConnectionResetDuringAnswer) {
  constexpr std::size_t kBodyBytes = 400'000;
  const pid_t ingress = fleet_->Node(1).node_->Id();
  for (const char* method : {"PUT", "POST"}) {
    CallerRequest request = Put("x", "sleep=200");
    request.method_ = method;
    request.id_ = NewUuid();
    request.body_ = std::string(kBodyBytes, 'b');
    BOOST_REQUIRE(
        fleet_->SetProxyFaults("traffic.node0", {{"reset_after_bytes", 100'000}}, ingress));
    auto answer = std::async(std::launch::async, [&] { return bookings_.Send(1, request); });
    std::this_thread::sleep_for(milliseconds(1500));
    BOOST_REQUIRE(fleet_->SetProxyFaults("traffic.node0", {{"reset_after_bytes", 0}}, ingress));
    const Attempt attempt = answer.get();
    BOOST_TEST(IsAcknowledged(attempt), Describe(attempt));
  }
  // Resets that last until the deadline must give an error with an outcome, not a truncated body.
  BOOST_REQUIRE(fleet_->SetProxyFaults("traffic.node0", {{"reset_after_bytes", 100'000}}, ingress));
  CallerRequest request = Put("brief", {});
  request.body_ = std::string(kBodyBytes, 'c');
  const Attempt attempt = bookings_.Send(1, request);
  BOOST_TEST(attempt.outcome_ == "unknown", Describe(attempt));
  CheckAnswers();
}

BOOST_AUTO_TEST_SUITE_END()

#define BOOST_TEST_MODULE CrashingRequest
#include <algorithm>
#include <boost/test/unit_test.hpp>

#include "harness/attempt_history.h"

using namespace sassafrasbay;  // NOLINT(google-build-using-namespace)
using namespace harness;       // NOLINT(google-build-using-namespace)

namespace {

constexpr std::size_t kCrashesUntilRefused = 2;

std::size_t CountRunsOfPath(const Fleet& fleet, std::string_view path) {
  return static_cast<std::size_t>(std::ranges::count(fleet.Runs(), path, &RunRecord::path_));
}

// Restarts the upstreams that have terminated, and waits until all nodes have a session and serve.
void RestartCrashed(Fleet& fleet) {
  for (std::size_t node = 0; node < fleet.Size(); ++node) {
    if (!fleet.Node(node).upstream_->IsRunning()) {
      BOOST_REQUIRE(fleet.StartUpstream(node));
    }
  }
  BOOST_REQUIRE(WaitForSessions(fleet, 0, fleet.Size()));
  BOOST_REQUIRE(WaitUntilServing(fleet, 0));
}

// Checks that other requests for the same key are answered through every node.
void CheckUnaffectedRequests(Fleet& fleet, AttemptHistory& bookings, const std::string& key) {
  for (std::size_t node = 0; node < fleet.Size(); ++node) {
    const Attempt read = bookings.Send(node, {.method_ = "PUT", .key_ = key, .body_ = NewUuid()});
    BOOST_TEST(IsAcknowledged(read), Describe(read));
    const Attempt booked = bookings.Send(node, {.key_ = key, .id_ = NewUuid(), .body_ = "lot"});
    BOOST_TEST(IsAcknowledged(booked), Describe(booked));
  }
}

// Sends a request that crashes its upstream through one node after another, as a retrying caller
// would, and checks that the fleet refuses it after the allowed number of crashes.
void CheckCrashes(const std::string& method, const std::string& directive) {
  const auto fleet = MakeBenchFleet({.data_centres_ = 3, .nodes_per_data_centre_ = 2});
  BOOST_REQUIRE(fleet != nullptr);
  AttemptHistory bookings(*fleet);
  const std::string key = KeyOwnedBy(*fleet, 0);
  CallerRequest request{.method_ = method,
                        .key_ = key,
                        .body_ = "faulty",
                        .stand_in_header_ = directive,
                        .path_suffix_ = "crashing"};
  const auto send = [&](std::size_t node) {
    // The fingerprint of a request doesn't depend on its id, so a new id must not reset the count.
    request.id_ = method == "POST" ? NewUuid() : "";
    return bookings.Send(node, request);
  };
  for (std::size_t crash = 1; crash <= kCrashesUntilRefused; ++crash) {
    const Attempt attempt = send(crash);
    BOOST_TEST(attempt.outcome_ == "unknown", Describe(attempt));
    // The fleet must not retry it on another upstream.
    BOOST_TEST(CountRunsOfPath(*fleet, "/bench/lots/" + key + "/crashing") == crash);
    RestartCrashed(*fleet);
    CheckUnaffectedRequests(*fleet, bookings, key);
  }
  for (std::size_t node = 0; node < fleet->Size(); ++node) {
    const Attempt refused = send(node);
    BOOST_TEST(refused.outcome_ == "not-run", Describe(refused));
  }
  // The refusal must hold in the whole fleet: the next owner of the key has never run the request.
  const std::size_t owner = OwnerOf(*fleet, key, 0).value_or(0);
  const std::size_t other = (owner + 1) % fleet->Size();
  fleet->Node(owner).node_->Kill();
  BOOST_REQUIRE(WaitForSessions(*fleet, other, fleet->Size() - 1));
  const Attempt refused = send(other);
  BOOST_TEST(refused.outcome_ == "not-run", Describe(refused));
  BOOST_TEST((OwnerOf(*fleet, key, other) != owner));
  BOOST_TEST(CountRunsOfPath(*fleet, "/bench/lots/" + key + "/crashing") == kCrashesUntilRefused);
  for (const std::string& violation : bookings.Check()) {
    BOOST_ERROR(violation);
  }
}

}  // namespace

// Guards against a request that crashes one upstream after another as its caller retries it.
BOOST_AUTO_TEST_CASE(IdempotentRequestIsRefusedAfterTwoCrashes) { CheckCrashes("PUT", "crash"); }

BOOST_AUTO_TEST_CASE(BindingRequestIsRefusedAfterTwoCrashes) { CheckCrashes("POST", "crash"); }

// Guards against a crash that isn't counted because the port still accepts connections when the
// connections of the process have closed.
BOOST_AUTO_TEST_CASE(RequestIsRefusedAfterTwoCrashesThatCloseThePortLast) {
  CheckCrashes("POST", "crash-slowly");
}

// Guards against a second run of a binding request that crashed its upstream. Every repeat of its
// id must get the outcome unknown, through every node.
BOOST_AUTO_TEST_CASE(CrashingIdRunsOnlyOnce) {
  const auto fleet = MakeBenchFleet({});
  BOOST_REQUIRE(fleet != nullptr);
  AttemptHistory bookings(*fleet);
  const CallerRequest request{.key_ = KeyOwnedBy(*fleet, 0),
                              .id_ = NewUuid(),
                              .body_ = "faulty",
                              .stand_in_header_ = "crash"};
  for (const std::size_t node : {1U, 2U, 0U}) {
    const Attempt attempt = bookings.Send(node, request);
    BOOST_TEST(attempt.outcome_ == "unknown", Describe(attempt));
    RestartCrashed(*fleet);
  }
  BOOST_TEST(CountRuns(*fleet, request.id_) == 1U);
  for (const std::string& violation : bookings.Check()) {
    BOOST_ERROR(violation);
  }
}

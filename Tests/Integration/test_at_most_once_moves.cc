#define BOOST_TEST_MODULE AtMostOnceMoves
#include <algorithm>
#include <atomic>
#include <boost/test/unit_test.hpp>
#include <thread>

#include "harness/attempt_history.h"

using namespace sassafrasbay;  // NOLINT(google-build-using-namespace)
using namespace harness;       // NOLINT(google-build-using-namespace)

namespace {

constexpr std::size_t kLeaving = 0;
constexpr milliseconds kBeforeDrain{500};
constexpr milliseconds kAfterDrain{1000};
// The drain limit of the settings (30 s) and time for a loaded machine.
constexpr milliseconds kExitLimit{60'000};

// Books through one node and repeats each id at another, one right after the other.
void BookUntil(AttemptHistory& bookings, const std::vector<std::string>& keys, std::size_t node,
               const std::atomic<bool>& stop) {
  for (std::size_t i = node; !stop; ++i) {
    const CallerRequest booking{.key_ = keys[i % keys.size()],
                                .id_ = NewUuid(),
                                .body_ = "lot " + std::to_string(i),
                                .stand_in_header_ = i % 3 == 0 ? "sleep=60" : ""};
    bookings.Send(node, booking);
    bookings.Send(3 - node, booking);
  }
}

}  // namespace

// A graceful move hands the request table over: an id that is repeated during the move of its unit
// or after it must neither run again nor lose its acknowledgement.
BOOST_AUTO_TEST_CASE(IdsRepeatedDuringADrain) {
  const auto fleet = MakeBenchFleet({});
  BOOST_REQUIRE(fleet != nullptr);
  AttemptHistory bookings(*fleet);
  std::vector<std::string> keys(12);
  std::ranges::generate(keys, [&] { return KeyOwnedBy(*fleet, kLeaving); });
  std::atomic<bool> stop = false;
  std::vector<std::thread> callers;
  for (const std::size_t node : {1U, 2U, 1U, 2U}) {
    callers.emplace_back([&, node] { BookUntil(bookings, keys, node, stop); });
  }
  std::this_thread::sleep_for(kBeforeDrain);
  fleet->Node(kLeaving).node_->Terminate();
  const auto exit_code = fleet->Node(kLeaving).node_->Wait(kExitLimit);
  std::this_thread::sleep_for(kAfterDrain);
  stop = true;
  for (std::thread& caller : callers) {
    caller.join();
  }
  BOOST_TEST((exit_code == 0));
  std::size_t acknowledged = 0;
  for (const Attempt& attempt : bookings.Attempts()) {
    BOOST_TEST(IsAcknowledged(attempt), Describe(attempt));
    ++acknowledged;
  }
  BOOST_TEST_MESSAGE(acknowledged << " answers");
  for (const std::string& key : keys) {
    BOOST_TEST((OwnerOf(*fleet, key, 1).value_or(kLeaving) != kLeaving));
  }
  for (const std::string& violation : bookings.CheckStillAcknowledged({2, 1})) {
    BOOST_ERROR(violation);
  }
  for (const std::string& violation : bookings.Check()) {
    BOOST_ERROR(violation);
  }
}

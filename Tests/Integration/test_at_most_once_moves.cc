#define BOOST_TEST_MODULE AtMostOnceMoves
#include <algorithm>
#include <atomic>
#include <boost/test/unit_test.hpp>
#include <thread>

#include "harness/attempt_history.h"

using namespace sassafrasbay;  // NOLINT(google-build-using-namespace)
using namespace harness;       // NOLINT(google-build-using-namespace)

namespace {

constexpr std::size_t kDrainedNode = 0;
constexpr milliseconds kLoadBeforeDrain{500};
constexpr milliseconds kLoadAfterDrain{1000};
// The default drain timeout of the settings (30 s), and as much again for a loaded machine.
constexpr milliseconds kExitTimeout{60'000};

// Sends bookings through one node and repeats each id at once through another node, until stopped.
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

// Guards against a second run, or a lost acknowledgement, of an id that is repeated while its unit
// moves to another owner or after the move. A graceful move hands over the request table.
BOOST_AUTO_TEST_CASE(RepeatedIdsDuringDrainKeepTheirAnswers) {
  const auto fleet = MakeBenchFleet({});
  BOOST_REQUIRE(fleet != nullptr);
  AttemptHistory bookings(*fleet);
  std::vector<std::string> keys(12);
  std::ranges::generate(keys, [&] { return KeyOwnedBy(*fleet, kDrainedNode); });
  std::atomic<bool> stop = false;
  std::vector<std::thread> callers;
  for (const std::size_t node : {1U, 2U, 1U, 2U}) {
    callers.emplace_back([&, node] { BookUntil(bookings, keys, node, stop); });
  }
  std::this_thread::sleep_for(kLoadBeforeDrain);
  fleet->Node(kDrainedNode).node_->Terminate();
  const auto exit_code = fleet->Node(kDrainedNode).node_->Wait(kExitTimeout);
  std::this_thread::sleep_for(kLoadAfterDrain);
  stop = true;
  for (std::thread& caller : callers) {
    caller.join();
  }
  BOOST_TEST((exit_code == 0));
  std::size_t attempt_count = 0;
  for (const Attempt& attempt : bookings.Attempts()) {
    BOOST_TEST(IsAcknowledged(attempt), Describe(attempt));
    ++attempt_count;
  }
  BOOST_TEST_MESSAGE(attempt_count << " answers");
  for (const std::string& key : keys) {
    BOOST_TEST((OwnerOf(*fleet, key, 1).value_or(kDrainedNode) != kDrainedNode));
  }
  for (const std::string& violation : bookings.CheckStillAcknowledged({2, 1})) {
    BOOST_ERROR(violation);
  }
  for (const std::string& violation : bookings.Check()) {
    BOOST_ERROR(violation);
  }
}

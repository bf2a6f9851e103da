#define BOOST_TEST_MODULE SlowLinks
#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <fstream>
#include <string>
#include <vector>

#include "Soak/keys_fixture.h"
#include "platform/wire_names.h"

namespace sassafrasbay::soak {
namespace {

constexpr int kFirstNetwork = 100;

/// Routes of a configuration of about 240 KB.
constexpr int kRoutes = 1400;

/// Rate at which a node reads the store, which takes 1.2 s for the configuration.
constexpr std::uint64_t kStoreBytesPerSecond = 200'000;

constexpr milliseconds kDeadline{400};
constexpr milliseconds kLinkDelay{1000};
constexpr int kRequests = 30;

struct SlowLinksFixture : KeysFixture {
  SlowLinksFixture() : KeysFixture(kFirstNetwork) {}

  void SlowStore(std::size_t node) {
    stand_ins::ProxyFaults slow;
    slow.bytes_per_second_from_target_ = kStoreBytesPerSecond;
    fleet_.SetStoreFaults(node, slow);
  }

  std::uint64_t WriteLargeConfiguration() {
    FleetOptions options;
    options.extra_routes_ = kRoutes;
    fleet_.SetOptions(std::move(options));
    return fleet_.WriteConfiguration();
  }

  /// Log lines of all nodes that contain both texts.
  std::ptrdiff_t CountLines(const std::string& first, const std::string& second) {
    std::ptrdiff_t count = 0;
    for (const Vm& vm : fleet_.Vms()) {
      std::ifstream log(vm.log_);
      for (std::string line; std::getline(log, line);) {
        count += line.find(first) != std::string::npos && line.find(second) != std::string::npos;
      }
    }
    return count;
  }

  /// Sends requests to the booking service at a node beside another one. Returns their ids.
  std::vector<std::string> CallBookingService() {
    const Vm& vm = fleet_.Vms()[0];
    HttpClient callers(loop_, kRequests);
    std::vector<std::string> ids;
    for (int i = 0; i < kRequests; ++i) {
      const std::string& id =
          ids.emplace_back("slow-" + std::to_string(network_) + "-" + std::to_string(i));
      HttpCall call;
      call.base_url_ = "http://" + vm.host_ + ":7001";
      call.request_ = {
          "POST",
          RequestPath(RequestKind::kBooking, id),
          {{"Host", "soak.example"},
           {std::string(platform::kRequestIdHeader), id},
           {std::string(platform::kRemainingTimeHeader), std::to_string(kDeadline.count())}},
          RequestBody(RequestKind::kBooking, id)};
      ledger_.OnSent(id, RequestKind::kBooking);
      callers.Start(std::move(call), [](const HttpResult&) {});
    }
    RunFor(kDeadline + kLinkDelay + kSettlingTime);
    return ids;
  }
};

BOOST_FIXTURE_TEST_SUITE(SlowLinks, SlowLinksFixture)

// Guards against a configuration that is never in force (CONFIG): a read of the store was given up
// after 0.7 s, however much of the answer had arrived, and begun again.
BOOST_AUTO_TEST_CASE(AConfigurationThatIsReadSlowlyIsInForce) {
  for (std::size_t node = 0; node < fleet_.Vms().size(); ++node) {
    SlowStore(node);
  }
  const std::uint64_t version = WriteLargeConfiguration();
  const BootTime end = BootClock::now() + kMaxConfigurationDelay;
  for (std::size_t node = 0; node < fleet_.Vms().size(); ++node) {
    const auto left = std::chrono::duration_cast<milliseconds>(end - BootClock::now());
    BOOST_TEST(AwaitConfiguration(node, version, left), fleet_.Vms()[node].name_);
  }
}

// Guards against copies of a large configuration that fill the link of a node while it reads that
// configuration from the store, so that the read takes longer (CONFIG).
BOOST_AUTO_TEST_CASE(ANodeThatReadsAConfigurationGetsNoCopies) {
  const std::size_t slow = fleet_.Vms().size() - 1;
  SlowStore(slow);
  const std::uint64_t version = WriteLargeConfiguration();
  BOOST_TEST(AwaitConfiguration(slow, version, kMaxConfigurationDelay));
  const std::string receiver = "peer=" + fleet_.Vms()[slow].advertised_address_ + " state=sent";
  BOOST_TEST(CountLines(receiver, "/" + std::to_string(version) + " ") == 0);
}

// Guards against requests that reach an upstream after their callers have left (GONE): the time
// that they spend on the way between two nodes wasn't counted.
BOOST_AUTO_TEST_CASE(ARequestWhoseDeadlinePassesOnItsWayDoesNotRun) {
  stand_ins::ProxyFaults delayed;
  delayed.delay_ms_ = kLinkDelay.count();
  for (std::size_t node = kLookupNodes; node < fleet_.Vms().size(); ++node) {
    fleet_.SetPeerFaults(node, 0, delayed);
  }
  const std::vector<std::string> ids = CallBookingService();
  BOOST_TEST(std::count_if(ids.begin(), ids.end(),
                           [this](const std::string& id) { return ledger_.HasRun(id); }) == 0);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace sassafrasbay::soak

#define BOOST_TEST_MODULE FaultProxy
#include <unistd.h>

#include <boost/test/unit_test.hpp>
#include <future>

#include "harness/process.h"
#include "harness/support.h"

using namespace sassafrasbay;  // NOLINT(google-build-using-namespace)
using namespace harness;       // NOLINT(google-build-using-namespace)
using nlohmann::json;

namespace {

constexpr std::size_t kLargeBody = 3U << 20U;

constexpr milliseconds kCallTimeout{1500};

/// Sending and comparing a large body takes up to 2 s under sanitizers on a loaded machine.
constexpr milliseconds kLargeCallTimeout{15000};

/// Starts a proxy in front of an upstream stand-in.
struct ProxyFixture {
  ProxyFixture() {
    const std::vector<std::string> upstream = {"--port=" + std::to_string(target_port_),
                                               "--admin-port=" + std::to_string(records_port_)};
    const std::vector<std::string> proxy = {
        "--admin-port=" + std::to_string(admin_port_),
        "--route=part=" + std::to_string(port_) + ":" + std::to_string(target_port_)};
    upstream_ = Start("upstream_stand_in", upstream);
    proxy_ = Start("fault_proxy", proxy);
    BOOST_REQUIRE(WaitUntil([&] { return CallStatus(port_, "GET", "/-/health") == 200; }));
  }

  std::unique_ptr<Process> Start(const char* name, const std::vector<std::string>& options) const {
    const std::filesystem::path directory = SASSAFRASBAY_STAND_INS;
    return Process::Start(directory / name, options, directory_.Path() / name).value();
  }

  void SetFaults(json faults) const {
    faults["route"] = "part";
    BOOST_REQUIRE(CallStatus(admin_port_, "POST", "/-/faults", faults.dump()) == 200);
  }

  std::error_code Send(const std::string& body = {}, std::string directive = {}) const {
    const auto response = Call(port_, {"PUT", "/a/b", {{"Stand-In", std::move(directive)}}, body},
                               body.size() < kLargeBody ? kCallTimeout : kLargeCallTimeout);
    if (!response) {
      return response.error().code_;
    }
    const json answer = json::parse(response.value().body_, nullptr, false);
    return answer.is_object() && answer["echo"] == body ? std::error_code() : Errc::kMalformed;
  }

  std::size_t RunCount() const { return GetJson(records_port_, "/-/runs").size(); }

  TemporaryDirectory directory_;
  std::uint16_t target_port_ = FreePort();
  std::uint16_t records_port_ = FreePort();
  std::uint16_t port_ = FreePort();
  std::uint16_t admin_port_ = FreePort();
  std::unique_ptr<Process> upstream_;
  std::unique_ptr<Process> proxy_;
};

}  // namespace

// Bytes changed or lost by the proxy without a fault would look like a fault of the router.
BOOST_AUTO_TEST_CASE(RelaysCompleteBodies) {
  const ProxyFixture proxied;
  BOOST_TEST(!proxied.Send("small"));
  BOOST_TEST(!proxied.Send(std::string(kLargeBody, 'x')));
}

BOOST_AUTO_TEST_CASE(CutDiscardsBytesUntilItEnds) {
  const ProxyFixture proxied;
  proxied.SetFaults({{"cut", true}});
  BOOST_TEST((proxied.Send() == Errc::kTimedOut));
  BOOST_TEST(proxied.RunCount() == 0U);
  proxied.SetFaults({});
  BOOST_TEST(!proxied.Send());
}

// In a half-open partition the request arrives and runs, and only its answer is lost.
BOOST_AUTO_TEST_CASE(OneWayCutLosesOnlyTheAnswer) {
  const ProxyFixture proxied;
  proxied.SetFaults({{"cut_from_target", true}});
  BOOST_TEST((proxied.Send() == Errc::kTimedOut));
  BOOST_TEST(proxied.RunCount() == 1U);
  proxied.SetFaults({{"cut_to_target", true}});
  BOOST_TEST((proxied.Send() == Errc::kTimedOut));
  BOOST_TEST(proxied.RunCount() == 1U);
}

// Continuing a stream with missing bytes would give its reader malformed data, which a network
// partition never causes.
BOOST_AUTO_TEST_CASE(ConnectionThatLostBytesIsResetAfterTheCut) {
  const ProxyFixture proxied;
  auto lost = std::async(std::launch::async, [&] { return proxied.Send("", "sleep=300"); });
  BOOST_TEST(WaitUntil([&] { return proxied.RunCount() == 1; }));
  proxied.SetFaults({{"cut", true}});
  BOOST_TEST((lost.wait_for(milliseconds(700)) == std::future_status::timeout));
  proxied.SetFaults({});
  BOOST_TEST((lost.get() == Errc::kConnectionLost));
}

BOOST_AUTO_TEST_CASE(ConnectionWithoutLostBytesStaysOpenAfterTheCut) {
  const ProxyFixture proxied;
  auto kept = std::async(std::launch::async, [&] { return proxied.Send("", "sleep=900"); });
  BOOST_TEST(WaitUntil([&] { return proxied.RunCount() == 1; }));
  proxied.SetFaults({{"cut", true}});
  std::this_thread::sleep_for(milliseconds(200));
  proxied.SetFaults({});
  BOOST_TEST(!kept.get());
}

BOOST_AUTO_TEST_CASE(RefuseClosesNewConnections) {
  const ProxyFixture proxied;
  proxied.SetFaults({{"refuse", true}});
  // The reset can reach the caller before or after its connection is established.
  const std::error_code code = proxied.Send();
  BOOST_TEST_INFO(code.message());
  BOOST_TEST((code == Errc::kConnectionLost || code == Errc::kUnavailable));
  BOOST_TEST(proxied.RunCount() == 0U);
}

BOOST_AUTO_TEST_CASE(DelayAppliesToEachDirection) {
  const ProxyFixture proxied;
  proxied.SetFaults({{"delay_ms", 200}});
  const BootTime start = BootClock::now();
  BOOST_TEST(!proxied.Send());
  BOOST_TEST((BootClock::now() - start >= milliseconds(400)));
}

// Invariant 3: callers must be able to tell a truncated answer from a complete one.
BOOST_AUTO_TEST_CASE(ResetTruncatesTheAnswer) {
  const ProxyFixture proxied;
  proxied.SetFaults({{"reset_after_bytes", 1000}});
  BOOST_TEST((proxied.Send(std::string(kLargeBody, 'x')) == Errc::kConnectionLost));
  BOOST_TEST(!proxied.Send("short"));
  proxied.SetFaults({{"reset_after_bytes", 10}});
  BOOST_TEST((proxied.Send("short") == Errc::kConnectionLost));
}

// A partition between two nodes must not affect the connections of a third node.
BOOST_AUTO_TEST_CASE(FaultsOfOneProcessDoNotAffectOthers) {
  const ProxyFixture proxied;
  proxied.SetFaults({{"cut", true}, {"from_process", proxied.upstream_->Id()}});
  BOOST_TEST(!proxied.Send());
  proxied.SetFaults({{"cut", true}, {"from_process", getpid()}});
  BOOST_TEST((proxied.Send() == Errc::kTimedOut));
  proxied.SetFaults({{"from_process", getpid()}});
  BOOST_TEST(!proxied.Send());
}

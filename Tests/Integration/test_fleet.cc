#define BOOST_TEST_MODULE Fleet
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <boost/test/unit_test.hpp>
#include <csignal>
#include <fstream>
#include <iterator>

#include "harness/fleet.h"

using namespace sassafrasbay;  // NOLINT(google-build-using-namespace)
using namespace harness;       // NOLINT(google-build-using-namespace)

namespace {

std::unique_ptr<Fleet> BuildFleet(bool proxies) {
  FleetBuilder builder;
  builder.AddNode({.data_centre_ = "dc1"}).AddNode({.name_ = "other", .data_centre_ = "dc2"});
  if (proxies) {
    builder.UseProxies();
  }
  auto fleet = builder.StartOnlyLog().Build();
  BOOST_REQUIRE_MESSAGE(fleet, (fleet ? "" : ToString(fleet.error())));
  return std::move(fleet).value();
}

std::string SettingsOf(Fleet& fleet, std::size_t index) {
  BOOST_REQUIRE(fleet.StartNode(index));
  fleet.Node(index).node_->Kill();
  std::ifstream file(fleet.Directory() / (fleet.Node(index).options_.name_ + ".toml"));
  return {std::istreambuf_iterator<char>(file), {}};
}

bool Contains(const std::string& text, const std::string& part) {
  return text.find(part) != std::string::npos;
}

}  // namespace

// Guards against direct addresses in the settings of a proxied node: its connections would bypass
// the proxies, and injected faults would have no effect on it.
BOOST_AUTO_TEST_CASE(SettingsContainProxyAddresses) {
  const auto direct = BuildFleet(false);
  const std::string plain = SettingsOf(*direct, 0);
  BOOST_TEST(Contains(plain, "url = \"" + LocalUrl(direct->LogPort()) + "\""));
  BOOST_TEST(Contains(plain, LocalAddress(direct->Node(1).control_port_)));
  BOOST_TEST(!Contains(plain, "[advertise]"));

  const auto proxied = BuildFleet(true);
  const std::string text = SettingsOf(*proxied, 0);
  BOOST_TEST(Contains(text, "name = \"node0\""));
  BOOST_TEST(Contains(text, "data_centre = \"dc1\""));
  BOOST_TEST(Contains(text, "[advertise]"));
  BOOST_TEST(!Contains(text, std::to_string(proxied->LogPort())));
  BOOST_TEST(!Contains(text, std::to_string(proxied->Node(1).control_port_)));
}

BOOST_AUTO_TEST_CASE(RunsOfAllUpstreamsAreCollected) {
  const auto fleet = BuildFleet(false);
  for (std::size_t index = 0; index < fleet->Size(); ++index) {
    BOOST_REQUIRE(fleet->StartUpstream(index));
    BOOST_TEST(CallStatus(fleet->Node(index).upstream_port_, "GET", "/bench/1") == 409);
  }
  fleet->Node(0).options_.checks_grants_ = false;
  BOOST_REQUIRE(fleet->StartUpstream(0));
  BOOST_TEST(CallStatus(fleet->Node(0).upstream_port_, "GET", "/bench/1") == 200);
  fleet->Node(0).upstream_->Kill();
  BOOST_TEST(fleet->Runs().size() == 1U);
}

BOOST_AUTO_TEST_CASE(FaultsReachLogAndProxies) {
  const auto fleet = BuildFleet(true);
  BOOST_TEST(fleet->SetLogFaults({{"outage", true}}));
  BOOST_TEST(CallStatus(fleet->LogPort(), "GET", "/offsets") == 503);
  BOOST_TEST(fleet->SetLogPartition(1, true));
  BOOST_TEST(fleet->SetProxyFaults("upstream.node0", {{"delay_ms", 5}}));
  BOOST_TEST(!fleet->SetProxyFaults("upstream.unknown", {{"delay_ms", 5}}));
  // A partition is set by process ids, so both nodes must have been started.
  BOOST_TEST(!fleet->SetPartition(0, 1, true));
  BOOST_REQUIRE(fleet->StartNode(0));
  BOOST_REQUIRE(fleet->StartNode(1));
  BOOST_TEST(fleet->SetPartition(0, 1, true));
  BOOST_TEST(fleet->SetPartition(0, 1, false));
}

// Pause must return only after the process has stopped, and Wait must report how a process ended.
BOOST_AUTO_TEST_CASE(ProcessIsPausedResumedAndEnded) {
  const auto fleet = BuildFleet(false);
  BOOST_REQUIRE(fleet->StartUpstream(0));
  Process& process = *fleet->Node(0).upstream_;
  const std::uint16_t port = fleet->Node(0).upstream_port_;
  process.Pause();
  const auto response = Call(port, {"GET", "/-/health", {}, {}}, milliseconds(300));
  BOOST_TEST(!response);
  process.Resume();
  BOOST_TEST(CallStatus(port, "GET", "/-/health") == 200);
  BOOST_TEST(process.IsRunning());
  process.Terminate();
  BOOST_TEST((process.Wait(std::chrono::seconds(10)) == 128 + SIGTERM));
  BOOST_TEST(!process.IsRunning());
}

// Guards against test programs that run at the same time and choose the same port, which each of
// them listens on only later.
BOOST_AUTO_TEST_CASE(ProgramsThatRunAtTheSameTimeGetDifferentPorts) {
  FreePort();  // The other program then continues with the same random numbers.
  std::array<int, 2> chosen{};
  std::array<int, 2> end{};
  BOOST_REQUIRE(pipe(chosen.data()) == 0);
  BOOST_REQUIRE(pipe(end.data()) == 0);
  std::array<std::uint16_t, 20> other_ports{};
  const pid_t other = fork();
  if (other == 0) {
    std::ranges::generate(other_ports, FreePort);
    (void)!write(chosen[1], other_ports.data(), sizeof(other_ports));
    close(end[1]);
    (void)!read(end[0], other_ports.data(), 1);  // Returns when the parent closes its end.
    _exit(0);
  }
  BOOST_REQUIRE(other > 0);
  BOOST_TEST(read(chosen[0], other_ports.data(), sizeof(other_ports)) ==
             static_cast<ssize_t>(sizeof(other_ports)));
  for (std::size_t i = 0; i < other_ports.size(); ++i) {
    const std::uint16_t port = FreePort();
    BOOST_TEST((std::ranges::find(other_ports, port) == other_ports.end()), "port " << port);
  }
  for (const int descriptor : {chosen[0], chosen[1], end[0], end[1]}) {
    close(descriptor);
  }
  waitpid(other, nullptr, 0);
}

#define BOOST_TEST_MODULE BadInput
#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <random>
#include <thread>

#include "LibControl/record_codec.h"
#include "configuration_support.h"

using namespace sassafrasbay;  // NOLINT(google-build-using-namespace)
using namespace harness;       // NOLINT(google-build-using-namespace)

namespace {

constexpr std::uint64_t kSeed = 20261204;

/// Whether a node knows every session with two grantors.
bool HasGrantors(Fleet& fleet, std::size_t index) {
  const auto status = GetJson(fleet.Node(index).callers_port_, "/-/status");
  if (!status.is_object() || status.value("sessions", nlohmann::json()).size() != fleet.Size()) {
    return false;
  }
  return std::ranges::all_of(status["sessions"], [](const nlohmann::json& session) {
    return session.at("grantors").size() == 2;
  });
}

std::unique_ptr<Fleet> BuildFleet() {
  auto fleet = FleetBuilder()
                   .AddNode({.data_centre_ = "dc1"})
                   .AddNode({.data_centre_ = "dc2"})
                   .AddNode({.data_centre_ = "dc3"})
                   .Build();
  BOOST_REQUIRE_MESSAGE(fleet, (fleet ? "" : ToString(fleet.error())));
  BOOST_REQUIRE(
      fleet.value()->Publish({{"bench.routing.toml", MakeRoutingFile("bench", "first")}}));
  BOOST_REQUIRE(WaitForService(*fleet.value(), "/bench/first-1"));
  // Leases that are extended by grantors don't depend on the log.
  for (std::size_t index = 0; index < fleet.value()->Size(); ++index) {
    BOOST_REQUIRE(WaitUntil([&] { return HasGrantors(*fleet.value(), index); }));
  }
  return std::move(fleet).value();
}

std::string RandomBytes(std::mt19937_64& random, std::size_t size) {
  std::string bytes(size, '\0');
  for (char& byte : bytes) {
    byte = static_cast<char>(random());
  }
  return bytes;
}

/// Writes bytes to a port on a connection of its own, and closes it.
void SendBytes(std::uint16_t port, std::string_view bytes) {
  const int descriptor = socket(AF_INET, SOCK_STREAM, 0);
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(port);
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  BOOST_REQUIRE(connect(descriptor, reinterpret_cast<sockaddr*>(&address), sizeof(address)) == 0);
  // The node may close the connection first, so a failed or partial write is accepted.
  (void)send(descriptor, bytes.data(), bytes.size(), MSG_NOSIGNAL);
  close(descriptor);
}

void CheckServing(Fleet& fleet) {
  for (std::size_t index = 0; index < fleet.Size(); ++index) {
    BOOST_TEST(fleet.Node(index).node_->IsRunning());
  }
  BOOST_TEST(WaitForService(fleet, "/bench/first-1"));
}

}  // namespace

// Guards against a log record that can't be decoded terminating a node or stopping its log reader.
BOOST_AUTO_TEST_CASE(UndecodableLogRecordIsSkipped) {
  BOOST_TEST_MESSAGE("seed " << kSeed);
  const auto fleet = BuildFleet();
  std::mt19937_64 random(kSeed);
  for (std::size_t size = 0; size < 200; ++size) {
    CallStatus(fleet->LogPort(), "POST", "/append", RandomBytes(random, size));
  }
  BOOST_TEST(CallStatus(fleet->LogPort(), "POST", "/append", "\xa1\x62id\x01") == 200);
  BOOST_REQUIRE(fleet->Publish({{"bench.routing.toml", MakeRoutingFile("bench", "second")}}));
  VersionMonitor monitor;
  BOOST_TEST(WaitForVersion(monitor, *fleet, 2, std::chrono::seconds(15)));
  for (std::size_t index = 0; index < fleet->Size(); ++index) {
    BOOST_TEST(fleet->Node(index).node_->IsRunning());
  }
}

// Guards against a node that applies a record of an unknown rules version, or terminates on it. The
// node must stop reading the log at this record and continue to serve the units that it owns.
BOOST_AUTO_TEST_CASE(UnknownRulesVersionStopsOnlyTheLogReader) {
  const auto fleet = BuildFleet();
  Record record;
  record.id_ = "future";
  record.rules_version_ = kRulesVersion + 1;
  record.body_ = SessionEnded{"nobody"};
  BOOST_REQUIRE(CallStatus(fleet->LogPort(), "POST", "/append", EncodeRecord(record)) == 200);
  fleet->Publish({{"bench.routing.toml", MakeRoutingFile("bench", "second")}});
  // Longer than a lease, so that leases expire if nodes stop extending them.
  std::this_thread::sleep_for(std::chrono::seconds(3));
  CheckServing(*fleet);
  for (std::size_t index = 0; index < fleet->Size(); ++index) {
    BOOST_TEST(VersionAt(*fleet, index) == 1);
  }
}

// Guards against invalid bytes on the ports between nodes terminating a node or ending its leases.
BOOST_AUTO_TEST_CASE(InvalidBytesOnPeerPortsAreDropped) {
  BOOST_TEST_MESSAGE("seed " << kSeed);
  const auto fleet = BuildFleet();
  std::mt19937_64 random(kSeed);
  const std::string upgrade =
      "GET / HTTP/1.1\r\nHost: x\r\nUpgrade: websocket\r\nConnection: Upgrade\r\n"
      "Sec-WebSocket-Key: dGhlIHNhbXBsZSBub25jZQ==\r\nSec-WebSocket-Version: 13\r\n\r\n";
  for (int round = 0; round < 50; ++round) {
    for (const std::uint16_t port : {fleet->Node(0).traffic_port_, fleet->Node(0).control_port_}) {
      SendBytes(port, RandomBytes(random, 300));
      // A masked binary frame of 100 random bytes after a valid handshake.
      SendBytes(port, upgrade + std::string("\x82\xe4", 2) + RandomBytes(random, 104));
    }
  }
  CheckServing(*fleet);
}

// Guards against malformed requests and upstream announcements terminating a node.
BOOST_AUTO_TEST_CASE(MalformedRequestsGetAnErrorStatus) {
  const auto fleet = BuildFleet();
  const std::uint16_t port = fleet->Node(0).callers_port_;
  SendBytes(port, "NONSENSE\r\n\r\n");
  SendBytes(port, "GET /bench/first-1 HTTP/1.1\r\nHost: x\r\nContent-Length: -5\r\n\r\n");
  BOOST_TEST(CallStatus(port, "POST", "/bench/first-1", std::string(4U << 20U, 'x')) == 413);
  BOOST_TEST(CallStatus(port, "GET", "/bench/" + std::string(60'000, 'x')) >= 400);
  BOOST_TEST(CallStatus(port, "GET", "/nothing/first-1") == 400);
  for (const std::string body :
       {"", "{", "[]", R"({"service":1})", R"({"service":"bench","address":"nowhere"})",
        R"({"service":"bench","address":"127.0.0.1:1","slots":0})"}) {
    BOOST_TEST(CallStatus(port, "POST", "/-/announce", body) == 400);
  }
  BOOST_TEST(CallStatus(port, "GET", "/-/explain?service=%zz&key=%") >= 400);
  // Bytes that aren't UTF-8 can't be repeated in a JSON answer as they are.
  BOOST_TEST(CallStatus(port, "GET", "/-/explain?service=%ff&key=%fe") >= 400);
  BOOST_TEST(CallStatus(port, "GET", "/-/explain?service=bench&key=%fe") >= 200);
  CheckServing(*fleet);
}

// Guards against commands that fail without naming the cause, or with the wrong exit code.
BOOST_AUTO_TEST_CASE(CommandErrorsNameTheCause) {
  const TemporaryDirectory directory;
  const auto run = [&directory](std::vector<std::string> arguments) {
    return RunCommand(directory.Path(), std::move(arguments));
  };
  BOOST_TEST(run({"nonsense"}).exit_code_ == 2);
  BOOST_TEST(run({"node", "--nonsense"}).exit_code_ == 2);
  BOOST_TEST(run({"node", "--config=missing.toml"}).exit_code_ == 3);
  BOOST_TEST(run({"status", "--node=127.0.0.1:1"}).exit_code_ == 1);
  BOOST_TEST(run({"check", "--help"}).exit_code_ == 0);
  const std::string settings = WriteText(directory.Path() / "node.toml",
                                         "[node]\nname = 5\nwrong = 1\n[log]\nurl = \"x\"\n");
  const CommandResult check = run({"check", settings});
  BOOST_TEST(check.exit_code_ == 3);
  for (const std::string part :
       {"node.toml:2: node.name", "node.toml:3: node.wrong", "node.toml:5: log.url"}) {
    BOOST_TEST(check.output_.find(part) != std::string::npos, check.output_);
  }
  const std::string first =
      WriteText(directory.Path() / "a" / "first.routing.toml", MakeRoutingFile("bench", "a"));
  const std::string second =
      WriteText(directory.Path() / "b" / "second.routing.toml", MakeRoutingFile("bench", "b"));
  const CommandResult conflict =
      run({"publish", "--log=http://127.0.0.1:1", directory.Path().string()});
  BOOST_TEST(conflict.exit_code_ == 3);
  BOOST_TEST(conflict.output_.find(first) != std::string::npos, conflict.output_);
  BOOST_TEST(conflict.output_.find(second) != std::string::npos, conflict.output_);
}

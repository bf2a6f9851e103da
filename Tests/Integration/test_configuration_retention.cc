#define BOOST_TEST_MODULE ConfigurationRetention
#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <thread>

#include "configuration_support.h"
#include "harness/attempt_history.h"

using namespace sassafrasbay;  // NOLINT(google-build-using-namespace)
using namespace harness;       // NOLINT(google-build-using-namespace)

namespace {

using nlohmann::json;

constexpr int kCheckpointRecords = 10;
constexpr std::size_t kRestartedNode = 1;
constexpr std::size_t kPartitionedNode = 2;
constexpr std::size_t kNewNode = 3;
constexpr std::chrono::seconds kTimeout{60};

std::unique_ptr<Fleet> BuildFleet() {
  FleetBuilder builder;
  for (const char* data_centre : {"dc1", "dc2", "dc3", "dc1"}) {
    builder.AddNode({.data_centre_ = data_centre, .checkpoint_records_ = kCheckpointRecords});
  }
  auto fleet = builder.UseProxies().StartOnlyLog().Build();
  BOOST_REQUIRE_MESSAGE(fleet, (fleet ? "" : ToString(fleet.error())));
  return std::move(fleet).value();
}

void Start(Fleet& fleet, std::size_t index) {
  BOOST_REQUIRE(fleet.StartNode(index));
  BOOST_REQUIRE(fleet.StartUpstream(index));
}

// Starts all nodes but the new one. The first publication spreads the units over the sessions that
// have joined by then; the planner that would move them may be the node that is cut off.
void StartSessions(Fleet& fleet) {
  for (std::size_t index = 0; index < kNewNode; ++index) {
    Start(fleet, index);
  }
  BOOST_REQUIRE(WaitForSessions(fleet, 0, kNewNode));
}

void PublishUntil(Fleet& fleet, VersionMonitor& monitor, int& version, int target_version) {
  while (version < target_version) {
    ++version;
    BOOST_REQUIRE(fleet.Publish(
        {{"bench.routing.toml", MakeRoutingFile("bench", "v" + std::to_string(version))}}));
    SampleVersions(monitor, fleet);
  }
}

json Status(Fleet& fleet, std::size_t index) {
  return GetJson(fleet.Node(index).callers_port_, "/-/status");
}

// The through_offset of each checkpoint that covers the records up to the given offset or further.
std::vector<std::uint64_t> CheckpointsFrom(const Fleet& fleet, std::uint64_t through) {
  std::vector<std::uint64_t> found;
  for (const json& body : LogRecords(fleet, "Checkpoint")) {
    if (body.at("through_offset") >= through) {
      found.push_back(body.at("through_offset"));
    }
  }
  return found;
}

// Appends the first checkpoint a second time, as a delayed append would. Returns its new offset.
std::uint64_t RepeatFirstCheckpoint(const Fleet& fleet) {
  for (const json& record : LogRecords(fleet)) {
    if (record.is_object() && record.value("type", "") == "Checkpoint") {
      const std::vector<std::uint8_t> bytes = json::to_cbor(record);
      const auto answer =
          Call(fleet.LogPort(), {"POST", "/append", {}, std::string(bytes.begin(), bytes.end())});
      BOOST_REQUIRE(answer);
      return json::parse(answer.value().body_).at("offset");
    }
  }
  BOOST_FAIL("no checkpoint was written");
  return 0;
}

// Appends a checkpoint that has the state of the first one but claims to cover all records before
// its own offset.
void AppendOutdatedCheckpoint(const Fleet& fleet) {
  const std::vector<json> records = LogRecords(fleet);
  const auto first = std::ranges::find_if(records, [](const json& record) {
    return record.is_object() && record.value("type", "") == "Checkpoint";
  });
  BOOST_REQUIRE(first != records.end());
  json record = *first;
  json& body = record.at("body");
  json state = json::from_cbor(body.at("state").get_binary());
  state["next_offset"] = records.size();
  body["through_offset"] = records.size() - 1;
  body["state"] = json::binary(json::to_cbor(state));
  record["id"] = std::string(32, 'f');
  const std::vector<std::uint8_t> bytes = json::to_cbor(record);
  BOOST_REQUIRE(CallStatus(fleet.LogPort(), "POST", "/append",
                           std::string(bytes.begin(), bytes.end())) == 200);
}

bool WaitForSameState(VersionMonitor& monitor, Fleet& fleet, std::size_t index, int version) {
  return WaitUntil(
      [&] {
        SampleVersions(monitor, fleet);
        const auto owners = OwnersAt(fleet, 0);
        return VersionAt(fleet, index) == version && !owners.front().empty() &&
               OwnersAt(fleet, index) == owners;
      },
      kTimeout);
}

std::size_t RunsAt(Fleet& fleet, std::size_t index) {
  const auto runs = fleet.Runs();
  return static_cast<std::size_t>(std::ranges::count_if(
      runs, [&](const RunRecord& run) { return run.port_ == fleet.Node(index).upstream_port_; }));
}

// A path in the configuration version whose key is owned by a session other than the given one.
std::string PathOwnedByAnotherSession(Fleet& fleet, const std::string& session, int version) {
  for (int number = 0; number < 100; ++number) {
    const std::string key = "v" + std::to_string(version) + "-" + std::to_string(number);
    const json answer = GetJson(fleet.Node(0).callers_port_, "/-/explain?service=bench&key=" + key);
    if (answer.is_object() && answer.value("session", session) != session) {
      return "/bench/" + key;
    }
  }
  return "";
}

// Sessions and owners as the nodes report them, to find the cause of a failed check.
std::string DescribeOwners(Fleet& fleet) {
  std::string text;
  for (std::size_t index = 0; index < fleet.Size(); ++index) {
    text += "node " + std::to_string(index) + ": " + Status(fleet, index).dump() + "\n";
  }
  return text + GetJson(fleet.Node(0).callers_port_, "/-/explain?service=bench&key=v50-0").dump();
}

// Restarts a node, which keeps no state, while the log is down. The node must get the configuration
// from other nodes and route requests, but own no units until the log is back.
void CheckRestartInOutage(Fleet& fleet, VersionMonitor& monitor, int version) {
  const std::string session = Status(fleet, kRestartedNode).value("session", "");
  const std::string path = PathOwnedByAnotherSession(fleet, session, version);
  BOOST_REQUIRE_MESSAGE(!path.empty(), "no key is owned by a session other than \"" + session +
                                           "\"; " + DescribeOwners(fleet));
  BOOST_REQUIRE(fleet.SetLogFaults({{"outage", true}}));
  BOOST_REQUIRE(fleet.StartNode(kRestartedNode));
  const std::size_t runs = RunsAt(fleet, kRestartedNode);
  const std::uint16_t port = fleet.Node(kRestartedNode).callers_port_;
  BOOST_TEST(WaitUntil([&] { return VersionAt(fleet, kRestartedNode) == version; }, kTimeout));
  BOOST_TEST(WaitUntil([&] { return CallStatus(port, "GET", path) == 200; }, kTimeout));
  for (int round = 0; round < 30; ++round) {
    std::this_thread::sleep_for(milliseconds(100));
    const json status = Status(fleet, kRestartedNode);
    BOOST_TEST(status.value("session", "none").empty());
    BOOST_TEST(status.value("units_held", -1) == 0);
    BOOST_TEST(CallStatus(port, "GET", path) == 200);
    SampleVersions(monitor, fleet);
  }
  BOOST_TEST(RunsAt(fleet, kRestartedNode) == runs);
  BOOST_REQUIRE(fleet.SetLogFaults({{"outage", false}}));
  BOOST_TEST(WaitUntil(
      [&] {
        const std::string joined = Status(fleet, kRestartedNode).value("session", "");
        return !joined.empty() && joined != session;
      },
      kTimeout));
  BOOST_TEST(WaitForSameState(monitor, fleet, kRestartedNode, version));
}

}  // namespace

// Guards against a node that reverts to an older configuration, or to owners that differ from those
// of the rest of the fleet, after the log was truncated beyond its position. This happens if it
// applies records across the gap, or loads the first checkpoint that it reads although that one is
// outdated.
BOOST_AUTO_TEST_CASE(LogTruncationDoesNotRevertState) {
  const auto fleet = BuildFleet();
  VersionMonitor monitor;
  int version = 0;
  StartSessions(*fleet);
  PublishUntil(*fleet, monitor, version, 20);
  BOOST_REQUIRE(WaitUntil([&] { return !CheckpointsFrom(*fleet, 0).empty(); }, kTimeout));
  PublishUntil(*fleet, monitor, version, 25);
  BOOST_REQUIRE(
      WaitUntil([&] { return VersionAt(*fleet, kPartitionedNode) == version; }, kTimeout));
  BOOST_REQUIRE(fleet->SetLogPartition(kPartitionedNode, true));
  PublishUntil(*fleet, monitor, version, 30);
  const std::uint64_t repeated = RepeatFirstCheckpoint(*fleet);
  PublishUntil(*fleet, monitor, version, 50);
  BOOST_REQUIRE(WaitUntil([&] { return !CheckpointsFrom(*fleet, repeated).empty(); }, kTimeout));
  BOOST_TEST(VersionAt(*fleet, kPartitionedNode) == 25);
  BOOST_REQUIRE(fleet->SetLogFaults({{"truncate_before", repeated}}));
  BOOST_REQUIRE(fleet->SetLogPartition(kPartitionedNode, false));
  BOOST_TEST(WaitForSameState(monitor, *fleet, kPartitionedNode, version));
  BOOST_REQUIRE(fleet->StartNode(kNewNode));
  BOOST_TEST(WaitForSameState(monitor, *fleet, kNewNode, version));
  BOOST_REQUIRE(fleet->StartUpstream(kNewNode));
  BOOST_TEST(
      WaitUntil([&] { return !Status(*fleet, kNewNode).value("session", "").empty(); }, kTimeout));
  CheckRestartInOutage(*fleet, monitor, version);
  BOOST_TEST(WaitForService(*fleet, "/bench/v50-1", kTimeout));
  BOOST_TEST(monitor.violations_ == Violations(), boost::test_tools::per_element());
}

// Guards against a checkpoint with a state older than its through_offset reverting the
// configuration of a node that has applied a newer version.
BOOST_AUTO_TEST_CASE(OutdatedCheckpointDoesNotRevertConfiguration) {
  const auto fleet = BuildFleet();
  VersionMonitor monitor;
  int version = 0;
  StartSessions(*fleet);
  PublishUntil(*fleet, monitor, version, 20);
  BOOST_REQUIRE(WaitUntil([&] { return !CheckpointsFrom(*fleet, 0).empty(); }, kTimeout));
  PublishUntil(*fleet, monitor, version, 25);
  BOOST_REQUIRE(
      WaitUntil([&] { return VersionAt(*fleet, kPartitionedNode) == version; }, kTimeout));
  BOOST_REQUIRE(fleet->SetLogPartition(kPartitionedNode, true));
  PublishUntil(*fleet, monitor, version, 30);
  const std::size_t outdated = LogRecords(*fleet).size();
  AppendOutdatedCheckpoint(*fleet);
  PublishUntil(*fleet, monitor, version, 50);
  BOOST_REQUIRE(
      WaitUntil([&] { return !CheckpointsFrom(*fleet, outdated + 5).empty(); }, kTimeout));
  BOOST_REQUIRE(fleet->SetLogFaults({{"truncate_before", outdated}}));
  BOOST_REQUIRE(fleet->SetLogPartition(kPartitionedNode, false));
  BOOST_TEST(WaitForSameState(monitor, *fleet, kPartitionedNode, version));
  BOOST_TEST(monitor.violations_ == Violations(), boost::test_tools::per_element());
}

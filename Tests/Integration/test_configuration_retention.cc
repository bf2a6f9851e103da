#define BOOST_TEST_MODULE ConfigurationRetention
#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <thread>

#include "configuration_support.h"

using namespace sassafrasbay;  // NOLINT(google-build-using-namespace)
using namespace harness;       // NOLINT(google-build-using-namespace)

namespace {

using nlohmann::json;

constexpr int kCheckpointRecords = 10;
constexpr std::size_t kRestarted = 1;
constexpr std::size_t kCutOff = 2;
constexpr std::size_t kNew = 3;
constexpr std::chrono::seconds kLimit{60};

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

void PublishUntil(Fleet& fleet, VersionWatch& watch, int& version, int last) {
  while (version < last) {
    ++version;
    BOOST_REQUIRE(
        fleet.Publish({{"bench.routing.toml", Routing("bench", "v" + std::to_string(version))}}));
    Sample(watch, fleet);
  }
}

json Status(Fleet& fleet, std::size_t index) {
  return GetJson(fleet.Node(index).callers_port_, "/-/status");
}

// Positions (through_offset) of the checkpoints that hold the records up to an offset or further.
std::vector<std::uint64_t> CheckpointsFrom(const Fleet& fleet, std::uint64_t through) {
  std::vector<std::uint64_t> found;
  for (const json& body : LogRecords(fleet, "Checkpoint")) {
    if (body.at("through_offset") >= through) {
      found.push_back(body.at("through_offset"));
    }
  }
  return found;
}

// Appends the first checkpoint a second time, as an append that takes effect late. Returns its new
// offset.
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

// Appends a checkpoint with the state of the first one, stated for the records up to its own
// offset.
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

bool WaitForSameState(VersionWatch& watch, Fleet& fleet, std::size_t index, int version) {
  return WaitUntil(
      [&] {
        Sample(watch, fleet);
        const auto owners = OwnersAt(fleet, 0);
        return VersionAt(fleet, index) == version && !owners.front().empty() &&
               OwnersAt(fleet, index) == owners;
      },
      kLimit);
}

std::size_t RunsAt(Fleet& fleet, std::size_t index) {
  const auto runs = fleet.Runs();
  return static_cast<std::size_t>(std::ranges::count_if(
      runs, [&](const RunRecord& run) { return run.port_ == fleet.Node(index).upstream_port_; }));
}

// A path of the version that is owned by another session than the given one.
std::string PathOfOther(Fleet& fleet, const std::string& session, int version) {
  for (int number = 0; number < 100; ++number) {
    const std::string key = "v" + std::to_string(version) + "-" + std::to_string(number);
    const json answer = GetJson(fleet.Node(0).callers_port_, "/-/explain?service=bench&key=" + key);
    if (answer.is_object() && answer.value("session", session) != session) {
      return "/bench/" + key;
    }
  }
  return "";
}

// Restarts a node from nothing while the log is down.
void CheckRestartInOutage(Fleet& fleet, VersionWatch& watch, int version) {
  const std::string session = Status(fleet, kRestarted).value("session", "");
  const std::string path = PathOfOther(fleet, session, version);
  BOOST_REQUIRE(!path.empty());
  BOOST_REQUIRE(fleet.SetLogFaults({{"outage", true}}));
  BOOST_REQUIRE(fleet.StartNode(kRestarted));
  const std::size_t runs = RunsAt(fleet, kRestarted);
  const std::uint16_t port = fleet.Node(kRestarted).callers_port_;
  BOOST_TEST(WaitUntil([&] { return VersionAt(fleet, kRestarted) == version; }, kLimit));
  BOOST_TEST(WaitUntil([&] { return CallStatus(port, "GET", path) == 200; }, kLimit));
  for (int round = 0; round < 30; ++round) {
    std::this_thread::sleep_for(milliseconds(100));
    const json status = Status(fleet, kRestarted);
    BOOST_TEST(status.value("session", "none").empty());
    BOOST_TEST(status.value("units_held", -1) == 0);
    BOOST_TEST(CallStatus(port, "GET", path) == 200);
    Sample(watch, fleet);
  }
  BOOST_TEST(RunsAt(fleet, kRestarted) == runs);
  BOOST_REQUIRE(fleet.SetLogFaults({{"outage", false}}));
  BOOST_TEST(WaitUntil(
      [&] {
        const std::string joined = Status(fleet, kRestarted).value("session", "");
        return !joined.empty() && joined != session;
      },
      kLimit));
  BOOST_TEST(WaitForSameState(watch, fleet, kRestarted, version));
}

}  // namespace

// A node behind the retained records must continue from a checkpoint: one that applied records
// across the gap, or took the first checkpoint it met, would go back to an older configuration or
// to other owners than the rest of the fleet.
BOOST_AUTO_TEST_CASE(TruncationRevertsNothing) {
  const auto fleet = BuildFleet();
  VersionWatch watch;
  int version = 0;
  for (std::size_t index = 0; index < kNew; ++index) {
    Start(*fleet, index);
  }
  PublishUntil(*fleet, watch, version, 20);
  BOOST_REQUIRE(WaitUntil([&] { return !CheckpointsFrom(*fleet, 0).empty(); }, kLimit));
  PublishUntil(*fleet, watch, version, 25);
  BOOST_REQUIRE(WaitUntil([&] { return VersionAt(*fleet, kCutOff) == version; }, kLimit));
  BOOST_REQUIRE(fleet->SetLogPartition(kCutOff, true));
  PublishUntil(*fleet, watch, version, 30);
  const std::uint64_t repeated = RepeatFirstCheckpoint(*fleet);
  PublishUntil(*fleet, watch, version, 50);
  BOOST_REQUIRE(WaitUntil([&] { return !CheckpointsFrom(*fleet, repeated).empty(); }, kLimit));
  BOOST_TEST(VersionAt(*fleet, kCutOff) == 25);
  BOOST_REQUIRE(fleet->SetLogFaults({{"truncate_before", repeated}}));
  BOOST_REQUIRE(fleet->SetLogPartition(kCutOff, false));
  BOOST_TEST(WaitForSameState(watch, *fleet, kCutOff, version));
  BOOST_REQUIRE(fleet->StartNode(kNew));
  BOOST_TEST(WaitForSameState(watch, *fleet, kNew, version));
  BOOST_REQUIRE(fleet->StartUpstream(kNew));
  BOOST_TEST(WaitUntil([&] { return !Status(*fleet, kNew).value("session", "").empty(); }, kLimit));
  CheckRestartInOutage(*fleet, watch, version);
  BOOST_TEST(WaitForService(*fleet, "/bench/v50-1", kLimit));
  BOOST_TEST(watch.violations_ == Violations(), boost::test_tools::per_element());
}

// A checkpoint whose state is older than it claims must not revert the configuration of a node that
// has seen a newer version.
BOOST_AUTO_TEST_CASE(OutdatedCheckpointRevertsNothing) {
  const auto fleet = BuildFleet();
  VersionWatch watch;
  int version = 0;
  for (std::size_t index = 0; index < kNew; ++index) {
    Start(*fleet, index);
  }
  PublishUntil(*fleet, watch, version, 20);
  BOOST_REQUIRE(WaitUntil([&] { return !CheckpointsFrom(*fleet, 0).empty(); }, kLimit));
  PublishUntil(*fleet, watch, version, 25);
  BOOST_REQUIRE(WaitUntil([&] { return VersionAt(*fleet, kCutOff) == version; }, kLimit));
  BOOST_REQUIRE(fleet->SetLogPartition(kCutOff, true));
  PublishUntil(*fleet, watch, version, 30);
  const std::size_t outdated = LogRecords(*fleet).size();
  AppendOutdatedCheckpoint(*fleet);
  PublishUntil(*fleet, watch, version, 50);
  BOOST_REQUIRE(WaitUntil([&] { return !CheckpointsFrom(*fleet, outdated + 5).empty(); }, kLimit));
  BOOST_REQUIRE(fleet->SetLogFaults({{"truncate_before", outdated}}));
  BOOST_REQUIRE(fleet->SetLogPartition(kCutOff, false));
  BOOST_TEST(WaitForSameState(watch, *fleet, kCutOff, version));
  BOOST_TEST(watch.violations_ == Violations(), boost::test_tools::per_element());
}

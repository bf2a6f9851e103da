#define BOOST_TEST_MODULE Configuration
#include <boost/test/unit_test.hpp>
#include <random>
#include <thread>

#include "configuration_support.h"

using namespace sassafrasbay;  // NOLINT(google-build-using-namespace)
using namespace harness;       // NOLINT(google-build-using-namespace)

namespace {

/// Stated target for the time until an accepted version is in force on every node.
constexpr std::chrono::seconds kPropagationTarget{15};
constexpr int kRounds = 25;
constexpr unsigned kSeed = 20250703;
constexpr int kStartDelayLimitMs = 6;

RunningCommand StartPublisher(const Fleet& fleet, const std::string& name, int version) {
  const auto directory = fleet.Directory() / name;
  const std::string own = WriteText(directory / "bench.routing.toml",
                                    MakeRoutingFile("bench", name + std::to_string(version)));
  return StartCommand(fleet.Directory(),
                      {"publish", "--log=" + LocalUrl(fleet.LogPort()), "--publisher=" + name,
                       "--base-version=" + std::to_string(version), own,
                       (fleet.Directory() / "common.routing.toml").string()});
}

bool Contains(const std::string& text, const std::string& part) {
  return text.find(part) != std::string::npos;
}

// The publishers of the records with this base version, in log order.
std::vector<std::string> PublishersBasedOn(const Fleet& fleet, int base_version) {
  std::vector<std::string> publishers;
  for (const auto& body : LogRecords(fleet, "ConfigurationPublished")) {
    if (body.at("base_version") == base_version) {
      publishers.push_back(body.at("publisher"));
    }
  }
  return publishers;
}

void CheckRefusal(const CommandResult& result, const std::string& loser,
                  const std::string& winner) {
  BOOST_TEST(result.exit_code_ == 4, result.output_);
  BOOST_TEST(Contains(result.output_, "published by " + winner), result.output_);
  BOOST_TEST(Contains(result.output_, loser + "/bench.routing.toml"), result.output_);
  BOOST_TEST(!Contains(result.output_, "common.routing.toml"), result.output_);
}

// Publishes two conflicting configurations, the second one after the delay. Returns true when both
// records reached the log, so that the base version decided which one is accepted.
bool RunRound(Fleet& fleet, VersionMonitor& monitor, int version, int start_delay_ms) {
  const bool anna_first = start_delay_ms % 2 == 0;
  const std::string first = anna_first ? "anna" : "bela";
  const std::string second = anna_first ? "bela" : "anna";
  RunningCommand early = StartPublisher(fleet, first, version);
  std::this_thread::sleep_for(milliseconds(start_delay_ms));
  RunningCommand late = StartPublisher(fleet, second, version);
  SampleVersions(monitor, fleet);
  const CommandResult early_result = FinishCommand(early);
  const CommandResult late_result = FinishCommand(late);
  BOOST_TEST((early_result.exit_code_ == 0) != (late_result.exit_code_ == 0),
             early_result.output_ + late_result.output_);
  const bool early_won = early_result.exit_code_ == 0;
  const std::string winner = early_won ? first : second;
  const std::string loser = early_won ? second : first;
  const std::vector<std::string> publishers = PublishersBasedOn(fleet, version);
  BOOST_REQUIRE(!publishers.empty());
  BOOST_TEST(publishers.front() == winner);
  CheckRefusal(early_won ? late_result : early_result, loser, winner);
  BOOST_TEST(WaitForVersion(monitor, fleet, version + 1, kPropagationTarget));
  const std::string number = std::to_string(version);
  BOOST_TEST(WaitForService(fleet, "/bench/" + winner + number + "-1", kPropagationTarget));
  const std::string refused = "/bench/" + loser + number;
  for (std::size_t index = 0; index < fleet.Size(); ++index) {
    BOOST_TEST(CallStatus(fleet.Node(index).callers_port_, "GET", refused + "-1") != 200);
  }
  return publishers.size() == 2;
}

}  // namespace

// Guards against one of two concurrent publications silently replacing the other. Without the check
// of the base version both publishers would report success, but only the second configuration would
// be in force.
BOOST_AUTO_TEST_CASE(OneOfTwoConflictingPublicationsWins) {
  auto built = FleetBuilder()
                   .AddNode({.data_centre_ = "dc1"})
                   .AddNode({.data_centre_ = "dc2"})
                   .AddNode({.data_centre_ = "dc3"})
                   .Build();
  BOOST_REQUIRE(built);
  Fleet& fleet = *built.value();
  WriteText(fleet.Directory() / "common.routing.toml", MakeRoutingFile("common", "all"));
  BOOST_TEST_MESSAGE("seed " << kSeed);
  std::mt19937 random(kSeed);
  VersionMonitor monitor;
  int decided_by_base = 0;
  for (int version = 0; version < kRounds; ++version) {
    const int start_delay_ms = static_cast<int>(random() % kStartDelayLimitMs);
    decided_by_base += RunRound(fleet, monitor, version, start_delay_ms) ? 1 : 0;
  }
  BOOST_TEST_MESSAGE(decided_by_base << " rounds were decided by the base version");
  BOOST_TEST(decided_by_base > 0);
  SampleVersions(monitor, fleet);
  BOOST_TEST(monitor.violations_ == Violations(), boost::test_tools::per_element());
}

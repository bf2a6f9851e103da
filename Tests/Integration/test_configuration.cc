#define BOOST_TEST_MODULE Configuration
#include <boost/test/unit_test.hpp>
#include <random>
#include <thread>

#include "configuration_support.h"

using namespace sassafrasbay;  // NOLINT(google-build-using-namespace)
using namespace harness;       // NOLINT(google-build-using-namespace)

namespace {

/// Stated target for an accepted version to be in force on every node.
constexpr std::chrono::seconds kInForce{15};
constexpr int kRounds = 25;
constexpr unsigned kSeed = 20250703;
constexpr int kLongestLeadMs = 6;

RunningCommand StartPublisher(const Fleet& fleet, const std::string& name, int version) {
  const auto directory = fleet.Directory() / name;
  const std::string own =
      WriteText(directory / "bench.routing.toml", Routing("bench", name + std::to_string(version)));
  return StartCommand(fleet.Directory(),
                      {"publish", "--log=" + LocalUrl(fleet.LogPort()), "--publisher=" + name,
                       "--base-version=" + std::to_string(version), own,
                       (fleet.Directory() / "common.routing.toml").string()});
}

bool Contains(const std::string& text, const std::string& part) {
  return text.find(part) != std::string::npos;
}

// The publishers of the records that are based on the version, in the order of the log.
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

// Returns whether both appended, so that the base version decided.
bool RunRound(Fleet& fleet, VersionWatch& watch, int version, int lead_ms) {
  const bool anna_first = lead_ms % 2 == 0;
  const std::string first = anna_first ? "anna" : "bela";
  const std::string second = anna_first ? "bela" : "anna";
  RunningCommand early = StartPublisher(fleet, first, version);
  std::this_thread::sleep_for(milliseconds(lead_ms));
  RunningCommand late = StartPublisher(fleet, second, version);
  Sample(watch, fleet);
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
  BOOST_TEST(WaitForVersion(watch, fleet, version + 1, kInForce));
  const std::string number = std::to_string(version);
  BOOST_TEST(WaitForService(fleet, "/bench/" + winner + number + "-1", kInForce));
  const std::string refused = "/bench/" + loser + number;
  for (std::size_t index = 0; index < fleet.Size(); ++index) {
    BOOST_TEST(CallStatus(fleet.Node(index).callers_port_, "GET", refused + "-1") != 200);
  }
  return publishers.size() == 2;
}

}  // namespace

// Without the base version, the second of two publications made at the same moment would silently
// replace the first, and both operators would believe that theirs is in force.
BOOST_AUTO_TEST_CASE(OneOfTwoConflictingPublicationsWins) {
  auto built = FleetBuilder()
                   .AddNode({.data_centre_ = "dc1"})
                   .AddNode({.data_centre_ = "dc2"})
                   .AddNode({.data_centre_ = "dc3"})
                   .Build();
  BOOST_REQUIRE(built);
  Fleet& fleet = *built.value();
  WriteText(fleet.Directory() / "common.routing.toml", Routing("common", "all"));
  BOOST_TEST_MESSAGE("seed " << kSeed);
  std::mt19937 random(kSeed);
  VersionWatch watch;
  int decided_by_base = 0;
  for (int version = 0; version < kRounds; ++version) {
    const int lead_ms = static_cast<int>(random() % kLongestLeadMs);
    decided_by_base += RunRound(fleet, watch, version, lead_ms) ? 1 : 0;
  }
  BOOST_TEST_MESSAGE(decided_by_base << " rounds were decided by the base version");
  BOOST_TEST(decided_by_base > 0);
  Sample(watch, fleet);
  BOOST_TEST(watch.violations_ == Violations(), boost::test_tools::per_element());
}

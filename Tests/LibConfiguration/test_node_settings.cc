#define BOOST_TEST_MODULE NodeSettings
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>
#include <string>
#include <vector>

#include "LibConfiguration/node_settings.h"

namespace sassafrasbay {
namespace {

constexpr std::string_view kRequired = R"([node]
name = "node-1"
data_centre = "dc-a"
region = "hu-central"
[listen]
callers = "0.0.0.0:8080"
traffic = "127.0.0.1:8081"
control = "[::1]:8082"
[log]
url = "http://127.0.0.1:9000"
)";
constexpr int kNextLine = 11;

std::vector<std::string> FaultsOf(std::string_view text) {
  std::vector<std::string> faults;
  for (const Fault& fault : ParseNodeSettings("node.toml", text).faults_) {
    faults.push_back(ToString(fault));
  }
  return faults;
}

// Guards against a default that differs from the design page, and against required keys being lost.
BOOST_AUTO_TEST_CASE(RequiredKeysSufficeAndDefaultsApply) {
  const NodeSettingsResult result = ParseNodeSettings("node.toml", kRequired);
  BOOST_TEST(result.faults_.empty());
  BOOST_TEST(result.settings_.name_ == "node-1");
  BOOST_TEST(ToString(result.settings_.callers_) == "0.0.0.0:8080");
  BOOST_TEST(ToString(result.settings_.control_) == "[::1]:8082");
  BOOST_TEST(result.settings_.log_url_ == "http://127.0.0.1:9000");
  BOOST_TEST(result.settings_.lease_.count() == 1000);
  BOOST_TEST(result.settings_.heartbeat_.count() == 200);
}

// Guards against a key being read into the wrong field or with the wrong unit.
BOOST_AUTO_TEST_CASE(EveryKeyIsRead) {
  const std::string text = std::string(kRequired) + R"([logging]
level = "warning"
lines_per_second = 7
[peers]
seeds = ["127.0.0.2:1", "127.0.0.3:2"]
[lease]
duration_ms = 900
heartbeat_ms = 300
drift_percent = 5
[drain]
grace_ms = 11
limit_ms = 1200
[requests]
clock_allowance_s = 13
table_retention_s = 14
suspect_refusal_s = 15
retry_budget_percent = 16
queue_length = 17
max_body_bytes = 18
[placement]
imbalance_threshold = 2
moves_per_minute = 19
interval_ms = 2000
)";
  const NodeSettingsResult result = ParseNodeSettings("node.toml", text);
  BOOST_REQUIRE(result.faults_.empty());
  const NodeSettings& settings = result.settings_;
  BOOST_TEST((settings.log_level_ == LogLevel::kWarning));
  BOOST_TEST(settings.log_lines_per_second_ == 7);
  BOOST_REQUIRE(settings.seeds_.size() == 2U);
  BOOST_TEST(ToString(settings.seeds_.back()) == "127.0.0.3:2");
  BOOST_TEST((settings.lease_ == std::chrono::milliseconds(900)));
  BOOST_TEST((settings.heartbeat_ == std::chrono::milliseconds(300)));
  BOOST_TEST(settings.drift_percent_ == 5);
  BOOST_TEST((settings.drain_grace_ == std::chrono::milliseconds(11)));
  BOOST_TEST((settings.drain_limit_ == std::chrono::milliseconds(1200)));
  BOOST_TEST((settings.clock_allowance_ == std::chrono::seconds(13)));
  BOOST_TEST((settings.request_table_retention_ == std::chrono::seconds(14)));
  BOOST_TEST((settings.suspect_refusal_ == std::chrono::seconds(15)));
  BOOST_TEST(settings.retry_budget_percent_ == 16);
  BOOST_TEST(settings.queue_length_ == 17);
  BOOST_TEST(settings.max_body_bytes_ == 18U);
  BOOST_TEST(settings.imbalance_threshold_ == 2.0);
  BOOST_TEST(settings.moves_per_minute_ == 19);
  BOOST_TEST((settings.planner_interval_ == std::chrono::milliseconds(2000)));
}

struct FaultyText {
  std::string text_;      // Follows the required keys.
  std::string expected_;  // The only fault, without "node.toml:LINE: ".
  int line_ = kNextLine + 1;
};

std::ostream& operator<<(std::ostream& stream, const FaultyText& text) {
  return stream << text.expected_;
}

const std::vector<FaultyText> kFaultyTexts = {
    {"[lease]\nduration_s = 1", "lease.duration_s: unknown key"},
    {"[leases]", "leases: unknown key", kNextLine},
    {"[lease]\nduration_ms = \"1000\"", "lease.duration_ms: must be an integer"},
    {"[lease]\ndrift_percent = 0", "lease.drift_percent: 0 is outside 1 to 50"},
    {"[lease]\nheartbeat_ms = 400",
     "lease.heartbeat_ms: 400 is more than a third of duration_ms 1000"},
    {"[drain]\nlimit_ms = 500", "drain.limit_ms: 500 is less than grace_ms 3000"},
    {"[requests]\ntable_retention_s = 600",
     "requests.table_retention_s: 600 must be more than clock_allowance_s 600"},
    {"[requests]\nmax_body_bytes = 4194304",
     "requests.max_body_bytes: 4194304 is outside 1 to 3145728"},
    {"[placement]\nimbalance_threshold = nan",
     "placement.imbalance_threshold: nan is outside 1.01 to 10"},
    {"[placement]\nimbalance_threshold = \"2\"", "placement.imbalance_threshold: must be a number"},
    {"[logging]\nlevel = \"loud\"",
     R"(logging.level: must be "debug", "info", "warning" or "error")"},
    {"[peers]\nseeds = [\n\"127.0.0.1:1\",\n\"host:1\"]",
     "peers.seeds: must hold numeric addresses with ports", kNextLine + 3},
};

// Guards against a faulty setting being accepted or reported at the wrong place.
BOOST_DATA_TEST_CASE(FaultySettingIsReported, boost::unit_test::data::make(kFaultyTexts), faulty) {
  const auto faults = FaultsOf(std::string(kRequired) + faulty.text_);
  const std::vector<std::string> expected = {"node.toml:" + std::to_string(faulty.line_) + ": " +
                                             faulty.expected_};
  BOOST_TEST(faults == expected, boost::test_tools::per_element());
}

// Guards against validation stopping at the first fault.
BOOST_AUTO_TEST_CASE(AllFaultsAreReportedAtOnce) {
  const std::vector<std::string> expected = {
      "node.toml: log.url: is missing", "node.toml:1: node.region: is missing",
      "node.toml:2: node.name: must have 1 to 64 letters, digits, '.', '_' and '-'",
      "node.toml:6: listen.traffic: overlaps the address of listen.callers",
      "node.toml:7: listen.control: must not be a wildcard, since it is announced"};
  const auto faults = FaultsOf(R"([node]
name = "node 1"
data_centre = "dc-a"
[listen]
callers = "0.0.0.0:8080"
traffic = "127.0.0.1:8080"
control = "0.0.0.0:8082"
)");
  BOOST_TEST(faults == expected, boost::test_tools::per_element());
}

// Guards against an assertion of the TOML library aborting on a key with an invalid first
// character.
BOOST_AUTO_TEST_CASE(InvalidKeyStartIsReported) {
  for (const char* text : {"[!x]\n", "[\n]\n", "[\001a]\n", "a.! = 1\n"}) {
    BOOST_TEST(!FaultsOf(text).empty());
  }
}

// Guards against a syntax error being reported without its line.
BOOST_AUTO_TEST_CASE(SyntaxErrorHasLineNumber) {
  const auto faults = FaultsOf("[node]\nname = \n");
  BOOST_REQUIRE(faults.size() == 1U);
  BOOST_TEST(faults.front().starts_with("node.toml:2: syntax error: "), "got: " << faults.front());
}

// Guards against invalid addresses being accepted, and against spellings that compare unequal.
BOOST_AUTO_TEST_CASE(EndpointsAreNumericAndCanonical) {
  for (const std::string_view text :
       {"", ":80", "127.0.0.1", "127.0.0.1:", "127.0.0.1:65536", "127.0.0.1:+1", "127.0.0.1:1x",
        "127.0.0.256:1", "localhost:80", "::1:80", "[127.0.0.1]:80", "[::1]", "[]:1"}) {
    BOOST_TEST(ParseEndpoint(text).host_.empty(), "accepted: " << text);
  }
  BOOST_TEST(ToString(ParseEndpoint("[0:0:0:0:0:0:0:1]:80")) == "[::1]:80");
  BOOST_TEST(ToString(ParseEndpoint("10.0.0.1:65535")) == "10.0.0.1:65535");
}

}  // namespace
}  // namespace sassafrasbay

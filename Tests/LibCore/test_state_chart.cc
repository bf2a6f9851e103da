#define BOOST_TEST_MODULE StateChart
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>
#include <string>
#include <utility>
#include <vector>

#include "LibCore/embedded_charts.h"
#include "LibCore/state_chart.h"

namespace sassafrasbay {
namespace {

constexpr std::string_view kDoor = R"(
initial = "closed"
states = ["closed", "open"]
transitions = [
  { from = "closed", event = "opened", to = "open" },
  { from = "open", event = "closed", to = "closed" },
]
)";

std::string ErrorOf(std::string_view text) {
  const auto chart = ParseStateChart("door", text);
  return chart.has_value() ? "" : ToString(chart.error());
}

// Guards against an event without a transition changing the state or being ignored.
BOOST_AUTO_TEST_CASE(EventWithoutTransitionIsAnErrorAndKeepsTheState) {
  const auto chart = ParseStateChart("door", kDoor);
  BOOST_REQUIRE(chart.has_value());
  ChartPosition position = StartChart(chart.value());
  BOOST_TEST(position.state_ == "closed");
  BOOST_TEST(Fire(position, "opened").has_value());
  BOOST_TEST(position.state_ == "open");
  const auto result = Fire(position, "opened");
  BOOST_REQUIRE(!result.has_value());
  BOOST_TEST(ToString(result.error()) ==
             "change state (door): invalid argument: "
             "no transition from state 'open' by event 'opened'");
  BOOST_TEST(position.state_ == "open");
}

struct FaultyChart {
  std::string text_;
  std::string expected_;
};

std::ostream& operator<<(std::ostream& stream, const FaultyChart& chart) {
  return stream << chart.expected_;
}

const std::vector<FaultyChart> kFaultyCharts = {
    {"initial = ", "line 1"},
    {"initial = \"a\"\nstates = [\"a\"]\ntransitions = []\nextra = 1",
     "line 4: unknown key 'extra'"},
    {"states = [\"a\"]\ntransitions = []", "'initial' must be a name"},
    {"initial = \"b\"\nstates = [\"a\"]\ntransitions = []", "line 1: state 'b' is not declared"},
    {"initial = \"a\"\nstates = [\"a\", \"a\"]\ntransitions = []", "state 'a' is declared twice"},
    {"initial = \"a\"\nstates = [\"a\", \"b\"]\ntransitions = []", "state 'b' can't be reached"},
    {"initial = \"a\"\nstates = [\"a\"]\ntransitions = [{ from = \"a\", event = \"e\", to = \"c\" "
     "}]",
     "line 3: state 'c' is not declared"},
    {"initial = \"a\"\nstates = [\"a\"]\ntransitions = [{ from = \"a\", event = \"goOn\", to = "
     "\"a\" }]",
     "'event' must be a name in snake_case"},
    {"initial = \"a\"\nstates = [\"a\", \"b\"]\ntransitions = [{ from = \"a\", event = \"e\", to = "
     "\"b\" "
     "}, { from = \"a\", event = \"e\", to = \"a\" }]",
     "event 'e' has two transitions"},
};

// Guards against a faulty chart being accepted, and against an error that doesn't say what is
// wrong.
BOOST_DATA_TEST_CASE(FaultyChartIsRejected, boost::unit_test::data::make(kFaultyCharts), chart) {
  BOOST_TEST(ErrorOf(chart.text_).find(chart.expected_) != std::string::npos,
             "got: " << ErrorOf(chart.text_));
}

// Guards against a chart file that only fails when the program starts.
BOOST_AUTO_TEST_CASE(EmbeddedChartsAreValid) {
  const std::vector<std::pair<std::string_view, std::string_view>> charts = {
      {"node_lifecycle", NodeLifecycleChartText()},
      {"unit_ownership", UnitOwnershipChartText()},
      {"upstream_health", UpstreamHealthChartText()},
      {"request", RequestChartText()}};
  for (const auto& [name, text] : charts) {
    const auto chart = ParseStateChart(name, text);
    BOOST_TEST(chart.has_value(), (chart.has_value() ? "" : ToString(chart.error())));
  }
}

// Guards against a draining node joining the fleet again when its grantors end its session.
BOOST_AUTO_TEST_CASE(DrainingNodeNeverRejoins) {
  const auto chart = ParseStateChart("node_lifecycle", NodeLifecycleChartText());
  BOOST_REQUIRE(chart.has_value());
  for (const auto& [start, target] : chart.value().transitions_) {
    if (start.first == "draining") {
      BOOST_TEST(target == "stopped");
    }
  }
}

// Guards against a unit serving after a takeover before its request table was rebuilt.
BOOST_AUTO_TEST_CASE(AssignedUnitRecoversBeforeServing) {
  const auto chart = ParseStateChart("unit_ownership", UnitOwnershipChartText());
  BOOST_REQUIRE(chart.has_value());
  ChartPosition position = StartChart(chart.value());
  BOOST_TEST(Fire(position, "assigned").has_value());
  BOOST_TEST(position.state_ == "recovering");
  BOOST_TEST(Fire(position, "recovered").has_value());
  BOOST_TEST(position.state_ == "serving");
}

// Guards against a request state without a way to end, which would leave a caller unanswered.
BOOST_AUTO_TEST_CASE(EveryOpenRequestCanBeRefusedAndAbandoned) {
  const auto chart = ParseStateChart("request", RequestChartText());
  BOOST_REQUIRE(chart.has_value());
  for (const std::string& state : chart.value().states_) {
    for (const std::string event : {"refused", "abandoned"}) {
      ChartPosition position{.chart_ = &chart.value(), .state_ = state};
      BOOST_TEST(Fire(position, event).has_value() == (state != "done"));
    }
  }
}

}  // namespace
}  // namespace sassafrasbay

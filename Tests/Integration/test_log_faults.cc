#define BOOST_TEST_MODULE LogFaults
#include <boost/test/unit_test.hpp>
#include <set>
#include <thread>

#include "configuration_support.h"

using namespace sassafrasbay;  // NOLINT(google-build-using-namespace)
using namespace harness;       // NOLINT(google-build-using-namespace)

namespace {

/// Stated target for the time until an accepted version is in force on every node.
constexpr std::chrono::seconds kPropagationTarget{15};

/// Longer than the --timeout of 1 s that PublishLate gives to publish.
constexpr int kEffectDelayMs = 8000;

std::unique_ptr<Fleet> BuildFleet(bool start_nodes) {
  FleetBuilder builder;
  builder.AddNode({.data_centre_ = "dc1"})
      .AddNode({.data_centre_ = "dc2"})
      .AddNode({.data_centre_ = "dc3"});
  if (!start_nodes) {
    builder.StartOnlyLog();
  }
  auto fleet = builder.Build();
  BOOST_REQUIRE_MESSAGE(fleet, (fleet ? "" : ToString(fleet.error())));
  return std::move(fleet).value();
}

CommandResult Publish(const Fleet& fleet, const std::string& name, const std::string& timeout) {
  const std::string file =
      WriteText(fleet.Directory() / name / "bench.routing.toml", MakeRoutingFile("bench", name));
  return RunCommand(fleet.Directory(), {"publish", "--log=" + LocalUrl(fleet.LogPort()),
                                        "--publisher=" + name, "--timeout=" + timeout, file});
}

// The ids of the sessions that joined, by node name.
std::map<std::string, std::set<std::string>> SessionsOfNodes(const Fleet& fleet) {
  std::map<std::string, std::set<std::string>> sessions;
  for (const auto& body : LogRecords(fleet, "SessionJoined")) {
    sessions[body.at("node")].insert(body.at("session"));
  }
  return sessions;
}

void CheckInForce(Fleet& fleet, VersionMonitor& monitor, int version, const std::string& name) {
  BOOST_TEST(WaitForVersion(monitor, fleet, version, kPropagationTarget));
  BOOST_TEST(WaitForService(fleet, "/bench/" + name + "-1", kPropagationTarget));
  BOOST_TEST(monitor.violations_ == Violations(), boost::test_tools::per_element());
}

// Publishes while the log delays appends, so that the publisher times out before its record is in
// the log.
void PublishLate(Fleet& fleet) {
  BOOST_REQUIRE(fleet.SetLogFaults({{"delay_effect_ms", kEffectDelayMs}}));
  const CommandResult late = Publish(fleet, "late", "1");
  BOOST_TEST(late.exit_code_ == 5, late.output_);
  BOOST_REQUIRE(fleet.SetLogFaults({{"delay_effect_ms", 0}}));
}

bool WaitForPublications(const Fleet& fleet, std::size_t count) {
  return WaitUntil([&] { return LogRecords(fleet, "ConfigurationPublished").size() == count; });
}

}  // namespace

// Guards against a publisher that reports a failure for a version that is in force, or publishes it
// twice, when the log appends the record but its answer is lost. The publisher must look for the
// record in the log.
BOOST_AUTO_TEST_CASE(PublicationWithLostAnswerIsConfirmedFromTheLog) {
  const auto fleet = BuildFleet(true);
  VersionMonitor monitor;
  BOOST_TEST(Publish(*fleet, "first", "15").exit_code_ == 0);
  CheckInForce(*fleet, monitor, 1, "first");
  // Nodes append records too, so the log must lose more than one answer.
  BOOST_REQUIRE(fleet->SetLogFaults({{"lose_answers", 1000}}));
  const CommandResult second = Publish(*fleet, "second", "15");
  BOOST_TEST(second.exit_code_ == 0, second.output_);
  const CommandResult stale =
      RunCommand(fleet->Directory(), {"publish", "--log=" + LocalUrl(fleet->LogPort()),
                                      "--base-version=1", (fleet->Directory() / "first").string()});
  BOOST_TEST(stale.exit_code_ == 4, stale.output_);
  CheckInForce(*fleet, monitor, 2, "second");
  BOOST_TEST(LogRecords(*fleet, "ConfigurationPublished").size() == 2U);
}

// Guards against a node that takes a lost answer for a failed join and joins again with a second
// session. The units of the first session would be unavailable until its lease expired.
BOOST_AUTO_TEST_CASE(NodesWithLostAnswersJoinOnce) {
  const auto fleet = BuildFleet(false);
  BOOST_TEST(Publish(*fleet, "first", "15").exit_code_ == 0);
  BOOST_REQUIRE(fleet->SetLogFaults({{"lose_answers", 1000}}));
  for (std::size_t index = 0; index < fleet->Size(); ++index) {
    BOOST_REQUIRE(fleet->StartNode(index));
    BOOST_REQUIRE(fleet->StartUpstream(index));
  }
  BOOST_TEST(WaitForService(*fleet, "/bench/first-1"));
  BOOST_TEST(WaitUntil([&] { return SessionsOfNodes(*fleet).size() == fleet->Size(); }));
  // Longer than the backoff before the first retry of an append, so that a repeated join would be
  // in the log.
  std::this_thread::sleep_for(std::chrono::seconds(3));
  const auto sessions = SessionsOfNodes(*fleet);
  BOOST_TEST(sessions.size() == fleet->Size());
  for (const auto& [node, ids] : sessions) {
    BOOST_TEST(ids.size() == 1U, node);
  }
  BOOST_TEST(LogRecords(*fleet, "SessionJoined").size() == fleet->Size());
  BOOST_TEST(LogRecords(*fleet, "SessionEnded").empty());
}

// Guards against nodes that disagree on a record appended after its publisher timed out and
// reported the outcome as unknown. The record must be in force on every node.
BOOST_AUTO_TEST_CASE(LatePublicationTakesEffectEverywhere) {
  const auto fleet = BuildFleet(true);
  VersionMonitor monitor;
  BOOST_TEST(Publish(*fleet, "first", "15").exit_code_ == 0);
  CheckInForce(*fleet, monitor, 1, "first");
  PublishLate(*fleet);
  BOOST_REQUIRE(WaitForPublications(*fleet, 2));
  CheckInForce(*fleet, monitor, 2, "late");
}

// Guards against a delayed record replacing a configuration that was published and accepted after
// it was sent.
BOOST_AUTO_TEST_CASE(LatePublicationDoesNotReplaceANewerOne) {
  const auto fleet = BuildFleet(true);
  VersionMonitor monitor;
  BOOST_TEST(Publish(*fleet, "first", "15").exit_code_ == 0);
  CheckInForce(*fleet, monitor, 1, "first");
  PublishLate(*fleet);
  BOOST_TEST(Publish(*fleet, "between", "15").exit_code_ == 0);
  const auto publications = LogRecords(*fleet, "ConfigurationPublished");
  BOOST_REQUIRE_MESSAGE(
      publications.size() == 2U && publications.back().at("publisher") == "between",
      "the delayed record was appended before the other publication");
  CheckInForce(*fleet, monitor, 2, "between");
  BOOST_REQUIRE(WaitForPublications(*fleet, 3));
  const std::size_t after = LogRecords(*fleet).size();
  BOOST_TEST(WaitUntil([&] {
    for (std::size_t index = 0; index < fleet->Size(); ++index) {
      const auto status = GetJson(fleet->Node(index).callers_port_, "/-/status");
      if (!status.is_object() || status.value("next_offset", std::size_t{0}) < after) {
        return false;
      }
    }
    return true;
  }));
  CheckInForce(*fleet, monitor, 2, "between");
}

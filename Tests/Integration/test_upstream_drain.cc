#define BOOST_TEST_MODULE UpstreamDrain
#include <boost/test/unit_test.hpp>
#include <thread>

#include "harness/fleet.h"

using namespace sassafrasbay;  // NOLINT(google-build-using-namespace)
using namespace harness;       // NOLINT(google-build-using-namespace)

namespace {

constexpr std::size_t kDrainedNode = 0;
constexpr int kShards = 12;
constexpr std::chrono::seconds kDrainTimeout{10};

// Covers several announcement intervals of the upstream.
constexpr std::chrono::milliseconds kDrainedObservationTime{3500};

std::unique_ptr<Fleet> StartFleet() {
  FleetBuilder builder;
  for (const char* data_centre : {"dc1", "dc2", "dc3"}) {
    builder.AddNode({.data_centre_ = data_centre});
  }
  auto fleet = builder.Build();
  BOOST_REQUIRE_MESSAGE(fleet, (fleet ? "" : ToString(fleet.error())));
  const std::string routing = "[service.bench]\nshards = " + std::to_string(kShards) +
                              "\n[[service.bench.class]]\nname = \"lookup\"\n"
                              "path_prefix = \"/bench/\"\nkind = \"idempotent\"\n";
  BOOST_REQUIRE(fleet.value()->Publish({{"bench.routing.toml", routing}}));
  return std::move(fleet).value();
}

int UnitsHeld(Fleet& fleet, std::size_t index) {
  const auto status = GetJson(fleet.Node(index).callers_port_, "/-/status");
  return status.is_object() ? status.value("units_held", -1) : -1;
}

bool HasSession(Fleet& fleet, const std::string& node) {
  const auto status = GetJson(fleet.Node(1).callers_port_, "/-/status");
  for (const auto& session : status.at("sessions")) {
    if (session.at("node") == node) {
      return true;
    }
  }
  return false;
}

// Checks that requests for several keys are answered through the node whose upstream drains.
void CheckAnswered(Fleet& fleet) {
  for (int key = 0; key < 2 * kShards; ++key) {
    const auto response = Call(fleet.Node(kDrainedNode).callers_port_,
                               {"GET", "/bench/" + std::to_string(key), {}, {}});
    BOOST_REQUIRE(response);
    BOOST_TEST(FindHeader(response.value().headers_, "Sassafrasbay-Outcome") == "answered",
               "key " << key << " got status " << response.value().status_ << ": "
                      << FindHeader(response.value().headers_, "Sassafrasbay-Reason"));
  }
}

void CheckDrain(Fleet& fleet, std::uint16_t port) {
  const FleetNode& drained = fleet.Node(kDrainedNode);
  BOOST_REQUIRE(WaitUntil([&] {
    return UnitsHeld(fleet, 0) > 0 && UnitsHeld(fleet, 1) > 0 && UnitsHeld(fleet, 2) > 0;
  }));
  CheckAnswered(fleet);
  const int status = CallStatus(port, "POST", "/-/drain");
  BOOST_TEST((status == 200 || status == 202));
  const auto has_left = [&] {
    CheckAnswered(fleet);
    return UnitsHeld(fleet, kDrainedNode) == 0 && !HasSession(fleet, drained.options_.name_);
  };
  BOOST_TEST(WaitUntil(has_left, kDrainTimeout));
  BOOST_TEST(UnitsHeld(fleet, 1) + UnitsHeld(fleet, 2) == kShards);
  std::this_thread::sleep_for(kDrainedObservationTime);
  BOOST_TEST(has_left());
  BOOST_TEST(fleet.Node(kDrainedNode).node_->IsRunning());
  // A new upstream gets a session after the node has detected the loss of the drained one.
  fleet.Node(kDrainedNode).upstream_->Kill();
  BOOST_REQUIRE(WaitUntil(
      [&] { return GetJson(drained.callers_port_, "/-/status").value("upstream", "") == "lost"; }));
  BOOST_REQUIRE(fleet.StartUpstream(kDrainedNode));
  BOOST_TEST(WaitUntil([&] { return HasSession(fleet, drained.options_.name_); }, kDrainTimeout));
}

}  // namespace

// Guards against an upstream that drains but keeps its units or gets new requests, and against a
// node that stops routing while its upstream drains.
BOOST_AUTO_TEST_CASE(DrainingUpstreamHandsOverAllUnits) {
  const auto fleet = StartFleet();
  CheckDrain(*fleet, fleet->Node(kDrainedNode).upstream_admin_port_);
}

// Guards against announcements ending a drain that an operator requested: the drained upstream
// continues to announce itself.
BOOST_AUTO_TEST_CASE(OperatorDrainOutlastsAnnouncements) {
  const auto fleet = StartFleet();
  CheckDrain(*fleet, fleet->Node(kDrainedNode).callers_port_);
}

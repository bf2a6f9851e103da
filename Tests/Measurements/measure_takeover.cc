// Measures the time from the loss of an owner until its successor has run the first request, and
// from the publish command until the configuration is in force on every node.
#include <cstdio>
#include <thread>

#include "measurement.h"

using namespace sassafrasbay;                // NOLINT(google-build-using-namespace)
using namespace sassafrasbay::measurements;  // NOLINT(google-build-using-namespace)
using nlohmann::json;

namespace {

constexpr int kRepeats = 10;
constexpr std::size_t kNodes = 4;
/// The key that the load generator uses for a class with one key.
constexpr std::string_view kKey = "0";

/// Returns the index of the node that owns the key according to the node `from`.
std::size_t OwnerOf(harness::Fleet& fleet, std::size_t from) {
  const json answer = harness::GetJson(fleet.Node(from).callers_port_,
                                       "/-/explain?service=bench&key=" + std::string(kKey));
  Require(answer.is_object(), "explain");
  const std::string owner = answer.value("owner", "");
  for (std::size_t index = 0; index < fleet.Size(); ++index) {
    if (fleet.Node(index).options_.name_ == owner) {
      return index;
    }
  }
  Require(false, "find the owner of the key among the nodes");
  return 0;
}

void WaitForSessions(harness::Fleet& fleet, std::size_t from) {
  Require(harness::WaitUntil([&] {
            const json status = harness::GetJson(fleet.Node(from).callers_port_, "/-/status");
            return status.contains("sessions") && status["sessions"].size() == fleet.Size();
          }),
          "wait for the session of the lost owner to join again");
}

/// Returns the time from the loss to the end of the first request that another upstream ran.
double TakeoverMilliseconds(const harness::Fleet& fleet, int lost_port, std::int64_t lost_at) {
  std::int64_t first = 0;
  for (const harness::RunRecord& run : fleet.Runs()) {
    if (run.port_ != lost_port && run.start_ms_ >= lost_at && (first == 0 || run.end_ms_ < first)) {
      first = run.end_ms_;
    }
  }
  Require(first != 0, "find a request that the successor ran");
  return static_cast<double>(first - lost_at);
}

/// Kills or pauses the owner under load. Returns the time, in ms, from the signal to the end of the
/// first request that the successor ran, and restores the owner.
double MeasureTakeover(harness::Fleet& fleet, bool kill) {
  const std::size_t owner = OwnerOf(fleet, 0);
  // Requests are sent through another node, since the owner stops answering its own callers.
  const std::size_t ingress = (owner + 1) % fleet.Size();
  const json load_class = {{"name", "read"}, {"prefix", "/bench/lots/"}, {"keys", 1}};
  const json plan = {{"nodes", {harness::LocalAddress(fleet.Node(ingress).callers_port_)}},
                     {"classes", {load_class}},
                     {"requests_per_second", 100},
                     {"duration_ms", 3000},
                     {"max_attempts", 1}};
  std::int64_t lost_at = 0;
  harness::FleetNode& node = fleet.Node(owner);
  RunLoad(fleet, plan, [&] {
    std::this_thread::sleep_for(milliseconds(500));
    lost_at = ToBootMilliseconds(BootClock::now());
    kill ? node.node_->Kill() : node.node_->Pause();
  });
  const double taken = TakeoverMilliseconds(fleet, node.upstream_port_, lost_at);
  if (kill) {
    Require(fleet.StartNode(owner).has_value(), "restart");
  } else {
    node.node_->Resume();
  }
  std::this_thread::sleep_for(milliseconds(500));  // Until the ended session is removed.
  WaitForSessions(fleet, ingress);
  return taken;
}

/// Returns the time, in ms, from the start of the publish command until the new configuration is in
/// force on every node.
double MeasurePublication(harness::Fleet& fleet, int number) {
  const auto start = BootClock::now();
  const std::uint64_t before =
      harness::GetJson(fleet.Node(0).callers_port_, "/-/status")["configuration_version"];
  Require(fleet.Publish({{"bench.routing.toml",
                          RoutingText("bench", 64) + "# " + std::to_string(number) + "\n"}}),
          "publish");
  for (std::size_t index = 0; index < fleet.Size(); ++index) {
    Require(harness::WaitUntil([&] {
              const json status = harness::GetJson(fleet.Node(index).callers_port_, "/-/status");
              return status.value("configuration_version", std::uint64_t{0}) > before;
            }),
            "wait for the configuration to be in force");
  }
  return std::chrono::duration<double, std::milli>(BootClock::now() - start).count();
}

}  // namespace

int main() {
  harness::FleetBuilder builder;
  for (std::size_t index = 0; index < kNodes; ++index) {
    AddNode(builder, index, {});
  }
  const auto fleet = StartFleet(builder, {{"bench.routing.toml", RoutingText("bench", 64)}});
  std::vector<double> published;
  std::vector<double> killed;
  std::vector<double> paused;
  for (int repeat = 0; repeat < kRepeats; ++repeat) {
    published.push_back(MeasurePublication(*fleet, repeat));
    killed.push_back(MeasureTakeover(*fleet, true));
    paused.push_back(MeasureTakeover(*fleet, false));
  }
  PrintRow("SIGKILL of the owner to the successor's first answer", killed, "ms");
  PrintRow("SIGSTOP of the owner to the successor's first answer", paused, "ms");
  PrintRow("publish command to in force on every node", published, "ms");
  return 0;
}

// Time from the loss of an owner to the first run at its successor, and from publish to in force.
#include <cstdio>
#include <thread>

#include "measurement.h"

using namespace sassafrasbay;                // NOLINT(google-build-using-namespace)
using namespace sassafrasbay::measurements;  // NOLINT(google-build-using-namespace)
using nlohmann::json;

namespace {

constexpr int kRepeats = 10;
constexpr std::size_t kNodes = 4;
constexpr std::string_view kKey = "0";  // Of the load generator when a class has one key.

/// Index of the node that owns the key, as the node `from` sees it.
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
  Require(false, "the key has an owner");
  return 0;
}

void WaitForSessions(harness::Fleet& fleet, std::size_t from) {
  Require(harness::WaitUntil([&] {
            const json status = harness::GetJson(fleet.Node(from).callers_port_, "/-/status");
            return status.contains("sessions") && status["sessions"].size() == fleet.Size();
          }),
          "all sessions joined again");
}

double FirstRunAfter(const harness::Fleet& fleet, int lost_port, std::int64_t lost_at) {
  std::int64_t first = 0;
  for (const harness::RunRecord& run : fleet.Runs()) {
    if (run.port_ != lost_port && run.start_ms_ >= lost_at && (first == 0 || run.end_ms_ < first)) {
      first = run.end_ms_;
    }
  }
  Require(first != 0, "the successor ran a request");
  return static_cast<double>(first - lost_at);
}

/// Milliseconds from the signal to the end of the first request that the successor ran.
double LoseOwner(harness::Fleet& fleet, bool kill) {
  const std::size_t owner = OwnerOf(fleet, 0);
  // Callers that the owner itself serves would be lost with it.
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
  const double taken = FirstRunAfter(fleet, node.upstream_port_, lost_at);
  if (kill) {
    Require(fleet.StartNode(owner).has_value(), "restart");
  } else {
    node.node_->Resume();
  }
  std::this_thread::sleep_for(milliseconds(500));  // Until the ended session has gone.
  WaitForSessions(fleet, ingress);
  return taken;
}

double PublishOnce(harness::Fleet& fleet, int number) {
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
            "configuration in force");
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
    published.push_back(PublishOnce(*fleet, repeat));
    killed.push_back(LoseOwner(*fleet, true));
    paused.push_back(LoseOwner(*fleet, false));
  }
  PrintRow("SIGKILL of the owner to the successor's first answer", killed, "ms");
  PrintRow("SIGSTOP of the owner to the successor's first answer", paused, "ms");
  PrintRow("publish command to in force on every node", published, "ms");
  return 0;
}

// Runs a small fleet on loopback, kills an owner under traffic, and prints a report. Started by
// Meta/demo.sh.

#include <algorithm>
#include <cstdio>
#include <fstream>
#include <iterator>
#include <sstream>
#include <thread>

#include "demo_report.h"
#include "harness/fleet.h"

namespace sassafrasbay::demo {
namespace {

using harness::Fleet;
using harness::FleetNode;
using nlohmann::json;

const std::filesystem::path kExamples = SASSAFRASBAY_EXAMPLES;
const std::filesystem::path kStandIns = SASSAFRASBAY_STAND_INS;

constexpr std::chrono::seconds kTrafficDuration{20};
constexpr std::chrono::seconds kDelayBeforeLoss{8};
constexpr std::chrono::seconds kTrafficTimeout{60};
constexpr int kRequestsPerSecond = 400;

// Small enough that each lost key is requested several times within the recovery target of 2 s.
constexpr int kLots = 40;
constexpr int kReleasedLots = 8;

// Lots are assigned by binding requests, for which the loss of an owner is harder to handle than
// for idempotent ones.
constexpr const char* kKilledService = "allotment";
constexpr std::size_t kKilledNode = 4;
constexpr std::size_t kObserver = 0;

std::string ReadFile(const std::filesystem::path& file) {
  std::ifstream stream(file);
  return {std::istreambuf_iterator<char>(stream), {}};
}

Result<std::unique_ptr<Fleet>> StartFleet() {
  const std::vector<std::pair<std::string, int>> services = {
      {"bench-lookups", 4}, {"allotment", 3}, {"clinic-dispatch", 4}};
  const std::vector<std::string> data_centres = {"hu-central-a", "hu-central-b", "hu-central-c"};
  harness::FleetBuilder builder;
  std::size_t count = 0;
  for (const auto& [service, targets] : services) {
    for (int target = 1; target <= targets; ++target) {
      harness::NodeOptions options;
      options.name_ = service + "-" + std::to_string(target);
      options.data_centre_ = data_centres[count++ % data_centres.size()];
      options.region_ = "hu-central";
      options.service_ = service;
      options.service_ms_ = 5;
      options.extra_settings_ =
          "[placement]\nimbalance_threshold = 1.2\nmoves_per_minute = 30\ninterval_ms = 2000\n";
      builder.AddNode(options);
    }
  }
  return builder.Build();
}

json StatusOf(Fleet& fleet) {
  return harness::GetJson(fleet.Node(kObserver).callers_port_, "/-/status");
}

bool WaitForSessions(Fleet& fleet) {
  return harness::WaitUntil([&] {
    const json status = StatusOf(fleet);
    return status.is_object() && status.value("sessions", json::array()).size() == fleet.Size();
  });
}

/// Waits until every node holds units, that is, the log assigned them and its upstream has grants.
bool WaitForUnits(Fleet& fleet) {
  return harness::WaitUntil([&] {
    for (std::size_t index = 0; index < fleet.Size(); ++index) {
      const json status = harness::GetJson(fleet.Node(index).callers_port_, "/-/status");
      if (!status.is_object() || status.value("units_held", 0) == 0) {
        return false;
      }
    }
    return true;
  });
}

bool PublishExamples(Fleet& fleet) {
  std::map<std::string, std::string> files;
  for (const auto& entry : std::filesystem::directory_iterator(kExamples / "consortium")) {
    const std::string name = entry.path().filename().string();
    if (name.ends_with(".routing.toml")) {
      files[name] = ReadFile(entry.path());
    }
  }
  return fleet.Publish(files);
}

/// Resident memory of a node's process in mebibytes.
double MemoryOf(const FleetNode& node) {
  std::ifstream status("/proc/" + std::to_string(node.node_->Id()) + "/status");
  for (std::string line; std::getline(status, line);) {
    if (line.starts_with("VmRSS:")) {
      return std::stod(line.substr(6)) / 1024;
    }
  }
  return 0;
}

/// Sum of a counter over its labels, from the metrics of the observing node.
double CounterOf(Fleet& fleet, std::string_view name) {
  const auto answer =
      harness::Call(fleet.Node(kObserver).callers_port_, {"GET", "/-/metrics", {}, {}});
  double sum = 0;
  std::istringstream lines(answer ? answer.value().body_ : "");
  for (std::string line; std::getline(lines, line);) {
    if (line.starts_with(name)) {
      sum += std::stod(line.substr(line.rfind(' ')));
    }
  }
  return sum;
}

json LoadPlanOf(Fleet& fleet) {
  json plan = {{"requests_per_second", kRequestsPerSecond},
               {"duration_ms", std::chrono::milliseconds(kTrafficDuration).count()},
               {"max_attempts", 20}};
  for (std::size_t index = 0; index < fleet.Size(); ++index) {
    plan["nodes"].push_back(harness::LocalAddress(fleet.Node(index).callers_port_));
  }
  plan["classes"] = json::array({{{"name", "lens-lookup"},
                                  {"prefix", "/bench-lookups/prescriptions/"},
                                  {"share", 4},
                                  {"keys", 400},
                                  {"hot_share", 0.05},
                                  {"deadline_ms", 4000}},
                                 {{"name", "read-lot"},
                                  {"prefix", "/allotment/lots/"},
                                  {"share", 2},
                                  {"keys", kLots},
                                  {"deadline_ms", 4000}},
                                 {{"name", "assign-lot"},
                                  {"method", "POST"},
                                  {"prefix", "/allotment/lots/"},
                                  {"suffix", "/assign"},
                                  {"binding", true},
                                  {"share", 2},
                                  {"keys", kLots},
                                  {"deadline_ms", 4000}}});
  for (int lot = 1; lot <= kReleasedLots; ++lot) {
    const std::string name = "lot-" + std::to_string(lot);
    plan["classes"].push_back({{"name", "release-shipment " + name},
                               {"method", "POST"},
                               {"prefix", "/clinic-dispatch/shipments/" + name + "-"},
                               {"binding", true},
                               {"share", 2.0 / kReleasedLots},
                               {"headers", {{"Lot-Id", name}}},
                               {"deadline_ms", 6000}});
  }
  return plan;
}

std::set<std::string> KeysOwnedBy(Fleet& fleet, const std::string& node) {
  std::set<std::string> keys;
  for (int lot = 0; lot < kLots; ++lot) {
    const std::string key = std::to_string(lot);
    const std::string path = std::string("/-/explain?service=") + kKilledService + "&key=" + key;
    const json answer = harness::GetJson(fleet.Node(kObserver).callers_port_, path);
    if (answer.is_object() && answer.value("owner", "") == node) {
      keys.insert(key);
    }
  }
  return keys;
}

/// Prints the progress lines that the load generator has written since the last call.
void ShowProgress(std::ifstream& progress) {
  for (std::string line; std::getline(progress, line);) {
    if (line.find(" s: sent") != std::string::npos) {
      std::printf("  %s\n", line.c_str());
    }
  }
  progress.clear();
  std::fflush(stdout);
}

void KillOwner(Fleet& fleet, Recording& recording) {
  FleetNode& killed = fleet.Node(kKilledNode);
  recording.killed_node_ = killed.options_.name_;
  recording.killed_service_ = kKilledService;
  recording.status_before_ = StatusOf(fleet);
  recording.lost_keys_ = KeysOwnedBy(fleet, recording.killed_node_);
  killed.node_->Kill();
  killed.upstream_->Kill();
  recording.killed_at_ms_ = ToBootMilliseconds(BootClock::now());
  std::printf("  killed %s and its upstream\n", recording.killed_node_.c_str());
}

Result<void> SendTraffic(Fleet& fleet, Recording& recording) {
  const std::filesystem::path plan = fleet.Directory() / "plan.json";
  const std::filesystem::path answers = fleet.Directory() / "answers";
  const std::filesystem::path log = fleet.Directory() / "load.log";
  std::ofstream(plan) << LoadPlanOf(fleet).dump();
  std::ofstream(log).flush();
  const std::vector<std::string> arguments = {"--plan=" + plan.string(),
                                              "--output=" + answers.string()};
  SASSAFRASBAY_TRY(generator,
                   harness::Process::Start(kStandIns / "load_generator", arguments, log));
  std::ifstream progress(log);
  const BootTime start = BootClock::now();
  while (generator->IsRunning() && BootClock::now() < start + kTrafficTimeout) {
    std::this_thread::sleep_for(milliseconds(200));
    ShowProgress(progress);
    if (recording.killed_node_.empty() && BootClock::now() >= start + kDelayBeforeLoss) {
      KillOwner(fleet, recording);
    }
  }
  if (generator->Wait(milliseconds(0)) != 0) {
    return MakeError(Errc::kTimedOut, "send traffic", "load_generator",
                     "the process did not exit with status 0");
  }
  recording.answers_ = harness::ReadAnswers(answers);
  return boost::outcome_v2::success();
}

Result<Recording> Run() {
  std::printf("Starting 11 nodes with their upstreams in 3 data centres.\n");
  std::fflush(stdout);
  SASSAFRASBAY_TRY(fleet, StartFleet());
  if (!WaitForSessions(*fleet)) {
    return MakeError(Errc::kTimedOut, "join", "fleet", "not all nodes joined in time");
  }
  std::printf("Publishing the routing files of examples/consortium.\n");
  if (!PublishExamples(*fleet) || !WaitForUnits(*fleet)) {
    return MakeError(Errc::kTimedOut, "publish", "fleet",
                     "publishing failed, or not all nodes got units in time");
  }
  Recording recording;
  for (std::size_t index = 0; index < fleet->Size(); ++index) {
    const FleetNode& node = fleet->Node(index);
    recording.node_of_port_[node.upstream_port_] = node.options_.name_;
    recording.idle_memory_mb_ = std::max(recording.idle_memory_mb_, MemoryOf(node));
  }
  std::printf("Sending lookups, lot assignments and shipment releases for %lld s.\n",
              static_cast<long long>(kTrafficDuration.count()));
  SASSAFRASBAY_TRY(SendTraffic(*fleet, recording));
  recording.status_after_ = StatusOf(*fleet);
  recording.ownership_moves_ = CounterOf(*fleet, "sassafrasbay_ownership_moves_total");
  recording.runs_ = fleet->Runs();
  return recording;
}

}  // namespace
}  // namespace sassafrasbay::demo

int main() {
  const auto recording = sassafrasbay::demo::Run();
  if (!recording) {
    std::fprintf(stderr, "demo: %s\n", ToString(recording.error()).c_str());
    return 1;
  }
  return sassafrasbay::demo::PrintReport(recording.value()) ? 0 : 1;
}

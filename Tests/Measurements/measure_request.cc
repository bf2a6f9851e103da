// Measures the cost of a request: the latency added to a direct call of the upstream, processor
// time and memory.
#include <ace/SOCK_Connector.h>
#include <ace/SOCK_Stream.h>

#include <cstdio>
#include <memory>
#include <thread>

#include "measurement.h"

using namespace sassafrasbay;                // NOLINT(google-build-using-namespace)
using namespace sassafrasbay::measurements;  // NOLINT(google-build-using-namespace)
using nlohmann::json;

namespace {

constexpr int kRepeats = 3;
constexpr double kLowRequestsPerSecond = 200;
constexpr double kHighRequestsPerSecond = 3000;
/// Lower, since each binding request opens a new connection to the upstream.
constexpr double kHighBindingRequestsPerSecond = 400;

json MakePlan(std::uint16_t port, bool binding, double rate, int duration_ms) {
  const json load_class = {{"name", binding ? "bind" : "read"},
                           {"method", binding ? "POST" : "GET"},
                           {"prefix", "/bench/lots/"},
                           {"binding", binding}};
  return {{"nodes", {harness::LocalAddress(port)}},
          {"classes", {load_class}},
          {"requests_per_second", rate},
          {"duration_ms", duration_ms},
          {"max_attempts", 1}};
}

/// Starts three nodes. node0 and its upstream serve "bench"; the other nodes only forward requests
/// to node0 and are its grantors.
std::unique_ptr<harness::Fleet> StartRequestFleet(int shards,
                                                  const std::string& extra_settings = {}) {
  harness::FleetBuilder builder;
  for (std::size_t index = 0; index < 3; ++index) {
    AddNode(builder, index,
            {.service_ = index == 0 ? "bench" : "other",
             .checks_grants_ = false,
             .service_ms_ = 0,
             .extra_settings_ = extra_settings});
  }
  return StartFleet(builder, {{"bench.routing.toml", RoutingText("bench", shards)},
                              {"other.routing.toml", RoutingText("other", 16)}});
}

std::vector<harness::AnswerRecord> RunLoadAndPrintFailures(harness::Fleet& fleet,
                                                           const json& plan) {
  auto answers = RunLoad(fleet, plan);
  std::map<int, int> failed;
  for (const auto& answer : answers) {
    if (answer.status_ != 200) {
      ++failed[answer.status_];
    }
  }
  for (const auto& [status, count] : failed) {
    std::printf("note: %d of %zu requests of the next row had status %d\n", count, answers.size(),
                status);
  }
  return answers;
}

void MeasureLatency(harness::Fleet& fleet, bool binding, std::size_t ingress) {
  const std::string name = std::string(binding ? "binding" : "idempotent") +
                           (ingress == 0 ? ", local owner" : ", remote owner");
  std::vector<double> difference[2];
  std::vector<double> ratio[2];
  for (int repeat = 0; repeat < kRepeats; ++repeat) {
    const auto direct = Latencies(RunLoadAndPrintFailures(
        fleet, MakePlan(fleet.Node(0).upstream_port_, binding, kLowRequestsPerSecond, 1000)));
    const auto routed = Latencies(RunLoadAndPrintFailures(
        fleet, MakePlan(fleet.Node(ingress).callers_port_, binding, kLowRequestsPerSecond, 1000)));
    for (int i = 0; i < 2; ++i) {
      const double fraction = i == 0 ? 0.5 : 0.99;
      difference[i].push_back(Quantile(routed, fraction) - Quantile(direct, fraction));
      ratio[i].push_back(Quantile(routed, fraction) / Quantile(direct, fraction));
    }
  }
  PrintRow(name + ": added, p50", difference[0], "ms");
  PrintRow(name + ": added, p99", difference[1], "ms");
  PrintRow(name + ": ratio to direct, p50", ratio[0], "");
  PrintRow(name + ": ratio to direct, p99", ratio[1], "");
}

void MeasureProcessorTime(harness::Fleet& fleet, bool binding, std::size_t ingress) {
  const std::string name = std::string(binding ? "binding" : "idempotent") +
                           (ingress == 0 ? ", local owner" : ", remote owner");
  std::vector<double> per_request[2];
  for (int repeat = 0; repeat < 3; ++repeat) {
    double before[2];
    for (std::size_t i = 0; i < 2; ++i) {
      before[i] = ProcessorSeconds(fleet.Node(i).node_->Id(), "traffic");
    }
    const auto answers = RunLoadAndPrintFailures(
        fleet, MakePlan(fleet.Node(ingress).callers_port_, binding,
                        binding ? kHighBindingRequestsPerSecond : kHighRequestsPerSecond, 2000));
    for (std::size_t i = 0; i < 2; ++i) {
      const double used = ProcessorSeconds(fleet.Node(i).node_->Id(), "traffic") - before[i];
      per_request[i].push_back(used / static_cast<double>(answers.size()) * 1e6);
    }
  }
  PrintRow(name + ": traffic thread of owner", per_request[0], "us/request");
  if (ingress != 0) {
    PrintRow(name + ": traffic thread of ingress", per_request[1], "us/request");
  }
  std::printf("%-58s %10.0f requests/s per core of the owner node\n", name.c_str(),
              1e6 / Quantile(per_request[0], 0.5));
}

void MeasureIdleMemory() {
  for (const int shards : {64, 256, 1024, 4096}) {
    const auto fleet = StartRequestFleet(shards);
    std::vector<double> resident;
    for (std::size_t index = 0; index < fleet->Size(); ++index) {
      resident.push_back(ResidentMebibytes(fleet->Node(index).node_->Id()));
    }
    PrintRow("resident memory, idle node, " + std::to_string(shards) + " shards", resident, "MiB");
  }
}

void PrintFit(const char* name, const std::vector<std::pair<double, double>>& points) {
  const LinearFit fit = FitLine(points);
  std::printf("fit %s = %.4f + %.4f (+- %.4f) KiB each\n", name, fit.intercept_, fit.slope_,
              fit.slope_error_);
}

/// Measures the memory of the request ids that the owner keeps, and of their copies at a grantor.
void MeasureRequestIdMemory() {
  const auto fleet = StartRequestFleet(64);
  std::vector<std::pair<double, double>> points[2];
  double ids = 0;
  for (int load = 0; load < 5; ++load) {
    ids += static_cast<double>(
        RunLoadAndPrintFailures(*fleet, MakePlan(fleet->Node(0).callers_port_, true,
                                                 kHighBindingRequestsPerSecond, 2000))
            .size());
    // The first load opens connections and fills caches, so it isn't counted.
    for (std::size_t index = 0; load > 0 && index < 2; ++index) {
      points[index].emplace_back(ids, ResidentMebibytes(fleet->Node(index).node_->Id()) * 1024);
    }
  }
  PrintFit("resident memory, owner, by binding ids", points[0]);
  PrintFit("resident memory, grantor, by binding ids", points[1]);
}

/// Measures the memory of idle connections of callers. The connections close when `open` is
/// destroyed.
void MeasureConnectionMemory() {
  const auto fleet = StartRequestFleet(64);
  std::vector<std::unique_ptr<ACE_SOCK_Stream, void (*)(ACE_SOCK_Stream*)>> open;
  std::vector<std::pair<double, double>> points;
  const ACE_INET_Addr address(fleet->Node(1).callers_port_, "127.0.0.1");
  for (int count = 0; count <= 400; count += 100) {
    while (open.size() < static_cast<std::size_t>(count)) {
      open.emplace_back(new ACE_SOCK_Stream, [](ACE_SOCK_Stream* stream) {
        stream->close();
        delete stream;
      });
      Require(ACE_SOCK_Connector().connect(*open.back(), address) == 0, "connect");
    }
    std::this_thread::sleep_for(milliseconds(300));
    points.emplace_back(count, ResidentMebibytes(fleet->Node(1).node_->Id()) * 1024);
  }
  PrintFit("resident memory by idle connections of callers", points);
}

template <typename Measure>
void ForEachClassAndIngress(harness::Fleet& fleet, Measure measure) {
  for (const bool binding : {false, true}) {
    for (const std::size_t ingress : {0, 1}) {
      measure(fleet, binding, ingress);
    }
  }
}

}  // namespace

/// The optional argument selects one part: latency, processor or memory. Without it all parts run.
int main(int argc, char** argv) {
  const std::string part = argc > 1 ? argv[1] : "";
  {
    const auto fleet = StartRequestFleet(64);
    if (part.empty() || part == "latency") {
      ForEachClassAndIngress(*fleet, MeasureLatency);
    }
    if (part.empty() || part == "processor") {
      ForEachClassAndIngress(*fleet, MeasureProcessorTime);
      PrintRow("resident memory, owner after these runs",
               {ResidentMebibytes(fleet->Node(0).node_->Id())}, "MiB");
    }
  }
  if (part.empty() || part == "memory") {
    MeasureIdleMemory();
    MeasureRequestIdMemory();
    MeasureConnectionMemory();
  }
  return 0;
}

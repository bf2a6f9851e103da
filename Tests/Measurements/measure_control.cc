// Measures control traffic and processor time of idle fleets of several sizes, and the processor
// time that a change causes.
#include <cstdio>
#include <functional>
#include <numeric>
#include <thread>

#include "measurement.h"

using namespace sassafrasbay;                // NOLINT(google-build-using-namespace)
using namespace sassafrasbay::measurements;  // NOLINT(google-build-using-namespace)

namespace {

constexpr std::chrono::seconds kWindowDuration{6};
constexpr int kShards = 256;
/// Several, since the cost of one publication is below the variation between windows.
constexpr int kPublications = 10;
constexpr std::size_t kLostNodes = 3;

const std::string& Routing() {
  static const std::string kText = RoutingText("bench", kShards);
  return kText;
}

/// Counters of one node since its start.
struct NodeTotals {
  double control_bytes_ = 0;
  double log_bytes_ = 0;
  double control_seconds_ = 0;
  double traffic_seconds_ = 0;
};

NodeTotals ReadTotals(harness::Fleet& fleet, std::size_t index) {
  harness::FleetNode& node = fleet.Node(index);
  const pid_t process = node.node_->Id();
  return {MetricValue(node.callers_port_, "sassafrasbay_control_bytes_sent_total"),
          ConnectionBytes(process, fleet.LogPort()), ProcessorSeconds(process, "control"),
          ProcessorSeconds(process, "traffic")};
}

/// Reads the totals of the nodes from index `first` on.
std::vector<NodeTotals> ReadAll(harness::Fleet& fleet, std::size_t first) {
  std::vector<NodeTotals> totals;
  for (std::size_t index = first; index < fleet.Size(); ++index) {
    totals.push_back(ReadTotals(fleet, index));
  }
  return totals;
}

/// Makes a change at the start of a window. Returns the processor time, in ms, that the control
/// threads of all nodes that are never killed used during the window.
double ControlTimeInWindow(harness::Fleet& fleet, const std::function<void()>& change) {
  const auto before = ReadAll(fleet, kLostNodes);
  const auto end = std::chrono::steady_clock::now() + kWindowDuration;
  change();
  std::this_thread::sleep_until(end);
  const auto after = ReadAll(fleet, kLostNodes);
  double sum = 0;
  for (std::size_t i = 0; i < before.size(); ++i) {
    sum += after[i].control_seconds_ - before[i].control_seconds_;
  }
  return sum * 1000;
}

void PrintPerNode(const std::string& name, const std::vector<NodeTotals>& before,
                  const std::vector<NodeTotals>& after, double NodeTotals::*field, double scale,
                  std::string_view unit, std::vector<double>& samples) {
  samples.clear();
  for (std::size_t i = 0; i < before.size(); ++i) {
    samples.push_back((after[i].*field - before[i].*field) * scale /
                      static_cast<double>(kWindowDuration.count()));
  }
  PrintRow(name, samples, unit);
}

/// Used instead of the median, since some nodes are grantors of several sessions and others of
/// none.
double Mean(const std::vector<double>& values) {
  return std::accumulate(values.begin(), values.end(), 0.0) / static_cast<double>(values.size());
}

using Points = std::vector<std::pair<double, double>>;

void MeasureIdle(harness::Fleet& fleet, std::map<std::string, Points>& points) {
  const auto before = ReadAll(fleet, 0);
  std::this_thread::sleep_for(kWindowDuration);
  const auto after = ReadAll(fleet, 0);
  const std::string name = std::to_string(fleet.Size()) + " nodes at rest: ";
  const auto size = static_cast<double>(fleet.Size());
  std::vector<double> samples;
  constexpr double kPercent = 100;
  PrintPerNode(name + "control sent by a node", before, after, &NodeTotals::control_bytes_, 1,
               "B/s", samples);
  points["control sent, B/s"].emplace_back(size, Mean(samples));
  PrintPerNode(name + "log, both directions", before, after, &NodeTotals::log_bytes_, 1, "B/s",
               samples);
  points["log traffic of a node, B/s"].emplace_back(size, Mean(samples));
  PrintPerNode(name + "control thread", before, after, &NodeTotals::control_seconds_, kPercent,
               "% of a core", samples);
  points["control thread, % of a core"].emplace_back(size, Mean(samples));
  PrintPerNode(name + "traffic thread", before, after, &NodeTotals::traffic_seconds_, kPercent,
               "% of a core", samples);
}

/// Prints the processor time of the control thread that one change causes at each remaining node.
void PrintCostOfChange(harness::Fleet& fleet, const std::string& name, double idle_cost,
                       double cost, double count) {
  const auto nodes = static_cast<double>(fleet.Size() - kLostNodes);
  std::printf("%-58s %10.3f ms of control time at each node (window at rest %.1f, with it %.1f)\n",
              (std::to_string(fleet.Size()) + " nodes: " + name).c_str(),
              (cost - idle_cost) / nodes / count, idle_cost / nodes, cost / nodes);
  std::fflush(stdout);
}

void MeasureChanges(harness::Fleet& fleet) {
  const double idle_cost = ControlTimeInWindow(fleet, [] {});
  const double publish = ControlTimeInWindow(fleet, [&] {
    for (int number = 0; number < kPublications; ++number) {
      const std::string text = Routing() + "# change " + std::to_string(number) + "\n";
      Require(fleet.Publish({{"bench.routing.toml", text}}), "publish");
    }
  });
  PrintCostOfChange(fleet, "one configuration change (of 10)", idle_cost, publish, kPublications);
  const double units =
      harness::GetJson(fleet.Node(0).callers_port_, "/-/status").value("units_held", 0.0);
  const double drain = ControlTimeInWindow(fleet, [&] {
    Require(harness::CallStatus(fleet.Node(0).callers_port_, "POST", "/-/drain") == 202, "drain");
  });
  PrintCostOfChange(fleet,
                    "one move (drain of " + std::to_string(static_cast<int>(units)) + " units)",
                    idle_cost, drain, units);
  const double loss = ControlTimeInWindow(fleet, [&] {
    for (std::size_t index = 0; index < kLostNodes; ++index) {
      fleet.Node(index).node_->Kill();
    }
  });
  PrintCostOfChange(fleet, "one loss (of 3 at once)", idle_cost, loss, kLostNodes);
}

}  // namespace

int main() {
  std::map<std::string, Points> points;
  for (const std::size_t size : {3, 6, 12, 24}) {
    harness::FleetBuilder builder;
    for (std::size_t index = 0; index < size; ++index) {
      AddNode(builder, index, {});
    }
    const auto fleet = StartFleet(builder, {{"bench.routing.toml", Routing()}});
    std::this_thread::sleep_for(std::chrono::seconds(2));
    MeasureIdle(*fleet, points);
    if (size >= 12) {
      MeasureChanges(*fleet);
    }
  }
  for (const auto& [name, values] : points) {
    const LinearFit fit = FitLine(values);
    std::printf("fit %-40s = %.4f + %.3g (+- %.2g) * nodes\n", name.c_str(), fit.intercept_,
                fit.slope_, fit.slope_error_);
  }
  return 0;
}

#pragma once

#include <sys/types.h>

#include <functional>
#include <nlohmann/json.hpp>
#include <string>
#include <string_view>
#include <vector>

#include "harness/fleet.h"

namespace sassafrasbay::measurements {

/// Ends the program with the text on standard error when the condition doesn't hold.
void Require(bool condition, std::string_view what);

/// Quantile of unsorted values, 0 without any.
double Quantile(std::vector<double> values, double share);

/// Prints one row: name, median of the repeats, their minimum and maximum, unit.
void PrintRow(std::string_view name, const std::vector<double>& repeats, std::string_view unit);

/// One-minute load average.
double LoadAverage();

/// Processor seconds used so far by a process, or by its thread with this name.
double ProcessorSeconds(pid_t process, std::string_view thread = {});

/// Resident memory in MiB.
double ResidentMebibytes(pid_t process);

/// Value of a metric of a node summed over its labels; 0 when absent.
double MetricValue(std::uint16_t callers_port, std::string_view name);

/// Bytes sent and received so far over the open TCP connections of a process to a port.
double ConnectionBytes(pid_t process, std::uint16_t remote_port);

/// A routing file with one service: GET is idempotent, POST binding, the key is the path's second
/// segment.
std::string RoutingText(std::string_view service, int shards);

/// Adds a node in data centre `index` % 3.
void AddNode(harness::FleetBuilder& builder, std::size_t index, harness::NodeOptions options);

/// Builds and publishes; waits until each node has its session, the configuration, and all units
/// of the services have an owner that serves.
std::unique_ptr<harness::Fleet> StartFleet(harness::FleetBuilder& builder,
                                           const std::map<std::string, std::string>& files);

/// Runs the load generator to its end with a plan of load_plan.h and returns its answers.
/// `meanwhile` runs after its start.
std::vector<harness::AnswerRecord> RunLoad(
    harness::Fleet& fleet, const nlohmann::json& plan,
    const std::function<void()>& meanwhile = [] {});

/// Of the latest RunLoad, as the load generator sums them up.
double UnavailableKeySeconds(const harness::Fleet& fleet);

std::vector<double> Latencies(const std::vector<harness::AnswerRecord>& answers);

/// Line through the points by least squares, with the standard error of the slope.
struct Fit {
  double intercept_ = 0;
  double slope_ = 0;
  double slope_error_ = 0;
};
Fit FitLine(const std::vector<std::pair<double, double>>& points);

}  // namespace sassafrasbay::measurements

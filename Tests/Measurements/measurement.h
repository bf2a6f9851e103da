#pragma once

#include <sys/types.h>

#include <functional>
#include <nlohmann/json.hpp>
#include <string>
#include <string_view>
#include <vector>

#include "harness/fleet.h"

namespace sassafrasbay::measurements {

/// Prints the failed step on standard error and exits with status 1 when the condition is false.
void Require(bool condition, std::string_view step);

/// Returns a quantile of the values, which need not be sorted; 0 when there are none.
double Quantile(std::vector<double> values, double fraction);

/// Prints one row: name, then median, minimum, maximum and number of the samples, and the unit.
void PrintRow(std::string_view name, const std::vector<double>& samples, std::string_view unit);

/// Returns the load average over one minute; -1 when it is unavailable.
double LoadAverage();

/// Returns the processor time, in seconds, that a process has used, or its thread with this name.
double ProcessorSeconds(pid_t process, std::string_view thread = {});

/// Returns the resident memory of a process in MiB.
double ResidentMebibytes(pid_t process);

/// Returns the value of a metric of a node, summed over all labels; 0 when it is absent.
double MetricValue(std::uint16_t callers_port, std::string_view name);

/// Returns the bytes sent and received on the open TCP connections of a process to a port.
double ConnectionBytes(pid_t process, std::uint16_t remote_port);

/// Returns a routing file with one service. GET is idempotent, POST is binding, and the key is the
/// second segment of the path.
std::string RoutingText(std::string_view service, int shards);

/// Adds the node "nodeINDEX" in data centre `index` modulo 3.
void AddNode(harness::FleetBuilder& builder, std::size_t index, harness::NodeOptions options);

/// Builds the fleet and publishes the routing files. Waits until each node has a session with a
/// valid lease, sees all sessions, has the configuration and holds units.
std::unique_ptr<harness::Fleet> StartFleet(harness::FleetBuilder& builder,
                                           const std::map<std::string, std::string>& files);

/// Runs the load generator with a plan (see load_plan.h) until it exits, and returns the answers.
/// `after_start` is called once the load generator has been started.
std::vector<harness::AnswerRecord> RunLoad(
    harness::Fleet& fleet, const nlohmann::json& plan,
    const std::function<void()>& after_start = [] {});

/// Returns the unavailable key-seconds that the load generator reported in the latest RunLoad.
double UnavailableKeySeconds(const harness::Fleet& fleet);

/// Returns the latencies of the answers in ms.
std::vector<double> Latencies(const std::vector<harness::AnswerRecord>& answers);

/// Result of a linear least-squares fit.
struct LinearFit {
  double intercept_ = 0;
  double slope_ = 0;
  double slope_error_ = 0;  ///< Standard error of the slope.
};
LinearFit FitLine(const std::vector<std::pair<double, double>>& points);

}  // namespace sassafrasbay::measurements

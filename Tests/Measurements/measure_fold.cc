// Measures operations on the control state within this process, without a fleet, and fits their
// cost linearly against the number of sessions and of units.
#include <chrono>
#include <cstdio>
#include <functional>

#include "LibControl/control_fixtures.h"
#include "LibControl/placement.h"
#include "LibControl/record_codec.h"
#include "measurement.h"

using namespace sassafrasbay;                // NOLINT(google-build-using-namespace)
using namespace sassafrasbay::measurements;  // NOLINT(google-build-using-namespace)

namespace {

constexpr int kRepeats = 3;
constexpr std::size_t kDataCentres = 7;
constexpr int kServices = 16;  // Several, since a service has at most 4096 shards.

std::string SessionName(std::size_t index) {
  char name[33];
  std::snprintf(name, sizeof(name), "%032zx", index);
  return name;
}

testing::TestLog MakeLog(std::size_t sessions, int units) {
  testing::TestLog log;
  std::vector<RoutingFile> files;
  files.reserve(kServices);
  for (int service = 0; service < kServices; ++service) {
    files.push_back(testing::ServiceFile("s" + std::to_string(service), units / kServices));
  }
  Require(log.Publish(files).valid_, "publish to the log in this process");
  for (std::size_t index = 0; index < sessions; ++index) {
    const auto join = testing::Join(SessionName(index), "dc" + std::to_string(index % kDataCentres),
                                    "s" + std::to_string(index % kServices));
    Require(log.Append(join).valid_, "append a join to the log in this process");
  }
  return log;
}

double ElapsedMilliseconds(const std::function<void()>& operation) {
  const auto start = std::chrono::steady_clock::now();
  operation();
  const std::chrono::duration<double, std::milli> taken = std::chrono::steady_clock::now() - start;
  return taken.count();
}

using Samples = std::map<std::string, std::vector<double>>;

void MeasureOnce(const testing::TestLog& log, std::size_t sessions, Samples& samples) {
  ControlState copy;
  std::string bytes;
  samples["copy ControlState, ms"].push_back(ElapsedMilliseconds([&] { copy = log.state_; }));
  samples["EncodeState, ms"].push_back(
      ElapsedMilliseconds([&] { bytes = EncodeState(log.state_); }));
  samples["DecodeState, ms"].push_back(ElapsedMilliseconds(
      [&] { Require(DecodeState(bytes).has_value(), "decode the encoded state"); }));
  samples["encoded state, KiB"].push_back(static_cast<double>(bytes.size()) / 1024);
  testing::TestLog changed{copy};
  const auto join = testing::Join(SessionName(sessions), "dc0", "s0");
  samples["Apply SessionJoined, ms"].push_back(ElapsedMilliseconds([&] { changed.Append(join); }));
  samples["Apply SessionEnded with its units, ms"].push_back(
      ElapsedMilliseconds([&] { changed.Append(SessionEnded{SessionName(0)}); }));
  MeasuredLoad load;
  std::size_t number = 0;
  for (const auto& [name, service] : log.state_.services_) {
    for (std::uint32_t unit = 0; unit < service.shards_.size(); unit += 7) {
      load.units_[{name, unit}] = static_cast<double>(++number % 13);
    }
  }
  PlannerState planner;
  samples["PlanPlacement, ms"].push_back(ElapsedMilliseconds([&] {
    PlanPlacement(planner, log.state_, load, PlacementSettings{}, BootTime(std::chrono::hours(1)));
  }));
}

void MeasureSeries(std::string_view axis,
                   const std::vector<std::pair<std::size_t, int>>& sessions_and_units,
                   bool by_units) {
  std::map<std::string, std::vector<std::pair<double, double>>> points;
  for (const auto& [sessions, units] : sessions_and_units) {
    Samples samples;
    const testing::TestLog log = MakeLog(sessions, units);
    for (int repeat = 0; repeat < kRepeats; ++repeat) {
      MeasureOnce(log, sessions, samples);
    }
    for (const auto& [name, values] : samples) {
      PrintRow(
          name + "; " + std::to_string(sessions) + " sessions, " + std::to_string(units) + " units",
          values, "");
      const auto size = static_cast<double>(by_units ? units : static_cast<int>(sessions));
      points[name].emplace_back(size, Quantile(values, 0.5));
    }
  }
  for (const auto& [name, values] : points) {
    const LinearFit fit = FitLine(values);
    std::printf("fit %-40s = %.4f + %.3g (+- %.2g) * %s\n", name.c_str(), fit.intercept_,
                fit.slope_, fit.slope_error_, std::string(axis).c_str());
  }
}

}  // namespace

int main() {
  MeasureSeries("sessions", {{50, 16384}, {100, 16384}, {200, 16384}, {400, 16384}, {740, 16384}},
                false);
  MeasureSeries("units", {{740, 4096}, {740, 16384}, {740, 65536}}, true);
  return 0;
}

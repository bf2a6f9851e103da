#include "measurement.h"

#include <unistd.h>

#include <algorithm>
#include <array>
#include <cmath>
#include <cstdio>
#include <cstdlib>
#include <fstream>
#include <iterator>
#include <sstream>

namespace sassafrasbay::measurements {

using harness::AnswerRecord;
using harness::Fleet;

namespace {

std::string ReadText(const std::filesystem::path& file) {
  std::ifstream stream(file);
  return {std::istreambuf_iterator<char>(stream), {}};
}

/// Returns the sum of user and system time, in seconds, from a /proc stat file. Parses from the
/// last parenthesis on, since the second field, the name, may contain spaces.
double StatSeconds(const std::filesystem::path& file) {
  const std::string text = ReadText(file);
  std::istringstream fields(text.substr(std::min(text.size(), text.rfind(')') + 1)));
  constexpr int kFieldsBeforeTimes = 11;
  std::string skipped;
  for (int i = 0; i < kFieldsBeforeTimes; ++i) {
    fields >> skipped;
  }
  double user = 0;
  double system = 0;
  fields >> user >> system;
  return (user + system) / static_cast<double>(sysconf(_SC_CLK_TCK));
}

double NumberAfter(const std::string& text, std::string_view label) {
  const std::size_t at = text.find(label);
  return at == std::string::npos ? 0 : std::strtod(text.c_str() + at + label.size(), nullptr);
}

std::size_t CountSessions(Fleet& fleet) {
  const nlohmann::json status = harness::GetJson(fleet.Node(0).callers_port_, "/-/status");
  return status.contains("sessions") ? status["sessions"].size() : 0;
}

bool IsReady(Fleet& fleet, std::size_t index) {
  const nlohmann::json status = harness::GetJson(fleet.Node(index).callers_port_, "/-/status");
  return status.is_object() && status.value("configuration_version", 0) >= 1 &&
         !status.value("session", "").empty() && status.value("lease_remaining_ms", 0) > 0 &&
         status["sessions"].size() == fleet.Size() && status.value("units_held", 0) > 0;
}

}  // namespace

void Require(bool condition, std::string_view step) {
  if (!condition) {
    std::fprintf(stderr, "Measurement failed at step: %s\n", std::string(step).c_str());
    // Skips the destructors of the fleet's processes. The kernel kills each child when this thread
    // ends.
    std::_Exit(1);
  }
}

double Quantile(std::vector<double> values, double fraction) {
  if (values.empty()) {
    return 0;
  }
  std::sort(values.begin(), values.end());
  return values[static_cast<std::size_t>(fraction * static_cast<double>(values.size() - 1))];
}

void PrintRow(std::string_view name, const std::vector<double>& samples, std::string_view unit) {
  std::printf("%-58s %10.3f (%.3f to %.3f, n=%zu) %s\n", std::string(name).c_str(),
              Quantile(samples, 0.5), Quantile(samples, 0), Quantile(samples, 1), samples.size(),
              std::string(unit).c_str());
  std::fflush(stdout);
}

double LoadAverage() {
  double load = 0;
  return getloadavg(&load, 1) == 1 ? load : -1;
}

double ProcessorSeconds(pid_t process, std::string_view thread) {
  const std::filesystem::path directory = "/proc/" + std::to_string(process);
  if (thread.empty()) {
    return StatSeconds(directory / "stat");
  }
  for (const auto& task : std::filesystem::directory_iterator(directory / "task")) {
    if (ReadText(task.path() / "comm") == std::string(thread) + "\n") {
      // schedstat counts in nanoseconds; the clock ticks of stat are too coarse for an idle thread.
      constexpr double kSecondsPerNanosecond = 1e-9;
      return std::strtod(ReadText(task.path() / "schedstat").c_str(), nullptr) *
             kSecondsPerNanosecond;
    }
  }
  Require(false, "find the thread of the process by its name");
  return 0;
}

double ResidentMebibytes(pid_t process) {
  constexpr double kKibibytesPerMebibyte = 1024;
  return NumberAfter(ReadText("/proc/" + std::to_string(process) + "/status"), "VmRSS:") /
         kKibibytesPerMebibyte;
}

double MetricValue(std::uint16_t callers_port, std::string_view name) {
  const auto answer = harness::Call(callers_port, {"GET", "/-/metrics", {}, {}});
  Require(answer.has_value(), "metrics");
  std::istringstream lines(answer.value().body_);
  double sum = 0;
  for (std::string line; std::getline(lines, line);) {
    if (line.starts_with(name) && (line[name.size()] == ' ' || line[name.size()] == '{')) {
      sum += std::strtod(line.c_str() + line.rfind(' '), nullptr);
    }
  }
  return sum;
}

double ConnectionBytes(pid_t process, std::uint16_t remote_port) {
  const std::string command = "ss -tinpHO dport = " + std::to_string(remote_port);
  FILE* pipe = popen(command.c_str(), "r");  // NOLINT(cert-env33-c)
  Require(pipe != nullptr, "ss");
  double sum = 0;
  std::array<char, 4096> line{};
  while (fgets(line.data(), line.size(), pipe) != nullptr) {
    const std::string text = line.data();
    if (text.find("pid=" + std::to_string(process) + ",") != std::string::npos) {
      sum += NumberAfter(text, "bytes_sent:") + NumberAfter(text, "bytes_received:");
    }
  }
  pclose(pipe);
  return sum;
}

std::string RoutingText(std::string_view service, int shards) {
  const std::string name(service);
  const std::string head = "[[service." + name + ".class]]\nname = ";
  const std::string tail = "path_prefix = \"/" + name + "/\"\ndeadline_ms = 3000\n";
  return "[service." + name + "]\nshards = " + std::to_string(shards) +
         "\nkey = { from = \"path\", segment = 2 }\n" + head +
         "\"read\"\nmethod = \"GET\"\nkind = \"idempotent\"\nworth = 50\n" + tail + head +
         "\"bind\"\nmethod = \"POST\"\nkind = \"binding\"\nworth = 90\n" + tail;
}

void AddNode(harness::FleetBuilder& builder, std::size_t index, harness::NodeOptions options) {
  constexpr std::size_t kDataCentres = 3;
  options.data_centre_ = "dc" + std::to_string(index % kDataCentres);
  options.name_ = "node" + std::to_string(index);
  builder.AddNode(std::move(options));
}

std::unique_ptr<Fleet> StartFleet(harness::FleetBuilder& builder,
                                  const std::map<std::string, std::string>& files) {
  auto fleet = builder.Build();
  Require(fleet.has_value(), "start the fleet");
  // The first assignment spreads the units over the sessions that joined before the publication.
  // Sessions that join later receive units only by moves, at the rate of moves_per_minute.
  Require(
      harness::WaitUntil([&] { return CountSessions(*fleet.value()) == fleet.value()->Size(); }),
      "wait for all sessions to join");
  Require(fleet.value()->Publish(files), "publish");
  for (std::size_t index = 0; index < fleet.value()->Size(); ++index) {
    Require(harness::WaitUntil([&] { return IsReady(*fleet.value(), index); }),
            "wait for a node to have its session, the configuration and units");
  }
  return std::move(fleet).value();
}

std::vector<AnswerRecord> RunLoad(Fleet& fleet, const nlohmann::json& plan,
                                  const std::function<void()>& after_start) {
  const std::filesystem::path file = fleet.Directory() / "plan.json";
  const std::filesystem::path output = fleet.Directory() / "answers";
  std::filesystem::remove(output);
  std::filesystem::remove(fleet.Directory() / "load.log");
  std::ofstream(file) << plan.dump();
  const std::vector<std::string> arguments = {"--plan=" + file.string(),
                                              "--output=" + output.string()};
  const auto generator = harness::Process::Start(SASSAFRASBAY_STAND_INS "/load_generator",
                                                 arguments, fleet.Directory() / "load.log");
  Require(generator.has_value(), "start the load generator");
  after_start();
  Require(generator.value()->Wait(std::chrono::minutes(2)) == 0,
          "run the load generator to exit code 0 within 2 minutes");
  return harness::ReadAnswers(output);
}

double UnavailableKeySeconds(const Fleet& fleet) {
  return NumberAfter(ReadText(fleet.Directory() / "load.log"), "\"unavailable_key_seconds\":");
}

std::vector<double> Latencies(const std::vector<AnswerRecord>& answers) {
  std::vector<double> values;
  values.reserve(answers.size());
  for (const AnswerRecord& answer : answers) {
    values.push_back(answer.latency_ms_);
  }
  return values;
}

LinearFit FitLine(const std::vector<std::pair<double, double>>& points) {
  const auto count = static_cast<double>(points.size());
  double mean_x = 0;
  double mean_y = 0;
  for (const auto& [x, y] : points) {
    mean_x += x / count;
    mean_y += y / count;
  }
  double xx = 0;
  double xy = 0;
  for (const auto& [x, y] : points) {
    xx += (x - mean_x) * (x - mean_x);
    xy += (x - mean_x) * (y - mean_y);
  }
  LinearFit fit;
  fit.slope_ = xy / xx;
  fit.intercept_ = mean_y - fit.slope_ * mean_x;
  double residuals = 0;
  for (const auto& [x, y] : points) {
    residuals += std::pow(y - fit.intercept_ - fit.slope_ * x, 2);
  }
  fit.slope_error_ = std::sqrt(residuals / (count - 2) / xx);
  return fit;
}

}  // namespace sassafrasbay::measurements

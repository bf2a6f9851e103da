// Runs the bursts of the two example deployments, with and without moves, and kills an upstream
// half-way through each.
#include <cstdio>
#include <fstream>
#include <iterator>
#include <thread>

#include "measurement.h"

using namespace sassafrasbay;                // NOLINT(google-build-using-namespace)
using namespace sassafrasbay::measurements;  // NOLINT(google-build-using-namespace)
using nlohmann::json;

namespace {

constexpr std::chrono::seconds kBurstDuration{12};
/// Long enough that the hot key alone fills most of the slots of an upstream at a rate that a
/// single machine sustains.
constexpr int kServiceMilliseconds = 80;

struct Service {
  std::string name_;
  int upstreams_ = 0;
};

struct Scenario {
  std::string name_;  ///< Name of a directory in examples/.
  int slots_ = 0;
  std::string placement_;  ///< Placement settings of the example, without moves_per_minute.
  int moves_per_minute_ = 0;
  std::vector<Service> services_;  ///< The first serves the lookups and has the hot key.
  json classes_;
  std::map<std::string, double> worth_;
};

json LoadClass(const char* name, const char* prefix, const char* suffix, bool binding, double share,
               double hot_share) {
  return {{"name", name},
          {"prefix", prefix},
          {"suffix", suffix},
          {"method", binding ? "POST" : "GET"},
          {"binding", binding},
          {"share", share},
          {"hot_share", hot_share},
          {"hot_period_ms", 4000},
          {"keys", 500},
          {"deadline_ms", 3000}};
}

std::vector<Scenario> Scenarios() {
  Scenario consortium{"consortium", 20, "imbalance_threshold = 1.2\ninterval_ms = 2000\n", 30};
  consortium.services_ = {{"bench-lookups", 4}, {"allotment", 3}, {"clinic-dispatch", 4}};
  consortium.classes_ = {
      LoadClass("lens-lookup", "/bench-lookups/prescriptions/", "", false, 8, 0.3),
      LoadClass("assign-lot", "/allotment/lots/", "", true, 1, 0),
      LoadClass("release-shipment", "/clinic-dispatch/shipments/", "", true, 1, 0)};
  consortium.worth_ = {{"lens-lookup", 40}, {"assign-lot", 90}, {"release-shipment", 100}};
  Scenario kandy{"kandy", 15, "imbalance_threshold = 1.6\ninterval_ms = 10000\n", 4};
  kandy.services_ = {{"rota-viewing", 4}, {"shift-booking", 3}, {"billing-and-records", 4}};
  kandy.classes_ = {
      LoadClass("view-rota", "/rota-viewing/statues/", "", false, 8, 0.3),
      LoadClass("book-shift", "/shift-booking/statues/", "/shifts", true, 1, 0),
      LoadClass("issue-invoice", "/billing-and-records/invoices?account=", "&n=1", true, 1, 0)};
  kandy.worth_ = {{"view-rota", 50}, {"book-shift", 90}, {"issue-invoice", 80}};
  return {consortium, kandy};
}

/// Returns the routing files of the example. The load generator can't vary a header, so a key in a
/// header is replaced by a key in the path.
std::map<std::string, std::string> RoutingFiles(const std::string& scenario) {
  std::map<std::string, std::string> files;
  for (const auto& entry :
       std::filesystem::directory_iterator(SASSAFRASBAY_EXAMPLES "/" + scenario)) {
    const std::string name = entry.path().filename();
    if (name.ends_with(".routing.toml")) {
      std::ifstream stream(entry.path());
      std::string text{std::istreambuf_iterator<char>(stream), {}};
      const std::string header_key = R"({ from = "header", name = "Lot-Id" })";
      if (const std::size_t at = text.find(header_key); at != std::string::npos) {
        text.replace(at, header_key.size(), R"({ from = "path", segment = 2 })");
      }
      files[name] = text;
    }
  }
  return files;
}

/// Returns the number of changes of owner by reason, from the log lines of the last node.
std::map<std::string, int> OwnerChanges(harness::Fleet& fleet) {
  std::map<std::string, int> changes;
  const std::string name = fleet.Node(fleet.Size() - 1).options_.name_;
  std::ifstream stream(fleet.Directory() / (name + ".log"));
  for (std::string line; std::getline(stream, line);) {
    const std::size_t token = line.find(" under token ");
    if (line.find("[placement] Unit ") != std::string::npos && token != std::string::npos) {
      ++changes[line.substr(line.find(": ", token) + 2)];
    }
  }
  return changes;
}

/// Returns the imbalance of the service with the hot key: the maximum number of runs of an upstream
/// divided by the mean, averaged over windows of one second until the loss.
double MeasuredImbalance(const Scenario& scenario, const std::vector<harness::RunRecord>& runs,
                         std::int64_t start, std::int64_t lost_at) {
  std::map<std::int64_t, std::map<int, double>> windows;
  for (const harness::RunRecord& run : runs) {
    if (run.service_ == scenario.services_[0].name_ && run.start_ms_ < lost_at) {
      ++windows[(run.start_ms_ - start) / 1000][run.port_];
    }
  }
  double sum = 0;
  for (const auto& [window, upstreams] : windows) {
    double total_runs = 0;
    double max_runs = 0;
    for (const auto& [port, count] : upstreams) {
      total_runs += count;
      max_runs = std::max(max_runs, count);
    }
    sum += max_runs * scenario.services_[0].upstreams_ / total_runs;
  }
  return sum / static_cast<double>(windows.size());
}

void PrintClasses(const Scenario& scenario, const std::vector<harness::AnswerRecord>& answers) {
  std::map<std::string, std::map<std::string, int>> outcomes;
  std::map<std::string, std::vector<double>> latencies;
  double worth_answered = 0;
  double worth_sent = 0;
  for (const harness::AnswerRecord& answer : answers) {
    ++outcomes[answer.class_][answer.outcome_ + " " + std::to_string(answer.status_)];
    const double worth = scenario.worth_.at(answer.class_);
    worth_sent += worth;
    if (answer.outcome_ == "answered" && answer.status_ == 200) {
      worth_answered += worth;
      latencies[answer.class_].push_back(answer.latency_ms_);
    }
  }
  for (const auto& [name, counts] : outcomes) {
    std::printf("  %-20s p50 %.1f ms, p99 %.1f ms;", name.c_str(), Quantile(latencies[name], 0.5),
                Quantile(latencies[name], 0.99));
    for (const auto& [outcome, count] : counts) {
      std::printf(" %s: %d;", outcome.c_str(), count);
    }
    std::printf("\n");
  }
  std::printf("  answered worth / sent worth %.4f of %zu requests\n", worth_answered / worth_sent,
              answers.size());
}

std::unique_ptr<harness::Fleet> StartScenarioFleet(const Scenario& scenario, int moves) {
  harness::FleetBuilder builder;
  std::size_t index = 0;
  for (const Service& service : scenario.services_) {
    for (int upstream = 0; upstream < service.upstreams_; ++upstream) {
      AddNode(builder, index++,
              {.service_ = service.name_,
               .slots_ = scenario.slots_,
               .service_ms_ = kServiceMilliseconds,
               .extra_settings_ = "[placement]\n" + scenario.placement_ +
                                  "moves_per_minute = " + std::to_string(moves) + "\n"});
    }
  }
  return StartFleet(builder, RoutingFiles(scenario.name_));
}

void RunScenario(const Scenario& scenario, int moves, double rate) {
  const auto fleet = StartScenarioFleet(scenario, moves);
  json plan = {{"classes", scenario.classes_},
               {"requests_per_second", rate},
               {"duration_ms", milliseconds(kBurstDuration).count()},
               {"nodes", json::array()}};
  for (std::size_t index = 0; index < fleet->Size(); ++index) {
    plan["nodes"].push_back(harness::LocalAddress(fleet->Node(index).callers_port_));
  }
  const auto changes_before = OwnerChanges(*fleet);
  const std::int64_t start = ToBootMilliseconds(BootClock::now());
  std::int64_t lost_at = 0;
  const auto answers = RunLoad(*fleet, plan, [&] {
    std::this_thread::sleep_for(kBurstDuration / 2);
    lost_at = ToBootMilliseconds(BootClock::now());
    fleet->Node(0).upstream_->Kill();
  });
  std::printf("%s, moves_per_minute = %d, %.0f requests/s:\n", scenario.name_.c_str(), moves, rate);
  PrintClasses(scenario, answers);
  const auto runs = fleet->Runs();
  std::printf(
      "  imbalance until the loss %.2f; doubled actions %zu; unavailable key-seconds %.1f\n",
      MeasuredImbalance(scenario, runs, start, lost_at), harness::CheckRunsOnce(runs).size(),
      UnavailableKeySeconds(*fleet));
  for (const auto& [reason, count] : OwnerChanges(*fleet)) {
    const auto before = changes_before.find(reason);
    const int burst = count - (before == changes_before.end() ? 0 : before->second);
    if (burst > 0) {
      std::printf("  changes of owner: %d, %s\n", burst, reason.c_str());
    }
  }
  std::fflush(stdout);
}

}  // namespace

/// The optional argument is the rate in requests/s; the default is 400.
int main(int argc, char** argv) {
  const double rate = argc > 1 ? std::atof(argv[1]) : 400;
  for (const Scenario& scenario : Scenarios()) {
    RunScenario(scenario, scenario.moves_per_minute_, rate);
    RunScenario(scenario, 0, rate);
  }
  return 0;
}

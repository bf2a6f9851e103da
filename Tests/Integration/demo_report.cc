#include "demo_report.h"

#include <algorithm>
#include <cstdio>
#include <limits>

namespace sassafrasbay::demo {
namespace {

using harness::AnswerRecord;
using harness::RunRecord;
using nlohmann::json;

constexpr std::int64_t kRecoveryTargetMs = 2000;
constexpr double kMemoryTargetMb = 64;

/// A key counts as unavailable during requests whose answer took longer than this.
constexpr double kLateAnswerLimitMs = 500;

constexpr std::int64_t kNever = std::numeric_limits<std::int64_t>::max();

std::map<std::string, json> SessionsByNode(const json& status) {
  std::map<std::string, json> sessions;
  for (const json& session : status.value("sessions", json::array())) {
    sessions[session.value("node", "")] = session;
  }
  return sessions;
}

int UnitsOf(const std::map<std::string, json>& sessions, const std::string& node) {
  const auto found = sessions.find(node);
  return found == sessions.end() ? 0 : found->second.value("units", 0);
}

void PrintOwners(const Recording& recording) {
  const auto before = SessionsByNode(recording.status_before_);
  const auto after = SessionsByNode(recording.status_after_);
  std::printf("\nUnits by node\n  %-20s %-16s %-14s %6s %6s\n", "node", "service", "data centre",
              "before", "after");
  for (const auto& [node, session] : before) {
    std::printf("  %-20s %-16s %-14s %6d %6d%s\n", node.c_str(),
                session.value("service", "").c_str(), session.value("data_centre", "").c_str(),
                UnitsOf(before, node), UnitsOf(after, node),
                node == recording.killed_node_ ? "  killed" : "");
  }
}

void PrintAnswers(const Recording& recording) {
  std::map<std::string, std::map<std::string, int>> counts;
  for (const AnswerRecord& answer : recording.answers_) {
    // Releases have one load class for each lot, named "release-shipment LOT".
    ++counts[answer.class_.substr(0, answer.class_.find(' '))][answer.outcome_];
  }
  std::printf("\nAnswers, after the caller's retries\n  %-20s %9s %9s %9s %9s\n", "class",
              "answered", "not-run", "unknown", "lost");
  for (auto& [name, outcomes] : counts) {
    std::printf("  %-20s %9d %9d %9d %9d\n", name.c_str(), outcomes["answered"],
                outcomes["not-run"], outcomes["unknown"], outcomes["lost"] + outcomes["missing"]);
  }
}

std::int64_t DueMs(const AnswerRecord& answer) {
  return answer.end_ms_ - static_cast<std::int64_t>(answer.latency_ms_);
}

/// Time from the loss until every lost key has been answered at least once; kNever when one of them
/// was not answered. Only requests that were due after the loss count, since an earlier one may
/// have been answered by the lost owner.
std::int64_t RecoveryMs(const Recording& recording) {
  std::map<std::string, std::int64_t> first_answers;
  for (const std::string& key : recording.lost_keys_) {
    first_answers[key] = kNever;
  }
  for (const AnswerRecord& answer : recording.answers_) {
    const auto found = first_answers.find(answer.key_);
    const bool counts = found != first_answers.end() && answer.outcome_ == "answered" &&
                        ServiceOfClass(answer.class_) == recording.killed_service_ &&
                        DueMs(answer) >= recording.killed_at_ms_;
    if (counts) {
      found->second = std::min(found->second, answer.end_ms_);
    }
  }
  std::int64_t last = first_answers.empty() ? kNever : recording.killed_at_ms_;
  for (const auto& [key, answered_at] : first_answers) {
    last = std::max(last, answered_at);
  }
  return last == kNever ? kNever : last - recording.killed_at_ms_;
}

/// Ratio of the maximum to the mean number of runs per upstream before the loss, by service.
std::map<std::string, double> Imbalances(const Recording& recording) {
  std::map<std::string, std::map<std::string, double>> loads;
  for (const auto& [node, session] : SessionsByNode(recording.status_before_)) {
    loads[session.value("service", "")][node] = 0;
  }
  for (const RunRecord& run : recording.runs_) {
    if (run.start_ms_ < recording.killed_at_ms_) {
      loads[run.service_][recording.node_of_port_.at(run.port_)] += 1;
    }
  }
  std::map<std::string, double> result;
  for (const auto& [service, nodes] : loads) {
    double sum = 0;
    double highest = 0;
    for (const auto& [node, runs] : nodes) {
      sum += runs;
      highest = std::max(highest, runs);
    }
    result[service] = sum > 0 ? highest * static_cast<double>(nodes.size()) / sum : 1;
  }
  return result;
}

/// Sum over all keys of the time covered by requests that were answered late or not at all.
double UnavailableKeySeconds(const Recording& recording) {
  using Interval = std::pair<std::int64_t, std::int64_t>;
  std::map<std::pair<std::string, std::string>, std::vector<Interval>> waits;
  for (const AnswerRecord& answer : recording.answers_) {
    if (answer.outcome_ != "answered" || answer.latency_ms_ > kLateAnswerLimitMs) {
      waits[{ServiceOfClass(answer.class_), answer.key_}].emplace_back(DueMs(answer),
                                                                       answer.end_ms_);
    }
  }
  std::int64_t total_ms = 0;
  for (auto& [key, intervals] : waits) {
    std::ranges::sort(intervals);
    std::int64_t covered_until = 0;
    for (const auto& [start, end] : intervals) {
      total_ms += std::max<std::int64_t>(0, end - std::max(start, covered_until));
      covered_until = std::max(covered_until, end);
    }
  }
  return static_cast<double>(total_ms) / 1000;
}

void PrintMeasures(const Recording& recording) {
  std::printf("\nMeasures\n");
  for (const auto& [service, imbalance] : Imbalances(recording)) {
    std::printf("  imbalance (max/mean load before the loss)  %-16s %.2f\n", service.c_str(),
                imbalance);
  }
  std::printf(
      "  ownership moves                            %.0f (the lost owner had %zu of the "
      "keys asked for)\n",
      recording.ownership_moves_, recording.lost_keys_.size());
  std::printf(
      "  unavailable key-seconds                    %.1f (requests without an answer, or "
      "with one after %.0f ms)\n",
      UnavailableKeySeconds(recording), kLateAnswerLimitMs);
}

bool PrintCheck(const char* claim, bool passed, const std::string& detail) {
  std::printf("  %-6s %s%s\n", passed ? "ok" : "FAILED", claim, detail.c_str());
  return passed;
}

bool PrintCheck(const char* claim, const harness::Violations& violations) {
  PrintCheck(claim, violations.empty(), "");
  for (const std::string& violation : violations) {
    std::printf("         %s\n", violation.c_str());
  }
  return violations.empty();
}

}  // namespace

std::string ServiceOfClass(const std::string& load_class) {
  if (load_class == "lens-lookup") {
    return "bench-lookups";
  }
  return load_class.starts_with("release-shipment") ? "clinic-dispatch" : "allotment";
}

bool PrintReport(const Recording& recording) {
  PrintOwners(recording);
  PrintAnswers(recording);
  PrintMeasures(recording);
  const std::int64_t recovery_ms = RecoveryMs(recording);
  const std::string recovery =
      recovery_ms == kNever ? ": never" : ": " + std::to_string(recovery_ms) + " ms";
  char memory[32];
  std::snprintf(memory, sizeof(memory), ": %.1f MB", recording.idle_memory_mb_);
  std::printf("\nVerdict\n");
  bool passed = PrintCheck("no id ran twice", harness::CheckRunsOnce(recording.runs_));
  passed &= PrintCheck("no request that was answered not-run ran",
                       harness::CheckNotRun(recording.runs_, recording.answers_));
  passed &= PrintCheck("every request that was answered ran",
                       harness::CheckAnsweredRan(recording.runs_, recording.answers_));
  passed &= PrintCheck("no two owners of a key overlapped",
                       harness::CheckOwnersExclusive(recording.runs_));
  passed &=
      PrintCheck("tokens never decreased", harness::CheckTokensNeverDecrease(recording.runs_));
  passed &= PrintCheck("the lost keys were answered again within 2000 ms",
                       recovery_ms <= kRecoveryTargetMs, recovery);
  PrintCheck("an idle node stays under 64 MB", recording.idle_memory_mb_ < kMemoryTargetMb, memory);
  std::printf("\n%s\n", passed ? "All checks passed." : "Some checks FAILED.");
  return passed;
}

}  // namespace sassafrasbay::demo

#include "harness/history.h"

#include <algorithm>
#include <fstream>
#include <functional>
#include <map>
#include <nlohmann/json.hpp>
#include <set>
#include <tuple>

namespace sassafrasbay::harness {
namespace {

using nlohmann::json;

constexpr std::size_t kMaxViolations = 20;

void Report(Violations& violations, std::string text) {
  if (violations.size() < kMaxViolations) {
    violations.push_back(std::move(text));
  }
}

std::vector<json> ReadLines(const std::filesystem::path& file) {
  std::vector<json> lines;
  std::ifstream stream(file);
  for (std::string line; std::getline(stream, line);) {
    json value = json::parse(line, nullptr, false);
    if (!value.is_discarded()) {
      lines.push_back(std::move(value));
    }
  }
  return lines;
}

std::string Describe(const RunRecord& run) {
  return "run " + run.run_ + " at upstream " + std::to_string(run.port_) + " (" + run.path_ +
         ", unit " + std::to_string(run.unit_) + ", token " + std::to_string(run.token_) + ", " +
         std::to_string(run.start_ms_) + " to " + std::to_string(run.end_ms_) + ")";
}

RunRecord ParseRun(const json& line) {
  RunRecord run;
  run.run_ = line.at("run");
  run.service_ = line.at("service");
  run.port_ = line.at("port");
  run.request_id_ = line.at("request_id");
  run.idempotency_key_ = line.at("idempotency_key");
  run.method_ = line.at("method");
  run.path_ = line.at("path");
  run.path_ = run.path_.substr(0, run.path_.find('?'));
  run.unit_ = line.at("unit");
  run.token_ = line.at("token");
  run.start_ms_ = line.at("start_ms");
  run.end_ms_ = run.start_ms_;
  return run;
}

// Returns "PID" of the run "PID-NUMBER".
std::string ProcessOf(const std::string& run) { return run.substr(0, run.find('-')); }

// Runs by service and group, in the order of their start.
using Groups = std::map<std::pair<std::string, std::string>, std::vector<const RunRecord*>>;

Groups GroupRuns(std::span<const RunRecord> runs,
                 const std::function<std::string(const RunRecord&)>& group_of) {
  Groups groups;
  for (const RunRecord& run : runs) {
    const std::string group = group_of(run);
    if (!group.empty()) {
      groups[{run.service_, group}].push_back(&run);
    }
  }
  for (auto& [group, members] : groups) {
    // Runs that started in the same millisecond can't be ordered by time; the token decides.
    std::ranges::sort(members, {},
                      [](const RunRecord* run) { return std::tuple(run->start_ms_, run->token_); });
  }
  return groups;
}

std::string UnitOf(const RunRecord& run) {
  return run.unit_ < 0 ? std::string() : std::to_string(run.unit_);
}

// `members` is sorted by start, so a run overlaps an earlier one exactly if that one ends after the
// run starts. It is therefore enough to keep the run with the latest end of each upstream.
void CheckGroupExclusive(const std::vector<const RunRecord*>& members, Violations& violations) {
  std::map<int, const RunRecord*> latest;
  for (const RunRecord* run : members) {
    for (const auto& [port, earlier] : latest) {
      if (port != run->port_ && earlier->end_ms_ > run->start_ms_) {
        Report(violations, Describe(*earlier) + " overlaps " + Describe(*run));
      }
    }
    const RunRecord*& own = latest[run->port_];
    if (own == nullptr || own->end_ms_ < run->end_ms_) {
      own = run;
    }
  }
}

}  // namespace

std::vector<RunRecord> ReadRuns(const std::filesystem::path& file) {
  std::vector<RunRecord> runs;
  std::map<std::string, std::int64_t> ends;
  std::map<std::string, std::int64_t> last_record_ms;
  for (const json& line : ReadLines(file)) {
    const std::string kind = line.at("kind");
    if (kind == "start") {
      runs.push_back(ParseRun(line));
      last_record_ms[ProcessOf(runs.back().run_)] = runs.back().start_ms_;
    } else if (kind == "end") {
      const std::string run = line.at("run");
      ends[run] = line.at("end_ms").get<std::int64_t>();
      last_record_ms[ProcessOf(run)] = ends[run];
    }
  }
  for (RunRecord& run : runs) {
    const auto end = ends.find(run.run_);
    run.end_ms_ = end == ends.end() ? last_record_ms[ProcessOf(run.run_)] : end->second;
  }
  return runs;
}

std::vector<AnswerRecord> ReadAnswers(const std::filesystem::path& file) {
  std::vector<AnswerRecord> answers;
  for (const json& line : ReadLines(file)) {
    AnswerRecord answer;
    answer.id_ = line.at("id");
    answer.key_ = line.at("key");
    answer.class_ = line.at("class");
    answer.binding_ = line.at("binding");
    answer.outcome_ = line.at("outcome");
    answer.status_ = line.at("status");
    answer.not_run_only_ = line.at("not_run_only");
    answer.body_ok_ = line.at("body_ok");
    answer.latency_ms_ = line.at("latency_ms");
    answer.end_ms_ = line.value("end_ms", answer.end_ms_);
    answers.push_back(std::move(answer));
  }
  return answers;
}

Violations CheckRunsOnce(std::span<const RunRecord> runs) {
  Violations violations;
  std::map<std::string, const RunRecord*> first;
  for (const RunRecord& run : runs) {
    if (run.idempotency_key_.empty()) {
      continue;
    }
    const auto [entry, inserted] = first.emplace(run.idempotency_key_, &run);
    if (!inserted) {
      Report(violations, run.idempotency_key_ + " ran twice: " + Describe(*entry->second) +
                             " and " + Describe(run));
    }
  }
  return violations;
}

Violations CheckNotRun(std::span<const RunRecord> runs, std::span<const AnswerRecord> answers) {
  std::map<std::string, const RunRecord*> ran;
  for (const RunRecord& run : runs) {
    ran.emplace(run.idempotency_key_, &run);
  }
  Violations violations;
  for (const AnswerRecord& answer : answers) {
    const auto run = ran.find(answer.id_);
    if (answer.not_run_only_ && run != ran.end()) {
      Report(violations, answer.id_ + " was answered not-run but ran: " + Describe(*run->second));
    }
  }
  return violations;
}

Violations CheckAnsweredRan(std::span<const RunRecord> runs,
                            std::span<const AnswerRecord> answers) {
  std::set<std::string> ran;
  for (const RunRecord& run : runs) {
    ran.insert(run.idempotency_key_);
  }
  Violations violations;
  for (const AnswerRecord& answer : answers) {
    const bool succeeded = answer.binding_ && answer.outcome_ == "answered" &&
                           answer.status_ >= 200 && answer.status_ < 300;
    if (succeeded && !ran.contains(answer.id_)) {
      Report(violations, answer.id_ + " was answered with status 2xx but never ran");
    }
  }
  return violations;
}

Violations CheckOwnersExclusive(std::span<const RunRecord> runs) {
  Violations violations;
  for (const auto& [unit, members] : GroupRuns(runs, UnitOf)) {
    CheckGroupExclusive(members, violations);
  }
  // A key that is split off its shard moves to another unit but must still have one owner at a
  // time.
  for (const auto& [path, members] :
       GroupRuns(runs, [](const RunRecord& run) { return run.path_; })) {
    CheckGroupExclusive(members, violations);
  }
  return violations;
}

Violations CheckTokensNeverDecrease(std::span<const RunRecord> runs) {
  Violations violations;
  for (const auto& [unit, members] : GroupRuns(runs, UnitOf)) {
    const RunRecord* previous = nullptr;
    for (const RunRecord* run : members) {
      if (previous != nullptr && run->token_ < previous->token_) {
        Report(violations,
               Describe(*run) + " has a lower token than the earlier " + Describe(*previous));
      } else {
        previous = run;
      }
    }
  }
  return violations;
}

}  // namespace sassafrasbay::harness

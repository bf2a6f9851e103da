#include "StandIns/load_report.h"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace sassafrasbay::stand_ins {
namespace {

using nlohmann::json;

constexpr std::size_t kMaxListedGaps = 10;

double Percentile(std::vector<double>& values, double fraction) {
  if (values.empty()) {
    return 0;
  }
  const auto index = static_cast<std::size_t>(fraction * static_cast<double>(values.size() - 1));
  std::nth_element(values.begin(), values.begin() + static_cast<std::ptrdiff_t>(index),
                   values.end());
  return values[index];
}

void UpdateMaxGap(KeyGap& gap, BootTime now) {
  if (gap.unanswered_) {
    const auto gap_length = std::chrono::duration_cast<milliseconds>(now - gap.started_);
    gap.max_gap_ = std::max(gap.max_gap_, gap_length);
  }
}

json ListMaxGaps(LoadReport& report, BootTime now) {
  std::vector<std::pair<milliseconds, std::string>> gaps;
  for (auto& [key, gap] : report.keys_) {
    UpdateMaxGap(gap, now);
    gaps.emplace_back(gap.max_gap_, key.first + " " + key.second);
  }
  std::ranges::sort(gaps, std::greater());
  json list = json::array();
  for (std::size_t index = 0; index < std::min(kMaxListedGaps, gaps.size()); ++index) {
    list.push_back({{"key", gaps[index].second}, {"gap_ms", gaps[index].first.count()}});
  }
  return list;
}

/// Sum of the maximum gap of each key. Gaps below the minimum count as ordinary latency.
double UnavailableKeySeconds(const LoadReport& report) {
  constexpr milliseconds kMinUnavailableGap{500};
  milliseconds sum{0};
  for (const auto& [key, gap] : report.keys_) {
    sum += gap.max_gap_ >= kMinUnavailableGap ? gap.max_gap_ : milliseconds(0);
  }
  return std::chrono::duration<double>(sum).count();
}

}  // namespace

void CountSent(LoadReport& report, const std::string& load_class, const std::string& key,
               BootTime now) {
  ++report.sent_;
  KeyGap& gap = report.keys_[{load_class, key}];
  ++gap.pending_requests_;
  if (!gap.unanswered_) {
    gap.unanswered_ = true;
    gap.started_ = now;
  }
}

void CountEnd(LoadReport& report, const LoadResult& result, BootTime now) {
  ++report.ended_;
  ClassReport& load_class = report.classes_[result.class_];
  ++load_class.outcomes_[result.outcome_];
  KeyGap& gap = report.keys_[{result.class_, result.key_}];
  --gap.pending_requests_;
  if (result.outcome_ != "answered") {
    return;  // The gap lasts until a request for the key is answered.
  }
  ++report.answered_;
  load_class.latencies_ms_.push_back(result.latency_ms_);
  if (result.status_ < 300 && !result.body_ok_) {
    ++load_class.wrong_bodies_;
  }
  UpdateMaxGap(gap, now);
  gap.unanswered_ = gap.pending_requests_ > 0;
  gap.started_ = now;
}

std::string ToJsonLine(const LoadResult& result) {
  const json line = {{"id", result.id_},
                     {"key", result.key_},
                     {"class", result.class_},
                     {"binding", result.binding_},
                     {"node", result.node_},
                     {"outcome", result.outcome_},
                     {"status", result.status_},
                     {"attempts", result.attempts_},
                     {"not_run_only", result.not_run_only_},
                     {"body_ok", result.body_ok_},
                     {"latency_ms", result.latency_ms_},
                     {"end_ms", result.end_ms_}};
  return line.dump() + "\n";
}

std::string Summarize(LoadReport& report, BootTime now) {
  json summary = {{"sent", report.sent_}, {"ended", report.ended_}, {"answered", report.answered_}};
  for (auto& [name, load_class] : report.classes_) {
    summary["classes"][name] = {{"outcomes", load_class.outcomes_},
                                {"wrong_bodies", load_class.wrong_bodies_},
                                {"p50_ms", Percentile(load_class.latencies_ms_, 0.5)},
                                {"p99_ms", Percentile(load_class.latencies_ms_, 0.99)}};
  }
  summary["longest_gaps"] = ListMaxGaps(report, now);
  summary["unavailable_key_seconds"] = UnavailableKeySeconds(report);
  return summary.dump(2);
}

}  // namespace sassafrasbay::stand_ins

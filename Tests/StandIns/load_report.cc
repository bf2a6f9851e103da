#include "StandIns/load_report.h"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace sassafrasbay::stand_ins {
namespace {

using nlohmann::json;

constexpr std::size_t kGapsListed = 10;

double Percentile(std::vector<double>& values, double part) {
  if (values.empty()) {
    return 0;
  }
  const auto index = static_cast<std::size_t>(part * static_cast<double>(values.size() - 1));
  std::nth_element(values.begin(), values.begin() + static_cast<std::ptrdiff_t>(index),
                   values.end());
  return values[index];
}

void CloseGap(KeyGap& gap, BootTime now) {
  if (gap.unanswered_) {
    const auto length = std::chrono::duration_cast<milliseconds>(now - gap.since_);
    gap.longest_ = std::max(gap.longest_, length);
  }
}

json LongestGaps(LoadReport& report, BootTime now) {
  std::vector<std::pair<milliseconds, std::string>> gaps;
  for (auto& [key, gap] : report.keys_) {
    CloseGap(gap, now);
    gaps.emplace_back(gap.longest_, key.first + " " + key.second);
  }
  std::ranges::sort(gaps, std::greater());
  json list = json::array();
  for (std::size_t index = 0; index < std::min(kGapsListed, gaps.size()); ++index) {
    list.push_back({{"key", gaps[index].second}, {"gap_ms", gaps[index].first.count()}});
  }
  return list;
}

/// Sum over the keys of the longest gap, without gaps that are ordinary latency.
double UnavailableKeySeconds(const LoadReport& report) {
  constexpr milliseconds kOrdinary{500};
  milliseconds sum{0};
  for (const auto& [key, gap] : report.keys_) {
    sum += gap.longest_ >= kOrdinary ? gap.longest_ : milliseconds(0);
  }
  return std::chrono::duration<double>(sum).count();
}

}  // namespace

void CountSent(LoadReport& report, const std::string& load_class, const std::string& key,
               BootTime now) {
  ++report.sent_;
  KeyGap& gap = report.keys_[{load_class, key}];
  ++gap.open_requests_;
  if (!gap.unanswered_) {
    gap.unanswered_ = true;
    gap.since_ = now;
  }
}

void CountEnd(LoadReport& report, const LoadResult& result, BootTime now) {
  ++report.ended_;
  ClassReport& load_class = report.classes_[result.class_];
  ++load_class.outcomes_[result.outcome_];
  KeyGap& gap = report.keys_[{result.class_, result.key_}];
  --gap.open_requests_;
  if (result.outcome_ != "answered") {
    return;  // The gap goes on until a request for the key is answered.
  }
  ++report.answered_;
  load_class.latencies_ms_.push_back(result.latency_ms_);
  if (result.status_ < 300 && !result.body_ok_) {
    ++load_class.wrong_bodies_;
  }
  CloseGap(gap, now);
  gap.unanswered_ = gap.open_requests_ > 0;
  gap.since_ = now;
}

std::string ToLine(const LoadResult& result) {
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
  summary["longest_gaps"] = LongestGaps(report, now);
  summary["unavailable_key_seconds"] = UnavailableKeySeconds(report);
  return summary.dump(2);
}

}  // namespace sassafrasbay::stand_ins

#include "LibCore/log_rate_bound.h"

#include <chrono>

namespace sassafrasbay {

LineDecision AdmitLine(LogRateLimiter& bound, std::string_view part, BootTime now) {
  LineDecision decision;
  const auto elapsed = std::chrono::floor<std::chrono::seconds>(now.time_since_epoch());
  // A thread that was preempted after reading the clock may arrive with an earlier second; its
  // line counts in the current one, so that no second gets a second allowance.
  if (elapsed.count() > bound.second_) {
    bound.second_ = elapsed.count();
    decision.suppressed_ = TakeSuppressedLines(bound);
  }
  auto entry = bound.parts_.find(part);
  if (entry == bound.parts_.end()) {
    entry = bound.parts_.emplace(part, LogRateLimiter::PartCount{}).first;
  }
  LogRateLimiter::PartCount& count = entry->second;
  decision.write_ = count.written_ < bound.lines_per_second_;
  if (decision.write_) {
    ++count.written_;
  } else {
    ++count.suppressed_;
  }
  return decision;
}

std::vector<SuppressedLines> TakeSuppressedLines(LogRateLimiter& bound) {
  std::vector<SuppressedLines> result;
  for (auto& [part, count] : bound.parts_) {
    if (count.suppressed_ > 0) {
      result.push_back({part, count.suppressed_});
    }
    count = {};
  }
  return result;
}

}  // namespace sassafrasbay

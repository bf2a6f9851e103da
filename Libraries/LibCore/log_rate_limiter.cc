#include "LibCore/log_rate_limiter.h"

#include <chrono>

namespace sassafrasbay {

LineDecision AdmitLine(LogRateLimiter& limiter, std::string_view part, BootTime now) {
  LineDecision decision;
  const auto elapsed = std::chrono::floor<std::chrono::seconds>(now.time_since_epoch());
  // A thread that was preempted after reading the clock may arrive with an earlier second; its
  // line counts in the current second, so that the limit of a second isn't applied twice.
  if (elapsed.count() > limiter.second_) {
    limiter.second_ = elapsed.count();
    decision.suppressed_ = TakeSuppressedLines(limiter);
  }
  auto entry = limiter.parts_.find(part);
  if (entry == limiter.parts_.end()) {
    entry = limiter.parts_.emplace(part, LogRateLimiter::PartCount{}).first;
  }
  LogRateLimiter::PartCount& count = entry->second;
  decision.write_ = count.written_ < limiter.lines_per_second_;
  if (decision.write_) {
    ++count.written_;
  } else {
    ++count.suppressed_;
  }
  return decision;
}

std::vector<SuppressedLines> TakeSuppressedLines(LogRateLimiter& limiter) {
  std::vector<SuppressedLines> result;
  for (auto& [part, count] : limiter.parts_) {
    if (count.suppressed_ > 0) {
      result.push_back({part, count.suppressed_});
    }
    count = {};
  }
  return result;
}

}  // namespace sassafrasbay

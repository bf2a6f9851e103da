#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "LibCore/clock.h"

namespace sassafrasbay {

/// Limits the log lines per second of each part of the program. Not thread-safe.
struct LogRateLimiter {
  struct PartCount {
    int written_ = 0;
    std::uint64_t suppressed_ = 0;
  };
  int lines_per_second_ = 0;
  std::int64_t second_ = 0;  ///< Second since boot to which the counts apply.
  std::map<std::string, PartCount, std::less<>> parts_;
};

/// Number of lines of one part that were suppressed in an earlier second.
struct SuppressedLines {
  std::string part_;
  std::uint64_t lines_ = 0;
};

struct LineDecision {
  bool write_ = false;
  std::vector<SuppressedLines> suppressed_;  ///< To be logged before the line.
};

/// Decides whether to write a line. The first line in a new second returns suppressed counts.
LineDecision AdmitLine(LogRateLimiter& limiter, std::string_view part, BootTime now);

/// Returns the suppressed counts that are not reported yet, and resets all counts.
std::vector<SuppressedLines> TakeSuppressedLines(LogRateLimiter& limiter);

}  // namespace sassafrasbay

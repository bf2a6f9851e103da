#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "LibCore/clock.h"

namespace sassafrasbay {

/// Bounds the lines per second of each part of the program. Not thread-safe.
struct LogRateLimiter {
  struct PartCount {
    int written_ = 0;
    std::uint64_t suppressed_ = 0;
  };
  int lines_per_second_ = 0;
  std::int64_t second_ = 0;  ///< Boot time in seconds that the counts belong to.
  std::map<std::string, PartCount, std::less<>> parts_;
};

/// Lines of one part that an earlier second suppressed.
struct SuppressedLines {
  std::string part_;
  std::uint64_t lines_ = 0;
};

struct LineDecision {
  bool write_ = false;
  std::vector<SuppressedLines> suppressed_;  ///< To be reported before the line.
};

/// Decides on one line. The first line of a new second, of any part, reports what was suppressed.
LineDecision AdmitLine(LogRateLimiter& bound, std::string_view part, BootTime now);

/// Returns what was suppressed and not yet reported, and clears all counts.
std::vector<SuppressedLines> TakeSuppressedLines(LogRateLimiter& bound);

}  // namespace sassafrasbay

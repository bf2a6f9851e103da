#include "router/echoed_clock.h"

namespace sassafrasbay {
namespace {

std::uint64_t Milliseconds(BootTime time) {
  return static_cast<std::uint64_t>(ToBootMilliseconds(time));
}

}  // namespace

std::optional<BootTime> EchoedTime(const NodeReport& report, std::string_view incarnation_id,
                                   BootTime now) {
  if (report.echoed_clock_ms_ == 0 || report.echoed_incarnation_ != incarnation_id ||
      report.echoed_clock_ms_ > Milliseconds(now)) {
    return std::nullopt;
  }
  return BootTime(milliseconds(report.echoed_clock_ms_));
}

std::optional<BootTime> TimeBefore(BootTime time, std::uint64_t age_ms) {
  if (age_ms > Milliseconds(time)) {
    return std::nullopt;
  }
  return time - milliseconds(age_ms);
}

}  // namespace sassafrasbay

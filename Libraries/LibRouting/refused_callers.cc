#include "LibRouting/refused_callers.h"

#include <algorithm>
#include <cstddef>

namespace sassafrasbay {
namespace {

/// Refusals that are remembered; 40 a second for 6 s would be 240.
constexpr std::size_t kMaxReturns = 1024;

/// Part of Retry-After after which a caller counts as having waited; timers of callers are rounded.
constexpr double kMinWaited = 0.75;

/// Added to twice the time of Retry-After, for the way to the caller and back.
constexpr milliseconds kReturnSlack{100};

void MakeRoom(RefusedCallers& callers, BootTime now) {
  std::erase_if(callers.returns_, [now](const auto& entry) { return entry.second.last_ < now; });
  if (callers.returns_.size() < kMaxReturns) {
    return;
  }
  callers.returns_.erase(std::min_element(
      callers.returns_.begin(), callers.returns_.end(),
      [](const auto& left, const auto& right) { return left.second.last_ < right.second.last_; }));
}

}  // namespace

void RecordRefused(RefusedCallers& callers, std::uint64_t fingerprint, BootTime now,
                   milliseconds retry_after) {
  MakeRoom(callers, now);
  const auto waited = std::chrono::duration_cast<BootTime::duration>(kMinWaited * retry_after);
  callers.returns_[fingerprint] = {now + waited, now + 2 * retry_after + kReturnSlack};
}

bool TakeReturn(RefusedCallers& callers, std::uint64_t fingerprint, BootTime now) {
  const auto found = callers.returns_.find(fingerprint);
  if (found == callers.returns_.end() || now < found->second.first_) {
    return false;
  }
  const bool in_time = now <= found->second.last_;
  callers.returns_.erase(found);
  return in_time;
}

}  // namespace sassafrasbay

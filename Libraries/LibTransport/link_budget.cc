#include "LibTransport/link_budget.h"

#include <algorithm>
#include <limits>

namespace sassafrasbay {
namespace {

/// Fraction of the rate that payload can use; the rest is for packet headers and acknowledgements.
constexpr double kPayloadFraction = 0.9;

/// Maximum delay that bulk data adds to a small message.
constexpr double kMaxBulkDelaySeconds = 0.02;

/// Minimum number of bytes to write at once, since each write costs a system call. A slow link
/// exceeds the maximum delay by their transfer time at most.
constexpr std::size_t kMinWriteBytes = 4U << 10U;

void Drain(LinkBudget& budget, BootTime now) {
  const double seconds = std::chrono::duration<double>(now - budget.updated_at_).count();
  budget.updated_at_ = now;
  budget.queued_bytes_ =
      std::max(0.0, budget.queued_bytes_ -
                        std::max(0.0, seconds) * kPayloadFraction * budget.bytes_per_second_);
}

}  // namespace

void CountSent(LinkBudget& budget, std::size_t bytes, BootTime now) {
  Drain(budget, now);
  budget.queued_bytes_ += static_cast<double>(bytes);
}

std::size_t BulkAllowance(LinkBudget& budget, BootTime now) {
  if (budget.bytes_per_second_ <= 0) {
    return std::numeric_limits<std::size_t>::max();
  }
  Drain(budget, now);
  const double max_queued = std::max(static_cast<double>(kMinWriteBytes),
                                     kMaxBulkDelaySeconds * budget.bytes_per_second_);
  const double allowance = max_queued - budget.queued_bytes_;
  return allowance < static_cast<double>(kMinWriteBytes) ? 0 : static_cast<std::size_t>(allowance);
}

}  // namespace sassafrasbay

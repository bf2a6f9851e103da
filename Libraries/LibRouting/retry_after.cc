#include "LibRouting/retry_after.h"

#include <algorithm>
#include <cmath>

namespace sassafrasbay {
namespace {

/// Callers wait no longer than this part of their time left, whatever the header says.
constexpr int kCallersWaitDivisor = 3;

}  // namespace

// If the bound is lower than the expected wait, the times are spread below the bound: callers that
// were refused together would come back together otherwise.
milliseconds SpreadRetryAfter(milliseconds expected_wait, milliseconds left, double sample) {
  const milliseconds wait = std::max(expected_wait, kMinRetryAfter);
  const milliseconds last =
      std::max(kMinRetryAfter, std::min(2 * wait, left / kCallersWaitDivisor));
  const milliseconds first = std::max(kMinRetryAfter, std::min(wait, last / 2));
  return first + milliseconds(std::llround(sample * static_cast<double>((last - first).count())));
}

}  // namespace sassafrasbay

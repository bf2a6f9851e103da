#pragma once

#include "LibCore/clock.h"

namespace sassafrasbay {

/// Minimum Retry-After in a refusal; the load changes little in less time.
inline constexpr milliseconds kMinRetryAfter{40};

/// Time after which a refused caller is to come back: between the expected wait and twice that, at
/// most a third of the time that the caller has left, and at least kMinRetryAfter. `sample` is
/// uniform in [0, 1).
milliseconds SpreadRetryAfter(milliseconds expected_wait, milliseconds left, double sample);

}  // namespace sassafrasbay

#pragma once

#include <cstdint>
#include <optional>

#include "LibCore/clock.h"

namespace sassafrasbay {

/// Token bucket for the rate of requests that an upstream names while it is in need. Without a
/// named rate it limits nothing.
struct RateLimit {
  std::optional<double> per_second_;  ///< Nothing while the upstream names no rate.
  double tokens_ = 0;                 ///< Negative when more was sent than the rate allows.
  BootTime refilled_at_{};
  /// Further bound on the tokens that are saved up; nothing for none. Ends with the rate.
  std::optional<double> max_burst_;
};

/// Sets the rate that the upstream names now; nothing when it names none any more. `running`
/// requests that were sent before a first rate was known count against it.
void SetRate(RateLimit& limit, std::optional<double> per_second, std::uint32_t running,
             BootTime now);

/// Takes a token. Returns false when there is none yet.
bool TakeToken(RateLimit& limit, BootTime now);

/// Returns a token of a request that doesn't count against the rate.
void ReturnToken(RateLimit& limit);

/// Time until `count` further tokens are there; 0 without a rate.
milliseconds TimeToTokens(const RateLimit& limit, double count, BootTime now);

}  // namespace sassafrasbay

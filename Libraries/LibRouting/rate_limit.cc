#include "LibRouting/rate_limit.h"

#include <algorithm>
#include <cmath>

namespace sassafrasbay {
namespace {

/// A lower rate is raised to this one, so that some requests show when the upstream recovers.
constexpr double kMinRatePerSecond = 1;

/// Tokens that may be saved up, as time at the named rate, and at least one. Clients' requests
/// don't come evenly.
constexpr milliseconds kBurstTime{250};

double Capacity(const RateLimit& limit, double per_second) {
  const double tokens =
      std::max(1.0, per_second * std::chrono::duration<double>(kBurstTime).count());
  return std::min(tokens, limit.max_burst_.value_or(tokens));
}

double TokensAt(const RateLimit& limit, BootTime now) {
  const double elapsed_s = std::chrono::duration<double>(now - limit.refilled_at_).count();
  return std::min(Capacity(limit, *limit.per_second_),
                  limit.tokens_ + elapsed_s * *limit.per_second_);
}

}  // namespace

void SetRate(RateLimit& limit, std::optional<double> per_second, std::uint32_t running,
             BootTime now) {
  if (!per_second) {
    limit = {};
    return;
  }
  const double rate = std::max(*per_second, kMinRatePerSecond);
  limit.tokens_ = limit.per_second_ ? std::min(TokensAt(limit, now), Capacity(limit, rate))
                                    : -static_cast<double>(running);
  limit.per_second_ = rate;
  limit.refilled_at_ = now;
}

bool TakeToken(RateLimit& limit, BootTime now) {
  if (!limit.per_second_) {
    return true;
  }
  limit.tokens_ = TokensAt(limit, now);
  limit.refilled_at_ = now;
  if (limit.tokens_ < 1) {
    return false;
  }
  limit.tokens_ -= 1;
  return true;
}

void ReturnToken(RateLimit& limit) {
  if (limit.per_second_) {
    limit.tokens_ = std::min(limit.tokens_ + 1, Capacity(limit, *limit.per_second_));
  }
}

milliseconds TimeToTokens(const RateLimit& limit, double count, BootTime now) {
  if (!limit.per_second_) {
    return milliseconds(0);
  }
  const double missing = count - TokensAt(limit, now);
  return milliseconds(static_cast<milliseconds::rep>(
      std::ceil(std::max(0.0, missing) * 1000 / *limit.per_second_)));
}

}  // namespace sassafrasbay

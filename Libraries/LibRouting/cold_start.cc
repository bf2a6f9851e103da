#include "LibRouting/cold_start.h"

#include <algorithm>

namespace sassafrasbay {
namespace {

/// Period over which a cold upstream counts its requests.
constexpr milliseconds kCountedPeriod{1000};

/// A heartbeat that arrives this soon after the evidence of a crash may have been sent before it.
constexpr milliseconds kMaxHeartbeatDelay{300};

/// Part of the tolerated excess that is used for bursts. The rest is for requests that the upstream
/// receives later than they were sent.
constexpr double kBurstFraction = 0.25;

double BurstOf(const ColdStartTerms& terms) { return std::max(1.0, kBurstFraction * terms.slack_); }

void DropOld(ColdStart& cold, BootTime now) {
  while (!cold.sent_.empty() && now - cold.sent_.front() >= kCountedPeriod) {
    cold.sent_.pop_front();
  }
}

// Requests of the last second count against the rate, so that no second that includes the change
// exceeds rate + burst. After a second without requests none of them can count any more, so that a
// longer debt would only leave the upstream idle. What an earlier process of this node sent isn't
// known, so the part of the second before this one counts as full.
double FirstTokens(const ColdStart& cold, const ColdStartTerms& terms, BootTime now) {
  const double left = BurstOf(terms) - static_cast<double>(cold.sent_.size());
  const std::chrono::duration<double> watched = now - cold.watched_since_.value_or(now);
  const double unknown = std::max(0.0, 1 - watched / kCountedPeriod);
  return std::min(std::max(left, -terms.per_second_), -unknown * terms.per_second_);
}

}  // namespace

void RecordColdReport(ColdStart& cold, BootTime until, BootTime received_at) {
  cold.reported_until_ = until;
  cold.reported_at_ = received_at;
  if (cold.stopped_at_ && received_at - *cold.stopped_at_ > kMaxHeartbeatDelay) {
    cold.stopped_at_.reset();
  }
}

void RecordUpstreamStop(ColdStart& cold, BootTime now) { cold.stopped_at_ = now; }

bool IsCold(const ColdStart& cold, const ColdStartTerms& terms, BootTime now) {
  return now < cold.reported_until_ ||
         (cold.stopped_at_ && now < *cold.stopped_at_ + terms.duration_);
}

void RecordSent(ColdStart& cold, BootTime now) {
  DropOld(cold, now);
  cold.sent_.push_back(now);
}

void RemoveSent(ColdStart& cold, RateLimit& limit, BootTime sent_at) {
  const auto found = std::find(cold.sent_.begin(), cold.sent_.end(), sent_at);
  if (found == cold.sent_.end()) {
    return;
  }
  cold.sent_.erase(found);
  // The debt for requests of before the limit is bounded, so they can't be deducted from it.
  if (cold.limited_since_ && sent_at >= *cold.limited_since_) {
    ReturnToken(limit);
  }
}

void ApplyLimits(ColdStart& cold, const std::optional<ColdStartTerms>& terms, RateLimit& limit,
                 std::optional<double> named_per_second, std::uint32_t running, BootTime now) {
  DropOld(cold, now);
  const bool is_cold = terms && IsCold(cold, *terms, now);
  std::optional<double> per_second = named_per_second;
  if (is_cold) {
    per_second = std::min(terms->per_second_, named_per_second.value_or(terms->per_second_));
  }
  const bool was_limited = limit.per_second_.has_value();
  limit.max_burst_ = is_cold ? std::optional(BurstOf(*terms)) : std::nullopt;
  SetRate(limit, per_second, running, now);
  if (is_cold && !cold.limited_since_) {
    cold.limited_since_ = now;
    const double tokens = FirstTokens(cold, *terms, now);
    limit.tokens_ = was_limited ? std::min(limit.tokens_, tokens) : tokens;
  }
  if (!is_cold) {
    cold.limited_since_.reset();
  }
}

}  // namespace sassafrasbay

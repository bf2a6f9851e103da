#pragma once

#include <cstdint>
#include <deque>
#include <optional>

#include "LibCore/clock.h"
#include "LibRouting/rate_limit.h"

namespace sassafrasbay {

/// How far the upstreams of a service may be loaded while they are cold.
struct ColdStartTerms {
  milliseconds duration_{0};  ///< Time for which an upstream is cold after its start.
  double per_second_ = 0;     ///< Requests a second, from all nodes together.
  double slack_ = 0;          ///< Requests above the rate that the upstream tolerates in a second.
};

/// What is known about whether one upstream is cold, and the load that it has got lately.
struct ColdStart {
  std::optional<BootTime> watched_since_;  ///< When this process first knew of the upstream.
  BootTime reported_at_{};                 ///< Receipt of the newest heartbeat.
  BootTime reported_until_{};              ///< End of the cold time by that heartbeat.
  std::optional<BootTime> stopped_at_;     ///< Latest evidence that an incarnation has ended.
  std::deque<BootTime> sent_;              ///< When requests were sent, for the last second.
  std::optional<BootTime> limited_since_;  ///< Set while the limit is in force.
};

/// Records the newest heartbeat: the upstream is cold until `until`.
void RecordColdReport(ColdStart& cold, BootTime until, BootTime received_at);

/// Records evidence that the upstream has crashed; it may run again before its next heartbeat.
void RecordUpstreamStop(ColdStart& cold, BootTime now);

/// Whether the upstream counts as cold.
bool IsCold(const ColdStart& cold, const ColdStartTerms& terms, BootTime now);

/// Records that a request was sent to the upstream.
void RecordSent(ColdStart& cold, BootTime now);

/// Removes a request that the upstream doesn't count or didn't get, sent at `sent_at`, from the
/// load, and returns its token if it has taken one of a cold upstream.
void RemoveSent(ColdStart& cold, RateLimit& limit, BootTime sent_at);

/// Sets the limit on the requests to the upstream: the lower one of the rate that it names, if any,
/// and that of a cold upstream. `running` is as for SetRate().
void ApplyLimits(ColdStart& cold, const std::optional<ColdStartTerms>& terms, RateLimit& limit,
                 std::optional<double> named_per_second, std::uint32_t running, BootTime now);

}  // namespace sassafrasbay

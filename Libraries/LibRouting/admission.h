#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string_view>
#include <vector>

#include "LibCore/clock.h"

namespace sassafrasbay {

struct AdmissionTerms {
  std::uint32_t slots_ = 20;  ///< Upper bound of the concurrency limit.
  std::uint32_t queue_length_ = 64;
  /// Duration of the ramp from a quarter of the slots to all of them.
  milliseconds cold_start_{2000};
};

/// A request that asks for admission.
struct WaitingRequest {
  std::uint64_t number_ = 0;
  int worth_ = 1;  ///< Requests of higher worth run first and are shed last.
  BootTime deadline_{};
};

/// Adaptive concurrency limit and priority queue in front of one upstream.
struct Admission {
  AdmissionTerms terms_;
  double limit_ = 0;
  std::uint32_t running_ = 0;
  BootTime started_at_{};
  double baseline_latency_ms_ = 0;     ///< Minimum of the service time; rises slowly.
  double latency_ms_ = 0;              ///< Smoothed service time.
  std::vector<WaitingRequest> queue_;  ///< By falling worth, then by rising deadline.
};

enum class AdmissionDecision { kRun, kQueue, kShed };

struct AdmissionVerdict {
  AdmissionDecision decision_ = AdmissionDecision::kShed;
  /// The queued request that is shed to make room for the new one, if any. The caller must answer
  /// it as not run.
  std::optional<std::uint64_t> shed_instead_;
  std::string_view reason_;
};

Admission MakeAdmission(const AdmissionTerms& terms, BootTime now);

/// Decides whether a new request runs, is queued or is shed. kRun counts it as running.
AdmissionVerdict Offer(Admission& admission, const WaitingRequest& request, BootTime now);

enum class ServiceResult { kCompleted, kRefused, kFailed };

/// Ends a running request and adapts the limit to its result.
void Release(Admission& admission, ServiceResult result, milliseconds service_time, BootTime now);

/// Removes the next request that can still meet its deadline from the queue and counts it as
/// running. Returns nothing while the limit is reached or no such request is queued.
std::optional<WaitingRequest> TakeNext(Admission& admission, BootTime now);

/// Removes queued requests that can't meet their deadline any more. The caller must answer them as
/// not run.
std::vector<WaitingRequest> TakeExpired(Admission& admission, BootTime now);

/// Removes a queued request, for example when its caller has disconnected. Returns false when it
/// isn't queued.
bool RemoveQueued(Admission& admission, std::uint64_t number);

/// Concurrency limit in force, between 1 and terms_.slots_.
std::uint32_t CurrentLimit(const Admission& admission, BootTime now);

}  // namespace sassafrasbay

#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string_view>
#include <vector>

#include "LibCore/clock.h"

namespace sassafrasbay {

struct AdmissionTerms {
  std::uint32_t slots_ = 20;  ///< Ceiling of the concurrency limit.
  std::uint32_t queue_length_ = 64;
  milliseconds cold_start_{2000};  ///< Time in which the limit ramps up from a quarter.
};

struct WaitingRequest {
  std::uint64_t number_ = 0;
  int worth_ = 1;
  BootTime deadline_{};
};

/// Concurrency limit and queue in front of one upstream.
struct Admission {
  AdmissionTerms terms_;
  double limit_ = 0;
  std::uint32_t running_ = 0;
  BootTime started_at_{};
  double baseline_latency_ms_ = 0;  ///< Slow-moving minimum of the service time.
  double latency_ms_ = 0;           ///< Smoothed service time.
  std::vector<WaitingRequest> queue_;
};

enum class AdmissionDecision { kRun, kQueue, kShed };

struct AdmissionVerdict {
  AdmissionDecision decision_ = AdmissionDecision::kShed;
  /// A queued request of less worth that gives way to the new one, to be answered as not run.
  std::optional<std::uint64_t> shed_instead_;
  std::string_view reason_;
};

Admission MakeAdmission(const AdmissionTerms& terms, BootTime now);

/// Decides on a new request. kRun counts it as running.
AdmissionVerdict Offer(Admission& admission, const WaitingRequest& request, BootTime now);

enum class ServiceResult { kCompleted, kRefused, kFailed };

/// A running request ended; adapts the limit.
void Release(Admission& admission, ServiceResult result, milliseconds service_time, BootTime now);

/// Takes the next queued request that may run now, counting it as running.
std::optional<WaitingRequest> TakeNext(Admission& admission, BootTime now);

/// Removes queued requests whose deadline can't be met any more; the caller gets not run.
std::vector<WaitingRequest> TakeExpired(Admission& admission, BootTime now);

/// Removes a queued request, for example when its caller left. False when it isn't queued.
bool RemoveQueued(Admission& admission, std::uint64_t number);

/// Limit in force, between 1 and terms_.slots_.
std::uint32_t CurrentLimit(const Admission& admission, BootTime now);

}  // namespace sassafrasbay

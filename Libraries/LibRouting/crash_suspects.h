#pragma once

#include <cstdint>
#include <map>
#include <span>
#include <vector>

#include "LibCore/clock.h"
#include "LibRouting/messages.h"

namespace sassafrasbay {

/// When requests that may crash upstreams are refused.
struct CrashSuspectTerms {
  /// Number of crashes from which on a request is refused.
  std::uint32_t crashes_to_refuse_ = 2;
  /// Time for which a suspect is kept after its last crash.
  milliseconds refusal_duration_{600'000};
  std::size_t capacity_ = 4096;  ///< Maximum number of suspects.
};

/// A request that was in flight when an upstream crashed.
struct CrashSuspect {
  std::uint32_t crashes_ = 0;  ///< Crashes during which it was in flight.
  BootTime last_crash_{};
};

/// Requests suspected of crashing upstreams, by fingerprint.
struct CrashSuspects {
  CrashSuspectTerms terms_;
  std::map<std::uint64_t, CrashSuspect> by_fingerprint_;
};

/// Records that an upstream crashed while these fingerprints were in flight. Returns the reports to
/// send to the other nodes.
std::vector<Suspect> RecordCrash(CrashSuspects& suspects, std::span<const std::uint64_t> in_flight,
                                 BootTime now);

/// Removes a suspect whose request has completed normally: it did not cause the crash.
void ClearSuspect(CrashSuspects& suspects, std::uint64_t fingerprint);

/// Merges a report of another node.
void Merge(CrashSuspects& suspects, const Suspect& report, BootTime now);

/// Whether the request was in flight during a crash within the refusal duration.
bool IsSuspect(const CrashSuspects& suspects, std::uint64_t fingerprint, BootTime now);
/// Whether the request was in flight during so many crashes that it must be refused.
bool IsRefused(const CrashSuspects& suspects, std::uint64_t fingerprint, BootTime now);
/// Removes the suspects whose last crash is older than the refusal duration.
void ExpireSuspects(CrashSuspects& suspects, BootTime now);

}  // namespace sassafrasbay

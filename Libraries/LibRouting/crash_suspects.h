#pragma once

#include <cstdint>
#include <map>
#include <span>
#include <vector>

#include "LibCore/clock.h"
#include "LibRouting/messages.h"

namespace sassafrasbay {

struct CrashSuspectTerms {
  std::uint32_t crashes_to_refuse_ = 2;
  milliseconds refusal_{600'000};
  std::size_t capacity_ = 4096;
};

struct CrashSuspect {
  std::uint32_t crashes_ = 0;
  BootTime last_crash_{};
};

struct CrashSuspects {
  CrashSuspectTerms terms_;
  std::map<std::uint64_t, CrashSuspect> by_fingerprint_;
};

/// An upstream crashed while these fingerprints were in flight. Returns what to tell other nodes.
std::vector<Suspect> RecordCrash(CrashSuspects& suspects, std::span<const std::uint64_t> in_flight,
                                 BootTime now);

/// A request completed normally although it is a suspect: it did not cause the crash.
void ClearSuspect(CrashSuspects& suspects, std::uint64_t fingerprint);

/// Merges what another node reported.
void Merge(CrashSuspects& suspects, const Suspect& report, BootTime now);

bool IsSuspect(const CrashSuspects& suspects, std::uint64_t fingerprint, BootTime now);
bool IsRefused(const CrashSuspects& suspects, std::uint64_t fingerprint, BootTime now);
void ExpireSuspects(CrashSuspects& suspects, BootTime now);

}  // namespace sassafrasbay

#include "LibRouting/crash_suspects.h"

#include <algorithm>

namespace sassafrasbay {
namespace {

bool IsCurrent(const CrashSuspects& suspects, const CrashSuspect& suspect, BootTime now) {
  return now - suspect.last_crash_ < suspects.terms_.refusal_duration_;
}

/// When the capacity is reached, removes expired suspects and then, as needed, those with the
/// fewest crashes; of equal ones the suspect with the oldest crash goes first.
void EvictIfFull(CrashSuspects& suspects, BootTime now) {
  if (suspects.by_fingerprint_.size() < suspects.terms_.capacity_) {
    return;
  }
  ExpireSuspects(suspects, now);
  while (!suspects.by_fingerprint_.empty() &&
         suspects.by_fingerprint_.size() >= suspects.terms_.capacity_) {
    suspects.by_fingerprint_.erase(
        std::min_element(suspects.by_fingerprint_.begin(), suspects.by_fingerprint_.end(),
                         [](const auto& left, const auto& right) {
                           return left.second.crashes_ != right.second.crashes_
                                      ? left.second.crashes_ < right.second.crashes_
                                      : left.second.last_crash_ < right.second.last_crash_;
                         }));
  }
}

/// Finds or adds the suspect of the fingerprint. The count starts at zero when it is new or
/// expired.
CrashSuspect& FindOrAdd(CrashSuspects& suspects, std::uint64_t fingerprint, BootTime now) {
  const auto found = suspects.by_fingerprint_.find(fingerprint);
  if (found != suspects.by_fingerprint_.end()) {
    if (!IsCurrent(suspects, found->second, now)) {
      found->second = CrashSuspect{};
    }
    return found->second;
  }
  EvictIfFull(suspects, now);
  return suspects.by_fingerprint_[fingerprint];
}

/// Finds the suspect of the fingerprint; null when there is none or it has expired.
const CrashSuspect* FindCurrent(const CrashSuspects& suspects, std::uint64_t fingerprint,
                                BootTime now) {
  const auto found = suspects.by_fingerprint_.find(fingerprint);
  return found != suspects.by_fingerprint_.end() && IsCurrent(suspects, found->second, now)
             ? &found->second
             : nullptr;
}

}  // namespace

std::vector<Suspect> RecordCrash(CrashSuspects& suspects, std::span<const std::uint64_t> in_flight,
                                 BootTime now) {
  // The same request may be in flight more than once, but one crash counts once for it.
  std::vector<std::uint64_t> fingerprints(in_flight.begin(), in_flight.end());
  std::sort(fingerprints.begin(), fingerprints.end());
  fingerprints.erase(std::unique(fingerprints.begin(), fingerprints.end()), fingerprints.end());
  std::vector<Suspect> reports;
  reports.reserve(fingerprints.size());
  for (const std::uint64_t fingerprint : fingerprints) {
    CrashSuspect& suspect = FindOrAdd(suspects, fingerprint, now);
    ++suspect.crashes_;
    suspect.last_crash_ = now;
    reports.push_back(Suspect{fingerprint, suspect.crashes_});
  }
  return reports;
}

void ClearSuspect(CrashSuspects& suspects, std::uint64_t fingerprint) {
  suspects.by_fingerprint_.erase(fingerprint);
}

void Merge(CrashSuspects& suspects, const Suspect& report, BootTime now) {
  // Takes the maximum rather than the sum: the same crash may be reported twice or by several
  // nodes.
  if (report.crashes_ == 0) {
    return;
  }
  CrashSuspect& suspect = FindOrAdd(suspects, report.fingerprint_, now);
  if (report.crashes_ > suspect.crashes_) {
    suspect.crashes_ = report.crashes_;
    suspect.last_crash_ = now;
  }
}

bool IsSuspect(const CrashSuspects& suspects, std::uint64_t fingerprint, BootTime now) {
  return FindCurrent(suspects, fingerprint, now) != nullptr;
}

bool IsRefused(const CrashSuspects& suspects, std::uint64_t fingerprint, BootTime now) {
  const CrashSuspect* suspect = FindCurrent(suspects, fingerprint, now);
  return suspect != nullptr && suspect->crashes_ >= suspects.terms_.crashes_to_refuse_;
}

void ExpireSuspects(CrashSuspects& suspects, BootTime now) {
  std::erase_if(suspects.by_fingerprint_,
                [&](const auto& item) { return !IsCurrent(suspects, item.second, now); });
}

}  // namespace sassafrasbay

#pragma once

#include <cstdint>
#include <unordered_map>

#include "LibCore/clock.h"

namespace sassafrasbay {

/// Requests that one node has refused with a time to come back, by their fingerprint. Each attempt
/// of a caller has an id of its own, so the id doesn't tell that a request has come back.
struct RefusedCallers {
  struct Return {
    BootTime first_{};  ///< The caller has waited from then on.
    BootTime last_{};
  };

  std::unordered_map<std::uint64_t, Return> returns_;
};

/// Remembers a refusal. The oldest are forgotten above a bound.
void RecordRefused(RefusedCallers& callers, std::uint64_t fingerprint, BootTime now,
                   milliseconds retry_after);

/// Whether the request was refused before and has come back when it was told to. It counts once.
bool TakeReturn(RefusedCallers& callers, std::uint64_t fingerprint, BootTime now);

}  // namespace sassafrasbay

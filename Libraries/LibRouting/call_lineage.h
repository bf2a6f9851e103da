#pragma once

#include "LibCore/clock.h"

namespace sassafrasbay {

/// A request that an upstream is running, as its calls inherit from it.
struct RunningRequest {
  int rank_ = 0;
  BootTime deadline_{};
};

/// What a request is worth and when: its rank and the times by which it is needed.
struct RequestTerms {
  int rank_ = 0;
  BootTime objective_{};
  BootTime deadline_{};
};

/// Terms of a call that `caller` makes: the more urgent of both ranks, and no time beyond the
/// deadline of the caller.
RequestTerms InheritTerms(const RequestTerms& call, const RunningRequest& caller);

}  // namespace sassafrasbay

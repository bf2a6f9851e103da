#include "LibRouting/call_lineage.h"

#include <algorithm>

namespace sassafrasbay {

// A response to the call after the deadline of its caller is of no use to anybody.
RequestTerms InheritTerms(const RequestTerms& call, const RunningRequest& caller) {
  return {std::min(call.rank_, caller.rank_), std::min(call.objective_, caller.deadline_),
          std::min(call.deadline_, caller.deadline_)};
}

}  // namespace sassafrasbay

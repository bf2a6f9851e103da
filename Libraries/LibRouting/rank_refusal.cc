#include "LibRouting/rank_refusal.h"

#include <algorithm>

namespace sassafrasbay {

bool AdmitsRank(const GateLoad& load, const ForwardedRequest& request) {
  return request.is_call_ || request.returned_ || !load.admitted_rank_ ||
         request.rank_ <= static_cast<std::int64_t>(*load.admitted_rank_);
}

RankDecision DecideByRank(const ForwardedRequest& request, std::span<const GateLoad> loads,
                          double sample) {
  if (loads.empty() || std::any_of(loads.begin(), loads.end(), [&](const GateLoad& load) {
        return AdmitsRank(load, request);
      })) {
    return RankDecision::kSend;
  }
  return sample < 1 / kRequestsPerRankProbe ? RankDecision::kProbe : RankDecision::kRefuse;
}

}  // namespace sassafrasbay

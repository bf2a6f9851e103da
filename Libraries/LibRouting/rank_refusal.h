#pragma once

#include <cstdint>
#include <span>

#include "LibRouting/node_messages.h"

namespace sassafrasbay {

/// One of so many requests is sent although its rank isn't admitted, to notice when it is again.
inline constexpr double kRequestsPerRankProbe = 10;

enum class RankDecision : std::uint8_t {
  kSend,
  kProbe,   ///< Send; the request stands for kRequestsPerRankProbe.
  kRefuse,  ///< Refuse at once; no upstream admits the rank.
};

/// Whether a gate with this load admits the request by its rank. Calls and requests that came back
/// are left to the gate, as is everything when the gate has stated no limit.
bool AdmitsRank(const GateLoad& load, const ForwardedRequest& request);

/// Decides at the node where a request began, by the loads of the gates that it may be sent to.
/// `sample` is uniform in [0, 1).
RankDecision DecideByRank(const ForwardedRequest& request, std::span<const GateLoad> loads,
                          double sample);

}  // namespace sassafrasbay

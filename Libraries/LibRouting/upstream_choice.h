#pragma once

#include <cstdint>
#include <optional>
#include <span>
#include <string>

namespace sassafrasbay {

/// An upstream that can run a request, as known to the choosing node.
struct UpstreamCandidate {
  std::string node_;         ///< Peer address of the node beside it.
  std::uint32_t slots_ = 1;  ///< At least 1.
  /// Running and waiting requests, including those that this node has sent since the last report.
  std::uint32_t outstanding_requests_ = 0;
  bool same_data_centre_ = false;
  bool failing_ = false;   ///< A high fraction of its recent requests failed or was rejected.
  double service_ms_ = 0;  ///< Service time of the class of the request; 0 when unknown.
};

/// Chooses the candidate with the lowest cost, which rises with the load relative to the slots and
/// the service time, and is higher for another data centre, recent failures and the lack of a free
/// slot. Returns its index, or nothing without candidates. `sample`, uniform in [0, 1), breaks
/// ties.
std::optional<std::size_t> ChooseUpstream(std::span<const UpstreamCandidate> candidates,
                                          double sample);

}  // namespace sassafrasbay

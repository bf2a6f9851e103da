#pragma once

#include <cstdint>
#include <optional>
#include <span>
#include <string>

namespace sassafrasbay {

/// One upstream that can run a request, as the choosing node sees it.
struct UpstreamCandidate {
  std::string node_;         ///< Peer address of the node beside it.
  std::uint32_t slots_ = 1;  ///< At least 1.
  std::uint32_t outstanding_requests_ =
      0;  ///< Slots in use and waiting requests, own open ones included.
  bool same_data_centre_ = false;
  bool failing_ = false;   ///< It failed or rejected most requests of late.
  double service_ms_ = 0;  ///< Time that it takes for requests of the class; 0 when unknown.
};

/// Index of the option with the most room; one in the same data centre, and one that takes less
/// time, is preferred while it has some. Nothing when there are no options. `sample`, uniform in
/// [0, 1), breaks ties.
std::optional<std::size_t> ChooseUpstream(std::span<const UpstreamCandidate> options,
                                          double sample);

}  // namespace sassafrasbay

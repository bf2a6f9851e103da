#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>
#include <string_view>

namespace sassafrasbay {

/// An upstream that can run a request, as known to the choosing node.
struct UpstreamCandidate {
  std::string_view node_;    ///< Peer address of the node beside it.
  std::uint32_t slots_ = 1;  ///< At least 1.
  double outstanding_ = 0;   ///< Requests that run and wait there, see EstimateLoad.
  bool same_data_centre_ = false;
  bool failing_ = false;   ///< A high fraction of its recent requests failed.
  double service_ms_ = 0;  ///< Service time of the class of the request; 0 when unknown.
  double known_ = 1;       ///< Fraction of outstanding_ that is known and not estimated.
  double slowness_ = 1;    ///< Of its work at present, relative to the service time.
};

/// Chooses a candidate at random, in proportion to its free slots and its speed. Other data centres
/// get requests when few slots are free in this one, failing upstreams when few are free elsewhere.
/// Without any free slot the probability is inverse to the expected wait. Returns the index, or
/// nothing without candidates. `sample` is uniform in [0, 1).
std::optional<std::size_t> ChooseUpstream(std::span<const UpstreamCandidate> candidates,
                                          double sample);

}  // namespace sassafrasbay

#pragma once

#include <cstddef>
#include <functional>
#include <map>
#include <string>
#include <string_view>

#include "LibCore/clock.h"

namespace sassafrasbay {

/// Responses of at least this size are bulk data: on a link of 10 Mbit/s one takes 13 ms or more.
inline constexpr std::size_t kBulkBytes = 16U << 10U;

/// What is known of the outgoing link of a VM and of the responses that it carries.
struct LinkLoad {
  double bytes_per_second_ = 0;  ///< Rate of the link; 0 when unknown, and nothing is refused.
  /// Smoothed size of the responses, in bytes, by class of requests.
  std::map<std::string, double, std::less<>> response_bytes_;
};

/// Times of a request that is to be admitted.
struct TransferTimes {
  double to_objective_ms_ = 0;  ///< At most 0 when the objective has passed.
  double to_deadline_ms_ = 0;
  double service_ms_ = 0;  ///< Expected service time; 0 when unknown.
};

/// Records the size of a response of the class.
void RecordResponse(LinkLoad& load, std::string_view request_class, std::size_t bytes);

/// Expected size of a bulk response of the class; 0 when its responses are small or unknown.
double ExpectedBulkBytes(const LinkLoad& load, std::string_view request_class);

/// Expected time in milliseconds until the link has carried `bytes` more.
double TransferMs(const LinkLoad& load, double bytes);

/// Whether the link is expected to carry the response of a request of the class early enough, with
/// `committed_bytes` of other bulk responses before it. Small responses always fit.
///
/// Load: more downloads than the link beside the upstream carries. Without a limit all of them
/// arrive late, and delay the calls that share the link.
bool FitsLink(const LinkLoad& load, std::string_view request_class, double committed_bytes,
              const TransferTimes& times);

}  // namespace sassafrasbay

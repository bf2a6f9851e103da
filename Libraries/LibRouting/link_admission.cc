#include "LibRouting/link_admission.h"

#include <algorithm>

namespace sassafrasbay {
namespace {

/// Weight of a new sample in the smoothed size of responses.
constexpr double kSampleWeight = 0.1;

/// Fraction of the rate that bulk data gets. The rest is for small messages and packet headers.
constexpr double kBulkFraction = 0.8;

/// Fraction of the time to the objective in which a response has to be expected; the rest is for
/// responses above the mean size.
constexpr double kObjectiveFraction = 0.8;

/// The same for a request whose objective has passed, of the time to its deadline. It is low,
/// since a late response is worth less than that of the request which it would delay.
constexpr double kDeadlineFraction = 0.3;

}  // namespace

void RecordResponse(LinkLoad& load, std::string_view request_class, std::size_t bytes) {
  const auto sample = static_cast<double>(bytes);
  const auto found = load.response_bytes_.find(request_class);
  if (found == load.response_bytes_.end()) {
    load.response_bytes_.emplace(request_class, sample);
    return;
  }
  found->second += kSampleWeight * (sample - found->second);
}

double ExpectedBulkBytes(const LinkLoad& load, std::string_view request_class) {
  const auto found = load.response_bytes_.find(request_class);
  return found == load.response_bytes_.end() || found->second < static_cast<double>(kBulkBytes)
             ? 0
             : found->second;
}

double TransferMs(const LinkLoad& load, double bytes) {
  constexpr double kMillisecondsPerSecond = 1000;
  return load.bytes_per_second_ <= 0
             ? 0
             : kMillisecondsPerSecond * bytes / (kBulkFraction * load.bytes_per_second_);
}

bool FitsLink(const LinkLoad& load, std::string_view request_class, double committed_bytes,
              const TransferTimes& times) {
  const double bytes = ExpectedBulkBytes(load, request_class);
  if (bytes <= 0 || load.bytes_per_second_ <= 0) {
    return true;
  }
  const double expected_ms = times.service_ms_ + TransferMs(load, committed_bytes + bytes);
  if (committed_bytes <= 0) {
    return expected_ms < times.to_deadline_ms_;
  }
  return expected_ms <=
         std::max(kObjectiveFraction * times.to_objective_ms_,
                  times.to_objective_ms_ > 0 ? 0.0 : kDeadlineFraction * times.to_deadline_ms_);
}

}  // namespace sassafrasbay

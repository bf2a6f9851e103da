#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "LibCore/clock.h"

namespace sassafrasbay::stand_ins {

/// Result of one request after all its attempts.
struct LoadResult {
  std::string id_;
  std::string key_;
  std::string class_;
  bool binding_ = false;
  std::string node_;     ///< Node of the last attempt.
  std::string outcome_;  ///< Outcome header of the last attempt; "lost" without a response,
                         ///< "missing" without the header.
  int status_ = 0;
  int attempts_ = 0;
  bool not_run_only_ = false;  ///< Every attempt was answered not-run.
  bool body_ok_ = false;       ///< The body is complete and belongs to the request.
  double latency_ms_ = 0;      ///< Measured from the time at which the request was due.
  std::int64_t end_ms_ = 0;    ///< CLOCK_BOOTTIME.
};

/// Time for which the requests for a key have gone unanswered.
struct KeyGap {
  std::uint64_t pending_requests_ = 0;
  bool unanswered_ = false;
  BootTime started_;
  milliseconds max_gap_{0};
};

struct ClassReport {
  std::map<std::string, std::uint64_t> outcomes_;
  std::uint64_t wrong_bodies_ = 0;    ///< Answered with 2xx but with another request's body.
  std::vector<double> latencies_ms_;  ///< Of answered requests.
};

struct LoadReport {
  std::map<std::string, ClassReport> classes_;
  std::map<std::pair<std::string, std::string>, KeyGap> keys_;  ///< By class and key.
  std::uint64_t sent_ = 0;
  std::uint64_t ended_ = 0;
  std::uint64_t answered_ = 0;
};

void CountSent(LoadReport& report, const std::string& load_class, const std::string& key,
               BootTime now);
void CountEnd(LoadReport& report, const LoadResult& result, BootTime now);

/// Returns the result as one line of JSON that ends in a line feed.
std::string ToJsonLine(const LoadResult& result);

/// Returns JSON with the outcomes and latency percentiles of each class and the keys with the
/// longest gaps.
std::string Summarize(LoadReport& report, BootTime now);

}  // namespace sassafrasbay::stand_ins

#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "LibCore/clock.h"

namespace sassafrasbay::stand_ins {

/// The end of one request after all its attempts.
struct LoadResult {
  std::string id_;
  std::string key_;
  std::string class_;
  bool binding_ = false;
  std::string node_;     ///< Of the last attempt.
  std::string outcome_;  ///< Header of the last attempt; "lost" without an answer, "missing"
                         ///< without the header.
  int status_ = 0;
  int attempts_ = 0;
  bool not_run_only_ = false;  ///< Every attempt was answered not-run.
  bool body_ok_ = false;       ///< The body is whole and belongs to the request.
  double latency_ms_ = 0;      ///< From the time at which the request was due.
  std::int64_t end_ms_ = 0;    ///< CLOCK_BOOTTIME.
};

/// Since when a key has been asked for without an answer.
struct KeyGap {
  std::uint64_t open_requests_ = 0;
  bool unanswered_ = false;
  BootTime since_;
  milliseconds longest_{0};
};

struct ClassReport {
  std::map<std::string, std::uint64_t> outcomes_;
  std::uint64_t wrong_bodies_ = 0;    ///< Answered with 2xx and a body of another request.
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

/// One line of JSON, with a line feed.
std::string ToLine(const LoadResult& result);

/// JSON: answers by class and outcome, percentiles, the longest gaps.
std::string Summarize(LoadReport& report, BootTime now);

}  // namespace sassafrasbay::stand_ins

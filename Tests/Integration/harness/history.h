#pragma once

#include <cstdint>
#include <filesystem>
#include <optional>
#include <span>
#include <string>
#include <vector>

namespace sassafrasbay::harness {

/// One run of a request by an upstream stand-in, from its record file.
struct RunRecord {
  std::string run_;  ///< Process id and number, unique in a history.
  std::string service_;
  int port_ = 0;  ///< Names the upstream.
  std::string request_id_;
  std::string idempotency_key_;
  std::string method_;
  std::string path_;        ///< Without the query.
  std::int64_t unit_ = -1;  ///< -1 when the request named none.
  std::int64_t token_ = -1;
  std::int64_t start_ms_ = 0;  ///< CLOCK_BOOTTIME.
  /// When the record of the end is missing, the time of the last record of the same process, which
  /// certainly lived until then.
  std::int64_t end_ms_ = 0;
};

/// The final answer to one request of a caller.
struct AnswerRecord {
  std::string id_;  ///< Idempotency key, or any unique id.
  std::string key_;
  std::string class_;
  bool binding_ = false;
  std::string
      outcome_;  ///< Of the last attempt; "lost" without an answer, "missing" without the header.
  int status_ = 0;
  bool not_run_only_ = false;  ///< Every attempt was answered not-run.
  bool body_ok_ = false;       ///< The body is whole and belongs to the request.
  double latency_ms_ = 0;
  std::int64_t end_ms_ = 0;  ///< CLOCK_BOOTTIME.
};

/// Reads a record file of an upstream stand-in; a last line that was cut off is ignored.
std::vector<RunRecord> ReadRuns(const std::filesystem::path& file);

/// Reads the answers that the load generator wrote.
std::vector<AnswerRecord> ReadAnswers(const std::filesystem::path& file);

/// The checkers return one sentence for each violation, at most 20.
using Violations = std::vector<std::string>;

/// Invariant 5: no idempotency key ran twice.
Violations CheckRunsOnce(std::span<const RunRecord> runs);

/// Invariant 4: no request that was only ever answered not-run ran.
Violations CheckNotRun(std::span<const RunRecord> runs, std::span<const AnswerRecord> answers);

/// Invariant 2: every binding request that was answered with status 2xx ran.
Violations CheckAnsweredRan(std::span<const RunRecord> runs, std::span<const AnswerRecord> answers);

/// Invariant 1: runs of two upstreams for the same unit, or for the same path, never overlap in
/// time.
Violations CheckOwnersExclusive(std::span<const RunRecord> runs);

/// Invariant 1: the tokens of the runs of a unit never decrease.
Violations CheckTokensNeverDecrease(std::span<const RunRecord> runs);

}  // namespace sassafrasbay::harness

#pragma once

#include <cstdint>
#include <filesystem>
#include <optional>
#include <span>
#include <string>
#include <vector>

namespace sassafrasbay::harness {

/// The execution ("run") of a request by an upstream stand-in, read from its record file.
struct RunRecord {
  std::string run_;  ///< "PID-NUMBER", unique in a history.
  std::string service_;
  int port_ = 0;  ///< Port of the upstream, which identifies it.
  std::string request_id_;
  std::string idempotency_key_;
  std::string method_;
  std::string path_;        ///< Without the query string.
  std::int64_t unit_ = -1;  ///< -1 when the request carried no unit.
  std::int64_t token_ = -1;
  std::int64_t start_ms_ = 0;  ///< CLOCK_BOOTTIME.
  /// CLOCK_BOOTTIME. When the end was not recorded, the time of the last record of the same
  /// process, which is a lower bound: the process was alive then.
  std::int64_t end_ms_ = 0;
};

/// The final answer to one request of a caller.
struct AnswerRecord {
  std::string id_;  ///< Idempotency key, or any unique id.
  std::string key_;
  std::string class_;
  bool binding_ = false;
  /// Outcome of the last attempt; "lost" without a response, "missing" without the outcome header.
  std::string outcome_;
  int status_ = 0;
  bool not_run_only_ = false;  ///< Every attempt was answered not-run.
  bool body_ok_ = false;       ///< The body is complete and belongs to the request.
  double latency_ms_ = 0;
  std::int64_t end_ms_ = 0;  ///< CLOCK_BOOTTIME.
};

/// Reads a record file of an upstream stand-in. Lines that are not valid JSON, such as a truncated
/// last line, are skipped.
std::vector<RunRecord> ReadRuns(const std::filesystem::path& file);

/// Reads the output file of the load generator.
std::vector<AnswerRecord> ReadAnswers(const std::filesystem::path& file);

/// Descriptions of violations of an invariant. Each check returns at most 20.
using Violations = std::vector<std::string>;

/// Invariant 5: no request with an idempotency key runs twice.
Violations CheckRunsOnce(std::span<const RunRecord> runs);

/// Invariant 4: a request whose every attempt was answered not-run never runs.
Violations CheckNotRun(std::span<const RunRecord> runs, std::span<const AnswerRecord> answers);

/// Invariant 2: every binding request that was answered with status 2xx has run.
Violations CheckAnsweredRan(std::span<const RunRecord> runs, std::span<const AnswerRecord> answers);

/// Invariant 1: runs at two upstreams for the same unit, or for the same path, never overlap in
/// time.
Violations CheckOwnersExclusive(std::span<const RunRecord> runs);

/// Invariant 1: the tokens of successive runs of a unit never decrease.
Violations CheckTokensNeverDecrease(std::span<const RunRecord> runs);

}  // namespace sassafrasbay::harness

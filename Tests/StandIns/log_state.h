#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include "LibCore/http_message.h"
#include "LibTransport/http_server.h"
#include "LibTransport/reactor_loop.h"

namespace sassafrasbay::stand_ins {

struct LogFaults {
  bool outage_ = false;  ///< Answers every call with 503.
  std::int64_t slow_ms_ = 0;
  std::int64_t lose_answers_ =
      0;  ///< Number of appends that take effect but are answered with 500.
  std::int64_t delay_effect_ms_ =
      0;  ///< Delay after which appends, answered at once with 504, take effect.
  std::uint64_t retain_ = 0;  ///< Number of records retained for readers; 0 retains all.
};

struct LogEntry {
  std::string bytes_;
  std::int64_t time_ms_ = 0;  ///< CLOCK_BOOTTIME at which the append took effect.
};

/// A long poll that waits for the first record at or after `from_`.
struct WaitingRead {
  std::shared_ptr<HttpExchange> exchange_;
  std::uint64_t from_ = 0;
  std::uint64_t max_ = 0;
  ReactorLoop::TimerId timer_ = 0;
};

/// The log and its faults. The offset of a record is its index in `entries_`. Records before
/// `first_` are no longer served to readers; they are kept for the tests' assertions.
struct LogState {
  std::vector<LogEntry> entries_;
  std::uint64_t first_ = 0;
  LogFaults faults_;
  std::vector<WaitingRead> waiting_;
};

/// Appends a record and applies retention. Returns its offset.
std::uint64_t AppendRecord(LogState& state, std::string bytes);

/// Returns the answer to a read: up to `max` records in CBOR, 410 with the first retained offset
/// when `from` is before it, or 400 when `from` is beyond the end.
HttpResponse ReadRecords(const LogState& state, std::uint64_t from, std::uint64_t max);

/// Changes the faults that the JSON object names and leaves the others. Errors: kMalformed.
Result<void> SetLogFaults(LogState& state, std::string_view text);

/// Returns a JSON list of all appended records, retained or not: offset, bytes in hexadecimal,
/// time.
std::string DumpRecords(const LogState& state);

}  // namespace sassafrasbay::stand_ins

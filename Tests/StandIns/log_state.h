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
  bool outage_ = false;  ///< Every call is answered with 503.
  std::int64_t slow_ms_ = 0;
  std::int64_t lose_answers_ = 0;     ///< Appends that take effect and are answered with 500.
  std::int64_t delay_effect_ms_ = 0;  ///< Appends are answered with 504 and take effect later.
  std::uint64_t retain_ = 0;          ///< Records kept; 0 keeps all.
};

struct LogEntry {
  std::string bytes_;
  std::int64_t time_ms_ = 0;  ///< CLOCK_BOOTTIME of the effect.
};

/// A read that waits for the first record at or after `from_`.
struct WaitingRead {
  std::shared_ptr<HttpExchange> exchange_;
  std::uint64_t from_ = 0;
  std::uint64_t max_ = 0;
  ReactorLoop::TimerId timer_ = 0;
};

/// The log and its faults. The offset of a record is its index; records before first_ are no longer
/// retained for readers and are kept for assertions only.
struct LogState {
  std::vector<LogEntry> entries_;
  std::uint64_t first_ = 0;
  LogFaults faults_;
  std::vector<WaitingRead> waiting_;
};

/// Appends a record and applies retention. Returns its offset.
std::uint64_t AppendRecord(LogState& state, std::string bytes);

/// Answer to a read: 410 with the first retained offset, 400 beyond the end, or up to `max` records
/// in CBOR.
HttpResponse ReadRecords(const LogState& state, std::uint64_t from, std::uint64_t max);

/// Changes the faults that the JSON object names. Errors: kMalformed.
Result<void> SetLogFaults(LogState& state, std::string_view text);

/// JSON list of every append ever made: offset, bytes in hexadecimal, time.
std::string DumpRecords(const LogState& state);

}  // namespace sassafrasbay::stand_ins

#pragma once

#include <cstdint>
#include <functional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "LibCore/clock.h"
#include "LibCore/error.h"
#include "LibTransport/http_client.h"

namespace sassafrasbay {

/// Records returned by one read.
struct LogBatch {
  std::uint64_t first_ = 0;                                     ///< First retained offset.
  std::uint64_t next_ = 0;                                      ///< Offset to read from next.
  std::vector<std::pair<std::uint64_t, std::string>> records_;  ///< Offset and bytes, ascending.
};

/// Range of the retained records.
struct LogOffsets {
  std::uint64_t first_ = 0;  ///< First retained offset.
  std::uint64_t next_ = 0;   ///< Offset of the next appended record.
};

/// Client of the append-only log service.
class LogClient {
 public:
  LogClient(HttpClient& client, std::string url);

  /// Appends a record and returns its offset. After an error the record may have been appended.
  void Append(std::string record, milliseconds timeout,
              std::function<void(Result<std::uint64_t>)> callback);

  /// Reads records from offset `from` on; waits up to `wait` for the first one. Errors: kTruncated
  /// when `from` is no longer retained (the detail is the first retained offset in decimal).
  void Read(std::uint64_t from, milliseconds wait, std::size_t max_records,
            std::function<void(Result<LogBatch>)> callback);

  void Offsets(milliseconds timeout, std::function<void(Result<LogOffsets>)> callback);

 private:
  HttpClient& client_;
  std::string url_;
};

}  // namespace sassafrasbay

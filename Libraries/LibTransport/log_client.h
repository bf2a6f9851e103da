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

struct LogBatch {
  std::uint64_t first_ = 0;                                     ///< First retained offset.
  std::uint64_t next_ = 0;                                      ///< Offset to read from next.
  std::vector<std::pair<std::uint64_t, std::string>> records_;  ///< Offset and bytes, ascending.
};

struct LogOffsets {
  std::uint64_t first_ = 0;
  std::uint64_t next_ = 0;
};

/// Client of the platform's append-only log.
class LogClient {
 public:
  LogClient(HttpClient& client, std::string url);

  /// The offset of the record. An error doesn't mean that the append had no effect.
  void Append(std::string record, milliseconds timeout,
              std::function<void(Result<std::uint64_t>)> callback);

  /// Records from `from` on, waiting up to `wait` for the first one. Errors: kTruncated when `from`
  /// is no longer retained (detail holds the first retained offset in decimal).
  void Read(std::uint64_t from, milliseconds wait, std::size_t max_records,
            std::function<void(Result<LogBatch>)> callback);

  void Offsets(milliseconds timeout, std::function<void(Result<LogOffsets>)> callback);

 private:
  HttpClient& client_;
  std::string url_;
};

}  // namespace sassafrasbay

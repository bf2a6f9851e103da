#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "LibCore/clock.h"
#include "LibCore/error.h"

namespace sassafrasbay {

/// One record of a keyed topic. An empty value removes the key.
struct KeyedRecord {
  std::uint64_t offset_ = 0;  ///< Not used in appends.
  std::string key_;
  std::string value_;
};

struct RecordBatch {
  std::uint64_t end_ = 0;  ///< Offset of the next record to be appended to the topic.
  std::vector<KeyedRecord> records_;
};

/// The platform's durable store. A topic consists of keyed records; the newest record of each key
/// is retained.
class RecordStore {
 public:
  virtual ~RecordStore() = default;

  /// Appends one record and returns its offset. With `at`, the record is appended only if the topic
  /// ends at that offset; otherwise the error is kConflict. The error kUnavailable means that the
  /// append has no effect. After any other error, the append may have taken effect or may still do
  /// so.
  virtual void Append(std::string_view topic, const KeyedRecord& record,
                      std::optional<std::uint64_t> at,
                      std::function<void(Result<std::uint64_t>)> callback) = 0;

  /// Reads records from offset `from` on, and waits up to `wait` for the first one. Errors:
  /// kTruncated when `from` is no longer retained.
  virtual void Read(std::string_view topic, std::uint64_t from, milliseconds wait,
                    std::function<void(Result<RecordBatch>)> callback) = 0;

  /// Reads the newest record of each key. Records appended during the call may be missing. The end
  /// in the result is the end of the topic before the call, so a Read() from there returns them.
  virtual void ReadNewestRecords(std::string_view topic,
                                 std::function<void(Result<RecordBatch>)> callback) = 0;
};

}  // namespace sassafrasbay

#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "LibCore/clock.h"
#include "LibCore/error.h"
#include "LibCore/topic_position.h"

namespace sassafrasbay {

/// One record of a keyed topic. An empty value removes the key.
struct KeyedRecord {
  std::uint64_t offset_ = 0;  ///< Not used in appends.
  std::string key_;
  std::string value_;
};

struct RecordBatch {
  std::uint64_t era_ = 0;  ///< History that the records belong to.
  std::uint64_t end_ = 0;  ///< Offset of the next record to be appended to the topic.
  std::vector<KeyedRecord> records_;
};

/// How long a read may take.
struct ReadLimits {
  milliseconds wait_{0};  ///< Time that the store waits for the first record.
  /// Further time without a byte of the answer after which the read has failed.
  milliseconds stall_timeout_{0};
};

/// The platform's durable store. A topic consists of keyed records; the newest record of each key
/// is retained.
class RecordStore {
 public:
  virtual ~RecordStore() = default;

  /// Appends the records, all or none, and returns the position of the first one. With `at`, they
  /// are appended only if the topic ends at that offset, in whatever era; otherwise the error is
  /// kConflict. The error kUnavailable means that the append has no effect. After any other error,
  /// the append may have taken effect or may still do so, also in a later era.
  virtual void Append(std::string_view topic, std::span<const KeyedRecord> records,
                      std::optional<std::uint64_t> at,
                      std::function<void(Result<TopicPosition>)> callback) = 0;

  /// Reads records from offset `from` on. Errors: kTruncated when `from` is no longer retained.
  virtual void Read(std::string_view topic, std::uint64_t from, const ReadLimits& limits,
                    std::function<void(Result<RecordBatch>)> callback) = 0;

  /// Reads the newest record of each key. Records appended during the call may be missing. The end
  /// in the result is the end of the topic before the call, so a Read() from there returns them.
  /// The error kConnectionLost is also that of a store which was restored during the call.
  virtual void ReadNewestRecords(std::string_view topic, milliseconds stall_timeout,
                                 std::function<void(Result<RecordBatch>)> callback) = 0;
};

}  // namespace sassafrasbay

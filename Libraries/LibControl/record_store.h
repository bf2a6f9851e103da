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
  std::uint64_t end_ = 0;  ///< Offset that the next record of the topic gets.
  std::vector<KeyedRecord> records_;
};

/// The platform's durable store: topics of keyed records, of which the newest of each key is kept.
class RecordStore {
 public:
  virtual ~RecordStore() = default;

  /// Appends one record. With `at`, only if the topic ends at that offset; otherwise the result is
  /// kConflict. The result is the offset of the record. Other errors leave open whether the append
  /// has taken or will take effect, except kUnavailable, which says that it won't.
  virtual void Append(std::string_view topic, const KeyedRecord& record,
                      std::optional<std::uint64_t> at,
                      std::function<void(Result<std::uint64_t>)> callback) = 0;

  /// Records from `from` on, waiting up to `wait` for the first one. Errors: kTruncated when `from`
  /// is no longer retained.
  virtual void Read(std::string_view topic, std::uint64_t from, milliseconds wait,
                    std::function<void(Result<RecordBatch>)> callback) = 0;

  /// The newest record of each key. Records appended while this runs may be missing; the end in the
  /// result is the one before it began, so that reading on from there finds them.
  virtual void ReadNewestRecords(std::string_view topic,
                                 std::function<void(Result<RecordBatch>)> callback) = 0;
};

}  // namespace sassafrasbay

#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <random>
#include <span>
#include <string_view>
#include <vector>

#include "LibControl/record_store.h"
#include "LibOwnership/history_settlement.h"

namespace sassafrasbay {

/// A store in simulated time. Appends are answered, refused, lost before or after they take effect,
/// or take effect late. It may be restored from an older copy; late appends go on then.
class ModelStore final : public RecordStore {
 public:
  explicit ModelStore(std::mt19937_64& random) : random_(random) {}

  void Append(std::string_view topic, std::span<const KeyedRecord> records,
              std::optional<std::uint64_t> at,
              std::function<void(Result<TopicPosition>)> callback) override;
  void Read(std::string_view, std::uint64_t, const ReadLimits&,
            std::function<void(Result<RecordBatch>)>) override {}
  void ReadNewestRecords(std::string_view, milliseconds,
                         std::function<void(Result<RecordBatch>)>) override {}

  /// Replaces the records by those of that time, in a new era.
  void Restore(BootTime copied_at);

  /// The newest record of each key.
  StoredRecords Newest() const;

  /// Moves the store to `now`: late appends take effect and delayed answers arrive.
  void Advance(BootTime now);

  std::vector<KeyedRecord> records_;
  std::vector<BootTime> appended_at_;  ///< By offset.
  std::uint64_t era_ = 1;
  bool is_down_ = false;

 private:
  struct Event {
    BootTime due_{};
    std::function<void()> run_;
  };

  bool TakeEffect(const std::vector<KeyedRecord>& records, std::optional<std::uint64_t> at);

  std::mt19937_64& random_;
  std::vector<Event> events_;
  BootTime now_{};
};

}  // namespace sassafrasbay

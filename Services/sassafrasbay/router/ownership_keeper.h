#pragma once

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "LibControl/record_store.h"
#include "LibOwnership/ownership_decision.h"

namespace sassafrasbay {

/// Name of the topic with the nodes and the key tables.
inline constexpr std::string_view kFleetTopic = "keyed.fleet";
inline constexpr std::string_view kTablePrefix = "table/";
inline constexpr std::string_view kNodePrefix = "node/";

/// Writes the changes of the key tables that this node decides on, one at a time.
class OwnershipKeeper {
 public:
  /// `on_written` gets each record that has been written.
  OwnershipKeeper(RecordStore& store, std::function<void(const KeyedRecord&)> on_written);
  OwnershipKeeper(const OwnershipKeeper&) = delete;
  OwnershipKeeper& operator=(const OwnershipKeeper&) = delete;

  /// Decides on the table as it is after the topic's records before `end`, and writes the change,
  /// if any, on the condition that the topic still ends there.
  void Decide(const KeyTable& table, std::uint64_t end, OwnershipView view);

  /// Notes the table before and after a record.
  void OnTable(const KeyTable& before, const KeyTable& after, BootTime now);

  /// True while a write that takes ranges from the holder may still take effect. Nothing may be
  /// granted to it meanwhile.
  bool MayLoseRanges(const Holder& holder, std::uint64_t end) const;

 private:
  /// A write whose effect isn't known until the topic has gone on beyond `at_`.
  struct OpenWrite {
    std::uint64_t at_ = 0;
    KeyTable before_;
    KeyTable after_;
  };

  void OnWritten(const std::string& reason, KeyedRecord record, Result<std::uint64_t> offset);

  RecordStore& store_;
  std::function<void(const KeyedRecord&)> on_written_;
  std::map<ChangeKey, BootTime> first_read_;
  std::map<Holder, BootTime> kept_;  ///< When a node took back ranges that others thought lost.
  std::optional<OpenWrite> open_;
  bool in_flight_ = false;
  BootTime decided_at_{};  ///< Of the newest write.
  BootTime pause_until_{};
  BootTime last_balance_{};
};

}  // namespace sassafrasbay

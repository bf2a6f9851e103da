#pragma once

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "LibControl/record_store.h"
#include "LibOwnership/ownership_decision.h"
#include "router/shared_promises.h"

namespace sassafrasbay {

/// Name of the topic with the nodes and the key tables.
inline constexpr std::string_view kFleetTopic = "keyed.fleet";
inline constexpr std::string_view kTablePrefix = "table/";
inline constexpr std::string_view kNodePrefix = "node/";

/// Writes the changes of the key tables that this node decides on, one at a time.
class KeyTableWriter {
 public:
  /// `on_written` gets each record that has been written.
  KeyTableWriter(RecordStore& store, SharedPromises& promises,
                 std::function<void(const KeyedRecord&)> on_written);
  KeyTableWriter(const KeyTableWriter&) = delete;
  KeyTableWriter& operator=(const KeyTableWriter&) = delete;

  /// Decides on the table as it is after the topic's records before `end`, and writes the change,
  /// if any, on the condition that the topic still ends there.
  void Decide(const KeyTable& table, std::uint64_t end, OwnershipView view);

  /// Notes the table before and after a record.
  void OnTableChanged(const KeyTable& before, const KeyTable& after, BootTime now);

 private:
  void OnWritten(const std::string& reason, KeyedRecord record, Result<std::uint64_t> offset);

  RecordStore& store_;
  SharedPromises& promises_;
  std::function<void(const KeyedRecord&)> on_written_;
  std::map<ChangeKey, BootTime> first_read_;
  std::map<Holder, BootTime> kept_;  ///< When a node took back ranges that others thought lost.
  bool in_flight_ = false;
  BootTime decided_at_{};  ///< Of the newest write.
  BootTime backoff_until_{};
  BootTime last_balance_{};
  BootTime last_release_{};
  std::vector<TimedMove> recent_moves_;
};

}  // namespace sassafrasbay

#pragma once

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "LibControl/record_store.h"
#include "LibOwnership/fleet_records.h"
#include "LibOwnership/ownership_decision.h"
#include "router/shared_promises.h"

namespace sassafrasbay {

/// Topic with the registrations of nodes and the key tables.
inline constexpr std::string_view kFleetTopic = "keyed.fleet";

/// Decides on changes of the key tables and appends them to the store, one at a time.
class KeyTableWriter {
 public:
  /// `on_written` is called with each record that the store has accepted, and its era.
  KeyTableWriter(RecordStore& store, SharedPromises& promises,
                 std::function<void(const KeyedRecord&, std::uint64_t era)> on_written);
  KeyTableWriter(const KeyTableWriter&) = delete;
  KeyTableWriter& operator=(const KeyTableWriter&) = delete;

  /// Decides on a change of `table`, which reflects the topic's records before `end`, and appends
  /// it, if any, on the condition that the topic still ends at `end`.
  void Decide(const KeyTable& table, const TopicPosition& end, OwnershipView view);

  /// Records the effect of a new version of a table on the moves in progress.
  void OnTableChanged(const KeyTable& before, const KeyTable& after, BootTime now);

 private:
  void OnAppendResult(const std::string& reason, KeyedRecord record, std::uint64_t era,
                      const Result<TopicPosition>& position);

  RecordStore& store_;
  SharedPromises& promises_;
  std::function<void(const KeyedRecord&, std::uint64_t era)> on_written_;
  std::map<MoveId, BootTime> moves_first_read_;
  std::map<Holder, BootTime> moves_cancelled_at_;  ///< Last cancelled unplanned move, by owner.
  bool in_flight_ = false;
  BootTime decided_at_{};  ///< Time of the newest append.
  BootTime backoff_until_{};
  BootTime last_balance_{};
  BootTime last_release_{};
  std::vector<RecentMove> recent_moves_;
};

}  // namespace sassafrasbay

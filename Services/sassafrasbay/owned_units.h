#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <vector>

#include "LibCore/state_chart.h"
#include "LibRouting/request_table.h"
#include "LibRouting/routing_snapshot.h"
#include "request_copies.h"
#include "traffic_peers.h"
#include "upstream_link.h"

namespace sassafrasbay {

/// The units that this node owns. Follows the log: acquires, recovers, releases and removes units.
class OwnedUnits {
 public:
  struct Hooks {
    std::function<void(const UnitId&)> on_serving_;  ///< Requests for the unit may run from now on.
    /// The unit was removed or is being released: requests that wait for it must be routed again.
    std::function<void(const UnitId&)> on_unavailable_;
    /// Whether a request for a key of the unit is still running that was accepted before a split or
    /// merge of the key, as a request of the unit that the key belonged to then.
    std::function<bool(const UnitId&)> has_running_requests_;
  };

  enum class Availability {
    kServing,
    kStarting,  ///< Owned, but its table or its grant isn't ready yet.
    kNotOwned,
  };

  OwnedUnits(ReactorLoop& loop, SharedState& shared, const StateChart& chart, UpstreamLink& link,
             TrafficPeers& peers, RequestCopies& copies, RequestTable& table);
  OwnedUnits(const OwnedUnits&) = delete;
  OwnedUnits& operator=(const OwnedUnits&) = delete;

  void SetHooks(Hooks hooks) { hooks_ = std::move(hooks); }
  void SetControlCalls(ControlCalls calls) { control_ = std::move(calls); }
  void SetSnapshot(const std::shared_ptr<const RoutingSnapshot>& snapshot);

  Availability Check(const UnitId& unit) const;

  /// Token under which this node holds the unit; 0 when it doesn't hold the unit.
  Offset TokenOf(const UnitId& unit) const;

  /// Prevents the hand-over of the unit until Unpin() is called with the returned tenure. A tenure
  /// identifies one uninterrupted period in which this process holds the unit; the token may change
  /// during it.
  std::uint64_t Pin(const UnitId& unit);
  /// Whether the unit is still held in the same tenure.
  bool IsCurrent(const UnitId& unit, std::uint64_t tenure) const;

  /// Reverts one Pin(). `unanswered_until` is the expiry of a request that got no answer and may
  /// still run in the upstream: the unit is not handed over before this time.
  void Unpin(const UnitId& unit, std::uint64_t tenure, BootTime unanswered_until);

  void OnHandover(ConnectionId connection, const Handover& handover);

  /// Called when the upstream has confirmed changed grants.
  void OnGranted();

  std::size_t Count() const { return units_.size(); }

 private:
  struct OwnedUnit {
    ChartPosition position_;
    Offset token_ = 0;
    std::uint64_t tenure_ = 0;
    std::optional<std::uint32_t> split_from_;  ///< Shard of the key, if the unit is an override.
    std::uint32_t pins_ = 0;                   ///< Accepted requests that have not ended.
    BootTime unanswered_until_{};
    std::optional<PendingMove> move_;
    bool handover_running_ = false;
    int recovery_attempts_ = 0;
    bool awaits_shard_recovery_ = false;  ///< Split off a shard whose recovery is pending.
    bool recovery_pending_ = false;       ///< A recovery of the table is running or scheduled.
    bool serving_announced_ = false;      ///< on_serving_ has been called.
  };

  void Synchronize(const UnitId& id, const Unit& unit);
  OwnedUnit& AddUnit(const UnitId& id, Offset token);
  void Acquire(const UnitId& id, const Unit& unit);
  bool InitializeFromShard(const UnitId& id, OwnedUnit& held);
  void MergeTable(const UnitId& from, const UnitId& to);
  void Recover(const UnitId& id);
  void UpdateOverridesAfterRecovery(const UnitId& shard);
  void OnRecovered(const UnitId& id, bool complete, std::span<const TableEntry> entries);
  void UpdateToken(const UnitId& id, OwnedUnit& held, Offset token);
  void StartRelease(const UnitId& id, const PendingMove& move);
  void TryHandover(const UnitId& id);
  void SendHandover(const UnitId& id, OwnedUnit& unit);
  void FinishRelease(const UnitId& id, Offset token);
  bool TakeOver(const Handover& handover);
  void RemoveUnit(const UnitId& id, std::string_view reason);
  void RemoveLostUnits();
  void Advance(const UnitId& id, OwnedUnit& unit, std::string_view event);
  void AnnounceServing(const UnitId& id, OwnedUnit& unit);
  void ApplyUnitChanges();
  void CopyTables();
  std::vector<TableEntry> EntriesOf(const UnitId& id) const;
  RequestTableTerms TableTerms() const;

  ReactorLoop& loop_;
  SharedState& shared_;
  const StateChart& chart_;
  UpstreamLink& link_;
  TrafficPeers& peers_;
  RequestCopies& copies_;
  RequestTable& table_;
  Hooks hooks_;
  ControlCalls control_;
  std::shared_ptr<const RoutingSnapshot> snapshot_;
  std::map<UnitId, OwnedUnit> units_;
  /// Move tokens of units that were handed over to another session.
  std::map<UnitId, Offset> handed_over_tokens_;
  /// Hand-overs that arrived before their move was read from the log.
  std::map<UnitId, Handover> early_handovers_;
  Offset grantors_changed_at_ = 0;
  bool units_changed_ = false;
  bool copy_retry_scheduled_ = false;
  std::uint64_t next_tenure_ = 1;
};

/// "SERVICE/UNIT under token TOKEN", for log lines.
std::string Describe(const UnitId& unit, Offset token);

}  // namespace sassafrasbay

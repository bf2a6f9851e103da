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

/// The units this node owns: acquires, recovers, releases and loses them as the log says.
class OwnedUnits {
 public:
  struct Hooks {
    std::function<void(const UnitId&)> on_serving_;  ///< Requests for the unit may run now.
    /// The unit is gone or being released: requests that wait for it go elsewhere.
    std::function<void(const UnitId&)> on_unavailable_;
    /// Whether a request for a key of the unit runs that was taken under the unit's shard or
    /// override before a split or merge.
    std::function<bool(const UnitId&)> has_running_requests_;
  };

  enum class Availability {
    kServing,
    kStarting,  ///< Owned, but its table or its grant is not there yet.
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

  /// Token under which the unit is held; 0 when it isn't.
  Offset TokenOf(const UnitId& unit) const;

  /// Counts a request that holds the unit until Unpin with the returned tenure. A tenure is one
  /// uninterrupted time of ownership by this process; tokens may change during it.
  std::uint64_t Pin(const UnitId& unit);
  bool IsCurrent(const UnitId& unit, std::uint64_t tenure) const;

  /// Ends the hold. `unanswered_until` is the expiry of a request that got no answer and may still
  /// run in the upstream: the unit is not released before.
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
    std::optional<std::uint32_t> split_from_;  ///< Shard of a key override.
    std::uint32_t pins_ = 0;
    BootTime unanswered_until_{};
    std::optional<PendingMove> move_;
    bool handover_running_ = false;
    int recovery_attempts_ = 0;
    bool awaits_shard_recovery_ = false;  ///< Split off a shard whose own recovery is open.
    bool recovery_pending_ = false;   ///< A recovery of the table runs or is about to be repeated.
    bool serving_announced_ = false;  ///< on_serving_ has been called.
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
  std::map<UnitId, Offset>
      handed_over_tokens_;                      ///< Move tokens under which units were handed over.
  std::map<UnitId, Handover> early_handovers_;  ///< Received before their move was read.
  Offset grantors_changed_at_ = 0;
  bool units_changed_ = false;
  bool copy_retry_scheduled_ = false;
  std::uint64_t next_tenure_ = 1;
};

/// "SERVICE/UNIT under token TOKEN", for log lines.
std::string Describe(const UnitId& unit, Offset token);

}  // namespace sassafrasbay

#pragma once

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <span>
#include <string>
#include <utility>
#include <vector>

#include "LibRouting/messages.h"
#include "LibRouting/routing_snapshot.h"
#include "traffic_peers.h"

namespace sassafrasbay {

/// The owner's side of the copies of request tables: sends entries and whole tables to the grantors
/// of this node's session, and recovers the tables of sessions that have ended.
class RequestCopies {
 public:
  RequestCopies(TrafficPeers& peers, SharedState& shared);

  void SetSnapshot(std::shared_ptr<const RoutingSnapshot> snapshot);

  /// Copies one entry to all grantors. `done` gets true as soon as one grantor has confirmed the
  /// copy, or when the session has no grantor, and false when no grantor has confirmed it.
  void Copy(const TableEntry& entry, std::function<void(bool)> done);

  /// Sends all entries to all grantors. `failed` runs for each grantor that didn't confirm the copy
  /// and is still a grantor of the same session.
  void CopyAll(const std::vector<std::pair<UnitId, Offset>>& units,
               const std::vector<TableEntry>& entries, const std::function<void()>& failed);

  /// Collects the copies of a unit's table from the grantors of the session that held the unit
  /// before. If that session had not recovered the table completely, continues with the grantors of
  /// the holder before it, and so on. `done` gets the entries and whether they are complete.
  void Recover(const UnitId& id, const Unit& unit,
               std::function<void(bool complete, std::vector<TableEntry>)> done);

 private:
  struct Recovery;

  void RecoverNext(const std::shared_ptr<Recovery>& recovery);
  void FinishHolder(const std::shared_ptr<Recovery>& recovery);
  std::vector<std::string> GrantorAddresses() const;

  TrafficPeers& peers_;
  SharedState& shared_;
  std::shared_ptr<const RoutingSnapshot> snapshot_;
};

/// The grantor's side of the copies: the tables that this node holds for other sessions.
class CopyStore {
 public:
  void Store(const CopyEntry& copy, BootTime now);
  void Store(const CopyTable& table, BootTime now);
  /// Entries held for the requested units, and whether they are all entries of these units.
  TableReply Find(const TableRequest& request) const;
  /// Removes tables of sessions that are not active and whose latest copy is older than
  /// `retention`.
  void Prune(const ControlState& state, milliseconds retention, BootTime now);
  std::size_t EntryCount() const;

 private:
  struct Table {
    bool complete_ = false;
    Offset grantors_changed_at_ = 0;
    BootTime stored_at_{};
    std::map<UnitId, Offset> units_;  ///< Units whose tables are complete, with their tokens.
    std::map<UnitId, std::map<std::string, TableEntry>> entries_;
  };

  std::map<SessionId, Table> tables_;
};

}  // namespace sassafrasbay

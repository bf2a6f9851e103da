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

/// The owner's side of the copies: sends entries and whole tables to the session's grantors, and
/// recovers the tables of a session that has ended.
class RequestCopies {
 public:
  RequestCopies(TrafficPeers& peers, SharedState& shared);

  void SetSnapshot(std::shared_ptr<const RoutingSnapshot> snapshot);

  /// Copies one entry. `done` gets true as soon as one grantor has confirmed it or when the session
  /// has no grantor, false when none did.
  void Copy(const TableEntry& entry, std::function<void(bool)> done);

  /// Sends the whole table to all grantors. `failed` runs for each one that did not confirm it
  /// although it is still a grantor of the same session.
  void CopyAll(const std::vector<std::pair<UnitId, Offset>>& units,
               const std::vector<TableEntry>& entries, const std::function<void()>& failed);

  /// Collects the copies of a unit from the grantors of the session it was inherited from, and of
  /// earlier holders as long as the later ones had not recovered its table. `done` gets whether
  /// they are complete.
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

/// The grantor's side: tables held for other sessions.
class CopyStore {
 public:
  void Store(const CopyEntry& copy, BootTime now);
  void Store(const CopyTable& table, BootTime now);
  TableReply Find(const TableRequest& request) const;
  /// Drops tables of sessions that are not active and were last written `retention` ago.
  void Prune(const ControlState& state, milliseconds retention, BootTime now);
  std::size_t EntryCount() const;

 private:
  struct Table {
    bool complete_ = false;
    Offset grantors_changed_at_ = 0;
    BootTime stored_at_{};
    std::map<UnitId, Offset> units_;
    std::map<UnitId, std::map<std::string, TableEntry>> entries_;
  };

  std::map<SessionId, Table> tables_;
};

}  // namespace sassafrasbay

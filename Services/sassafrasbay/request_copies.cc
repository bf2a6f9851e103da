#include "request_copies.h"

#include <algorithm>

namespace sassafrasbay {
namespace {

/// Allows three round trips between data centres with a loaded peer. A grantor that doesn't answer
/// within this time counts as not having confirmed.
constexpr milliseconds kEntryCopyTimeout{250};
constexpr milliseconds kRecoveryTimeout{400};
constexpr milliseconds kTableCopyTimeout{1000};

struct PendingCopy {
  std::size_t outstanding_ = 0;
  std::function<void(bool)> done_;
};

void OnCopyReply(PendingCopy& pending, bool confirmed) {
  --pending.outstanding_;
  if (!pending.done_ || (!confirmed && pending.outstanding_ > 0)) {
    return;
  }
  const auto done = std::exchange(pending.done_, nullptr);
  done(confirmed);
}

bool IsAnswered(const TableEntry& entry) {
  return entry.phase_ == EntryPhase::kDone && entry.answer_.outcome_ == Outcome::kAnswered;
}

/// Whether an entry replaces the held entry of the same id. An answer is final: a later owner that
/// didn't have the answer may have recorded the id as unknown, and a copy of that entry must not
/// replace the answer.
bool Supersedes(const TableEntry& entry, const TableEntry& held) {
  return IsAnswered(entry) || (entry.phase_ == EntryPhase::kDone && !IsAnswered(held));
}

/// A session that held a unit, and the token under which it did.
struct UnitHolder {
  UnitId unit_;
  FormerHolder holder_;
};

std::vector<UnitHolder> FormerHolders(const UnitId& id, const Unit& unit) {
  std::vector<UnitHolder> holders;
  if (!unit.inherited_from_.empty()) {
    holders.push_back({id, {unit.inherited_from_, unit.inherited_token_}});
    for (const FormerHolder& earlier : unit.earlier_holders_) {
      holders.push_back({id, earlier});
    }
  }
  return holders;
}

}  // namespace

RequestCopies::RequestCopies(TrafficPeers& peers, SharedState& shared)
    : peers_(peers), shared_(shared) {}

void RequestCopies::SetSnapshot(std::shared_ptr<const RoutingSnapshot> snapshot) {
  snapshot_ = std::move(snapshot);
}

void RequestCopies::Copy(const TableEntry& entry, std::function<void(bool)> done) {
  const std::vector<std::string> addresses = GrantorAddresses();
  if (addresses.empty()) {
    done(true);
    return;
  }
  auto pending = std::make_shared<PendingCopy>(PendingCopy{addresses.size(), std::move(done)});
  for (const std::string& address : addresses) {
    shared_.metrics_.Count("sassafrasbay_request_copies_total");
    peers_.Request(address, CopyEntry{0, snapshot_->own_session_, entry}, kEntryCopyTimeout,
                   [pending](const Result<TrafficMessage>& reply) {
                     OnCopyReply(*pending, reply.has_value());
                   });
  }
}

void RequestCopies::CopyAll(const std::vector<std::pair<UnitId, Offset>>& units,
                            const std::vector<TableEntry>& entries,
                            const std::function<void()>& failed) {
  const Session* own = FindSession(*snapshot_->state_, snapshot_->own_session_);
  if (own == nullptr) {
    return;
  }
  for (const std::string& address : GrantorAddresses()) {
    CopyTable table{0, own->join_.session_, true, own->grantors_changed_at_, units, entries};
    peers_.Request(address, std::move(table), kTableCopyTimeout,
                   [this, address, session = own->join_.session_,
                    failed](const Result<TrafficMessage>& reply) {
                     if (!reply && session == snapshot_->own_session_ &&
                         std::ranges::count(GrantorAddresses(), address) > 0) {
                       failed();
                     }
                   });
  }
}

struct RequestCopies::Recovery {
  UnitId unit_;
  /// Earlier holders of the unit, latest first; then those of the shard that it was split from.
  std::vector<UnitHolder> holders_;
  std::size_t next_ = 0;         ///< Index of the holder whose grantors are asked next.
  std::size_t outstanding_ = 0;  ///< Grantors of the present holder that have not answered.
  Offset grantors_changed_at_ = 0;
  /// All grantors of the present holder have its complete table of the unit.
  bool tables_complete_ = true;
  /// All grantors of the holders so far have every entry of the requests that these holders ran.
  bool copies_current_ = true;
  std::map<std::string, TableEntry> entries_;
  std::function<void(bool, std::vector<TableEntry>)> done_;

  void AddReply(const TableReply& reply) {
    const bool current = reply.grantors_changed_at_ >= grantors_changed_at_;
    tables_complete_ = tables_complete_ && reply.complete_ && current;
    copies_current_ = copies_current_ && current;
    for (TableEntry entry : reply.entries_) {
      entry.unit_ = unit_;
      const auto [found, inserted] = entries_.emplace(entry.id_, entry);
      if (!inserted && Supersedes(entry, found->second)) {
        found->second = entry;
      }
    }
  }

  void AddMissingReply() {
    tables_complete_ = false;
    copies_current_ = false;
  }

  void Finish(bool complete) {
    std::vector<TableEntry> entries;
    entries.reserve(entries_.size());
    for (auto& [id, entry] : entries_) {
      entries.push_back(std::move(entry));
    }
    done_(complete, std::move(entries));
  }
};

void RequestCopies::Recover(const UnitId& id, const Unit& unit,
                            std::function<void(bool, std::vector<TableEntry>)> done) {
  auto recovery = std::make_shared<Recovery>();
  recovery->unit_ = id;
  recovery->holders_ = FormerHolders(id, unit);
  // A holder that was lost before it read of the split has no table of the override. The ids from
  // before the split are in the copies of its shard's table.
  if (const auto shard = ShardOfOverride(*snapshot_->state_, id)) {
    const UnitId shard_id{id.service_, *shard};
    const Unit* shard_unit = FindUnit(*snapshot_->state_, shard_id);
    const std::vector<UnitHolder> holders = FormerHolders(shard_id, *shard_unit);
    recovery->holders_.insert(recovery->holders_.end(), holders.begin(), holders.end());
  }
  recovery->done_ = std::move(done);
  RecoverNext(recovery);
}

// A holder that ended before it had recovered the table ran no request, and a holder whose recovery
// was incomplete copied the entries of the requests that it ran itself. In both cases the older
// entries are held by the grantors of the holder before it.
void RequestCopies::RecoverNext(const std::shared_ptr<Recovery>& recovery) {
  const auto& [unit, holder] = recovery->holders_[recovery->next_++];
  const auto found = snapshot_->state_->ended_.find(holder.session_);
  if (found == snapshot_->state_->ended_.end() || found->second.grantors_.empty()) {
    recovery->AddMissingReply();
    FinishHolder(recovery);
    return;
  }
  recovery->tables_complete_ = true;
  recovery->grantors_changed_at_ = found->second.grantors_changed_at_;
  recovery->outstanding_ = found->second.grantors_.size();
  const TableRequest request{0, holder.session_, {{unit, holder.token_}}};
  for (const SessionId& grantor : found->second.grantors_) {
    const auto receive = [this, recovery](const Result<TrafficMessage>& reply) {
      const auto* table = reply ? std::get_if<TableReply>(&reply.value()) : nullptr;
      table != nullptr ? recovery->AddReply(*table) : recovery->AddMissingReply();
      if (--recovery->outstanding_ == 0) {
        FinishHolder(recovery);
      }
    };
    const Session* session = FindSession(*snapshot_->state_, grantor);
    if (session == nullptr) {
      receive(MakeError(Errc::kUnavailable, "recover request ids", grantor, "session has ended"));
      continue;
    }
    peers_.Request(session->join_.traffic_address_, request, kRecoveryTimeout, receive);
  }
}

void RequestCopies::FinishHolder(const std::shared_ptr<Recovery>& recovery) {
  const bool complete = recovery->tables_complete_ && recovery->copies_current_;
  if (complete || recovery->next_ == recovery->holders_.size()) {
    recovery->Finish(complete);
    return;
  }
  RecoverNext(recovery);
}

std::vector<std::string> RequestCopies::GrantorAddresses() const {
  std::vector<std::string> addresses;
  const Session* own =
      snapshot_ ? FindSession(*snapshot_->state_, snapshot_->own_session_) : nullptr;
  if (own == nullptr) {
    return addresses;
  }
  for (const GrantorAssignment& link : own->grantors_) {
    const Session* grantor = FindSession(*snapshot_->state_, link.grantor_);
    if (grantor != nullptr) {
      addresses.push_back(grantor->join_.traffic_address_);
    }
  }
  return addresses;
}

void CopyStore::Store(const CopyEntry& copy, BootTime now) {
  Table& table = tables_[copy.session_];
  table.stored_at_ = now;
  auto& entries = table.entries_[copy.entry_.unit_];
  const bool not_run =
      copy.entry_.phase_ == EntryPhase::kDone && copy.entry_.answer_.outcome_ == Outcome::kNotRun;
  if (not_run) {
    entries.erase(copy.entry_.id_);
    return;
  }
  const auto [held, inserted] = entries.emplace(copy.entry_.id_, copy.entry_);
  if (!inserted && !IsAnswered(held->second)) {
    held->second = copy.entry_;
  }
}

void CopyStore::Store(const CopyTable& table, BootTime now) {
  const auto held = tables_.find(table.session_);
  if (held != tables_.end() && held->second.grantors_changed_at_ > table.grantors_changed_at_) {
    return;  // The copy was sent before the one that is held.
  }
  Table replacement;
  replacement.stored_at_ = now;
  replacement.grantors_changed_at_ = table.grantors_changed_at_;
  replacement.complete_ = table.complete_;
  replacement.units_.insert(table.units_.begin(), table.units_.end());
  for (const TableEntry& entry : table.entries_) {
    replacement.entries_[entry.unit_][entry.id_] = entry;
  }
  tables_[table.session_] = std::move(replacement);
}

TableReply CopyStore::Find(const TableRequest& request) const {
  TableReply reply;
  reply.number_ = request.number_;
  reply.session_ = request.session_;
  const auto found = tables_.find(request.session_);
  if (found == tables_.end()) {
    return reply;
  }
  const Table& table = found->second;
  reply.grantors_changed_at_ = table.grantors_changed_at_;
  reply.complete_ = table.complete_;
  for (const auto& [unit, token] : request.units_) {
    const auto covered = table.units_.find(unit);
    reply.complete_ = reply.complete_ && covered != table.units_.end() && covered->second == token;
    const auto entries = table.entries_.find(unit);
    if (entries == table.entries_.end()) {
      continue;
    }
    for (const auto& [id, entry] : entries->second) {
      reply.entries_.push_back(entry);
    }
  }
  return reply;
}

void CopyStore::Prune(const ControlState& state, milliseconds retention, BootTime now) {
  // A table may arrive before this node has read from the log that its session joined, so the table
  // of an unknown session is kept until the retention ends.
  std::erase_if(tables_, [&state, retention, now](const auto& item) {
    return !state.sessions_.contains(item.first) && item.second.stored_at_ + retention < now;
  });
}

std::size_t CopyStore::EntryCount() const {
  std::size_t count = 0;
  for (const auto& [session, table] : tables_) {
    for (const auto& [unit, entries] : table.entries_) {
      count += entries.size();
    }
  }
  return count;
}

}  // namespace sassafrasbay

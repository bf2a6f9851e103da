#include <algorithm>
#include <utility>

#include "LibCore/logging.h"
#include "owned_units.h"

namespace sassafrasbay {
namespace {

constexpr std::string_view kPart = "units";
constexpr milliseconds kRecoveryRetryDelay{300};
constexpr milliseconds kTableCopyRetryDelay{500};

/// The attempts take about 3 s when each of them times out. A grantor that doesn't answer for
/// longer is ended by its own grantors.
constexpr int kMaxRecoveryAttempts = 6;

}  // namespace

bool OwnedUnits::InitializeFromShard(const UnitId& id, OwnedUnit& held) {
  if (!held.split_from_) {
    return false;
  }
  // Ids of the key were recorded in the shard's table until now, so the override starts with a copy
  // of that table. Without the table, the override's own table is incomplete.
  const UnitId shard{id.service_, *held.split_from_};
  const auto origin = units_.find(shard);
  OpenUnit(table_, id, origin == units_.end(), WallNow(), TableTerms());
  MergeTable(shard, id);
  if (origin != units_.end()) {
    held.unanswered_until_ = origin->second.unanswered_until_;
    held.awaits_shard_recovery_ = origin->second.recovery_pending_;
  }
  return true;
}

// An override that was split off during the recovery of its shard started with the entries known
// then, so it gets those that the recovery has added since.
void OwnedUnits::UpdateOverridesAfterRecovery(const UnitId& shard) {
  const bool complete = IsComplete(table_, shard, WallNow(), TableTerms());
  for (auto& [id, held] : units_) {
    if (!held.awaits_shard_recovery_ || id.service_ != shard.service_ ||
        held.split_from_ != shard.unit_) {
      continue;
    }
    MergeTable(shard, id);
    if (complete) {
      MarkComplete(table_, id);
    }
    held.awaits_shard_recovery_ = units_.at(shard).recovery_pending_;
  }
}

void OwnedUnits::MergeTable(const UnitId& from, const UnitId& to) {
  std::vector<TableEntry> entries = EntriesOf(from);
  for (TableEntry& entry : entries) {
    entry.unit_ = to;
  }
  AdoptEntries(table_, to, entries, WallNow(), TableTerms());
  const auto source = table_.units_.find(from);
  if (source == table_.units_.end() || !source->second.unknown_until_) {
    return;
  }
  // Ids that may be missing in the source's table may be missing in the merged table, too.
  std::optional<WallTime>& unknown_until = table_.units_.at(to).unknown_until_;
  unknown_until = std::max(unknown_until.value_or(WallTime{}), *source->second.unknown_until_);
}

void OwnedUnits::Recover(const UnitId& id) {
  const Unit* unit = FindUnit(*snapshot_->state_, id);
  OwnedUnit& held = units_.at(id);
  ++held.recovery_attempts_;
  copies_.Recover(
      id, *unit,
      [this, id, tenure = held.tenure_](bool complete, const std::vector<TableEntry>& entries) {
        if (IsCurrent(id, tenure)) {
          OnRecovered(id, complete, entries);
        }
      });
}

void OwnedUnits::OnRecovered(const UnitId& id, bool complete, std::span<const TableEntry> entries) {
  OwnedUnit& held = units_.at(id);
  AdoptEntries(table_, id, entries, WallNow(), TableTerms());
  if (complete) {
    MarkComplete(table_, id);
  }
  LogInfo(kPart, "Recovered " + std::to_string(entries.size()) + " request ids of unit " +
                     Describe(id, held.token_) +
                     (complete ? "; the table is complete." : "; the table is incomplete."));
  if (held.position_.state_ == "recovering") {
    Advance(id, held, "recovered");
  }
  const Unit* unit = FindUnit(*snapshot_->state_, id);
  const bool inherited = unit != nullptr && !unit->inherited_from_.empty();
  // A grantor that is briefly disconnected or paused still has its copies, so the recovery is
  // repeated. The unit serves meanwhile and answers "unknown" for ids that may be missing in its
  // table.
  held.recovery_pending_ = !complete && inherited && held.recovery_attempts_ < kMaxRecoveryAttempts;
  if (held.recovery_pending_) {
    loop_.StartTimer(kRecoveryRetryDelay, [this, id, tenure = held.tenure_] {
      if (IsCurrent(id, tenure)) {
        Recover(id);
      }
    });
  } else if (unit != nullptr && unit->move_ && unit->owner_ == snapshot_->own_session_) {
    StartRelease(id, *unit->move_);
  }
  UpdateOverridesAfterRecovery(id);
  ApplyUnitChanges();
}

void OwnedUnits::CopyTables() {
  std::vector<std::pair<UnitId, Offset>> covered;
  std::vector<TableEntry> entries;
  for (const auto& [id, unit] : units_) {
    // The next takeover must not treat the copy of an incomplete table as complete.
    if (IsComplete(table_, id, WallNow(), TableTerms())) {
      covered.emplace_back(id, unit.token_);
    }
  }
  for (const auto& [id, unit] : units_) {
    const std::vector<TableEntry> unit_entries = EntriesOf(id);
    entries.insert(entries.end(), unit_entries.begin(), unit_entries.end());
  }
  copies_.CopyAll(covered, entries, [this] {
    // Without a retry, a grantor that didn't get the copy would lack the table until the next
    // change.
    if (!copy_retry_scheduled_) {
      copy_retry_scheduled_ = true;
      loop_.StartTimer(kTableCopyRetryDelay, [this] {
        copy_retry_scheduled_ = false;
        CopyTables();
      });
    }
  });
}

std::vector<TableEntry> OwnedUnits::EntriesOf(const UnitId& id) const {
  std::vector<TableEntry> entries;
  const auto table = table_.units_.find(id);
  if (table == table_.units_.end()) {
    return entries;
  }
  entries.reserve(table->second.entries_.size());
  for (const auto& [key, entry] : table->second.entries_) {
    entries.push_back(entry);
  }
  return entries;
}

RequestTableTerms OwnedUnits::TableTerms() const {
  return {shared_.settings_.clock_allowance_, shared_.settings_.request_table_retention_};
}

}  // namespace sassafrasbay

#include "LibOwnership/history_settlement.h"

#include <algorithm>

#include "LibOwnership/hold_rules.h"
#include "LibOwnership/key_table_codec.h"

namespace sassafrasbay {
namespace {

/// Bits of a version below its era: at 100 changes a second, 16 months of one era.
constexpr unsigned kVersionBits = 32;

/// Time for which a node leaves the settling to each node with a lower address that could do it.
constexpr milliseconds kSettlementTurn{500};

/// The table with the next version, which is also its token for all keys: another upstream may have
/// had any of them with a token that was lost.
KeyTable RenewTokens(KeyTable table, std::uint64_t era) {
  table.version_ = std::max(table.version_, FirstTableVersion(era)) + 1;
  for (KeyRange& range : table.ranges_) {
    range.token_ = table.version_;
  }
  MergeAdjacentRanges(table);
  return table;
}

FleetRecords DecodeStored(const StoredRecords& stored) {
  FleetRecords records;
  for (const auto& [key, value] : stored) {
    if (key.starts_with(kNodePrefix)) {
      SetNodeRecord(records, key, value);
    } else if (key.starts_with(kTablePrefix)) {
      if (auto table = DecodeKeyTable(value)) {
        SetTable(records, std::move(table.value()));
      }
    }
  }
  return records;
}

}  // namespace

std::string HistoryKey(std::uint64_t era) {
  return std::string(kHistoryPrefix) + std::to_string(era);
}

std::uint64_t FirstTableVersion(std::uint64_t era) { return era << kVersionBits; }

// A table that can't be read is another writer's, and ignored wherever it is read.
bool IsSettled(const StoredRecords& stored, std::uint64_t era) {
  if (!stored.contains(HistoryKey(era))) {
    return false;
  }
  return std::none_of(stored.begin(), stored.end(), [era](const auto& record) {
    if (!record.first.starts_with(kTablePrefix)) {
      return false;
    }
    const Result<KeyTable> table = DecodeKeyTable(record.second);
    return table && table.value().version_ <= FirstTableVersion(era);
  });
}

bool IsKnownToOwners(std::optional<BootTime> registered, BootTime now) {
  return registered && now - *registered > kNewNodeTakeoverDelay;
}

bool MayPromiseUnregistered(const UpstreamRegistry& registry, const FleetRecords& known) {
  if (!registry.newest_) {
    return false;
  }
  const std::vector<HeldRange>& held = registry.newest_->held_;
  const KeyTable* table = FindTable(known, registry.newest_->service_);
  const Holder& holder = *registry.local_upstream_.holder_;
  return std::all_of(held.begin(), held.end(), [&](const HeldRange& range) {
    for (ShardKey key = range.keys_.first_; table != nullptr;) {
      const KeyRange* owned = FindRange(*table, key);
      if (owned == nullptr || owned->owner_ != holder) {
        return false;
      }
      if (owned->last_ >= range.keys_.last_) {
        return true;
      }
      key = owned->last_ + 1;
    }
    return false;
  });
}

// A grant that rests on a confirmation has ended by then. One that rests on promises needs a
// promise of a node that is known to its owner, given at the position of the owner's tables; these
// are the ones that are written again.
bool ShouldSettle(const SettlementView& view) {
  const bool is_known = IsKnownToOwners(view.registered_, view.now_);
  const BootTime earliest = view.seen_at_ + (is_known ? kTakeoverDelay : kNewNodeTakeoverDelay);
  if (view.is_isolated_ || view.now_ <= earliest) {
    return false;
  }
  milliseconds turn{0};
  for (const SettlementPeer& peer : view.peers_) {
    // Its state is on the way. If it doesn't arrive, what the peer knows is void by then.
    if (peer.tables_end_ > view.tables_end_ && view.now_ - view.seen_at_ < kNewNodeTakeoverDelay) {
      return false;
    }
    const bool goes_first = peer.address_ < view.self_ && peer.reaches_store_ &&
                            peer.tables_end_ == view.tables_end_ && (peer.is_known_ || !is_known);
    turn += goes_first ? kSettlementTurn : milliseconds(0);
  }
  return view.now_ > earliest + turn;
}

RecordList SettlementRecords(const FleetRecords* known, const StoredRecords& stored,
                             std::uint64_t era, std::string_view self) {
  FleetRecords records = known != nullptr ? *known : DecodeStored(stored);
  for (auto& [service, table] : records.tables_) {
    table = std::make_shared<const KeyTable>(RenewTokens(*table, era));
  }
  RecordList written = EncodeRecords(records);
  for (const auto& [key, value] : stored) {
    const bool is_obsolete =
        key.starts_with(kHistoryPrefix) ||
        (key.starts_with(kNodePrefix) && !records.node_records_->contains(key));
    if (is_obsolete) {
      written.emplace_back(key, std::string());
    }
  }
  written.emplace_back(HistoryKey(era), self);
  return written;
}

}  // namespace sassafrasbay

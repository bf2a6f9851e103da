#include <set>
#include <string>
#include <utility>

#include "LibCore/logging.h"
#include "LibOwnership/key_table_codec.h"
#include "router/control_thread.h"

namespace sassafrasbay {
namespace {

constexpr std::string_view kPart = "control";

}  // namespace

// Records that are missing in `records` have been removed since, or were lost with their history.
void ControlThread::ReplaceRecords(const RecordList& records) {
  std::set<std::string> keys;
  for (const auto& [key, value] : records) {
    keys.insert(key);
  }
  const FleetRecords before = std::exchange(records_, {});
  for (const auto& [address, member] : std::map(members_)) {
    if (!keys.contains(std::string(kNodePrefix) + address)) {
      OnNodeRemoved(address);
    }
  }
  for (const auto& [service, table] : before.tables_) {
    if (keys.contains(std::string(kTablePrefix) + service)) {
      SetTable(records_, *table);
    }
  }
  overwritten_tables_.clear();
  for (const auto& [key, value] : records) {
    OnNextFleetRecord({0, key, value});
  }
  ApplyHeldConfiguration();
  ScheduleUpdate();
}

// An append of an earlier era may take effect late. Its table is void, but the newest in the store.
void ControlThread::OnNextFleetRecord(const KeyedRecord& record) {
  if (record.key_.starts_with(kTablePrefix)) {
    const Result<KeyTable> table = DecodeKeyTable(record.value_);
    if (table && table.value().version_ <= FirstTableVersion(fleet_topic_.End().era_)) {
      shared_.metrics_.Count("sassafrasbay_void_tables_total");
      LogWarning(kPart, "key table service=" + table.value().service_ +
                            " version=" + std::to_string(table.value().version_) +
                            " ignored; it is of an era before " +
                            std::to_string(fleet_topic_.End().era_) + ".");
      overwritten_tables_.insert(table.value().service_);
      ScheduleUpdate();
      return;
    }
  }
  OnFleetRecord(record);
}

void ControlThread::OnFleetRecord(const KeyedRecord& record) {
  if (record.key_.starts_with(kNodePrefix)) {
    OnNodeRecord(record);
    return;
  }
  // Tables are replaced, never removed.
  if (!record.key_.starts_with(kTablePrefix) || record.value_.empty()) {
    return;
  }
  auto table = DecodeKeyTable(record.value_);
  if (!table) {
    LogWarning(kPart, "key table ignored reason=\"" + ToString(table.error()) + "\".");
    return;
  }
  ApplyTable(std::move(table.value()));
}

void ControlThread::ApplyTable(KeyTable table) {
  const KeyTable* known = FindTable(records_, table.service_);
  if (known != nullptr && table.version_ <= known->version_) {
    return;
  }
  overwritten_tables_.erase(table.service_);
  key_table_writer_.OnTableChanged(known == nullptr ? KeyTable{} : *known, table, BootClock::now());
  SetTable(records_, std::move(table));
  ScheduleUpdate();
}

void ControlThread::OnNodeRecord(const KeyedRecord& record) {
  const std::string address = record.key_.substr(kNodePrefix.size());
  if (record.value_.empty()) {
    SetNodeRecord(records_, record.key_, {});
    OnNodeRemoved(address);
    ScheduleUpdate();
    return;
  }
  const Result<NodeRecord> node = DecodeNodeRecord(record.value_);
  if (!node) {
    shared_.metrics_.Count("sassafrasbay_node_records_rejected_total");
    LogWarning(kPart, "node record ignored key=" + record.key_ + " reason=\"" +
                          ToString(node.error()) + "\".");
    return;
  }
  if (address == shared_.self_) {
    OnOwnRecord(node.value());
  }
  members_[address] = {address, node.value().data_centre_};
  SetNodeRecord(records_, record.key_, record.value_);
  ScheduleUpdate();
}

// An earlier process may have recorded that the upstream leaves, at an unknown time, so no time is
// left for further requests.
void ControlThread::OnOwnRecord(const NodeRecord& record) {
  recorded_leaving_ = record.leaving_;
  if (record.leaving_) {
    OnLeavingUpstream(*record.leaving_, BootClock::now() - shared_.environment_.drain_limit_,
                      "store");
  }
  if (record.incarnation_id_ != shared_.incarnation_id_) {
    // Written by an earlier process: late, or its store was restored.
    registered_at_.reset();
  } else if (!registered_at_) {
    registered_at_ = BootClock::now();
  }
}

}  // namespace sassafrasbay

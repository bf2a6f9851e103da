#include "LibOwnership/fleet_records.h"

#include <nlohmann/json.hpp>

#include "LibOwnership/key_table_codec.h"

namespace sassafrasbay {
namespace {

constexpr const char* kDataCentreField = "data_centre";
constexpr const char* kIncarnationField = "life";
constexpr const char* kLeavingField = "leaving";
constexpr const char* kLastBornField = "leaving_born";

}  // namespace

bool Covers(const LeavingUpstream& leaving, std::string_view instance, std::int64_t born_ms) {
  return leaving.instance_ == instance && born_ms <= leaving.last_born_ms_;
}

std::string EncodeNodeRecord(const NodeRecord& record) {
  nlohmann::json value{{kDataCentreField, record.data_centre_},
                       {kIncarnationField, record.incarnation_id_}};
  if (record.leaving_) {
    value[kLeavingField] = record.leaving_->instance_;
    value[kLastBornField] = record.leaving_->last_born_ms_;
  }
  // Texts from other nodes aren't checked for valid UTF-8, without which dump would throw.
  return value.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

Result<NodeRecord> DecodeNodeRecord(std::string_view text) {
  const nlohmann::json value = nlohmann::json::parse(text, nullptr, false);
  for (const char* field : {kDataCentreField, kIncarnationField}) {
    if (!value.is_object() || !value.contains(field) || !value[field].is_string()) {
      return MakeError(Errc::kMalformed, "decode node record", {},
                       std::string(field) + " must be a text");
    }
  }
  NodeRecord record{
      value[kDataCentreField].get<std::string>(), value[kIncarnationField].get<std::string>(), {}};
  if (value.contains(kLeavingField)) {
    if (!value[kLeavingField].is_string() || !value.contains(kLastBornField) ||
        !value[kLastBornField].is_number_integer()) {
      return MakeError(Errc::kMalformed, "decode node record", {},
                       "leaving must be a text, and leaving_born a whole number");
    }
    record.leaving_ = LeavingUpstream{value[kLeavingField].get<std::string>(),
                                      value[kLastBornField].get<std::int64_t>()};
  }
  return record;
}

const KeyTable* FindTable(const FleetRecords& records, std::string_view service) {
  const auto found = records.tables_.find(service);
  return found == records.tables_.end() ? nullptr : found->second.get();
}

void SetTable(FleetRecords& records, KeyTable table) {
  const std::string service = table.service_;
  records.tables_[service] = std::make_shared<const KeyTable>(std::move(table));
}

void SetNodeRecord(FleetRecords& records, const std::string& key, const std::string& value) {
  auto changed = std::make_shared<std::map<std::string, std::string>>(*records.node_records_);
  if (value.empty()) {
    changed->erase(key);
  } else {
    (*changed)[key] = value;
  }
  records.node_records_ = std::move(changed);
}

RecordList EncodeRecords(const FleetRecords& records) {
  RecordList encoded(records.node_records_->begin(), records.node_records_->end());
  for (const auto& [service, table] : records.tables_) {
    if (!table->ranges_.empty()) {
      encoded.emplace_back(std::string(kTablePrefix) + service, EncodeKeyTable(*table));
    }
  }
  return encoded;
}

}  // namespace sassafrasbay

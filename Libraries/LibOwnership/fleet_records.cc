#include "LibOwnership/fleet_records.h"

#include <nlohmann/json.hpp>

#include "LibOwnership/key_table_codec.h"

namespace sassafrasbay {
namespace {

constexpr const char* kDataCentreField = "data_centre";
constexpr const char* kIncarnationField = "life";

}  // namespace

std::string EncodeNodeRecord(const NodeRecord& record) {
  return nlohmann::json{{kDataCentreField, record.data_centre_},
                        {kIncarnationField, record.incarnation_id_}}
      .dump();
}

Result<NodeRecord> DecodeNodeRecord(std::string_view text) {
  const nlohmann::json value = nlohmann::json::parse(text, nullptr, false);
  for (const char* field : {kDataCentreField, kIncarnationField}) {
    if (!value.is_object() || !value.contains(field) || !value[field].is_string()) {
      return MakeError(Errc::kMalformed, "decode node record", {},
                       std::string(field) + " must be a text");
    }
  }
  return NodeRecord{value[kDataCentreField].get<std::string>(),
                    value[kIncarnationField].get<std::string>()};
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

std::vector<std::pair<std::string, std::string>> EncodeRecords(const FleetRecords& records) {
  std::vector<std::pair<std::string, std::string>> encoded(records.node_records_->begin(),
                                                           records.node_records_->end());
  for (const auto& [service, table] : records.tables_) {
    if (table->version_ > 0) {
      encoded.emplace_back(std::string(kTablePrefix) + service, EncodeKeyTable(*table));
    }
  }
  return encoded;
}

}  // namespace sassafrasbay

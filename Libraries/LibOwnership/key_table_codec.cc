#include "LibOwnership/key_table_codec.h"

#include <nlohmann/json.hpp>
#include <utility>

namespace sassafrasbay {
namespace {

using Json = nlohmann::json;

constexpr std::string_view kStep = "decode key table";

Json HolderToJson(const Holder& holder) {
  return Json::array({holder.node_, holder.instance_, holder.born_ms_});
}

Holder HolderFromJson(const Json& value) {
  return {value.at(0).get<std::string>(), value.at(1).get<std::string>(),
          value.at(2).get<std::int64_t>()};
}

KeyRange RangeFromJson(const Json& value) {
  KeyRange range;
  range.first_ = value.at("first").get<ShardKey>();
  range.last_ = value.at("last").get<ShardKey>();
  range.token_ = value.at("token").get<std::uint64_t>();
  range.owner_ = HolderFromJson(value.at("owner"));
  if (value.contains("successor")) {
    range.successor_ = HolderFromJson(value.at("successor"));
    range.planned_ = value.at("planned").get<bool>();
  }
  range.handover_ = value.value("handover", std::string());
  return range;
}

bool IsAscending(const KeyTable& table) {
  ShardKey next = 0;
  for (const KeyRange& range : table.ranges_) {
    if (range.first_ < next || range.last_ < range.first_ || range.last_ > kLastShardKey) {
      return false;
    }
    next = range.last_ + 1;
  }
  return true;
}

}  // namespace

std::string EncodeKeyTable(const KeyTable& table) {
  Json ranges = Json::array();
  for (const KeyRange& range : table.ranges_) {
    Json value = {{"first", range.first_},
                  {"last", range.last_},
                  {"token", range.token_},
                  {"owner", HolderToJson(range.owner_)}};
    if (range.successor_) {
      value["successor"] = HolderToJson(*range.successor_);
      value["planned"] = range.planned_;
    }
    if (!range.handover_.empty()) {
      value["handover"] = range.handover_;
    }
    ranges.push_back(std::move(value));
  }
  return Json{{"service", table.service_}, {"version", table.version_}, {"ranges", ranges}}.dump();
}

Result<KeyTable> DecodeKeyTable(std::string_view text) {
  try {
    const Json value = Json::parse(text);
    KeyTable table;
    table.service_ = value.at("service").get<std::string>();
    table.version_ = value.at("version").get<std::uint64_t>();
    for (const Json& range : value.at("ranges")) {
      table.ranges_.push_back(RangeFromJson(range));
    }
    if (!IsAscending(table)) {
      return MakeError(Errc::kMalformed, kStep, {}, "ranges overlap or are out of order");
    }
    return table;
  } catch (const Json::exception& exception) {
    return MakeError(Errc::kMalformed, kStep, {}, exception.what());
  }
}

}  // namespace sassafrasbay

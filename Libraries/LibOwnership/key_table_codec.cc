#include "LibOwnership/key_table_codec.h"

#include <map>
#include <nlohmann/json.hpp>
#include <optional>
#include <utility>
#include <vector>

namespace sassafrasbay {
namespace {

using Json = nlohmann::json;

constexpr std::string_view kOperation = "decode key table";

// Records are encoded as arrays instead of objects, and each holder is encoded once, since a writer
// sends the table to every node and links of small VMs have a bandwidth of 10 Mbit/s. With named
// fields, a table of 24 upstreams had 30 KB.

/// Encoded holders in the order of their first use.
class HolderList {
 public:
  std::size_t IndexOf(const Holder& holder) {
    const auto [found, is_new] = indexes_.try_emplace(holder, indexes_.size());
    if (is_new) {
      list_.push_back(Json::array({holder.node_, holder.instance_, holder.born_ms_}));
    }
    return found->second;
  }

  const Json& List() const { return list_; }

 private:
  std::map<Holder, std::size_t> indexes_;
  Json list_ = Json::array();
};

Holder HolderFromJson(const Json& value) {
  return {value.at(0).get<std::string>(), value.at(1).get<std::string>(),
          value.at(2).get<std::int64_t>()};
}

/// Returns nothing when the range refers to a holder that isn't in `holders`.
std::optional<KeyRange> RangeFromJson(const Json& value, const std::vector<Holder>& holders) {
  KeyRange range;
  range.first_ = value.at(0).get<ShardKey>();
  range.last_ = value.at(1).get<ShardKey>();
  range.token_ = value.at(2).get<std::uint64_t>();
  const auto owner = value.at(3).get<std::size_t>();
  if (owner >= holders.size()) {
    return std::nullopt;
  }
  range.owner_ = holders[owner];
  if (!value.at(4).is_null()) {
    const auto successor = value.at(4).get<std::size_t>();
    if (successor >= holders.size()) {
      return std::nullopt;
    }
    range.successor_ = holders[successor];
  }
  range.planned_ = value.at(5).get<bool>();
  range.handover_ = value.at(6).get<std::string>();
  return range;
}

bool HasValidRanges(const KeyTable& table) {
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
  HolderList holders;
  Json ranges = Json::array();
  for (const KeyRange& range : table.ranges_) {
    const std::size_t owner = holders.IndexOf(range.owner_);
    const Json successor = range.successor_ ? Json(holders.IndexOf(*range.successor_)) : Json();
    ranges.push_back(Json::array({range.first_, range.last_, range.token_, owner, successor,
                                  range.planned_, range.handover_}));
  }
  std::string bytes;
  Json::to_cbor(Json::array({table.service_, table.version_, holders.List(), std::move(ranges)}),
                bytes);
  return bytes;
}

Result<KeyTable> DecodeKeyTable(std::string_view bytes) {
  const Json value = Json::from_cbor(bytes, true, false);
  if (!value.is_array()) {
    return MakeError(Errc::kMalformed, kOperation, {}, "expected a CBOR array");
  }
  KeyTable table;
  try {
    table.service_ = value.at(0).get<std::string>();
    table.version_ = value.at(1).get<std::uint64_t>();
    std::vector<Holder> holders;
    for (const Json& holder : value.at(2)) {
      holders.push_back(HolderFromJson(holder));
    }
    for (const Json& range : value.at(3)) {
      auto decoded = RangeFromJson(range, holders);
      if (!decoded) {
        return MakeError(Errc::kMalformed, kOperation, {},
                         "a range refers to a holder that is not in the list of holders");
      }
      table.ranges_.push_back(std::move(*decoded));
    }
  } catch (const Json::exception& exception) {
    return MakeError(Errc::kMalformed, kOperation, {}, exception.what());
  }
  if (!HasValidRanges(table)) {
    return MakeError(Errc::kMalformed, kOperation, {},
                     "ranges overlap, are out of order or exceed the last shard key");
  }
  return table;
}

}  // namespace sassafrasbay

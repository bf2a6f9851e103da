#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "LibCore/error.h"
#include "LibOwnership/key_table.h"

namespace sassafrasbay {

/// Keys of the records in the topic of the system: prefix and service, or prefix and peer address.
inline constexpr std::string_view kTablePrefix = "table/";
inline constexpr std::string_view kNodePrefix = "node/";

/// Keys and values of records.
using RecordList = std::vector<std::pair<std::string, std::string>>;

/// Newest records of the topic of the system. Copies are cheap and share what hasn't changed.
struct FleetRecords {
  std::map<std::string, std::shared_ptr<const KeyTable>, std::less<>> tables_;  ///< By service.
  /// Registrations as written, by key; never null.
  std::shared_ptr<const std::map<std::string, std::string>> node_records_ =
      std::make_shared<const std::map<std::string, std::string>>();
};

/// An upstream that drains or leaves: all incarnations with this instance id that started at or
/// before a time. The same id may be used again by a later incarnation.
struct LeavingUpstream {
  std::string instance_;
  std::int64_t last_born_ms_ = 0;  ///< Unix time in milliseconds.

  friend bool operator==(const LeavingUpstream&, const LeavingUpstream&) = default;
};

/// Whether the incarnation is one of those that leave.
bool Covers(const LeavingUpstream& leaving, std::string_view instance, std::int64_t born_ms);

/// Registration of a node.
struct NodeRecord {
  std::string data_centre_;
  std::string incarnation_id_;  ///< Random id of the process.
  /// The upstream beside the node, if it drains or leaves.
  std::optional<LeavingUpstream> leaving_;
};

std::string EncodeNodeRecord(const NodeRecord& record);

/// Errors: kMalformed for anything but an object with the data centre and the id as texts, or with
/// a leaving upstream that can't be read.
Result<NodeRecord> DecodeNodeRecord(std::string_view text);

/// Null when no table of the service is known.
const KeyTable* FindTable(const FleetRecords& records, std::string_view service);

void SetTable(FleetRecords& records, KeyTable table);

/// An empty value removes the record.
void SetNodeRecord(FleetRecords& records, const std::string& key, const std::string& value);

/// Keys and values of all records, as written to the topic. Tables without ranges, which haven't
/// been written, are left out.
RecordList EncodeRecords(const FleetRecords& records);

}  // namespace sassafrasbay

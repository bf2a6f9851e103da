#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "LibCore/clock.h"
#include "LibCore/topic_position.h"
#include "LibOwnership/fleet_records.h"
#include "LibOwnership/upstream_registry.h"

namespace sassafrasbay {

/// Prefix of the key of the record that names an era whose records are settled: all that is known
/// of earlier eras has been written again. The era follows.
inline constexpr std::string_view kHistoryPrefix = "history/";

/// Newest records of the topic by key, as stored.
using StoredRecords = std::map<std::string, std::string>;

std::string HistoryKey(std::uint64_t era);

/// Versions of the tables of an era are above this one, and those of all earlier eras below it, so
/// that tokens rise although the versions of a lost history are unknown.
std::uint64_t FirstTableVersion(std::uint64_t era);

/// Whether all records of the era are valid: it has been settled, and no append of an earlier era
/// has replaced a table since.
bool IsSettled(const StoredRecords& stored, std::uint64_t era);

/// Another node that has been heard of lately.
struct SettlementPeer {
  std::string address_;
  TopicPosition tables_end_;  ///< Up to where it knows the records of a settled era.
  bool reaches_store_ = false;
  bool is_known_ = false;  ///< As IsKnownToOwners() says there.
};

/// What decides on settling the store's era.
struct SettlementView {
  std::string self_;  ///< Peer address of this node.
  BootTime now_{};
  BootTime seen_at_{};                  ///< When this process first saw that the era isn't settled.
  std::optional<BootTime> registered_;  ///< In the records that this node knows.
  bool is_isolated_ = false;            ///< It reaches less than half of the nodes.
  TopicPosition tables_end_;            ///< Up to where it knows the records of a settled era.
  std::vector<SettlementPeer> peers_;   ///< The reachable ones.
};

/// Whether a node that registered at `registered` is in the list of every node that may still renew
/// grants by promises, so that these need a promise of it.
bool IsKnownToOwners(std::optional<BootTime> registered, BootTime now);

/// Whether a process that isn't registered may give takeover promises while the store's era isn't
/// settled: by its latest heartbeat, the upstream holds nothing that an earlier process of this
/// node has taken over without the known table showing it. No append of that process can take
/// effect any more, since the era of the known records is over.
bool MayPromiseUnregistered(const UpstreamRegistry& registry, const FleetRecords& known);

/// Whether this node settles the era now: all grants that rest on lost records have ended, and no
/// other node knows more or is to settle it first.
bool ShouldSettle(const SettlementView& view);

/// The records that settle the era when appended to the `stored` ones. `known` are the records of
/// the last settled era; null if nobody remembers any, so that the stored ones count. Tables get
/// new versions and tokens; records with an empty value remove what shouldn't be stored.
RecordList SettlementRecords(const FleetRecords* known, const StoredRecords& stored,
                             std::uint64_t era, std::string_view self);

}  // namespace sassafrasbay

#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "LibConfiguration/routing_configuration.h"
#include "LibControl/records.h"

namespace sassafrasbay {

/// Number of grantors that each session should have, in data centres other than its own.
inline constexpr std::size_t kGrantorsPerSession = 2;

/// Number of offsets for which ended sessions are kept. A SessionJoined that is based on an older
/// offset is rejected.
inline constexpr Offset kEndedSessionRetention = 100'000;

/// Maximum number of key overrides of a service. This is a constant and not a setting, since all
/// nodes must agree on which records are valid.
inline constexpr std::size_t kMaxOverrides = 64;

/// A session's grantor: another session that extends its lease.
struct GrantorAssignment {
  SessionId grantor_;
  Offset since_ = 0;       ///< Offset of the record that added the grantor.
  bool attested_ = false;  ///< The grantor has attested the lapse of the current epoch.
};

/// An active session, that is, one that may own units while its lease holds.
struct Session {
  SessionJoined join_;
  Offset joined_at_ = 0;
  /// Incremented by SessionRenewed, and when a grantor ends and no session can replace it.
  std::uint64_t epoch_ = 1;
  Offset epoch_since_ = 0;  ///< Offset of the record that started the epoch.
  bool draining_ = false;
  std::vector<GrantorAssignment> grantors_;
  Offset grantors_changed_at_ = 0;  ///< Offset at which grantors were last added or removed.
};

/// What the new owners of an ended session's units need to know about it.
struct EndedSession {
  Offset ended_at_ = 0;
  /// Grantors when the session ended. They hold copies of its request tables.
  std::vector<SessionId> grantors_;
  Offset grantors_changed_at_ = 0;
};

struct PendingMove {
  SessionId to_;
  Offset token_ = 0;
};

/// An ended session that owned a unit, and the token under which it owned the unit.
struct FormerHolder {
  SessionId session_;
  Offset token_ = 0;
};

/// Maximum number of earlier holders kept for each unit. The list grows only when a unit is
/// assigned to a session that is already lost but hasn't been ended yet, so long lists are rare.
inline constexpr std::size_t kMaxEarlierHolders = 4;

/// A shard or key override, with its ownership.
struct Unit {
  SessionId owner_;  ///< Empty while no session of the service is available.
  Offset token_ = 0;
  std::optional<PendingMove> move_;
  /// The session whose request table the owner has to recover; empty when the unit is new or was
  /// handed over.
  SessionId inherited_from_;
  Offset inherited_token_ = 0;  ///< Token under which inherited_from_ held the unit.
  /// Owners before inherited_from_ that ended in turn, latest first. When inherited_from_ ended
  /// before it had recovered the request table, the grantors of these sessions hold the copies. A
  /// move clears the list.
  std::vector<FormerHolder> earlier_holders_;
};

struct Override {
  std::uint32_t unit_ = 0;  ///< kFirstOverrideUnit or above.
  Unit ownership_;
};

struct ServiceState {
  std::vector<Unit> shards_;
  std::map<std::uint64_t, Override> overrides_;  ///< By key hash.
  std::uint32_t next_override_unit_ = kFirstOverrideUnit;
};

/// The state that each node derives from the log by applying its records in order.
struct ControlState {
  Offset next_offset_ = 0;  ///< Offset of the first record not applied yet.
  std::uint64_t configuration_version_ = 0;
  Offset configuration_since_ = 0;
  std::vector<RoutingFile> files_;
  RoutingConfiguration configuration_;  ///< Derived from files_.
  std::map<SessionId, Session> sessions_;
  std::map<SessionId, EndedSession> ended_;
  std::map<std::string, ServiceState, std::less<>> services_;
};

/// A change of a unit's owner, token or move. Each one is written to the node's log.
struct PlacementDecision {
  UnitId unit_;
  SessionId from_;
  SessionId to_;
  Offset token_ = 0;
  std::string reason_;
};

/// The outcome of applying a record.
struct ApplyResult {
  bool valid_ = false;
  /// Why the record was rejected, or which moves of a valid record were ignored.
  std::string reason_;
  std::vector<PlacementDecision> decisions_;
};

/// Applies the record at `offset`, which must be state.next_offset_. A rejected record advances
/// next_offset_ and changes nothing else; with a wrong offset or rules version, next_offset_ stays
/// too. Old entries of ended_ are pruned at fixed offsets. The result depends only on the
/// arguments, so that all nodes derive the same state.
ApplyResult Apply(ControlState& state, Offset offset, const Record& record);

/// Advances next_offset_ past a record that can't be decoded.
void SkipRecord(ControlState& state, Offset offset);

const Session* FindSession(const ControlState& state, std::string_view session);
const ServiceSpec* FindService(const RoutingConfiguration& configuration, std::string_view name);
const Unit* FindUnit(const ControlState& state, const UnitId& unit);

/// Returns the shard that contains the key of an override; no value when the unit is a shard.
std::optional<std::uint32_t> ShardOfOverride(const ControlState& state, const UnitId& unit);

/// Returns the unit of a key: the key's override if there is one, otherwise its shard.
UnitId UnitOfKey(const ServiceState& service, std::string_view name, std::uint64_t key_hash);

/// Number of units that `session` owns. A unit with a running move counts for its target instead.
std::size_t CountUnits(const ControlState& state, std::string_view session);

/// Calls visit(UnitId, Unit&) for each shard and override of a service, in a fixed order.
template <typename Service, typename Visit>
void ForEachUnit(std::string_view name, Service& service, Visit visit) {
  UnitId id{std::string(name), 0};
  for (auto& shard : service.shards_) {
    visit(id, shard);
    ++id.unit_;
  }
  for (auto& [hash, entry] : service.overrides_) {
    id.unit_ = entry.unit_;
    visit(id, entry.ownership_);
  }
}

}  // namespace sassafrasbay

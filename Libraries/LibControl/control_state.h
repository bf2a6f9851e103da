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

/// Grantors that a session normally has, each in another data centre than the session.
inline constexpr std::size_t kGrantorsPerSession = 2;

/// Offsets for which ended sessions are remembered; an older SessionJoined is void.
inline constexpr Offset kEndedSessionRetention = 100'000;

/// Bound of the key overrides of a service. A constant, since all nodes must agree on validity.
inline constexpr std::size_t kMaxOverrides = 64;

struct GrantorAssignment {
  SessionId grantor_;
  Offset since_ = 0;       ///< Offset of the record that made it a grantor.
  bool attested_ = false;  ///< Has attested the lapse of the present epoch.
};

/// An active session, that is, one that may own units while its lease holds.
struct Session {
  SessionJoined join_;
  Offset joined_at_ = 0;
  /// Incremented by SessionRenewed and by the loss of a grantor that nobody replaces.
  std::uint64_t epoch_ = 1;
  Offset epoch_since_ = 0;  ///< Offset of the record that started the epoch.
  bool draining_ = false;
  std::vector<GrantorAssignment> grantors_;
  Offset grantors_changed_at_ = 0;  ///< Offset at which grantors were last added or removed.
};

/// What a successor needs to know about a session that has ended.
struct EndedSession {
  Offset ended_at_ = 0;
  std::vector<SessionId> grantors_;  ///< At the end; they hold copies of its request tables.
  Offset grantors_changed_at_ = 0;
};

struct PendingMove {
  SessionId to_;
  Offset token_ = 0;
};

/// An ended session that held a unit, and the token it held it under.
struct FormerHolder {
  SessionId session_;
  Offset token_ = 0;
};

/// Earlier holders remembered for each unit. Only sessions that were lost but had not ended yet
/// when they inherited make the list longer, so more than a few in a row are rare.
inline constexpr std::size_t kMaxEarlierHolders = 4;

/// Ownership of a shard or key override.
struct Unit {
  SessionId owner_;  ///< Empty while no session of the service is available.
  Offset token_ = 0;
  std::optional<PendingMove> move_;
  /// The session whose request table the owner has to recover; empty when the unit is new or was
  /// handed over.
  SessionId inherited_from_;
  Offset inherited_token_ = 0;  ///< Token under which inherited_from_ held the unit.
  /// From whom inherited_from_ had inherited, latest first. When it ended before it had recovered
  /// the request table, the copies are with the grantors of these. Empty from a move on.
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

/// The value that every node derives from the log.
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

/// A change of owner, for the log line that each placement decision gets.
struct PlacementDecision {
  UnitId unit_;
  SessionId from_;
  SessionId to_;
  Offset token_ = 0;
  std::string reason_;
};

struct ApplyResult {
  bool valid_ = false;
  /// Why the record is void, or which parts of a valid record were ignored.
  std::string reason_;
  std::vector<PlacementDecision> decisions_;
};

/// Applies the record at `offset`, which must be state.next_offset_. Void records change nothing
/// but next_offset_; a wrong offset or rules version not even that. At fixed offsets, ended
/// sessions are forgotten. Deterministic.
ApplyResult Apply(ControlState& state, Offset offset, const Record& record);

/// Skips a record that can't be decoded.
void SkipRecord(ControlState& state, Offset offset);

const Session* FindSession(const ControlState& state, std::string_view session);
const ServiceSpec* FindService(const RoutingConfiguration& configuration, std::string_view name);
const Unit* FindUnit(const ControlState& state, const UnitId& unit);

/// Maps a key hash to its unit: its override if there is one, its shard otherwise.
UnitId UnitOfKey(const ServiceState& service, std::string_view name, std::uint64_t key_hash);

/// Number of units of `session`; a moving unit counts for its target only.
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

#pragma once

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "LibConfiguration/routing_configuration.h"

namespace sassafrasbay {

using Offset = std::uint64_t;
using SessionId = std::string;  ///< 32 hexadecimal digits.

/// Version of the rules by which records are applied. A node stops at a record whose version it
/// doesn't support.
inline constexpr std::uint32_t kRulesVersion = 1;

/// Units from this index on are key overrides; lower indexes are shards.
inline constexpr std::uint32_t kFirstOverrideUnit = 1U << 24U;

struct UnitId {
  std::string service_;
  std::uint32_t unit_ = 0;
  auto operator<=>(const UnitId&) const = default;
};

struct ConfigurationPublished {
  std::uint64_t base_version_ = 0;
  std::string publisher_;
  std::vector<RoutingFile> files_;
};

struct SessionJoined {
  SessionId session_;
  Offset based_on_ = 0;  ///< Next offset that the writer would have read when it wrote the record.
  std::string node_;
  std::string callers_address_;
  std::string traffic_address_;
  std::string control_address_;
  std::string data_centre_;
  std::string region_;
  std::string service_;
  bool checks_grants_ = false;
  std::uint32_t slots_ = 0;
  std::uint32_t connections_ = 0;
  /// Duration of the session's lease. Its grantors wait for this duration before they attest a
  /// lapse, whatever their own settings say.
  std::uint32_t lease_ms_ = 1000;
};

struct SessionRenewed {
  SessionId session_;
  std::uint64_t epoch_ = 0;  ///< The new epoch: the current one + 1.
};

struct LapseAttested {
  SessionId session_;
  std::uint64_t epoch_ = 0;
  SessionId grantor_;
};

struct SessionDraining {
  SessionId session_;
};

struct SessionEnded {
  SessionId session_;
};

struct Move {
  UnitId unit_;
  SessionId from_;
  SessionId to_;
  Offset base_token_ = 0;
};

struct MovesStarted {
  std::vector<Move> moves_;
  std::string reason_;
};

struct CompletedMove {
  UnitId unit_;
  Offset token_ = 0;  ///< Offset of the MovesStarted record.
};

struct MovesCompleted {
  SessionId session_;  ///< The new owner.
  std::vector<CompletedMove> moves_;
};

struct KeySplit {
  std::string service_;
  std::uint64_t key_hash_ = 0;
  Offset base_token_ = 0;  ///< Token of the shard that holds the key.
};

struct KeyMerged {
  std::string service_;
  std::uint64_t key_hash_ = 0;
  Offset base_token_ = 0;  ///< Token of the override.
};

struct Checkpoint {
  Offset through_offset_ = 0;  ///< Offset of the last record that is applied in the state.
  std::string state_;          ///< Result of EncodeState().
};

using RecordBody = std::variant<ConfigurationPublished, SessionJoined, SessionRenewed,
                                LapseAttested, SessionDraining, SessionEnded, MovesStarted,
                                MovesCompleted, KeySplit, KeyMerged, Checkpoint>;

/// A record of the log, encoded as one CBOR map.
struct Record {
  std::string id_;  ///< RandomId(); identifies the record in the log when the append got no answer.
  std::uint32_t rules_version_ = kRulesVersion;
  RecordBody body_;
};

}  // namespace sassafrasbay

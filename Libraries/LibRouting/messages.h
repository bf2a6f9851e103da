#pragma once

#include <chrono>
#include <cstdint>
#include <string>
#include <string_view>
#include <utility>
#include <variant>
#include <vector>

#include "LibControl/lease.h"
#include "LibControl/records.h"
#include "LibCore/http_message.h"

namespace sassafrasbay {

/// What is known of a caller's request when it is answered.
enum class Outcome { kAnswered, kNotRun, kUnknown };

/// "answered", "not-run" or "unknown", as in the header Sassafrasbay-Outcome.
std::string_view ToString(Outcome outcome);

/// The whole answer to a caller's request.
struct RoutedAnswer {
  Outcome outcome_ = Outcome::kNotRun;
  HttpResponse response_;
  std::string reason_;
};

/// A caller's request on its way from the ingress to the owner.
struct Forward {
  std::uint64_t number_ = 0;  ///< Correlates the answer on this connection.
  UnitId unit_;
  std::uint64_t key_hash_ = 0;
  std::string request_id_;
  std::string class_;
  HttpRequest request_;
  std::string idempotency_key_;
  std::uint32_t remaining_ms_ = 0;  ///< Of the deadline.
};

struct Answer {
  std::uint64_t number_ = 0;
  RoutedAnswer answer_;
  SessionId owner_hint_;  ///< Set when the receiver isn't the owner and knows who is.
};

struct Cancel {
  std::uint64_t number_ = 0;
};

enum class EntryPhase { kStarted, kDone };

/// One idempotency key of a request table.
struct TableEntry {
  UnitId unit_;
  std::string id_;
  std::uint64_t fingerprint_ = 0;
  EntryPhase phase_ = EntryPhase::kStarted;
  RoutedAnswer answer_;  ///< Meaningful when the phase is kDone.
};

/// A copy of an entry, sent by the owner to its grantors.
struct CopyEntry {
  std::uint64_t number_ = 0;
  SessionId session_;
  TableEntry entry_;
};

/// The whole table of a session, sent to its grantors after they or its units changed.
struct CopyTable {
  std::uint64_t number_ = 0;
  SessionId session_;
  /// Every covered unit's table holds all ids that ran; without this a successor would take the
  /// copy of an incomplete table for a complete one.
  bool complete_ = false;
  Offset grantors_changed_at_ = 0;
  std::vector<std::pair<UnitId, Offset>> units_;  ///< Units covered, with their tokens.
  std::vector<TableEntry> entries_;
};

struct CopyAck {
  std::uint64_t number_ = 0;
};

/// Asks a grantor of an ended session for its copies.
struct TableRequest {
  std::uint64_t number_ = 0;
  SessionId session_;
  std::vector<std::pair<UnitId, Offset>> units_;  ///< With the tokens the session held them under.
};

struct TableReply {
  std::uint64_t number_ = 0;
  SessionId session_;
  bool complete_ = false;
  Offset grantors_changed_at_ = 0;
  std::vector<TableEntry> entries_;
};

/// The old owner's release of a unit, with its request table.
struct Handover {
  std::uint64_t number_ = 0;
  UnitId unit_;
  Offset token_ = 0;  ///< Offset of the MovesStarted record.
  bool complete_ = false;
  std::vector<TableEntry> entries_;
};

struct HandoverAck {
  std::uint64_t number_ = 0;
};

struct Suspect {
  std::uint64_t fingerprint_ = 0;
  std::uint32_t crashes_ = 0;
};

using TrafficMessage = std::variant<Forward, Answer, Cancel, CopyEntry, CopyTable, CopyAck,
                                    TableRequest, TableReply, Handover, HandoverAck, Suspect>;

struct SnapshotRequest {};

struct SnapshotReply {
  std::string state_;  ///< EncodeState().
};

/// Load of the sender's units, for the planner. Loads are requests per second, decayed.
struct LoadReport {
  SessionId session_;
  double total_ = 0;
  std::vector<std::pair<UnitId, double>> units_;            ///< The heaviest units only.
  std::vector<std::pair<std::uint64_t, double>> hot_keys_;  ///< Key hash and load.
};

using ControlMessage =
    std::variant<Heartbeat, HeartbeatAck, SnapshotRequest, SnapshotReply, LoadReport>;

}  // namespace sassafrasbay

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

/// Whether a caller's request ran, as far as this is known when it is answered.
enum class Outcome { kAnswered, kNotRun, kUnknown };

/// Returns "answered", "not-run" or "unknown", the values of the header Sassafrasbay-Outcome.
std::string_view ToString(Outcome outcome);

/// The complete answer to a caller's request.
struct RoutedAnswer {
  Outcome outcome_ = Outcome::kNotRun;
  HttpResponse response_;
  std::string reason_;
};

/// A caller's request, sent by the ingress node to the owner.
struct Forward {
  std::uint64_t number_ = 0;  ///< Correlates the answer with the request on this connection.
  UnitId unit_;
  std::uint64_t key_hash_ = 0;
  std::string request_id_;
  std::string class_;
  HttpRequest request_;
  std::string idempotency_key_;
  std::uint32_t remaining_ms_ = 0;  ///< Time until the caller's deadline.
};

/// Answers a Forward.
struct Answer {
  std::uint64_t number_ = 0;
  RoutedAnswer answer_;
  SessionId owner_hint_;  ///< Set when the sender isn't the owner but knows which session is.
};

/// Cancels a Forward whose caller has disconnected.
struct Cancel {
  std::uint64_t number_ = 0;
};

enum class EntryPhase { kStarted, kDone };

/// Entry of a request table for one idempotency key.
struct TableEntry {
  UnitId unit_;
  std::string id_;
  std::uint64_t fingerprint_ = 0;
  EntryPhase phase_ = EntryPhase::kStarted;
  RoutedAnswer answer_;  ///< Set when the phase is kDone.
};

/// A copy of a table entry, sent by the owner to its grantors.
struct CopyEntry {
  std::uint64_t number_ = 0;
  SessionId session_;
  TableEntry entry_;
};

/// The complete table of a session, sent to its grantors after the grantors or the units of the
/// session have changed.
struct CopyTable {
  std::uint64_t number_ = 0;
  SessionId session_;
  /// The tables of all covered units hold every id that ran. Without this flag a successor would
  /// take the copy of an incomplete table for a complete one.
  bool complete_ = false;
  Offset grantors_changed_at_ = 0;
  std::vector<std::pair<UnitId, Offset>> units_;  ///< The covered units and their tokens.
  std::vector<TableEntry> entries_;
};

/// Acknowledges a CopyEntry or a CopyTable.
struct CopyAck {
  std::uint64_t number_ = 0;
};

/// Asks a grantor of an ended session for its copies of the session's tables.
struct TableRequest {
  std::uint64_t number_ = 0;
  SessionId session_;
  /// The units and the tokens under which the session held them.
  std::vector<std::pair<UnitId, Offset>> units_;
};

/// Answers a TableRequest.
struct TableReply {
  std::uint64_t number_ = 0;
  SessionId session_;
  bool complete_ = false;
  Offset grantors_changed_at_ = 0;
  std::vector<TableEntry> entries_;
};

/// Sent by the previous owner when it releases a unit, with the request table of the unit.
struct Handover {
  std::uint64_t number_ = 0;
  UnitId unit_;
  Offset token_ = 0;  ///< Offset of the MovesStarted record.
  bool complete_ = false;
  std::vector<TableEntry> entries_;
};

/// Acknowledges a Handover.
struct HandoverAck {
  std::uint64_t number_ = 0;
};

/// A request that was in flight when upstreams crashed, with the number of these crashes.
struct Suspect {
  std::uint64_t fingerprint_ = 0;
  std::uint32_t crashes_ = 0;
};

using TrafficMessage = std::variant<Forward, Answer, Cancel, CopyEntry, CopyTable, CopyAck,
                                    TableRequest, TableReply, Handover, HandoverAck, Suspect>;

struct SnapshotRequest {};

struct SnapshotReply {
  std::string state_;  ///< Encoded by EncodeState().
};

/// Load of the sender's units, for the planner. Loads are exponentially decayed requests per
/// second.
struct LoadReport {
  SessionId session_;
  double total_ = 0;
  std::vector<std::pair<UnitId, double>> units_;  ///< Only the units with the highest load.
  std::vector<std::pair<std::uint64_t, double>> hot_keys_;  ///< Key hashes and loads.
};

using ControlMessage =
    std::variant<Heartbeat, HeartbeatAck, SnapshotRequest, SnapshotReply, LoadReport>;

}  // namespace sassafrasbay

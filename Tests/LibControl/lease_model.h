#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "LibControl/control_state.h"
#include "LibControl/lease.h"

// A model of several VMs that run the real fold and the real lease decisions under faults. Real
// time is counted in microseconds; each VM's clock runs at its own rate, at most the drift margin
// apart.

namespace sassafrasbay::testing {

using RealTime = std::int64_t;  ///< Microseconds.

inline constexpr RealTime kMillisecond = 1000;
inline constexpr RealTime kSecond = 1000 * kMillisecond;

/// Which rules the modelled nodes follow; the defaults are the design's.
struct ModelOptions {
  LeaseSettings terms_;
  LeaseSettings attestation_terms_;  ///< From which grantors derive how long they wait.
  bool rule_two_ = true;             ///< A grantor acknowledges only while its own lease holds.
  bool silent_after_end_ = true;     ///< Nothing is acknowledged after SessionEnded was sent.
  bool republishes_ = false;         ///< Operators remove the service and publish it again.
  RealTime duration_ = 30 * kSecond;
  bool trace_ = false;
};

/// What happened, to show that a history was not vacuous.
struct ModelCounts {
  std::size_t lapses_ = 0;  ///< Sessions ended by attestation.
  std::size_t graceful_ends_ = 0;
  std::size_t moves_ = 0;
  std::size_t renewals_ = 0;
  std::size_t direct_claims_ = 0;  ///< Steps in which a move target served after a direct release.
  std::size_t claims_ = 0;
  std::size_t compared_states_ = 0;
};

struct ModelResult {
  std::string violation_;  ///< Empty when every check held.
  ModelCounts counts_;
  std::vector<std::string> trace_;
};

/// Runs one history; equal arguments give equal histories.
ModelResult RunHistory(std::uint64_t seed, const ModelOptions& options);

/// The direct release of a unit to the target of its move.
struct Release {
  UnitId unit_;
  Offset token_ = 0;
};

struct Message {
  int from_vm_ = 0;
  std::size_t to_process_ = 0;
  std::variant<Heartbeat, HeartbeatAck, Release> body_;
};

/// A record that its writer has not read back yet.
struct Unconfirmed {
  Record record_;
  BootTime first_sent_{};
  BootTime last_sent_{};
};

/// One run of the node program on a VM.
struct Process {
  std::size_t index_ = 0;
  int vm_ = 0;
  bool alive_ = true;
  bool active_ = false;      ///< Has read its own join.
  bool ended_sent_ = false;  ///< Has sent SessionEnded; serves and acknowledges nothing any more.
  SessionJoined join_;
  ControlState state_;
  HolderLease lease_;
  GrantorState grantor_;
  std::map<std::string, Unconfirmed> unconfirmed_;
  std::map<std::uint64_t, BootTime> heartbeats_;  ///< Send times by sequence.
  std::map<UnitId, Offset> received_;             ///< Releases received: tokens of the moves.
  std::set<std::pair<UnitId, Offset>> released_;  ///< Units released, with the token given up.
  std::uint64_t sequence_ = 0;
  BootTime next_heartbeat_{};
  BootTime next_renewal_{};
  RealTime paused_until_ = 0;
  bool was_paused_ = false;
};

struct Vm {
  std::int64_t clock_rate_ = 1000;  ///< Nanoseconds on its clock for a microsecond.
  std::int64_t clock_start_ = 0;
  std::string data_centre_;
  RealTime log_cut_until_ = 0;
  RealTime reads_stalled_until_ = 0;
  RealTime restart_at_ = 0;
};

/// The whole fleet with its network and its log.
struct Model {
  ModelOptions options_;
  std::mt19937_64 random_;
  RealTime now_ = 0;
  int fault_interval_ms_ = 1000;  ///< Mean time between faults.
  int late_percent_ = 2;          ///< Messages and appends that are late or lost.
  std::vector<Vm> vms_;
  std::vector<Process> processes_;
  std::multimap<RealTime, Message> network_;
  std::multimap<RealTime, Record> appends_;
  std::map<std::pair<int, int>, RealTime> cuts_;  ///< Links from VM to VM that are cut until then.
  std::multimap<RealTime, SessionId> later_losses_;
  RealTime log_down_until_ = 0;
  std::vector<Record> log_;
  std::vector<std::string> encoded_;  ///< State after each record of the log.
  ControlState truth_;
  std::map<UnitId, Offset> highest_tokens_;
  std::map<std::uint64_t, Offset> claimed_tokens_;  ///< Latest token that served a key.
  std::uint64_t ids_ = 0;
  ModelResult result_;
};

/// A number from 0 to bound - 1.
std::uint64_t Draw(Model& model, std::uint64_t bound);
bool Chance(Model& model, int per_mille);
void Trace(Model& model, const std::string& line);
void Fail(Model& model, const std::string& violation);
BootTime LocalTime(const Model& model, int vm);

void SendMessage(Model& model, int from_vm, std::string_view to_session,
                 std::variant<Heartbeat, HeartbeatAck, Release> body);
void SendAppend(Model& model, int vm, const Record& record);
bool IsLogReachable(const Model& model, int vm);

void StartProcess(Model& model, int vm);
void StopProcess(Model& model, Process& process, RealTime restart_delay);
void StepProcess(Model& model, Process& process);
void Receive(Model& model, Process& process, const Message& message);

/// The token under which the process may serve the unit now; nothing when it may not.
std::optional<Offset> ClaimOf(const Model& model, const Process& process, const UnitId& unit);

}  // namespace sassafrasbay::testing

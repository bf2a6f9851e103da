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

// A simulation of several VMs that run the real fold and the real lease rules under injected
// faults. Simulated real time is counted in microseconds. Each VM's clock runs at its own rate; the
// rates differ by at most the drift margin.

namespace sassafrasbay::testing {

using RealTime = std::int64_t;  ///< Microseconds.

inline constexpr RealTime kMillisecond = 1000;
inline constexpr RealTime kSecond = 1000 * kMillisecond;

/// Rules that the simulated nodes follow. The defaults are those of the design; tests change them
/// to show that the checks find violations.
struct ModelOptions {
  LeaseSettings lease_settings_;
  /// Settings from which grantors derive their attestation delay.
  LeaseSettings attestation_settings_;
  /// A grantor acknowledges only while its own lease holds.
  bool acknowledging_requires_lease_ = true;
  /// A session that has sent SessionEnded acknowledges nothing.
  bool stops_acknowledging_after_end_ = true;
  /// Operators repeatedly remove the service and publish it again.
  bool republishes_service_ = false;
  RealTime duration_ = 30 * kSecond;
  bool trace_ = false;
};

/// Numbers of events in a history, to check that it exercises the rules. A claim is the right of a
/// process to serve a key at one moment.
struct ModelCounts {
  std::size_t lapses_ = 0;  ///< Sessions ended by attestation.
  std::size_t graceful_ends_ = 0;
  std::size_t moves_ = 0;
  std::size_t renewals_ = 0;
  std::size_t claims_after_direct_release_ = 0;  ///< Claims of move targets after a direct release.
  std::size_t claims_ = 0;
  std::size_t compared_states_ = 0;
};

struct ModelResult {
  std::string violation_;  ///< Empty when every check held.
  ModelCounts counts_;
  std::vector<std::string> trace_;
};

/// Runs one history. It depends only on the arguments.
ModelResult RunHistory(std::uint64_t seed, const ModelOptions& options);

/// Message by which the owner releases a unit directly to the target of its move.
struct Release {
  UnitId unit_;
  Offset token_ = 0;
};

struct Message {
  int from_vm_ = 0;
  std::size_t to_process_ = 0;
  std::variant<Heartbeat, HeartbeatAck, Release> body_;
};

/// A record that its writer has sent to the log and not read back yet.
struct UnconfirmedRecord {
  Record record_;
  BootTime first_sent_{};
  BootTime last_sent_{};
};

/// One run of the node program on a VM.
struct Process {
  std::size_t index_ = 0;
  int vm_ = 0;
  bool alive_ = true;
  bool active_ = false;      ///< The process has read its own join.
  bool ended_sent_ = false;  ///< The process has sent SessionEnded and serves nothing any more.
  SessionJoined join_;
  ControlState state_;
  HolderLease lease_;
  GrantorState grantor_;
  std::map<std::string, UnconfirmedRecord> unconfirmed_records_;
  std::map<std::uint64_t, BootTime> heartbeats_;  ///< Send times by sequence number.
  /// Units that were released to this process, with the tokens of their moves.
  std::map<UnitId, Offset> received_releases_;
  /// Units that this process has released, with the tokens under which it had owned them.
  std::set<std::pair<UnitId, Offset>> released_units_;
  std::uint64_t sequence_ = 0;
  BootTime next_heartbeat_{};
  BootTime next_renewal_{};
  RealTime paused_until_ = 0;
  bool was_paused_ = false;
};

struct Vm {
  std::int64_t clock_rate_ = 1000;  ///< Nanoseconds on the VM's clock per microsecond of real time.
  std::int64_t clock_start_ = 0;
  std::string data_centre_;
  RealTime log_cut_until_ = 0;
  RealTime reads_stalled_until_ = 0;
  RealTime restart_at_ = 0;
};

/// The simulated fleet with its network and its log.
struct Model {
  ModelOptions options_;
  std::mt19937_64 random_;
  RealTime now_ = 0;
  int fault_interval_ms_ = 1000;  ///< Mean time between faults.
  int late_or_lost_percent_ = 2;  ///< Percentage of messages and appends that are late or lost.
  std::vector<Vm> vms_;
  std::vector<Process> processes_;
  std::multimap<RealTime, Message> network_;
  std::multimap<RealTime, Record> appends_;
  std::map<std::pair<int, int>, RealTime> link_cut_until_;  ///< By sending and receiving VM.
  std::multimap<RealTime, SessionId> scheduled_failures_;
  RealTime log_down_until_ = 0;
  std::vector<Record> log_;
  std::vector<std::string> encoded_states_;  ///< Encoded state after each record of the log.
  ControlState reference_state_;
  std::map<UnitId, Offset> max_tokens_;
  std::map<std::uint64_t, Offset> claimed_tokens_;  ///< Latest token under which a key was served.
  std::uint64_t ids_ = 0;
  ModelResult result_;
};

/// Draws a random number from 0 to bound - 1.
std::uint64_t Draw(Model& model, std::uint64_t bound);
/// Returns true with a probability of `per_mille` / 1000.
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

/// Returns the token under which the process may serve the unit now, or nothing when it may not.
std::optional<Offset> FindClaimToken(const Model& model, const Process& process,
                                     const UnitId& unit);

}  // namespace sassafrasbay::testing

#include "LibControl/lease_model.h"

#include <algorithm>

#include "LibControl/control_fixtures.h"
#include "LibControl/record_codec.h"

namespace sassafrasbay::testing {
namespace {

constexpr std::uint64_t kKeyCount = 6;  ///< Keys 0 to 5 of four shards; 4 and 5 may get overrides.
constexpr RealTime kMaxStep = 16 * kMillisecond;
constexpr std::size_t kMaxProcesses = 200;

RealTime DrawTime(Model& model, RealTime from, RealTime to) {
  return from + static_cast<RealTime>(Draw(model, static_cast<std::uint64_t>(to - from)));
}

int DrawVm(Model& model) { return static_cast<int>(Draw(model, model.vms_.size())); }

/// Appends a record to the log and applies it to the reference state.
void AppendToLog(Model& model, const Record& record) {
  const Offset offset = model.log_.size();
  const std::size_t sessions = model.reference_state_.sessions_.size();
  const ApplyResult result = Apply(model.reference_state_, offset, record);
  model.log_.push_back(record);
  model.encoded_states_.push_back(EncodeState(model.reference_state_));
  ModelCounts& counts = model.result_.counts_;
  const bool ended = model.reference_state_.sessions_.size() < sessions;
  counts.lapses_ += ended && std::holds_alternative<LapseAttested>(record.body_) ? 1 : 0;
  counts.graceful_ends_ += ended && std::holds_alternative<SessionEnded>(record.body_) ? 1 : 0;
  counts.moves_ += result.valid_ && std::holds_alternative<MovesCompleted>(record.body_) ? 1 : 0;
  counts.renewals_ += result.valid_ && std::holds_alternative<SessionRenewed>(record.body_);
  if (model.options_.trace_) {
    Trace(model, "offset " + std::to_string(offset) + " type " +
                     std::to_string(record.body_.index()) + " id " + record.id_ +
                     (result.valid_ ? " valid" : " invalid: " + result.reason_));
    for (const PlacementDecision& decision : result.decisions_) {
      Trace(model, "  unit " + std::to_string(decision.unit_.unit_) + " " + decision.from_ +
                       " -> " + decision.to_ + " " + decision.reason_);
    }
  }
}

void CheckTokens(Model& model) {
  for (const auto& [name, service] : model.reference_state_.services_) {
    for (std::uint64_t key = 0; key < kKeyCount; ++key) {
      const UnitId id = UnitOfKey(service, name, key);
      const Offset token = FindUnit(model.reference_state_, id)->token_;
      Offset& max_token = model.max_tokens_[id];
      if (token < max_token) {
        Fail(model, "token of unit " + std::to_string(id.unit_) + " decreased");
      }
      max_token = token;
    }
  }
}

/// Checks that at most one process may serve each key. A stopped or paused process counts too,
/// since a request that it has forwarded to its upstream may run until its lease ends.
void CheckClaims(Model& model) {
  for (std::uint64_t key = 0; key < kKeyCount; ++key) {
    const Process* claimant = nullptr;
    for (const Process& process : model.processes_) {
      const auto service = process.state_.services_.find("s");
      if (!process.active_ || service == process.state_.services_.end()) {
        continue;
      }
      const auto token = FindClaimToken(model, process, UnitOfKey(service->second, "s", key));
      if (!token) {
        continue;
      }
      ++model.result_.counts_.claims_;
      const Unit* unit = FindUnit(process.state_, UnitOfKey(service->second, "s", key));
      model.result_.counts_.claims_after_direct_release_ +=
          unit->owner_ != process.join_.session_ ? 1 : 0;
      if (claimant != nullptr) {
        Fail(model, "key " + std::to_string(key) + " is served by " + claimant->join_.session_ +
                        " and " + process.join_.session_);
      }
      claimant = &process;
      Offset& latest = model.claimed_tokens_[key];
      if (*token < latest) {
        Fail(model, "key " + std::to_string(key) + " is served under an older token");
      }
      latest = *token;
    }
  }
}

void CutLink(Model& model, RealTime until) {
  const int from = DrawVm(model);
  const int to = DrawVm(model);
  model.link_cut_until_[{from, to}] = until;
  Trace(model, "cut from VM " + std::to_string(from) + " to VM " + std::to_string(to));
}

void Partition(Model& model, RealTime until) {
  std::set<int> group;
  for (std::uint64_t size = 1 + Draw(model, 3); size > 0; --size) {
    group.insert(DrawVm(model));
  }
  const bool includes_log = Chance(model, 600);
  std::string members;
  for (const int inside : group) {
    members += " " + std::to_string(inside);
    for (int other = 0; other < static_cast<int>(model.vms_.size()); ++other) {
      if (!group.contains(other)) {
        model.link_cut_until_[{inside, other}] = until;
        model.link_cut_until_[{other, inside}] = until;
      }
    }
    if (includes_log) {
      model.vms_[inside].log_cut_until_ = until;
    }
  }
  Trace(model, "partition of VMs" + members + (includes_log ? " with log" : ""));
}

/// Stops or pauses a process.
void StopOrPauseProcess(Model& model, Process& target) {
  if (Chance(model, 500)) {
    StopProcess(model, target, DrawTime(model, 100 * kMillisecond, 4 * kSecond));
  } else {
    Trace(model, target.join_.session_ + " is paused");
    target.paused_until_ = model.now_ + DrawTime(model, 50 * kMillisecond, 5 * kSecond);
  }
}

/// Stops or pauses a random process. Half of the time one of its grantors follows within three
/// seconds, since the loss of a session and then of its grantor is the hard case for the lease
/// rules.
void FailRandomProcess(Model& model) {
  std::vector<std::size_t> alive;
  for (const Process& process : model.processes_) {
    if (process.alive_) {
      alive.push_back(process.index_);
    }
  }
  if (alive.empty()) {
    return;
  }
  Process& target = model.processes_[alive[Draw(model, alive.size())]];
  const Session* session = FindSession(target.state_, target.join_.session_);
  if (session != nullptr && !session->grantors_.empty() && Chance(model, 500)) {
    const std::size_t next = Draw(model, session->grantors_.size());
    model.scheduled_failures_.emplace(model.now_ + DrawTime(model, 0, 3 * kSecond),
                                      session->grantors_[next].grantor_);
  }
  StopOrPauseProcess(model, target);
}

void FailScheduledProcesses(Model& model) {
  while (!model.scheduled_failures_.empty() &&
         model.scheduled_failures_.begin()->first <= model.now_) {
    const SessionId session = model.scheduled_failures_.begin()->second;
    model.scheduled_failures_.erase(model.scheduled_failures_.begin());
    for (Process& process : model.processes_) {
      if (process.alive_ && process.join_.session_ == session) {
        StopOrPauseProcess(model, process);
      }
    }
  }
}

void InjectFault(Model& model) {
  const RealTime until = model.now_ + DrawTime(model, 50 * kMillisecond, 5 * kSecond);
  switch (Draw(model, 8)) {
    case 0:
    case 1:
      return FailRandomProcess(model);
    case 2:
      return CutLink(model, until);
    case 3:
    case 4:
      return Partition(model, until);
    case 5:
      Trace(model, "log is down");
      model.log_down_until_ = until;
      return;
    case 6:
      model.vms_[DrawVm(model)].log_cut_until_ = until;
      return;
    default:
      model.vms_[DrawVm(model)].reads_stalled_until_ = until;
      return;
  }
}

void DeliverMessages(Model& model) {
  while (!model.network_.empty() && model.network_.begin()->first <= model.now_) {
    const Message message = model.network_.begin()->second;
    model.network_.erase(model.network_.begin());
    Process& process = model.processes_[message.to_process_];
    const auto cut = model.link_cut_until_.find({message.from_vm_, process.vm_});
    if (!process.alive_ || (cut != model.link_cut_until_.end() && cut->second > model.now_)) {
      continue;
    }
    if (process.paused_until_ > model.now_) {
      model.network_.emplace(process.paused_until_, message);  // The message waits in the socket.
      continue;
    }
    Receive(model, process, message);
  }
}

void DeliverAppends(Model& model) {
  while (!model.appends_.empty() && model.appends_.begin()->first <= model.now_) {
    const Record record = model.appends_.begin()->second;
    model.appends_.erase(model.appends_.begin());
    if (model.log_down_until_ > model.now_) {
      model.appends_.emplace(model.log_down_until_, record);
      continue;
    }
    AppendToLog(model, record);
    CheckTokens(model);
  }
}

void Republish(Model& model) {
  std::vector<RoutingFile> files;
  if (model.reference_state_.services_.empty()) {
    files.push_back(ServiceFile("s", 4));
  }
  AppendToLog(model, {"c" + std::to_string(model.ids_++), kRulesVersion,
                      ConfigurationPublished{model.reference_state_.configuration_version_,
                                             "operator", files}});
}

void AdvanceModel(Model& model) {
  const RealTime step = DrawTime(model, 1, kMaxStep);
  model.now_ += step;
  if (Chance(model, static_cast<int>(step / model.fault_interval_ms_))) {
    InjectFault(model);
  }
  FailScheduledProcesses(model);
  if (model.options_.republishes_service_ && Chance(model, 3)) {
    Republish(model);
  }
  DeliverAppends(model);
  DeliverMessages(model);
  for (std::size_t i = 0; i < model.processes_.size(); ++i) {
    if (model.processes_[i].alive_) {
      StepProcess(model, model.processes_[i]);
    }
  }
  for (int vm = 0; vm < static_cast<int>(model.vms_.size()); ++vm) {
    RealTime& restart = model.vms_[vm].restart_at_;
    if (restart != 0 && restart <= model.now_ && model.processes_.size() < kMaxProcesses) {
      restart = 0;
      StartProcess(model, vm);
    }
  }
  CheckClaims(model);
}

void BuildFleet(Model& model) {
  const std::uint64_t vms = 2 + Draw(model, 6);
  const std::uint64_t data_centres = 1 + Draw(model, 4);
  for (std::uint64_t i = 0; i < vms; ++i) {
    Vm vm;
    // Two thirds of the clocks run at the lowest or the highest rate, since the largest difference
    // of rates is the hard case for the drift margin.
    const std::uint64_t rate_choice = Draw(model, 3);
    vm.clock_rate_ = static_cast<std::int64_t>(rate_choice == 0   ? 1000
                                               : rate_choice == 1 ? 1100
                                                                  : 1000 + Draw(model, 101));
    vm.clock_start_ = static_cast<std::int64_t>(Draw(model, 1'000'000'000'000));
    vm.data_centre_ = std::string(1, static_cast<char>('a' + i % data_centres));
    vm.restart_at_ = 1 + DrawTime(model, 0, kSecond);
    model.vms_.push_back(std::move(vm));
  }
  model.fault_interval_ms_ = static_cast<int>(200 + Draw(model, 3000));
  model.late_or_lost_percent_ = static_cast<int>(Draw(model, 8));
}

}  // namespace

std::uint64_t Draw(Model& model, std::uint64_t bound) { return model.random_() % bound; }

bool Chance(Model& model, int per_mille) {
  return Draw(model, 1000) < static_cast<std::uint64_t>(per_mille);
}

void Trace(Model& model, const std::string& line) {
  if (model.options_.trace_) {
    model.result_.trace_.push_back(std::to_string(model.now_ / kMillisecond) + " ms: " + line);
  }
}

void Fail(Model& model, const std::string& violation) {
  if (model.result_.violation_.empty()) {
    model.result_.violation_ =
        "at " + std::to_string(model.now_ / kMillisecond) + " ms: " + violation;
  }
}

BootTime LocalTime(const Model& model, int vm) {
  const Vm& clock = model.vms_[vm];
  return BootTime(std::chrono::nanoseconds(clock.clock_start_ + model.now_ * clock.clock_rate_));
}

bool IsLogReachable(const Model& model, int vm) {
  return model.log_down_until_ <= model.now_ && model.vms_[vm].log_cut_until_ <= model.now_;
}

void SendMessage(Model& model, int from_vm, std::string_view to_session,
                 std::variant<Heartbeat, HeartbeatAck, Release> body) {
  const auto target = std::ranges::find_if(model.processes_, [to_session](const Process& process) {
    return process.join_.session_ == to_session;
  });
  const auto cut = target == model.processes_.end()
                       ? model.link_cut_until_.end()
                       : model.link_cut_until_.find({from_vm, target->vm_});
  if (target == model.processes_.end() || !target->alive_ ||
      (cut != model.link_cut_until_.end() && cut->second > model.now_)) {
    return;
  }
  RealTime delay = DrawTime(model, 300, 6 * kMillisecond);
  if (Chance(model, model.late_or_lost_percent_ * 10)) {
    if (Chance(model, 300)) {
      return;  // The message is lost.
    }
    delay += DrawTime(model, 0, 3 * kSecond);
  }
  model.network_.emplace(model.now_ + delay, Message{from_vm, target->index_, std::move(body)});
}

void SendAppend(Model& model, int vm, const Record& record) {
  if (!IsLogReachable(model, vm) && Chance(model, 800)) {
    return;  // The append is lost. Otherwise it takes effect although the writer sees an error.
  }
  RealTime delay = DrawTime(model, 1 * kMillisecond, 25 * kMillisecond);
  if (Chance(model, model.late_or_lost_percent_ * 10)) {
    if (Chance(model, 300)) {
      return;
    }
    delay += DrawTime(model, 0, 8 * kSecond);
  }
  model.appends_.emplace(model.now_ + delay, record);
}

ModelResult RunHistory(std::uint64_t seed, const ModelOptions& options) {
  Model model;
  model.options_ = options;
  model.random_.seed(seed);
  BuildFleet(model);
  Republish(model);
  while (model.now_ < options.duration_ && model.result_.violation_.empty()) {
    AdvanceModel(model);
  }
  return std::move(model.result_);
}

}  // namespace sassafrasbay::testing

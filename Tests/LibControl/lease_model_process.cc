#include <algorithm>

#include "LibControl/lease_model.h"
#include "LibControl/record_codec.h"

namespace sassafrasbay::testing {
namespace {

constexpr milliseconds kRetryInterval{1500};
constexpr milliseconds kRenewalInterval{400};

void Append(Model& model, Process& process, RecordBody body) {
  const BootTime now = LocalTime(model, process.vm_);
  Record record{"r" + std::to_string(model.ids_++), kRulesVersion, std::move(body)};
  SendAppend(model, process.vm_, record);
  process.unconfirmed_records_[record.id_] = {record, now, now};
}

bool HoldsLease(const Model& model, const Process& process) {
  return !process.ended_sent_ && IsHeld(process.lease_, LocalTime(model, process.vm_));
}

/// Extends the process's lease when its join or renewal was read back as valid.
void HandleOwnRecord(Model& model, Process& process, const Record& record, bool valid) {
  const auto own = process.unconfirmed_records_.find(record.id_);
  if (own == process.unconfirmed_records_.end()) {
    return;
  }
  const auto* renewed = std::get_if<SessionRenewed>(&record.body_);
  const bool joined = std::holds_alternative<SessionJoined>(record.body_);
  if (valid && (renewed != nullptr || joined)) {
    ExtendByRecord(process.lease_, renewed != nullptr ? renewed->epoch_ : 1,
                   own->second.first_sent_, model.options_.lease_settings_);
  }
  process.unconfirmed_records_.erase(own);
}

void CompareState(Model& model, const Process& process) {
  ++model.result_.counts_.compared_states_;
  if (EncodeState(process.state_) != model.encoded_states_[process.state_.next_offset_ - 1]) {
    Fail(model, "state of " + process.join_.session_ + " differs at offset " +
                    std::to_string(process.state_.next_offset_));
  }
}

void ReadLog(Model& model, Process& process) {
  const Vm& vm = model.vms_[process.vm_];
  if (!IsLogReachable(model, process.vm_) || vm.reads_stalled_until_ > model.now_ ||
      process.state_.next_offset_ >= model.log_.size()) {
    return;
  }
  while (process.state_.next_offset_ < model.log_.size()) {
    const Offset offset = process.state_.next_offset_;
    const Record& record = model.log_[offset];
    const ApplyResult result = Apply(process.state_, offset, record);
    HandleOwnRecord(model, process, record, result.valid_);
  }
  CompareState(model, process);
  SynchronizeGrantees(process.grantor_, process.state_, process.join_.session_,
                      LocalTime(model, process.vm_));
}

void SendHeartbeats(Model& model, Process& process, const Session& own) {
  const BootTime now = LocalTime(model, process.vm_);
  if (now < process.next_heartbeat_) {
    return;
  }
  process.next_heartbeat_ = now + model.options_.lease_settings_.heartbeat_;
  process.heartbeats_[++process.sequence_] = now;
  for (const GrantorAssignment& assignment : own.grantors_) {
    SendMessage(model, process.vm_, assignment.grantor_,
                Heartbeat{process.join_.session_, own.epoch_, process.sequence_});
  }
}

void SendAttestations(Model& model, Process& process) {
  for (LapseAttested& due :
       TakeDueAttestations(process.grantor_, process.join_.session_, LocalTime(model, process.vm_),
                           model.options_.attestation_settings_)) {
    Trace(model, process.join_.session_ + " attests " + due.session_ + " epoch " +
                     std::to_string(due.epoch_));
    Append(model, process, std::move(due));
  }
}

void RenewIfNeeded(Model& model, Process& process, const Session& own) {
  const BootTime now = LocalTime(model, process.vm_);
  const bool needed = own.grantors_.empty() || !IsHeld(process.lease_, now);
  const bool pending = std::ranges::any_of(process.unconfirmed_records_, [](const auto& entry) {
    return std::holds_alternative<SessionRenewed>(entry.second.record_.body_);
  });
  if (process.ended_sent_ || !needed || pending || now < process.next_renewal_) {
    return;
  }
  process.next_renewal_ = now + kRenewalInterval;
  Append(model, process, SessionRenewed{process.join_.session_, own.epoch_ + 1});
}

/// Sends unconfirmed records again under the same id, and keeps their first send time. The fold
/// rejects duplicates.
void RetryAppends(Model& model, Process& process) {
  const BootTime now = LocalTime(model, process.vm_);
  for (auto& [id, waiting] : process.unconfirmed_records_) {
    if (now - waiting.last_sent_ >= kRetryInterval) {
      waiting.last_sent_ = now;
      SendAppend(model, process.vm_, waiting.record_);
    }
  }
}

/// Releases units that have a running move, repeats releases, and completes moves to this session.
void AdvanceMoves(Model& model, Process& process) {
  const SessionId& own = process.join_.session_;
  for (const auto& [name, service] : process.state_.services_) {
    std::vector<std::pair<UnitId, Unit>> units;
    for (std::uint32_t shard = 0; shard < service.shards_.size(); ++shard) {
      units.push_back({{name, shard}, service.shards_[shard]});
    }
    for (const auto& [hash, entry] : service.overrides_) {
      units.push_back({{name, entry.unit_}, entry.ownership_});
    }
    for (const auto& [id, unit] : units) {
      if (!unit.move_ || !Chance(model, 50)) {
        continue;
      }
      if (unit.owner_ == own) {
        process.released_units_.insert({id, unit.token_});
        SendMessage(model, process.vm_, unit.move_->to_, Release{id, unit.move_->token_});
      } else if (unit.move_->to_ == own && FindClaimToken(model, process, id)) {
        Append(model, process, MovesCompleted{own, {{id, unit.move_->token_}}});
      }
    }
  }
}

/// Proposes a move of a random unit to a random session, as the planner would.
void ProposeMove(Model& model, Process& process) {
  const auto service = process.state_.services_.find("s");
  if (service == process.state_.services_.end()) {
    return;
  }
  const UnitId id = UnitOfKey(service->second, "s", Draw(model, 6));
  const Unit* unit = FindUnit(process.state_, id);
  auto target = process.state_.sessions_.begin();
  std::advance(target, Draw(model, process.state_.sessions_.size()));
  Append(model, process, MovesStarted{{{id, unit->owner_, target->first, unit->token_}}, "model"});
}

void ProposeOverride(Model& model, Process& process) {
  const auto service = process.state_.services_.find("s");
  if (service == process.state_.services_.end()) {
    return;
  }
  const std::uint64_t key = 4 + Draw(model, 2);
  const Unit* unit = FindUnit(process.state_, UnitOfKey(service->second, "s", key));
  if (service->second.overrides_.contains(key)) {
    Append(model, process, KeyMerged{"s", key, unit->token_});
  } else {
    Append(model, process, KeySplit{"s", key, unit->token_});
  }
}

bool OwnsUnits(const Process& process) {
  for (const auto& [name, service] : process.state_.services_) {
    const auto is_own = [&](const Unit& unit) { return unit.owner_ == process.join_.session_; };
    if (std::ranges::any_of(service.shards_, is_own) ||
        std::ranges::any_of(service.overrides_,
                            [&](const auto& entry) { return is_own(entry.second.ownership_); })) {
      return true;
    }
  }
  return false;
}

void EndSession(Model& model, Process& process) {
  Trace(model, process.join_.session_ + " sends SessionEnded");
  process.ended_sent_ = true;
  Append(model, process, SessionEnded{process.join_.session_});
}

void PerformRandomOperations(Model& model, Process& process, const Session& own) {
  AdvanceMoves(model, process);
  if (own.draining_ && !OwnsUnits(process) && !process.ended_sent_) {
    EndSession(model, process);
  }
  const std::uint64_t choice = Draw(model, 6000);
  if (choice < 12) {
    ProposeMove(model, process);
  } else if (choice < 18) {
    ProposeOverride(model, process);
  } else if (choice == 18 && !own.draining_) {
    Append(model, process, SessionDraining{process.join_.session_});
  } else if (choice == 19 && !process.ended_sent_) {
    EndSession(model, process);
  }
}

}  // namespace

void StartProcess(Model& model, int vm) {
  Process process;
  process.index_ = model.processes_.size();
  process.vm_ = vm;
  const std::string number = std::to_string(process.index_);
  process.join_.session_ = "p" + std::string(number.size() < 2 ? "0" : "") + number;
  process.join_.data_centre_ = model.vms_[vm].data_centre_;
  process.join_.region_ = "r";
  process.join_.service_ = "s";
  // Processes start from a checkpoint of random age, so that states derived from a decoded
  // checkpoint are compared with states derived from the whole log.
  if (!model.encoded_states_.empty()) {
    const std::uint64_t age = Draw(model, std::min<std::size_t>(model.encoded_states_.size(), 20));
    process.state_ =
        DecodeState(model.encoded_states_[model.encoded_states_.size() - 1 - age]).value();
  }
  process.join_.based_on_ = process.state_.next_offset_;
  Trace(model, "VM " + std::to_string(vm) + " starts " + process.join_.session_ + " in " +
                   process.join_.data_centre_);
  Append(model, process, process.join_);
  model.processes_.push_back(std::move(process));
}

void StopProcess(Model& model, Process& process, RealTime restart_delay) {
  Trace(model, process.join_.session_ + " stops");
  process.alive_ = false;
  model.vms_[process.vm_].restart_at_ = model.now_ + restart_delay;
}

void StepProcess(Model& model, Process& process) {
  if (process.paused_until_ > model.now_) {
    process.was_paused_ = true;
    return;
  }
  // Safety must not depend on the detection of pauses, so half of them go undetected.
  if (process.was_paused_ && Chance(model, 500)) {
    RestartLeaseTimers(process.grantor_, LocalTime(model, process.vm_));
  }
  process.was_paused_ = false;
  ReadLog(model, process);
  RetryAppends(model, process);
  const Session* own = FindSession(process.state_, process.join_.session_);
  if (own == nullptr) {
    if (process.active_) {
      StopProcess(model, process, static_cast<RealTime>(Draw(model, kSecond)));
    }
    return;
  }
  process.active_ = true;
  SendHeartbeats(model, process, *own);
  SendAttestations(model, process);
  RenewIfNeeded(model, process, *own);
  PerformRandomOperations(model, process, *own);
}

void Receive(Model& model, Process& process, const Message& message) {
  const BootTime now = LocalTime(model, process.vm_);
  if (const auto* heartbeat = std::get_if<Heartbeat>(&message.body_)) {
    const ModelOptions& options = model.options_;
    const bool silent = process.ended_sent_ && options.stops_acknowledging_after_end_;
    const bool holding =
        !silent && (IsHeld(process.lease_, now) || !options.acknowledging_requires_lease_);
    if (Acknowledge(process.grantor_, *heartbeat, holding, now)) {
      SendMessage(model, process.vm_, heartbeat->session_,
                  HeartbeatAck{heartbeat->session_, heartbeat->epoch_, heartbeat->sequence_,
                               process.join_.session_});
    }
  } else if (const auto* ack = std::get_if<HeartbeatAck>(&message.body_)) {
    const Session* own = FindSession(process.state_, process.join_.session_);
    const auto sent = process.heartbeats_.find(ack->sequence_);
    if (own != nullptr && sent != process.heartbeats_.end()) {
      ExtendByAcknowledgement(process.lease_, *own, *ack, sent->second,
                              model.options_.lease_settings_);
    }
  } else if (const auto* release = std::get_if<Release>(&message.body_)) {
    Offset& token = process.received_releases_[release->unit_];
    token = std::max(token, release->token_);
  }
}

std::optional<Offset> FindClaimToken(const Model& model, const Process& process,
                                     const UnitId& unit) {
  const Unit* found = FindUnit(process.state_, unit);
  if (found == nullptr || !process.active_ || !HoldsLease(model, process)) {
    return std::nullopt;
  }
  if (found->owner_ == process.join_.session_ &&
      !process.released_units_.contains({unit, found->token_})) {
    return found->token_;
  }
  const auto received = process.received_releases_.find(unit);
  if (found->move_ && found->move_->to_ == process.join_.session_ &&
      received != process.received_releases_.end() && received->second == found->move_->token_) {
    return found->move_->token_;
  }
  return std::nullopt;
}

}  // namespace sassafrasbay::testing

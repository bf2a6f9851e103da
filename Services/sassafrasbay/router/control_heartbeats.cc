#include <algorithm>
#include <utility>

#include "LibCore/logging.h"
#include "platform/heartbeat_codec.h"
#include "platform/wire_names.h"
#include "router/control_thread.h"

namespace sassafrasbay {
namespace {

constexpr std::string_view kPart = "control";

/// Period after the start of the process in which the answer to a heartbeat waits for the
/// registration and the configuration.
constexpr milliseconds kStartupPeriod{3000};

/// Timeout of the probe of an upstream's port. The answer to its heartbeat waits for it.
constexpr milliseconds kProbeTimeout{400};

/// Time between two probes. A probe takes one of the upstream's slots for a moment, and another
/// writer may send heartbeats at any rate.
constexpr milliseconds kProbeInterval{800};

constexpr int kOk = 200;
constexpr int kBadRequest = 400;
constexpr int kNotFound = 404;
constexpr int kUnavailable = 503;

std::string Describe(const UpstreamHeartbeat& heartbeat) {
  return "upstream=" + heartbeat.instance_ + " born_ms=" + std::to_string(heartbeat.born_ms_) +
         " sequence=" + std::to_string(heartbeat.sequence_);
}

}  // namespace

void ControlThread::OnInstanceCall(const std::shared_ptr<HttpExchange>& exchange) {
  const auto instance_call = platform::ParseInstancePath(exchange->Request().path_);
  if (!instance_call || exchange->Request().method_ != "POST") {
    exchange->Respond({kNotFound, {}, "no such call\n"});
    return;
  }
  if (instance_call->is_leave_) {
    OnLeave(exchange, instance_call->instance_);
    return;
  }
  OnHeartbeat(exchange, instance_call->instance_);
}

void ControlThread::OnHeartbeat(const std::shared_ptr<HttpExchange>& exchange,
                                std::string_view instance) {
  auto heartbeat = platform::DecodeHeartbeat(instance, exchange->Request().body_);
  const std::string fault =
      heartbeat ? std::string(FindFault(heartbeat.value())) : ToString(heartbeat.error());
  if (!fault.empty()) {
    shared_.metrics_.Count("sassafrasbay_heartbeats_rejected_total");
    LogWarning(kPart, "heartbeat rejected instance=" + std::string(instance) + " reason=\"" +
                          fault + "\".");
    exchange->Respond({kBadRequest, {}, fault + "\n"});
    return;
  }
  const BootTime now = BootClock::now();
  const UpstreamHeartbeat received = heartbeat.value();
  const HeartbeatEffect effect =
      RecordHeartbeat(registry_, std::move(heartbeat.value()), now,
                      DoesPortDecide() ? Arbiter::kPort : Arbiter::kHeartbeats);
  if (effect == HeartbeatEffect::kOutdated) {
    shared_.metrics_.Count("sassafrasbay_heartbeats_outdated_total");
    LogInfo(kPart, Describe(received) + " heartbeat is outdated; no grant is renewed.");
    exchange->Respond(JsonResponse(kOk, "{}"));
    return;
  }
  if (effect != HeartbeatEffect::kUnconfirmed) {
    OnAcceptedHeartbeat({exchange, now, received.draining_}, received, effect);
    return;
  }
  shared_.metrics_.Count("sassafrasbay_heartbeats_unconfirmed_total");
  LogInfo(kPart, Describe(received) + " current=" + registry_.newest_->instance_ +
                     " may still run; no grant.");
  if (ColdStartTermsOf(registry_.newest_->service_)) {
    Publish();
  }
  if (pending_challenge_) {
    RespondUnconfirmed(*pending_challenge_);
  }
  pending_challenge_ = {exchange, now, received.draining_};
  ProbeUpstream();
  if (!probe_pending_) {
    RespondUnconfirmed(*std::exchange(pending_challenge_, std::nullopt));
  }
}

void ControlThread::OnAcceptedHeartbeat(const PendingHeartbeat& pending,
                                        const UpstreamHeartbeat& heartbeat,
                                        HeartbeatEffect effect) {
  if (effect == HeartbeatEffect::kNewIncarnation || heartbeat.draining_) {
    LogInfo(kPart, Describe(heartbeat) + " service=" + heartbeat.service_ +
                       " slots=" + std::to_string(heartbeat.slots_) +
                       (heartbeat.draining_ ? " state=draining." : " state=ready."));
  }
  if (effect != HeartbeatEffect::kUnchanged) {
    Publish();
    Decide();
  } else if (ColdStartTermsOf(heartbeat.service_)) {
    // Each heartbeat may say that the upstream has turned cold, or is no longer.
    Publish();
  }
  pending_heartbeats_.push_back(pending);
  ProbeUpstream();
  WriteLeaving();
  AnswerPendingHeartbeats();
}

void ControlThread::RespondUnconfirmed(const PendingHeartbeat& pending) {
  // A draining must not be acknowledged before it is recorded.
  pending.exchange_->Respond(pending.draining_
                                 ? HttpResponse{kUnavailable, {}, "not confirmed yet\n"}
                                 : JsonResponse(kOk, "{}"));
}

const KeyTable* ControlThread::LocalTable() const {
  if (!registry_.newest_) {
    return nullptr;
  }
  return FindTable(records_, registry_.newest_->service_);
}

bool ControlThread::ShouldDelayAnswer() const {
  if (!registry_.newest_ || (routes_ != nullptr && !IsSharded(registry_.newest_->service_))) {
    return false;
  }
  if (probe_pending_) {
    return true;
  }
  // A process that has just started learns the owners of the keys within milliseconds.
  if (!registered_at_ || routes_ == nullptr) {
    return BootClock::now() - started_ < kStartupPeriod;
  }
  const KeyTable* table = LocalTable();
  return table != nullptr && ExpectsRanges(*table, MakeView(table->service_));
}

// Heartbeats of other writers must not pass for a new incarnation.
std::string_view ControlThread::FindFault(const UpstreamHeartbeat& heartbeat) const {
  const platform::NodeEnvironment& environment = shared_.environment_;
  if (heartbeat.service_ != environment.service_ && FindService(heartbeat.service_) == nullptr) {
    return "no configuration in force names the service";
  }
  if (heartbeat.address_ != environment.upstream_) {
    return "the address isn't that of the upstream beside this node";
  }
  if (heartbeat.data_centre_ != environment.data_centre_) {
    return "the data centre isn't that of this node";
  }
  if (IsSharded(heartbeat.service_) && !heartbeat.lists_keys_) {
    return "the keys that are held and released are missing";
  }
  return {};
}

const RoutedService* ControlThread::FindService(const std::string& service) const {
  if (routes_ == nullptr) {
    return nullptr;
  }
  const auto found = routes_->services_.find(service);
  return found == routes_->services_.end() ? nullptr : &found->second;
}

std::optional<ColdStartTerms> ControlThread::ColdStartTermsOf(const std::string& service) const {
  const RoutedService* found = FindService(service);
  if (found == nullptr || !found->cold_per_second_) {
    return std::nullopt;
  }
  const platform::NodeEnvironment& environment = shared_.environment_;
  return ColdStartTerms{found->cold_start_.value_or(milliseconds(0)),
                        *found->cold_per_second_ * std::min(1.0, environment.cold_excess_),
                        environment.cold_slack_};
}

bool ControlThread::IsSharded(const std::string& service) const {
  const RoutedService* found = FindService(service);
  return found != nullptr && found->sharded_;
}

HeartbeatAnswer ControlThread::MakeHeartbeatAnswer() const {
  HeartbeatAnswer answer;
  const KeyTable* table = LocalTable();
  if (table == nullptr || registry_.local_upstream_.has_left_) {
    return answer;
  }
  const std::vector<std::string> others = OtherNodes();
  const BootTime base =
      GrantReferenceTime(TablesConfirmedSince(), fleet_topic_.End(), received_promises_, others);
  return DecideHeartbeatAnswer(*table, MakeView(table->service_), base,
                               shared_.environment_.max_grant_duration_);
}

bool ControlThread::OwnsKeysOfEarlierIncarnation() const {
  const Holder& current = *registry_.local_upstream_.holder_;
  return std::any_of(records_.tables_.begin(), records_.tables_.end(), [&](const auto& table) {
    return std::any_of(table.second->ranges_.begin(), table.second->ranges_.end(),
                       [&](const KeyRange& range) {
                         return range.owner_.node_ == shared_.self_ && range.owner_ != current;
                       });
  });
}

const RoutedService* ControlThread::FindProbedService(const std::string& service) const {
  const RoutedService* found = FindService(service);
  const bool may_probe = found != nullptr && !found->health_path_.empty() &&
                         !IsEvacuated(shared_.environment_.data_centre_);
  return may_probe ? found : nullptr;
}

// Without keys at stake, a wrong answer costs less than a health check at each start of an
// upstream.
bool ControlThread::DoesPortDecide() const {
  const RoutedService* service =
      registry_.newest_ ? FindProbedService(registry_.newest_->service_) : nullptr;
  return service != nullptr && service->sharded_;
}

// Until the port has named the current incarnation, the keys of an earlier one stay with it for as
// long as its grants last.
void ControlThread::ProbeUpstream() {
  const bool has_challenger = CanPortDecide(registry_) && DoesPortDecide();
  const bool decides_on_keys =
      registry_.newest_ && ConfirmedBornMs(registry_) == 0 && OwnsKeysOfEarlierIncarnation();
  if (probe_pending_ || BootClock::now() < next_probe_at_ || !(has_challenger || decides_on_keys)) {
    return;
  }
  const UpstreamHeartbeat& probed = has_challenger ? *registry_.challenger_ : *registry_.newest_;
  const RoutedService* service = FindProbedService(probed.service_);
  if (service == nullptr) {
    return;
  }
  probe_pending_ = true;
  HttpCall call;
  call.base_url_ = "http://" + shared_.environment_.upstream_;
  call.request_ = {"GET", service->health_path_, {}, {}};
  call.timeout_ = kProbeTimeout;
  call.connect_timeout_ = kProbeTimeout;
  client_.Start(std::move(call), [this](const HttpResult& result) { OnProbed(result); });
}

void ControlThread::OnProbed(const HttpResult& result) {
  probe_pending_ = false;
  const BootTime now = BootClock::now();
  next_probe_at_ = now + kProbeInterval;
  const std::string instance(
      result.response_ ? FindHeader(result.response_.value().headers_, platform::kInstanceHeader)
                       : std::string_view());
  shared_.metrics_.Count("sassafrasbay_upstream_probes_total",
                         instance.empty() ? R"(result="unknown")" : R"(result="named")");
  LogInfo(kPart, "upstream=" + registry_.newest_->instance_ + " probed; instance=\"" + instance +
                     "\" answers at its port.");
  const HeartbeatEffect effect = RecordPortAnswer(registry_, instance, now);
  const auto challenge = std::exchange(pending_challenge_, std::nullopt);
  if (effect == HeartbeatEffect::kNewIncarnation && challenge) {
    OnAcceptedHeartbeat(*challenge, *registry_.newest_, effect);
    return;
  }
  if (challenge) {
    RespondUnconfirmed(*challenge);
  }
  if (effect != HeartbeatEffect::kUnchanged) {
    ScheduleUpdate();
  }
  AnswerPendingHeartbeats();
}

void ControlThread::AnswerPendingHeartbeats() {
  if (pending_heartbeats_.empty()) {
    return;
  }
  const BootTime now = BootClock::now();
  const bool overdue = now - pending_heartbeats_.front().received_at_ > kMaxAnswerDelay;
  const bool awaits_record =
      !IsLeavingRecorded() &&
      std::any_of(pending_heartbeats_.begin(), pending_heartbeats_.end(),
                  [](const PendingHeartbeat& pending) { return pending.draining_; });
  if ((awaits_record || ShouldDelayAnswer()) && !overdue) {
    return;
  }
  if (awaits_record) {
    LogWarning(kPart,
               "heartbeat not acknowledged reason=\"the store doesn't have the draining "
               "yet\".");
    for (const PendingHeartbeat& pending : std::exchange(pending_heartbeats_, {})) {
      pending.exchange_->Respond({kUnavailable, {}, "the draining could not be recorded yet\n"});
    }
    return;
  }
  // Only the newest heartbeat gets a grant; the upstream has given up waiting for the older ones.
  const HeartbeatAnswer answer = MakeHeartbeatAnswer();
  const bool granted = answer.grant_duration_.has_value();
  RecordGrant(registry_, answer, now);
  for (std::size_t i = 0; i < pending_heartbeats_.size(); ++i) {
    const bool newest = i + 1 == pending_heartbeats_.size();
    pending_heartbeats_[i].exchange_->Respond(
        JsonResponse(kOk, newest ? platform::EncodeHeartbeatAnswer(answer) : "{}"));
  }
  pending_heartbeats_.clear();
  if (granted) {
    Publish();
  }
}

}  // namespace sassafrasbay

#include <algorithm>
#include <utility>

#include "LibCore/logging.h"
#include "platform/heartbeat_codec.h"
#include "router/control_thread.h"

namespace sassafrasbay {
namespace {

constexpr std::string_view kPart = "control";

/// The answer to a heartbeat may be this late while a range is about to arrive: an upstream takes
/// an answer up to a second late, and sooner than with its next heartbeat.
constexpr milliseconds kLongestHold{700};

/// Time after the start for which the answer to a heartbeat waits for the tables.
constexpr milliseconds kStartHold{3000};

constexpr int kOk = 200;
constexpr int kBadRequest = 400;
constexpr int kNotFound = 404;

HttpResponse JsonResponse(std::string body) {
  return {kOk, {{"Content-Type", "application/json"}}, std::move(body)};
}

}  // namespace

void ControlThread::OnInstanceCall(const std::shared_ptr<HttpExchange>& exchange) {
  const auto call = platform::ParseInstancePath(exchange->Request().path_);
  if (!call || exchange->Request().method_ != "POST") {
    exchange->Respond({kNotFound, {}, "no such call\n"});
    return;
  }
  if (call->is_leave_) {
    OnLeave(call->instance_);
    exchange->Respond(JsonResponse("{}"));
    return;
  }
  OnHeartbeat(exchange, call->instance_);
}

void ControlThread::OnLeave(std::string_view instance) {
  const bool current = NoteLeave(registry_, instance, BootClock::now());
  LogInfo(kPart, "upstream=" + std::string(instance) +
                     " leaves current=" + (current ? "true." : "false."));
  // Published before the acknowledgement leaves, so that no later request is sent.
  Publish();
  ScheduleUpdate();
}

void ControlThread::OnHeartbeat(const std::shared_ptr<HttpExchange>& exchange,
                                std::string_view instance) {
  auto heartbeat = platform::DecodeHeartbeat(instance, exchange->Request().body_);
  if (!heartbeat) {
    shared_.metrics_.Count("sassafrasbay_heartbeats_rejected_total");
    LogWarning(kPart, "heartbeat ignored reason=\"" + ToString(heartbeat.error()) + "\".");
    exchange->Respond({kBadRequest, {}, ToString(heartbeat.error()) + "\n"});
    return;
  }
  const BootTime now = BootClock::now();
  const UpstreamHeartbeat copy = heartbeat.value();
  const HeartbeatNews news = NoteHeartbeat(registry_, std::move(heartbeat.value()), now);
  if (news == HeartbeatNews::kOutdated) {
    LogInfo(kPart, "upstream=" + copy.instance_ + " born_ms=" + std::to_string(copy.born_ms_) +
                       " sequence=" + std::to_string(copy.sequence_) +
                       " heartbeat is outdated; it renews nothing.");
    exchange->Respond(JsonResponse("{}"));
    return;
  }
  if (news == HeartbeatNews::kNewIncarnation || copy.draining_) {
    LogInfo(kPart, "upstream=" + copy.instance_ + " born_ms=" + std::to_string(copy.born_ms_) +
                       " service=" + copy.service_ + " slots=" + std::to_string(copy.slots_) +
                       (copy.draining_ ? " state=draining." : " state=ready."));
  }
  if (news != HeartbeatNews::kSame) {
    Publish();
    Decide();
  }
  held_beats_.push_back({exchange, now});
  AnswerHeldBeats();
}

const KeyTable* ControlThread::OwnTable() const {
  if (!registry_.newest_) {
    return nullptr;
  }
  const auto table = tables_.find(registry_.newest_->service_);
  return table == tables_.end() ? nullptr : &table->second;
}

bool ControlThread::ShouldHold() const {
  if (!registry_.newest_ || (routes_ != nullptr && !IsSharded(registry_.newest_->service_))) {
    return false;
  }
  // A process that has just started learns within some milliseconds whom the keys belong to.
  if (!registered_ || routes_ == nullptr) {
    return BootClock::now() - started_ < kStartHold;
  }
  const KeyTable* table = OwnTable();
  return table != nullptr && ExpectsRanges(*table, MakeView(table->service_));
}

bool ControlThread::IsSharded(const std::string& service) const {
  const auto found = routes_->services_.find(service);
  return found != routes_->services_.end() && found->second.sharded_;
}

HeartbeatAnswer ControlThread::MakeAnswer() const {
  HeartbeatAnswer answer;
  const KeyTable* table = OwnTable();
  if (table == nullptr || registry_.own_.left_) {
    return answer;
  }
  const std::vector<std::string> others = OtherNodes();
  const BootTime base =
      GrantBase(FromNanoseconds(shared_.tables_confirmed_ns_), received_promises_, others);
  return DecideAnswer(*table, MakeView(table->service_), base, shared_.environment_.max_grant_duration_);
}

void ControlThread::AnswerHeldBeats() {
  if (held_beats_.empty()) {
    return;
  }
  const BootTime now = BootClock::now();
  const bool overdue = now - held_beats_.front().received_ > kLongestHold;
  if (ShouldHold() && !overdue) {
    return;
  }
  // Only the newest heartbeat is answered with a grant; an older one has been given up.
  const HeartbeatAnswer answer = MakeAnswer();
  const bool granted = answer.length_.has_value();
  NoteGrant(registry_, answer, now);
  for (std::size_t i = 0; i < held_beats_.size(); ++i) {
    const bool newest = i + 1 == held_beats_.size();
    held_beats_[i].exchange_->Respond(
        JsonResponse(newest ? platform::EncodeHeartbeatAnswer(answer) : "{}"));
  }
  held_beats_.clear();
  if (granted) {
    Publish();
  }
}

}  // namespace sassafrasbay

#include "router/upstream_gate.h"

#include <algorithm>
#include <cmath>
#include <utility>

#include "LibCore/logging.h"
#include "LibOwnership/upstream_registry.h"
#include "platform/request_translation.h"

namespace sassafrasbay {
namespace {

constexpr std::string_view kPart = "gate";

/// Backoff after the upstream has refused a connection.
constexpr milliseconds kRefusedConnectionBackoff{250};

/// A broken connection is attributed to a crash that is confirmed within this time.
constexpr milliseconds kCrashWindow{3000};

/// Added to the request timeout, so that an answer which the upstream sends at the deadline still
/// arrives.
constexpr milliseconds kDeadlineMargin{20};

/// Minimum remaining time of a request to be sent; it could not be answered in less.
constexpr milliseconds kMinRemainingTime{5};

constexpr int kFirstServerError = 500;

/// Weight of one result in the smoothed success ratio.
constexpr double kSuccessWeight = 0.05;

milliseconds DurationBetween(BootTime time, BootTime now) {
  return std::chrono::duration_cast<milliseconds>(now - time);
}

}  // namespace

UpstreamGate::UpstreamGate(ReactorLoop& loop, RouterShared& shared)
    : loop_(loop), shared_(shared), client_(loop) {
  link_.bytes_per_second_ = shared_.environment_.link_bytes_per_second_;
  // Complete responses are always delivered, so memory is limited before they are read.
  client_.SetRoom([this](std::size_t partial_bytes) {
    MemoryBudget& budget = shared_.budget_;
    const bool has_room =
        budget.Held() + hooks_.pending_bytes_() + partial_bytes < budget.ResponseLimit();
    if (!has_room) {
      budget.AwaitRelease();
    }
    return has_room;
  });
}

void UpstreamGate::SetUpstream(const std::shared_ptr<const UpstreamState>& upstream) {
  if (upstream == nullptr) {
    return;
  }
  const bool new_incarnation = upstream_ == nullptr || upstream_->holder_ != upstream->holder_;
  if (new_incarnation) {
    if (upstream_ != nullptr) {
      ConfirmCrash("new incarnation");
    }
    client_.SetAddress(upstream->address_);
    queue_.service_ms_.clear();
    last_sampled_.clear();
    queue_.mean_service_ms_ = 0;
    success_ratio_ = 1;
    named_rate_.reset();
    arrivals_ = {};
    accepted_ = {};
    slowness_ = {};
    refused_until_ = {};
  }
  upstream_ = upstream;
  if (!cold_start_.watched_since_) {
    cold_start_.watched_since_ = BootClock::now();
  }
  RecordColdReport(cold_start_, upstream->cold_until_, upstream->heartbeat_at_);
  // Requests beyond the limit would find their connections refused.
  queue_.slots_ = std::min(upstream->slots_, upstream->max_connections_.value_or(upstream->slots_));
  client_.SetMaxConnections(upstream->max_connections_);
  if (BootClock::now() < upstream->granted_until_) {
    // Demand on keys that have moved away would make this upstream look busy.
    RetainKeys(key_load_, [this](std::uint32_t key) { return IsGranted(key); });
  }
  if (upstream_->evacuated_) {
    RefuseWaiting();
  }
  AdmitWaiting();
}

bool UpstreamGate::IsUsable() const {
  return !stopped_admitting_ && upstream_ != nullptr && upstream_->accepts_requests_ &&
         BootClock::now() > refused_until_;
}

RefusalReason UpstreamGate::CheckAdmission(const ForwardedRequest& request) const {
  // No other upstream holds the keys of a draining upstream until they have moved.
  const bool is_draining = request.shard_key_ && upstream_ != nullptr && !stopped_admitting_ &&
                           !upstream_->evacuated_ && BootClock::now() < upstream_->drain_deadline_;
  if (!IsUsable() && !is_draining) {
    return RefusalReason::kNoUpstream;
  }
  if (OutlastsShutdown(request)) {
    return RefusalReason::kNoUpstream;
  }
  if (upstream_->service_ != request.service_) {
    return RefusalReason::kWrongService;
  }
  if (IsRefused(request.fingerprint_)) {
    return RefusalReason::kSuspect;
  }
  if (request.shard_key_ &&
      !(BootClock::now() < upstream_->granted_until_ && IsGranted(*request.shard_key_))) {
    return RefusalReason::kNotOwner;
  }
  return RefusalReason::kNone;
}

double UpstreamGate::CommittedLinkBytes() const {
  double bytes = static_cast<double>(hooks_.pending_bulk_bytes_());
  for (const auto& [number, open] : open_requests_) {
    bytes += ExpectedBulkBytes(link_, open.request_.class_);
  }
  return bytes;
}

bool UpstreamGate::FitsLink(const ForwardedRequest& request) const {
  const auto service = queue_.service_ms_.find(request.class_);
  return sassafrasbay::FitsLink(
      link_, request.class_, CommittedLinkBytes(),
      {static_cast<double>(request.objective_ms_), static_cast<double>(request.remaining_ms_),
       service == queue_.service_ms_.end() ? 0 : service->second});
}

bool UpstreamGate::OutlastsShutdown(const ForwardedRequest& request) const {
  const auto time = queue_.service_ms_.find(request.class_);
  if (!shutdown_deadline_ || time == queue_.service_ms_.end()) {
    return false;
  }
  return BootClock::now() + std::chrono::milliseconds(std::llround(time->second)) >
         *shutdown_deadline_;
}

bool UpstreamGate::IsGranted(ShardKey key) const {
  return std::any_of(
      upstream_->granted_.begin(), upstream_->granted_.end(),
      [key](const KeySpan& span) { return span.first_ <= key && key <= span.last_; });
}

UpstreamGate::RequestNumber UpstreamGate::Submit(ForwardedRequest request, AnswerHandler handler) {
  const RequestNumber number = ++last_request_number_;
  const BootTime now = BootClock::now();
  const RefusalReason reason = CheckAdmission(request);
  if (request.shard_key_ && reason != RefusalReason::kNotOwner) {
    CountRequests(key_load_, *request.shard_key_, request.sampling_weight_);
  }
  const bool fits_link = FitsLink(request);
  const milliseconds remaining(request.remaining_ms_);
  const SlotRequest slot{number,
                         request.class_,
                         request.rank_,
                         now + milliseconds(request.objective_ms_),
                         now + remaining,
                         {},
                         request.is_call_,
                         request.returned_,
                         request.sampling_weight_};
  OpenRequest& open = open_requests_[number];
  open.deadline_ = slot.deadline_;
  open.received_at_ = now;
  open.request_ = std::move(request);
  open.handler_ = std::move(handler);
  if (reason != RefusalReason::kNone) {
    Refuse(number, reason, milliseconds(0));
    return number;
  }
  if (remaining < kMinRemainingTime) {
    Refuse(number, RefusalReason::kDeadline, milliseconds(0));
    return number;
  }
  if (!fits_link) {
    shared_.metrics_.Count("sassafrasbay_requests_beyond_link_total");
    Refuse(number, RefusalReason::kFull,
           milliseconds(std::llround(TransferMs(link_, CommittedLinkBytes()))));
    return number;
  }
  ApplyRateLimits();
  const SlotVerdict verdict = OfferRequest(queue_, slot, now);
  shared_.metrics_.Count("sassafrasbay_gate_requests_total", verdict.decision_ == SlotDecision::kRun
                                                                 ? "slot=\"free\""
                                                                 : "slot=\"none\"");
  if (verdict.decision_ == SlotDecision::kRun) {
    SendToUpstream(number);
  } else if (verdict.decision_ == SlotDecision::kRefuse) {
    Refuse(number, RefusalReason::kFull, verdict.expected_wait_);
  }
  for (const SlotRequest& displaced : verdict.displaced_) {
    Refuse(displaced.number_, RefusalReason::kFull, ExpectedWaitBehindAll(queue_, displaced, now));
  }
  ScheduleAdmission();
  return number;
}

void UpstreamGate::SendToUpstream(RequestNumber number) {
  OpenRequest& open = open_requests_.at(number);
  const BootTime now = BootClock::now();
  const milliseconds remaining = DurationBetween(now, open.deadline_);
  open.started_ = now;
  RecordSent(cold_start_, now);
  ObserveWait(open);
  CountArrival(arrivals_, now);
  UpstreamCall call;
  call.request_ =
      platform::MakeUpstreamRequest(open.request_, upstream_->holder_.instance_, remaining);
  call.timeout_ = remaining + kDeadlineMargin;
  // So that the node where the request began learns before its deadline that it wasn't sent.
  call.send_timeout_ = std::max(remaining - kDeadlineMargin, kMinRemainingTime);
  call.correlation_header_ = platform::CorrelationHeader();
  open.call_ = client_.Start(std::move(call), [this, number](UpstreamResult result) {
    OnResult(number, std::move(result));
  });
}

void UpstreamGate::OnResult(RequestNumber number, UpstreamResult result) {
  const auto found = open_requests_.find(number);
  if (found == open_requests_.end()) {
    return;
  }
  const OpenRequest open = std::move(found->second);
  open_requests_.erase(found);
  const milliseconds service = DurationBetween(open.started_, BootClock::now());
  ForwardedAnswer answer;
  std::optional<milliseconds> sample;
  if (!result.response_) {
    OnUpstreamLost(open, result);
    answer.outcome_ = result.maybe_sent_ ? GateOutcome::kUnknown : GateOutcome::kRefused;
    answer.reason_ = RefusalReason::kNoUpstream;
  } else {
    named_rate_ = platform::ReadRateLimit(result.response_.value());
    ApplyRateLimits();
    const platform::ExecutionStatus verdict =
        platform::ReadExecutionStatus(result.response_.value());
    if (verdict.misdirected_) {
      RemoveSent(cold_start_, queue_.rate_limit_, open.started_);
    }
    RecordLoad(result.response_.value(), verdict.executed_ || verdict.misdirected_);
    answer.outcome_ = verdict.executed_ ? GateOutcome::kAnswered : GateOutcome::kRejected;
    if (!verdict.misdirected_ && upstream_->accepts_requests_ &&
        platform::AnnouncesLeaving(result.response_.value())) {
      hooks_.on_leaving_(upstream_->holder_);
    }
    answer.reason_ = verdict.misdirected_ ? RefusalReason::kNotOwner : RefusalReason::kFull;
    if (!verdict.executed_) {
      LogInfo(kPart, "request=" + open.request_.request_id_ +
                         " rejected_by=" + upstream_->holder_.instance_ +
                         " misdirected=" + (verdict.misdirected_ ? "true" : "false") +
                         " status=" + std::to_string(result.response_.value().status_) +
                         " slots=" + std::to_string(queue_.slots_) +
                         " running=" + std::to_string(queue_.running_) +
                         " ms=" + std::to_string(service.count()) + ".");
    }
    if (verdict.executed_ && result.response_.value().status_ < kFirstServerError) {
      sample = service;
      last_sampled_[open.request_.class_] = BootClock::now();
      RecordResponse(link_, open.request_.class_, result.response_.value().body_.size());
      ClearSuspect(suspects_, open.request_.fingerprint_);
    }
    answer.response_ = std::move(result.response_.value());
  }
  success_ratio_ += kSuccessWeight * ((sample ? 1.0 : 0.0) - success_ratio_);
  FreeSlot(queue_, open.request_.class_, sample);
  Answer(open, std::move(answer));
  AdmitWaiting();
}

void UpstreamGate::OnUpstreamLost(const OpenRequest& open, const UpstreamResult& result) {
  const BootTime now = BootClock::now();
  LogInfo(kPart, "request=" + open.request_.request_id_ +
                     " upstream=" + upstream_->holder_.instance_ + " lost=\"" +
                     ToString(result.response_.error()) +
                     "\" maybe_sent=" + (result.maybe_sent_ ? "true." : "false."));
  if (!result.maybe_sent_) {
    RemoveSent(cold_start_, queue_.rate_limit_, open.started_);
  }
  if (result.refused_) {
    OnConnectionRefused(open);
    return;
  }
  if (result.maybe_sent_ && result.response_.error().code_ != make_error_code(Errc::kTimedOut)) {
    broken_requests_.emplace_back(open.request_.fingerprint_, now);
  }
}

void UpstreamGate::OnConnectionRefused(const OpenRequest& open) {
  const BootTime now = BootClock::now();
  refused_until_ = now + kRefusedConnectionBackoff;
  const HeldConnections held = client_.Held();
  const bool is_closed =
      IsPortClosed({held.open_, held.abandoned_, upstream_->slots_, upstream_->max_connections_});
  shared_.metrics_.Count("sassafrasbay_upstream_refusals_total",
                         is_closed ? R"(port="closed")" : R"(port="full")");
  LogInfo(kPart, "request=" + open.request_.request_id_ +
                     " upstream=" + upstream_->holder_.instance_ + " refuses connections open=" +
                     std::to_string(held.open_) + " abandoned=" + std::to_string(held.abandoned_) +
                     " port=" + (is_closed ? "closed." : "full."));
  if (!is_closed) {
    return;
  }
  RecordUpstreamStop(cold_start_, now);
  ConfirmCrash("port closed");
  hooks_.on_port_closed_();
}

void UpstreamGate::ConfirmCrash(std::string_view evidence) {
  const BootTime now = BootClock::now();
  std::vector<std::uint64_t> fingerprints;
  for (const auto& [fingerprint, time] : std::exchange(broken_requests_, {})) {
    if (now - time < kCrashWindow) {
      fingerprints.push_back(fingerprint);
    }
  }
  for (const Suspect& suspect : RecordCrash(suspects_, fingerprints, now)) {
    LogInfo(kPart, "fingerprint=" + std::to_string(suspect.fingerprint_) +
                       " crashes=" + std::to_string(suspect.crashes_) + " evidence=\"" +
                       std::string(evidence) + "\".");
    hooks_.on_suspect_(suspect);
  }
}

void UpstreamGate::OnSuspect(const Suspect& suspect) {
  Merge(suspects_, suspect, BootClock::now());
}

bool UpstreamGate::IsRefused(std::uint64_t fingerprint) const {
  return sassafrasbay::IsRefused(suspects_, fingerprint, BootClock::now());
}

void UpstreamGate::Refuse(RequestNumber number, RefusalReason reason, milliseconds retry_after) {
  const auto found = open_requests_.find(number);
  if (found == open_requests_.end()) {
    return;
  }
  const OpenRequest open = std::move(found->second);
  open_requests_.erase(found);
  const BootTime now = BootClock::now();
  shared_.metrics_.Count("sassafrasbay_gate_refused_total",
                         RefusalLabels(open.request_, ToString(reason)));
  LogInfo(
      kPart,
      "request=" + open.request_.request_id_ + " refused=" + std::string(ToString(reason)) +
          " class=" + open.request_.class_ + DescribeRank(open.request_) +
          " upstream=" + (upstream_ == nullptr ? std::string("-") : upstream_->holder_.instance_) +
          " slots=" + std::to_string(queue_.slots_) + " running=" +
          std::to_string(queue_.running_) + " waiting=" + std::to_string(queue_.waiting_.size()) +
          " rate_limit=" + std::to_string(queue_.rate_limit_.per_second_.value_or(0)) +
          " accepted_ratio=" + std::to_string(AcceptedRatioNow()) +
          " slowness=" + std::to_string(SlownessPercent(slowness_, now)) +
          " waited_ms=" + std::to_string(DurationBetween(open.received_at_, now).count()) +
          " left_ms=" + std::to_string(DurationBetween(now, open.deadline_).count()) +
          " grant_left_ms=" +
          std::to_string(
              upstream_ == nullptr ? 0 : DurationBetween(now, upstream_->granted_until_).count()) +
          ".");
  ForwardedAnswer answer;
  answer.outcome_ = GateOutcome::kRefused;
  answer.reason_ = reason;
  answer.retry_after_ms_ = static_cast<std::uint32_t>(retry_after.count());
  Answer(open, std::move(answer));
}

void UpstreamGate::Answer(const OpenRequest& open, ForwardedAnswer answer) {
  answer.number_ = open.request_.number_;
  answer.load_ = Load();
  open.handler_(std::move(answer));
}

void UpstreamGate::AdmitWaiting() {
  ApplyRateLimits();
  const BootTime now = BootClock::now();
  for (const SlotRequest& overdue : TakeOverdue(queue_, now)) {
    Refuse(overdue.number_, RefusalReason::kFull, ExpectedWaitBehindAll(queue_, overdue, now));
  }
  while (const auto next = TakeWaiting(queue_, now)) {
    const RefusalReason reason = CheckAdmission(open_requests_.at(next->number_).request_);
    if (reason == RefusalReason::kNone) {
      SendToUpstream(next->number_);
      continue;
    }
    // The result of the check may have changed while the request waited.
    FreeSlot(queue_, next->class_, std::nullopt);
    Refuse(next->number_, reason, milliseconds(0));
  }
  ScheduleAdmission();
}

void UpstreamGate::StopAdmitting() {
  stopped_admitting_ = true;
  RefuseWaiting();
}

void UpstreamGate::RefuseWaiting() {
  for (const SlotRequest& waiting : std::exchange(queue_.waiting_, {})) {
    Refuse(waiting.number_, RefusalReason::kNoUpstream, milliseconds(0));
  }
}

bool UpstreamGate::Cancel(RequestNumber number) {
  const auto found = open_requests_.find(number);
  if (found == open_requests_.end()) {
    return true;
  }
  const OpenRequest open = std::move(found->second);
  open_requests_.erase(found);
  if (open.call_ == 0) {
    RemoveWaiting(queue_, number);
    return false;
  }
  const bool maybe_sent = client_.Cancel(open.call_);
  FreeSlot(queue_, open.request_.class_, std::nullopt);
  AdmitWaiting();
  return maybe_sent;
}

}  // namespace sassafrasbay

#include "router/upstream_gate.h"

#include <algorithm>
#include <cmath>
#include <utility>

#include "LibCore/logging.h"
#include "platform/request_translation.h"

namespace sassafrasbay {
namespace {

constexpr std::string_view kPart = "gate";

/// Time after a refused connection for which no further one is tried.
constexpr milliseconds kRefusedPause{250};

/// A broken connection counts as caused by a crash that shows within this time.
constexpr milliseconds kCrashWindow{3000};

/// The upstream's own answer at its deadline gets this much time to arrive.
constexpr milliseconds kDeadlineSlack{20};

/// Least time with which a request is sent; less could not be answered.
constexpr milliseconds kLeastTime{5};

constexpr int kFirstServerError = 500;

/// Pieces into which the demand of one upstream is divided for the planner.
constexpr std::size_t kDemandPieces = 32;

/// Service time that is assumed until one has been measured.
constexpr double kAssumedServiceMs = 100;

/// Time without a sample after which a service time counts half, and again for each such time.
constexpr milliseconds kServiceTimeHalfLife{3000};

/// Weight of a result in the share of requests served, and the least share assumed.
constexpr double kSuccessWeight = 0.05;
constexpr double kLeastSuccess = 0.2;

milliseconds Since(BootTime time, BootTime now) {
  return std::chrono::duration_cast<milliseconds>(now - time);
}

}  // namespace

UpstreamGate::UpstreamGate(ReactorLoop& loop, RouterShared& shared)
    : shared_(shared), client_(loop) {}

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
    sampled_.clear();
    queue_.mean_service_ms_ = 0;
    success_share_ = 1;
    refused_until_ = {};
  }
  upstream_ = upstream;
  queue_.slots_ = upstream->slots_;
  if (BootClock::now() < upstream->granted_until_) {
    // Demand that has moved away with its keys would make this upstream look busy.
    ForgetKeys(key_load_, [this](std::uint32_t key) { return IsGranted(key); });
  }
  RunWaiting();
}

bool UpstreamGate::IsUsable() const {
  return !stopped_ && upstream_ != nullptr && upstream_->takes_requests_ &&
         BootClock::now() > refused_until_;
}

GateLoad UpstreamGate::Load() const {
  return {IsUsable() ? queue_.slots_ : 0, queue_.running_,
          static_cast<std::uint32_t>(queue_.waiting_.size())};
}

// A slow upstream gets few requests, so that samples become rare. Requests that are still running
// tell of it before they end, and without samples the time halves until requests come again.
std::vector<ServiceTime> UpstreamGate::ServiceTimes() const {
  const BootTime now = BootClock::now();
  std::map<std::string_view, double> times;
  for (const auto& [request_class, sampled] : sampled_) {
    const double age = std::chrono::duration<double>(now - sampled) / kServiceTimeHalfLife;
    const auto time = queue_.service_ms_.find(request_class);
    if (time != queue_.service_ms_.end()) {
      times[request_class] = time->second * std::exp2(-std::floor(age));
    }
  }
  for (const auto& [number, open] : open_) {
    if (open.call_ != 0) {
      double& time = times[open.request_.class_];
      time = std::max(time, static_cast<double>(Since(open.started_, now).count()));
    }
  }
  std::vector<ServiceTime> reported;
  reported.reserve(times.size());
  for (const auto& [request_class, time] : times) {
    reported.push_back({std::string(request_class), static_cast<std::uint32_t>(time)});
  }
  return reported;
}

std::optional<DemandReport> UpstreamGate::Demand() {
  if (upstream_ == nullptr) {
    return std::nullopt;
  }
  Decay(key_load_, BootClock::now());
  DemandReport report;
  report.address_ = shared_.self_;
  report.service_ = upstream_->service_;
  const double service_ms =
      queue_.mean_service_ms_ > 0 ? queue_.mean_service_ms_ : kAssumedServiceMs;
  report.capacity_per_second_ =
      queue_.slots_ * 1000.0 / service_ms * std::max(success_share_, kLeastSuccess);
  report.pieces_ = LoadPieces(key_load_, kDemandPieces);
  return report;
}

RefusalReason UpstreamGate::Check(const ForwardedRequest& request) const {
  // The keys of an upstream that drains are held by nobody else until they have moved.
  const bool drains = request.shard_key_ && upstream_ != nullptr && !stopped_ &&
                      BootClock::now() < upstream_->drains_until_;
  if (!IsUsable() && !drains) {
    return RefusalReason::kNoUpstream;
  }
  if (EndsBefore(request)) {
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

bool UpstreamGate::EndsBefore(const ForwardedRequest& request) const {
  const auto time = queue_.service_ms_.find(request.class_);
  if (!end_ || time == queue_.service_ms_.end()) {
    return false;
  }
  return BootClock::now() + std::chrono::milliseconds(std::llround(time->second)) > *end_;
}

bool UpstreamGate::IsGranted(ShardKey key) const {
  return std::any_of(
      upstream_->granted_.begin(), upstream_->granted_.end(),
      [key](const KeySpan& span) { return span.first_ <= key && key <= span.last_; });
}

UpstreamGate::Number UpstreamGate::Submit(ForwardedRequest request, AnswerHandler handler) {
  const Number number = ++last_number_;
  const BootTime now = BootClock::now();
  const RefusalReason reason = Check(request);
  if (request.shard_key_ && reason != RefusalReason::kNotOwner) {
    CountKey(key_load_, *request.shard_key_, request.stands_for_);
  }
  const milliseconds remaining(request.remaining_ms_);
  const SlotRequest slot{number, request.class_, request.rank_,
                         now + milliseconds(request.objective_ms_), now + remaining};
  OpenRequest& open = open_[number];
  open.deadline_ = slot.deadline_;
  open.received_ = now;
  open.request_ = std::move(request);
  open.handler_ = std::move(handler);
  if (reason != RefusalReason::kNone) {
    Refuse(number, reason, milliseconds(0));
    return number;
  }
  if (remaining < kLeastTime) {
    Refuse(number, RefusalReason::kDeadline, milliseconds(0));
    return number;
  }
  const SlotVerdict verdict = OfferRequest(queue_, slot, now);
  if (verdict.decision_ == SlotDecision::kRun) {
    Run(number);
  } else if (verdict.decision_ == SlotDecision::kRefuse) {
    Refuse(number, RefusalReason::kFull, verdict.expected_wait_);
  }
  for (const SlotRequest& displaced : verdict.displaced_) {
    Refuse(displaced.number_, RefusalReason::kFull, ExpectedWait(queue_, queue_.waiting_.size()));
  }
  return number;
}

void UpstreamGate::Run(Number number) {
  OpenRequest& open = open_.at(number);
  const BootTime now = BootClock::now();
  const milliseconds remaining = Since(now, open.deadline_);
  open.started_ = now;
  UpstreamCall call;
  call.request_ =
      platform::MakeUpstreamRequest(open.request_, upstream_->holder_.instance_, remaining);
  call.timeout_ = remaining + kDeadlineSlack;
  call.correlation_header_ = platform::EchoedHeader();
  open.call_ = client_.Start(std::move(call), [this, number](UpstreamResult result) {
    OnResult(number, std::move(result));
  });
}

void UpstreamGate::OnResult(Number number, UpstreamResult result) {
  const auto found = open_.find(number);
  if (found == open_.end()) {
    return;
  }
  const OpenRequest open = std::move(found->second);
  open_.erase(found);
  const milliseconds service = Since(open.started_, BootClock::now());
  ForwardedAnswer answer;
  std::optional<milliseconds> sample;
  if (!result.response_) {
    OnLost(open, result);
    answer.outcome_ = result.maybe_sent_ ? GateOutcome::kUnknown : GateOutcome::kRefused;
    answer.reason_ = RefusalReason::kNoUpstream;
  } else {
    const platform::UpstreamVerdict verdict = platform::ReadVerdict(result.response_.value());
    answer.outcome_ = verdict.ran_ ? GateOutcome::kAnswered : GateOutcome::kRejected;
    answer.reason_ = verdict.misdirected_ ? RefusalReason::kNotOwner : RefusalReason::kFull;
    if (verdict.ran_ && result.response_.value().status_ < kFirstServerError) {
      sample = service;
      sampled_[open.request_.class_] = BootClock::now();
      Exonerate(suspects_, open.request_.fingerprint_);
    }
    answer.response_ = std::move(result.response_.value());
  }
  success_share_ += kSuccessWeight * ((sample ? 1.0 : 0.0) - success_share_);
  FreeSlot(queue_, open.request_.class_, sample);
  Answer(open, std::move(answer));
  RunWaiting();
}

void UpstreamGate::OnLost(const OpenRequest& open, const UpstreamResult& result) {
  const BootTime now = BootClock::now();
  LogInfo(kPart, "request=" + open.request_.request_id_ +
                     " upstream=" + upstream_->holder_.instance_ + " lost=\"" +
                     ToString(result.response_.error()) +
                     "\" maybe_sent=" + (result.maybe_sent_ ? "true." : "false."));
  if (result.refused_) {
    refused_until_ = now + kRefusedPause;
    ConfirmCrash("connection refused");
    hooks_.on_refused_connection_();
    return;
  }
  if (result.maybe_sent_ && result.response_.error().code_ != make_error_code(Errc::kTimedOut)) {
    broken_.emplace_back(open.request_.fingerprint_, now);
  }
}

void UpstreamGate::ConfirmCrash(std::string_view evidence) {
  const BootTime now = BootClock::now();
  std::vector<std::uint64_t> fingerprints;
  for (const auto& [fingerprint, time] : std::exchange(broken_, {})) {
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

void UpstreamGate::Refuse(Number number, RefusalReason reason, milliseconds retry_after) {
  const auto found = open_.find(number);
  if (found == open_.end()) {
    return;
  }
  const OpenRequest open = std::move(found->second);
  open_.erase(found);
  const BootTime now = BootClock::now();
  LogInfo(
      kPart,
      "request=" + open.request_.request_id_ + " refused=" + std::string(ToString(reason)) +
          " upstream=" + (upstream_ == nullptr ? std::string("-") : upstream_->holder_.instance_) +
          " slots=" + std::to_string(queue_.slots_) + " running=" +
          std::to_string(queue_.running_) + " waiting=" + std::to_string(queue_.waiting_.size()) +
          " waited_ms=" + std::to_string(Since(open.received_, now).count()) +
          " left_ms=" + std::to_string(Since(now, open.deadline_).count()) + " grant_left_ms=" +
          std::to_string(upstream_ == nullptr ? 0 : Since(now, upstream_->granted_until_).count()) +
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

void UpstreamGate::RunWaiting() {
  const BootTime now = BootClock::now();
  for (const SlotRequest& hopeless : TakeHopeless(queue_, now)) {
    Refuse(hopeless.number_, RefusalReason::kFull, ExpectedWait(queue_, queue_.waiting_.size()));
  }
  while (const auto next = TakeWaiting(queue_, now)) {
    const RefusalReason reason = Check(open_.at(next->number_).request_);
    if (reason == RefusalReason::kNone) {
      Run(next->number_);
      continue;
    }
    // What was true when it began to wait may have changed.
    FreeSlot(queue_, next->class_, std::nullopt);
    Refuse(next->number_, reason, milliseconds(0));
  }
}

void UpstreamGate::StopTaking() {
  stopped_ = true;
  for (const SlotRequest& waiting : std::exchange(queue_.waiting_, {})) {
    Refuse(waiting.number_, RefusalReason::kNoUpstream, milliseconds(0));
  }
}

void UpstreamGate::Cancel(Number number) {
  const auto found = open_.find(number);
  if (found == open_.end()) {
    return;
  }
  const OpenRequest open = std::move(found->second);
  open_.erase(found);
  if (open.call_ == 0) {
    RemoveWaiting(queue_, number);
    return;
  }
  client_.Cancel(open.call_);
  FreeSlot(queue_, open.request_.class_, std::nullopt);
  RunWaiting();
}

}  // namespace sassafrasbay

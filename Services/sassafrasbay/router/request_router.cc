#include "router/request_router.h"

#include <algorithm>
#include <array>
#include <span>
#include <utility>

#include "LibCore/hash.h"
#include "LibCore/logging.h"
#include "LibOwnership/report_pace.h"
#include "platform/request_translation.h"

namespace sassafrasbay {
namespace {

constexpr std::string_view kPart = "route";
constexpr std::string_view kServedPart = "served";

constexpr std::string_view kAnsweredOutcome = "answered";

constexpr int kBadRequest = 400;
constexpr int kNotFound = 404;
constexpr int kBadGateway = 502;
constexpr int kUnavailable = 503;
constexpr int kGatewayTimeout = 504;
constexpr int kFirstServerError = 500;

/// Pause before a key whose owner is changing is looked up again.
constexpr milliseconds kOwnerPause{20};

/// Share of the time to the objective for which a request waits for a key that changes its owner.
/// Moves take up to a heartbeat interval; a caller that is refused can come back later.
constexpr double kOwnerWaitShare = 0.5;

/// Gates that may refuse a request before its caller is told to come back. Each costs a hop.
constexpr int kMostRefusals = 3;

/// Shortest time named to a caller; sooner the load has hardly changed.
constexpr milliseconds kShortestRetryAfter{40};

/// Time named to a caller whose key has no reachable owner.
constexpr milliseconds kNoOwnerRetryAfter{300};

/// Weight of a result in the smoothed share of failures, and the share above which an upstream is
/// avoided.
constexpr double kFailureWeight = 0.1;
constexpr double kFailingShare = 0.3;

double ServiceTimeOf(std::span<const ServiceTime> times, std::string_view request_class) {
  const auto found = std::find_if(times.begin(), times.end(), [&](const ServiceTime& time) {
    return time.class_ == request_class;
  });
  return found == times.end() ? 0 : found->ms_;
}

std::uint32_t MillisecondsLeft(BootTime end, BootTime now) {
  const auto left = std::chrono::duration_cast<milliseconds>(end - now).count();
  return static_cast<std::uint32_t>(std::max<milliseconds::rep>(0, left));
}

}  // namespace

RequestRouter::RequestRouter(ReactorLoop& loop, RouterShared& shared, PeerLinks& links,
                             UpstreamGate& gate)
    : loop_(loop),
      shared_(shared),
      links_(links),
      gate_(gate),
      random_(HashBytes(RandomId())),
      caller_service_(shared.environment_.service_) {}

double RequestRouter::Sample() { return std::uniform_real_distribution<double>(0, 1)(random_); }

void RequestRouter::SetSnapshot(const std::shared_ptr<const RouterSnapshot>& snapshot) {
  snapshot_ = snapshot;
}

void RequestRouter::SetReport(const PeerFacts& facts) {
  PeerState& peer = peers_[facts.report_.address_];
  peer.facts_ = facts;
  peer.load_ = facts.report_.load_;
  peer.open_at_load_ = peer.open_;
}

void RequestRouter::Handle(const std::shared_ptr<HttpExchange>& exchange) {
  HttpResponse refusal;
  Result<Pending> accepted = Accept(exchange, refusal);
  if (!accepted) {
    LogInfo(kPart, "refused status=" + std::to_string(refusal.status_) +
                       " path=" + exchange->Request().path_ + " reason=\"" +
                       ToString(accepted.error()) + "\" configuration=" +
                       std::to_string(snapshot_ == nullptr || snapshot_->routes_ == nullptr
                                          ? 0
                                          : snapshot_->routes_->version_) +
                       ".");
    exchange->Respond(std::move(refusal));
    return;
  }
  const std::uint64_t number = ++last_number_;
  Pending& pending = pending_[number];
  pending = std::move(accepted.value());
  pending.request_.number_ = number;
  pending.deadline_timer_ =
      loop_.StartTimer(milliseconds(MillisecondsLeft(pending.deadline_, pending.received_)),
                       [this, number] { OnDeadline(number); });
  exchange->OnAbandoned([this, number] { OnAbandoned(number); });
  Dispatch(number);
}

Result<RequestRouter::Pending> RequestRouter::Accept(const std::shared_ptr<HttpExchange>& exchange,
                                                     HttpResponse& refusal) {
  constexpr std::string_view kStep = "accept request";
  if (snapshot_ == nullptr || snapshot_->routes_ == nullptr) {
    refusal = platform::MakeOwnAnswer(kUnavailable, "no configuration yet", kNoOwnerRetryAfter);
    return MakeError(Errc::kUnavailable, kStep, {}, "no configuration yet");
  }
  auto read = platform::ReadCallerRequest(exchange->Request(), caller_service_);
  if (!read) {
    refusal = platform::MakeOwnAnswer(kBadRequest, ToString(read.error()), std::nullopt);
    return read.error();
  }
  platform::CallerRequest& request = read.value();
  Pending pending;
  pending.routes_ = snapshot_->routes_;
  pending.route_ = MatchRoute(*pending.routes_, request.host_, request.request_.path_);
  if (pending.route_ == nullptr) {
    refusal = platform::MakeOwnAnswer(kNotFound, "no route", std::nullopt);
    return MakeError(Errc::kInvalidArgument, kStep, {}, "no route of host " + request.host_);
  }
  const Route& route = *pending.route_;
  pending.exchange_ = exchange;
  pending.service_ = PickDestination(route, Sample()).service_;
  const auto service = pending.routes_->services_.find(pending.service_);
  pending.sharded_ = service != pending.routes_->services_.end() && service->second.sharded_ &&
                     request.shard_key_.has_value();
  pending.received_ = BootClock::now();
  const milliseconds limit = std::min(route.timeout_, request.remaining_.value_or(route.timeout_));
  pending.deadline_ = pending.received_ + limit;
  pending.objective_ = pending.received_ + std::min(route.objective_, limit);
  if (refuses_long_requests_ && pending.deadline_ > *end_) {
    refusal = platform::MakeOwnAnswer(kUnavailable, "this node ends", kNoOwnerRetryAfter);
    refusal.headers_.emplace_back("Connection", "close");
    return MakeError(Errc::kUnavailable, kStep, {}, "this node ends before the deadline");
  }
  ForwardedRequest& forwarded = pending.request_;
  forwarded.service_ = pending.service_;
  if (pending.sharded_) {
    forwarded.shard_key_ = request.shard_key_;
  }
  forwarded.request_id_ = std::move(request.request_id_);
  forwarded.class_ = route.name_;
  forwarded.rank_ = route.rank_;
  forwarded.idempotent_ = route.kind_ == RequestKind::kIdempotent;
  forwarded.request_ = std::move(request.request_);
  const std::array<std::string_view, 3> parts = {forwarded.request_.path_, caller_service_,
                                                 forwarded.request_.body_};
  forwarded.fingerprint_ = HashParts(parts);
  return pending;
}

bool RequestRouter::IsAlive(const std::string& node) const {
  const auto peer = peers_.find(node);
  return peer != peers_.end() && BootClock::now() - peer->second.facts_.received_ <
                                     SuspectAfter(snapshot_->members_.size() + 1);
}

// A node that leaves and takes nothing any more ends within milliseconds; what is sent to it could
// be lost without a trace of whether it ran.
bool RequestRouter::IsEnding(const std::string& node) const {
  const auto peer = peers_.find(node);
  return peer != peers_.end() && peer->second.facts_.report_.leaving_ &&
         peer->second.facts_.report_.load_.slots_ == 0;
}

std::string RequestRouter::FindOwnerNode(const Pending& pending) const {
  const auto table = snapshot_->tables_->find(pending.service_);
  if (table == snapshot_->tables_->end()) {
    return {};
  }
  const KeyRange* range = FindRange(table->second, *pending.request_.shard_key_);
  return range == nullptr ? std::string() : range->owner_.node_;
}

std::vector<UpstreamOption> RequestRouter::Options(const Pending& pending) const {
  std::vector<UpstreamOption> options;
  const GateLoad own = gate_.Load();
  if (own.slots_ > 0 && snapshot_->upstream_ != nullptr &&
      snapshot_->upstream_->service_ == pending.service_ &&
      !pending.tried_.contains(shared_.self_)) {
    options.push_back({shared_.self_, own.slots_, own.running_ + own.waiting_, true, false,
                       ServiceTimeOf(gate_.ServiceTimes(), pending.request_.class_)});
  }
  for (const auto& [address, peer] : peers_) {
    const NodeReport& report = peer.facts_.report_;
    if (report.upstream_.service_ != pending.service_ || peer.load_.slots_ == 0 ||
        report.leaving_ || !IsAlive(address) || pending.tried_.contains(address)) {
      continue;
    }
    const int since = std::max(0, peer.open_ - peer.open_at_load_);
    const std::uint32_t in_use =
        peer.load_.running_ + peer.load_.waiting_ + static_cast<std::uint32_t>(since);
    options.push_back({address, peer.load_.slots_, in_use,
                       report.data_centre_ == shared_.environment_.data_centre_,
                       peer.failures_ > kFailingShare,
                       ServiceTimeOf(report.service_times_, pending.request_.class_)});
  }
  return options;
}

void RequestRouter::Dispatch(std::uint64_t number) {
  const auto found = pending_.find(number);
  if (found == pending_.end()) {
    return;
  }
  Pending& pending = found->second;
  pending.place_ = Place::kNowhere;
  if (gate_.IsRefused(pending.request_.fingerprint_)) {
    Refuse(number, "suspect");
    return;
  }
  if (pending.sharded_) {
    const std::string node = FindOwnerNode(pending);
    if (node.empty() || (node != shared_.self_ && !IsAlive(node))) {
      Refuse(number, node.empty() ? "no-owner" : "owner-unreachable");
      return;
    }
    if (IsEnding(node)) {
      Refuse(number, "owner-ending");
      return;
    }
    if (node != shared_.self_) {
      SendThrottle& throttle = peers_[node].throttle_;
      if (!MaySend(throttle, BootClock::now(), Sample())) {
        pending.node_ = node;
        Refuse(number, "owner-overloaded");
        return;
      }
      pending.request_.stands_for_ = RequestsPerSend(throttle);
    }
    SendTo(number, node);
    return;
  }
  const std::vector<UpstreamOption> options = Options(pending);
  const auto choice = ChooseUpstream(options, Sample());
  if (!choice) {
    Refuse(number, pending.last_refusal_ == RefusalReason::kNone ? "no-upstream"
                                                                 : ToString(pending.last_refusal_));
    return;
  }
  SendTo(number, options[*choice].node_);
}

void RequestRouter::SendTo(std::uint64_t number, const std::string& node) {
  Pending& pending = pending_.at(number);
  const BootTime now = BootClock::now();
  pending.node_ = node;
  pending.request_.remaining_ms_ = MillisecondsLeft(pending.deadline_, now);
  pending.request_.objective_ms_ = MillisecondsLeft(pending.objective_, now);
  if (node == shared_.self_) {
    pending.place_ = Place::kOwnGate;
    // The handler may run inside Submit and end the request.
    const auto answered = std::make_shared<bool>(false);
    const UpstreamGate::Number gate_number =
        gate_.Submit(pending.request_, [this, number, answered](ForwardedAnswer answer) {
          *answered = true;
          loop_.Post([this, number, answer = std::move(answer)] { Decide(number, answer); });
        });
    pending.gate_number_ = *answered ? 0 : gate_number;
    return;
  }
  pending.connection_ = links_.Send(node, pending.request_);
  if (pending.connection_ == 0) {
    pending.tried_.insert(node);
    pending.last_refusal_ = RefusalReason::kNoUpstream;
    if (pending.sharded_ || ++pending.refusals_ >= kMostRefusals) {
      Refuse(number, "link-lost");
      return;
    }
    Retry(number, milliseconds(0));
    return;
  }
  pending.place_ = Place::kPeer;
  ++peers_[node].open_;
}

void RequestRouter::OnAnswer(ConnectionId connection, ForwardedAnswer answer) {
  const auto found = pending_.find(answer.number_);
  // A number is valid only on the connection that the request was sent on last.
  if (found == pending_.end() || found->second.place_ != Place::kPeer ||
      found->second.connection_ != connection) {
    shared_.metrics_.Count("sassafrasbay_peer_replies_unmatched_total");
    return;
  }
  PeerState& peer = peers_[found->second.node_];
  peer.load_ = answer.load_;
  peer.open_at_load_ = peer.open_ - 1;
  const std::uint64_t number = answer.number_;
  Decide(number, std::move(answer));
}

void RequestRouter::OnLinkLost(const std::string& address, ConnectionId connection) {
  std::vector<std::uint64_t> lost;
  for (const auto& [number, pending] : pending_) {
    if (pending.place_ == Place::kPeer && pending.connection_ == connection) {
      lost.push_back(number);
    }
  }
  for (const std::uint64_t number : lost) {
    ForwardedAnswer answer;
    answer.number_ = number;
    answer.outcome_ = GateOutcome::kUnknown;
    Decide(number, std::move(answer));
  }
  if (const auto peer = peers_.find(address); peer != peers_.end()) {
    peer->second.open_ = 0;
    peer->second.open_at_load_ = 0;
  }
}

void RequestRouter::NoteEnd(Pending& pending, bool failed) {
  if (pending.place_ == Place::kPeer) {
    PeerState& peer = peers_[pending.node_];
    peer.open_ = std::max(0, peer.open_ - 1);
    peer.failures_ += kFailureWeight * ((failed ? 1.0 : 0.0) - peer.failures_);
  }
  pending.place_ = Place::kNowhere;
  pending.gate_number_ = 0;
}

void RequestRouter::Decide(std::uint64_t number, ForwardedAnswer answer) {
  const auto found = pending_.find(number);
  if (found == pending_.end()) {
    return;
  }
  Pending& pending = found->second;
  if (answer.outcome_ == GateOutcome::kRefused) {
    if (pending.place_ == Place::kPeer && answer.reason_ == RefusalReason::kFull) {
      CountRefused(peers_[pending.node_].throttle_);
    }
    NoteEnd(pending, false);
    OnRefused(number, answer);
    return;
  }
  ++pending.sent_;
  const bool failed =
      answer.outcome_ != GateOutcome::kAnswered || answer.response_.status_ >= kFirstServerError;
  NoteEnd(pending, failed);
  pending.tried_.insert(pending.node_);
  pending.may_have_run_ = pending.may_have_run_ || answer.outcome_ != GateOutcome::kRejected;
  if (failed && MayRepeat(pending, answer.outcome_ != GateOutcome::kRejected)) {
    if (answer.outcome_ == GateOutcome::kAnswered) {
      pending.failure_ = std::move(answer.response_);
    }
    const bool changes_owner = pending.sharded_ && answer.reason_ == RefusalReason::kNotOwner;
    Retry(number, changes_owner ? kOwnerPause : milliseconds(0));
    return;
  }
  switch (answer.outcome_) {
    case GateOutcome::kAnswered:
      if (!failed) {
        CountSuccess(BudgetOf(pending.service_));
      }
      Finish(number, platform::MakeCallerResponse(std::move(answer.response_)), kAnsweredOutcome);
      return;
    case GateOutcome::kRejected:
      pending.last_refusal_ = answer.reason_;
      pending.retry_after_ = kShortestRetryAfter;
      Refuse(number, "rejected-by-upstream");
      return;
    default:
      Finish(number, platform::MakeOwnAnswer(kBadGateway, "upstream lost", std::nullopt),
             "upstream-lost");
  }
}

// A gate's refusal has reached no upstream, so that another may be asked freely.
void RequestRouter::OnRefused(std::uint64_t number, const ForwardedAnswer& answer) {
  Pending& pending = pending_.at(number);
  pending.last_refusal_ = answer.reason_;
  const milliseconds named(answer.retry_after_ms_);
  if (named.count() > 0 && (pending.retry_after_.count() == 0 || named < pending.retry_after_)) {
    pending.retry_after_ = named;
  }
  const BootTime now = BootClock::now();
  if (pending.sharded_) {
    const auto waited = now - pending.received_;
    const auto most = std::chrono::duration_cast<BootTime::duration>(
        kOwnerWaitShare * (pending.objective_ - pending.received_));
    if (answer.reason_ == RefusalReason::kNotOwner && waited < most) {
      Retry(number, kOwnerPause);
      return;
    }
    Refuse(number, ToString(answer.reason_));
    return;
  }
  pending.tried_.insert(pending.node_);
  if (++pending.refusals_ >= kMostRefusals) {
    Refuse(number, ToString(answer.reason_));
    return;
  }
  Dispatch(number);
}

RetryBudget& RequestRouter::BudgetOf(const std::string& service) {
  const platform::NodeEnvironment& environment = shared_.environment_;
  const RetryTerms terms = TermsOfOneNode(environment.retry_ratio_, environment.retry_slack_,
                                          snapshot_->members_.size() + 1);
  RetryBudget& budget = budgets_.try_emplace(service, MakeRetryBudget(terms)).first->second;
  budget.terms_ = terms;
  return budget;
}

bool RequestRouter::MayRepeat(Pending& pending, bool reached_upstream) {
  if (pending.sent_ >= pending.route_->max_attempts_) {
    return false;
  }
  const RetryQuestion question{pending.route_->kind_, reached_upstream, false, pending.sent_,
                               pending.deadline_};
  return DecideRetry(BudgetOf(pending.service_), question, BootClock::now(), random_).has_value();
}

void RequestRouter::Retry(std::uint64_t number, milliseconds pause) {
  pending_.at(number).retry_timer_ = loop_.StartTimer(pause, [this, number] {
    pending_.at(number).retry_timer_ = 0;
    Dispatch(number);
  });
}

// A refusal promises that the request has not run. Once it may have run, only another answer is
// true.
void RequestRouter::Refuse(std::uint64_t number, std::string_view reason) {
  Pending& pending = pending_.at(number);
  if (pending.failure_) {
    Finish(number, platform::MakeCallerResponse(std::move(*pending.failure_)), kAnsweredOutcome);
    return;
  }
  if (pending.may_have_run_) {
    Finish(number, platform::MakeOwnAnswer(kBadGateway, reason, std::nullopt), reason);
    return;
  }
  const milliseconds named =
      pending.retry_after_.count() > 0 ? pending.retry_after_ : kNoOwnerRetryAfter;
  Finish(number,
         platform::MakeOwnAnswer(kUnavailable, reason, std::max(named, kShortestRetryAfter)),
         reason);
}

void RequestRouter::OnDeadline(std::uint64_t number) {
  const auto found = pending_.find(number);
  if (found == pending_.end()) {
    return;
  }
  found->second.deadline_timer_ = 0;
  const bool waits = found->second.place_ == Place::kNowhere && found->second.sent_ == 0;
  if (found->second.place_ == Place::kPeer) {
    CountRefused(peers_[found->second.node_].throttle_);
  }
  Withdraw(number, found->second);
  if (waits) {
    Refuse(number, "deadline");
    return;
  }
  Finish(number, platform::MakeOwnAnswer(kGatewayTimeout, "timed out", std::nullopt), "timed-out");
}

void RequestRouter::OnAbandoned(std::uint64_t number) {
  const auto found = pending_.find(number);
  if (found == pending_.end()) {
    return;
  }
  Withdraw(number, found->second);
  Finish(number, HttpResponse{}, "abandoned");
}

void RequestRouter::Withdraw(std::uint64_t number, Pending& pending) {
  if (pending.place_ == Place::kOwnGate && pending.gate_number_ != 0) {
    gate_.Cancel(pending.gate_number_);
  } else if (pending.place_ == Place::kPeer) {
    links_.Reply(pending.connection_, CancelForwarded{number});
  }
  NoteEnd(pending, false);
}

void RequestRouter::LogEnd(const Pending& pending, int status, std::string_view outcome,
                           double took_ms) const {
  const bool late = BootClock::now() > pending.objective_;
  const bool served = outcome == kAnsweredOutcome && status < kFirstServerError;
  const std::string key =
      pending.sharded_ ? std::to_string(*pending.request_.shard_key_) : std::string("-");
  // Two parts, so that the bound on lines of the many served requests doesn't drop the others.
  LogInfo(served && !late ? kServedPart : kPart,
          "request=" + pending.request_.request_id_ + " route=" + pending.request_.class_ +
              " service=" + pending.service_ + " key=" + key + " node=" + pending.node_ + " sent=" +
              std::to_string(pending.sent_) + " refusals=" + std::to_string(pending.refusals_) +
              " configuration=" + std::to_string(pending.routes_->version_) +
              " tables_end=" + std::to_string(snapshot_->tables_end_) + " ms=" +
              std::to_string(static_cast<int>(took_ms)) + " late=" + (late ? "true" : "false") +
              " status=" + std::to_string(status) + " outcome=" + std::string(outcome) + ".");
}

void RequestRouter::Finish(std::uint64_t number, HttpResponse response, std::string_view outcome) {
  const auto found = pending_.find(number);
  Pending pending = std::move(found->second);
  pending_.erase(found);
  loop_.CancelTimer(pending.deadline_timer_);
  loop_.CancelTimer(pending.retry_timer_);
  const auto took =
      std::chrono::duration<double, std::milli>(BootClock::now() - pending.received_).count();
  const std::string labels = "outcome=\"" + std::string(outcome) + "\"";
  shared_.metrics_.Count("sassafrasbay_requests_total", labels);
  shared_.metrics_.Observe("sassafrasbay_request_ms", labels, took);
  LogEnd(pending, response.status_, outcome, took);
  if (end_) {
    response.headers_.emplace_back("Connection", "close");
  }
  pending.exchange_->Respond(std::move(response));
}

}  // namespace sassafrasbay

#include "router/request_router.h"

#include <algorithm>
#include <array>
#include <span>
#include <utility>

#include "LibCore/hash.h"
#include "LibCore/logging.h"
#include "LibOwnership/report_timing.h"
#include "LibRouting/load_estimate.h"
#include "platform/request_translation.h"

namespace sassafrasbay {
namespace {

constexpr std::string_view kPart = "route";
constexpr int kBadRequest = 400;
constexpr int kNotFound = 404;
constexpr int kUnavailable = 503;
/// Smoothed ratio of failures above which an upstream is avoided.
constexpr double kFailureRatioThreshold = 0.3;

/// Outcome of a request of a rank that no upstream admits.
constexpr std::string_view kRankNotAdmitted = "rank-not-admitted";

/// Multiple of its smoothed service time within which nearly all requests of a class end.
constexpr double kServiceTimeMargin = 2;

double ServiceTimeOf(std::span<const ServiceTime> times, std::string_view request_class) {
  const auto found = std::find_if(times.begin(), times.end(), [&](const ServiceTime& time) {
    return time.class_ == request_class;
  });
  return found == times.end() ? 0 : found->ms_;
}

/// Bits of an attempt's number that count the attempts of one request.
constexpr unsigned kAttemptBits = 10;

std::uint32_t MillisecondsUntil(BootTime end, BootTime now) {
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

std::uint64_t RequestRouter::AttemptNumber(std::uint64_t request, std::uint64_t attempt) {
  return (request << kAttemptBits) | (attempt & ((1U << kAttemptBits) - 1));
}

std::uint64_t RequestRouter::RequestOfAttempt(std::uint64_t attempt_number) {
  return attempt_number >> kAttemptBits;
}

double RequestRouter::RandomFraction() {
  return std::uniform_real_distribution<double>(0, 1)(random_);
}

void RequestRouter::SetSnapshot(const std::shared_ptr<const RouterSnapshot>& snapshot) {
  snapshot_ = snapshot;
}

void RequestRouter::SetReport(const ReceivedReport& received_report) {
  PeerState& peer = peers_[received_report.report_.address_];
  peer.latest_report_ = received_report;
  peer.load_ = received_report.report_.load_;
  peer.load_received_at_ = received_report.received_at_;
  peer.open_requests_at_load_ = peer.open_requests_;
  const UpstreamSummary& upstream = received_report.report_.upstream_;
  RecordReport(leaving_upstreams_,
               {received_report.report_.address_, upstream.instance_, upstream.born_ms_},
               upstream.leaving_, received_report.received_at_);
}

// A request without a route is refused at once, so nothing can run out of order.
bool RequestRouter::MayOverlap(const HttpRequest& request) const {
  if (snapshot_ == nullptr || snapshot_->routes_ == nullptr) {
    return true;
  }
  const Route* route =
      MatchRoute(*snapshot_->routes_, FindHeader(request.headers_, "Host"), request.path_);
  return route == nullptr || route->kind_ == RequestKind::kIdempotent;
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
  const std::uint64_t number = ++last_request_number_;
  Pending& pending = pending_[number];
  pending = std::move(accepted.value());
  pending.deadline_timer_ =
      loop_.StartTimer(milliseconds(MillisecondsUntil(pending.deadline_, BootClock::now())),
                       [this, number] { OnDeadline(number); });
  exchange->OnAbandoned([this, number] { OnAbandoned(number); });
  Dispatch(number);
}

Result<RequestRouter::Pending> RequestRouter::Accept(const std::shared_ptr<HttpExchange>& exchange,
                                                     HttpResponse& refusal) {
  constexpr std::string_view kOperation = "accept request";
  if (snapshot_ == nullptr || snapshot_->routes_ == nullptr) {
    refusal =
        platform::MakeRouterResponse(kUnavailable, "no configuration yet", kDefaultRetryAfter);
    return MakeError(Errc::kUnavailable, kOperation, {}, "no configuration received yet");
  }
  // Bodies may be large, and the connection holds its request until it is answered.
  std::string body = exchange->TakeBody();
  auto read = platform::ReadCallerRequest(exchange->Request(), caller_service_);
  if (!read) {
    refusal = platform::MakeRouterResponse(kBadRequest, ToString(read.error()), std::nullopt);
    return read.error();
  }
  platform::CallerRequest& request = read.value();
  request.request_.body_ = std::move(body);
  Pending pending;
  pending.routes_ = snapshot_->routes_;
  pending.route_ = MatchRoute(*pending.routes_, request.host_, request.request_.path_);
  if (pending.route_ == nullptr) {
    refusal = platform::MakeRouterResponse(kNotFound, "no route", std::nullopt);
    return MakeError(Errc::kInvalidArgument, kOperation, {},
                     "no route matches host and path, host " + request.host_);
  }
  const Route& route = *pending.route_;
  pending.exchange_ = exchange;
  pending.service_ = PickDestination(route, RandomFraction()).service_;
  const auto service = pending.routes_->services_.find(pending.service_);
  pending.sharded_ = service != pending.routes_->services_.end() && service->second.sharded_ &&
                     request.shard_key_.has_value();
  pending.received_at_ = exchange->ReceivedAt();
  const milliseconds limit = std::min(route.timeout_, request.remaining_.value_or(route.timeout_));
  pending.deadline_ = pending.received_at_ + limit;
  pending.objective_ = pending.received_at_ + std::min(route.objective_, limit);
  if (refuses_long_requests_ && pending.deadline_ > *shutdown_deadline_) {
    refusal = platform::MakeRouterResponse(kUnavailable, "this node ends", kDefaultRetryAfter);
    return MakeError(Errc::kUnavailable, kOperation, {},
                     "this node shuts down before the request's deadline");
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
  InheritFromCaller(pending);
  const std::array<std::string_view, 3> parts = {forwarded.request_.path_, caller_service_,
                                                 forwarded.request_.body_};
  forwarded.fingerprint_ = HashParts(parts);
  forwarded.returned_ = TakeReturn(refused_callers_, forwarded.fingerprint_, pending.received_at_);
  return pending;
}

bool RequestRouter::IsAlive(const std::string& node) const {
  const auto peer = peers_.find(node);
  return peer != peers_.end() && BootClock::now() - peer->second.latest_report_.received_at_ <
                                     SuspicionTimeout(snapshot_->members_.size() + 1);
}

// A leaving node without slots ends within milliseconds. Whether a request sent to it has run could
// not be determined.
bool RequestRouter::IsShuttingDown(const std::string& node) const {
  const auto peer = peers_.find(node);
  return peer != peers_.end() && peer->second.latest_report_.report_.leaving_ &&
         peer->second.latest_report_.report_.load_.slots_ == 0;
}

// The gate of a node that hasn't read the mark yet would still admit the request.
bool RequestRouter::IsInEvacuatedDataCentre(const std::string& node) const {
  if (node == shared_.self_) {
    return snapshot_->evacuated_.contains(shared_.environment_.data_centre_);
  }
  const auto peer = peers_.find(node);
  return peer != peers_.end() &&
         snapshot_->evacuated_.contains(peer->second.latest_report_.report_.data_centre_);
}

const Holder* RequestRouter::FindOwner(const Pending& pending) const {
  const KeyTable* table = FindTable(snapshot_->records_, pending.service_);
  const KeyRange* range =
      table == nullptr ? nullptr : FindRange(*table, *pending.request_.shard_key_);
  return range == nullptr || range->owner_.node_.empty() ? nullptr : &range->owner_;
}

std::optional<UpstreamCandidate> RequestRouter::FindCandidate(const std::string& node,
                                                              const PeerState& peer,
                                                              const Pending& pending,
                                                              BootTime now) const {
  const NodeReport& report = peer.latest_report_.report_;
  if (peer.load_.slots_ == 0 || report.leaving_ || report.upstream_.service_ != pending.service_ ||
      snapshot_->evacuated_.contains(report.data_centre_) ||
      (!pending.tried_nodes_.empty() && pending.tried_nodes_.contains(node))) {
    return std::nullopt;
  }
  const LeavingUpstreams::Entry* leaving = FindLeaving(leaving_upstreams_, node);
  if (leaving != nullptr &&
      HasDrained(leaving_upstreams_, {node, report.upstream_.instance_, report.upstream_.born_ms_},
                 milliseconds(0), now)) {
    return std::nullopt;
  }
  HeardLoad heard;
  heard.load_ = peer.load_;
  heard.age_ms_ = std::chrono::duration<double, std::milli>(now - peer.load_received_at_).count();
  heard.sent_since_ =
      static_cast<std::uint32_t>(std::max(0, peer.open_requests_ - peer.open_requests_at_load_));
  heard.service_ms_ = ServiceTimeOf(report.service_times_, pending.request_.class_);
  const LoadEstimate estimate = EstimateLoad(heard);
  return UpstreamCandidate{node,
                           peer.load_.slots_,
                           estimate.outstanding_,
                           report.data_centre_ == shared_.environment_.data_centre_,
                           peer.failure_ratio_ > kFailureRatioThreshold,
                           heard.service_ms_,
                           estimate.known_,
                           EstimateSlowness(heard)};
}

std::span<const UpstreamCandidate> RequestRouter::FindCandidates(const Pending& pending) {
  candidates_.clear();
  const BootTime now = BootClock::now();
  const BootTime alive_since = now - SuspicionTimeout(snapshot_->members_.size() + 1);
  const GateLoad own = gate_.Load();
  if (own.slots_ > 0 && snapshot_->upstream_ != nullptr &&
      snapshot_->upstream_->service_ == pending.service_ &&
      !pending.tried_nodes_.contains(shared_.self_)) {
    UpstreamCandidate& candidate = candidates_.emplace_back();
    candidate.node_ = shared_.self_;
    candidate.slots_ = own.slots_;
    candidate.outstanding_ = own.running_ + own.waiting_;
    candidate.same_data_centre_ = true;
    candidate.service_ms_ = gate_.ServiceTimeMs(pending.request_.class_);
    candidate.slowness_ = EstimateSlowness({own});
  }
  for (const auto& [address, peer] : peers_) {
    if (peer.latest_report_.received_at_ <= alive_since) {
      continue;
    }
    if (const auto candidate = FindCandidate(address, peer, pending, now)) {
      candidates_.push_back(*candidate);
    }
  }
  return candidates_;
}

void RequestRouter::CountChoice(const UpstreamCandidate& candidate) {
  shared_.metrics_.Count("sassafrasbay_choices_total", candidate.same_data_centre_
                                                           ? "data_centre=\"same\""
                                                           : "data_centre=\"other\"");
}

void RequestRouter::Dispatch(std::uint64_t number) {
  const auto found = pending_.find(number);
  if (found == pending_.end()) {
    return;
  }
  Pending& pending = found->second;
  pending.location_ = Location::kUnassigned;
  if (gate_.IsRefused(pending.request_.fingerprint_)) {
    Refuse(number, "suspect");
    return;
  }
  if (pending.sharded_) {
    const Holder* owner = FindOwner(pending);
    const std::string node = owner == nullptr ? std::string() : owner->node_;
    if (node.empty() || (node != shared_.self_ && !IsAlive(node))) {
      Refuse(number, node.empty() ? "no-owner" : "owner-unreachable");
      return;
    }
    if (HasDrained(leaving_upstreams_, *owner, shared_.environment_.drain_limit_ - kDrainMargin,
                   BootClock::now())) {
      Refuse(number, "owner-leaving");
      return;
    }
    if (IsInEvacuatedDataCentre(node)) {
      Refuse(number, "owner-evacuated");
      return;
    }
    if (IsShuttingDown(node)) {
      Refuse(number, "owner-ending");
      return;
    }
    if (node != shared_.self_) {
      pending.node_ = node;
      if (!ApplyRanks(pending, node)) {
        Refuse(number, kRankNotAdmitted);
        return;
      }
      SendThrottle& throttle = peers_[node].throttle_;
      const double sample = pending.request_.is_call_ ? 1 : RandomFraction();  // Sent for sure.
      if (!MaySend(throttle, BootClock::now(), sample)) {
        Refuse(number, "owner-overloaded");
        return;
      }
      pending.request_.sampling_weight_ *= SamplingWeight(throttle);
    }
    SendTo(number, node);
    return;
  }
  FindCandidates(pending);
  if (!ApplyRanks(pending, candidates_)) {
    Refuse(number, kRankNotAdmitted);
    return;
  }
  const std::span<const UpstreamCandidate> candidates = candidates_;
  const auto choice = ChooseUpstream(candidates, RandomFraction());
  if (!choice) {
    Refuse(number, pending.last_refusal_ == RefusalReason::kNone ? "no-upstream"
                                                                 : ToString(pending.last_refusal_));
    return;
  }
  CountChoice(candidates[*choice]);
  SendTo(number, std::string(candidates[*choice].node_));
}

// Nothing is known of a class that hasn't run lately.
bool RequestRouter::OutlastsShutdown(const Pending& pending, const std::string& node) const {
  if (!shutdown_deadline_ || pending.deadline_ <= *shutdown_deadline_) {
    return false;
  }
  const auto peer = peers_.find(node);
  const double expected_ms = peer == peers_.end()
                                 ? ServiceTimeOf(gate_.ServiceTimes(), pending.request_.class_)
                                 : ServiceTimeOf(peer->second.latest_report_.report_.service_times_,
                                                 pending.request_.class_);
  const auto margin = std::chrono::duration_cast<BootTime::duration>(
      std::chrono::duration<double, std::milli>(kServiceTimeMargin * expected_ms));
  return expected_ms == 0 || BootClock::now() + margin > *shutdown_deadline_;
}

void RequestRouter::SendTo(std::uint64_t number, const std::string& node) {
  Pending& pending = pending_.at(number);
  const BootTime now = BootClock::now();
  pending.node_ = node;
  if (OutlastsShutdown(pending, node)) {
    Refuse(number, "node-ending");
    return;
  }
  pending.request_.number_ = AttemptNumber(number, ++pending.attempts_);
  pending.request_.sent_before_to_.reset();
  if (node == shared_.self_) {
    pending.request_.remaining_ms_ = MillisecondsUntil(pending.deadline_, now);
    pending.request_.objective_ms_ = MillisecondsUntil(pending.objective_, now);
    pending.location_ = Location::kLocalGate;
    // Submit may call the handler before it returns.
    const auto outcome = std::make_shared<std::optional<GateOutcome>>();
    pending.gate_outcome_ = outcome;
    pending.gate_number_ =
        gate_.Submit(pending.request_, [this, number, outcome](ForwardedAnswer answer) {
          *outcome = answer.outcome_;
          loop_.Post([this, number, answer = std::move(answer)] { HandleAnswer(number, answer); });
        });
    return;
  }
  const auto peer = peers_.find(node);
  pending.node_incarnation_ =
      peer == peers_.end() ? "" : peer->second.latest_report_.report_.incarnation_;
  if (!SendToPeer(pending)) {
    pending.tried_nodes_.insert(node);
    pending.last_refusal_ = RefusalReason::kNoUpstream;
    if (pending.sharded_ || ++pending.refusals_ >= kMaxRefusals) {
      Refuse(number, "link-lost");
      return;
    }
    Retry(number, milliseconds(0));
    return;
  }
  pending.location_ = Location::kPeer;
  ++peers_[node].open_requests_;
}

bool RequestRouter::SendToPeer(Pending& pending) {
  const BootTime now = BootClock::now();
  pending.request_.remaining_ms_ = MillisecondsUntil(pending.deadline_, now);
  pending.request_.objective_ms_ = MillisecondsUntil(pending.objective_, now);
  pending.request_.clock_ms_ = static_cast<std::uint64_t>(ToBootMilliseconds(now));
  pending.sent_at_ = now;
  pending.connection_ = links_.Send(pending.node_, pending.request_);
  return pending.connection_ != 0;
}

}  // namespace sassafrasbay

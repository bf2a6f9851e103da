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
constexpr int kBadRequest = 400;
constexpr int kNotFound = 404;
constexpr int kUnavailable = 503;
/// Smoothed share of failures above which an upstream is avoided.
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
    refusal = platform::MakeRouterResponse(kUnavailable, "no configuration yet", kNoOwnerRetryAfter);
    return MakeError(Errc::kUnavailable, kStep, {}, "no configuration yet");
  }
  auto read = platform::ReadCallerRequest(exchange->Request(), caller_service_);
  if (!read) {
    refusal = platform::MakeRouterResponse(kBadRequest, ToString(read.error()), std::nullopt);
    return read.error();
  }
  platform::CallerRequest& request = read.value();
  Pending pending;
  pending.routes_ = snapshot_->routes_;
  pending.route_ = MatchRoute(*pending.routes_, request.host_, request.request_.path_);
  if (pending.route_ == nullptr) {
    refusal = platform::MakeRouterResponse(kNotFound, "no route", std::nullopt);
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
    refusal = platform::MakeRouterResponse(kUnavailable, "this node ends", kNoOwnerRetryAfter);
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

}  // namespace sassafrasbay

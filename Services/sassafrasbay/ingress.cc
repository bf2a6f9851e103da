#include "ingress.h"

#include <strings.h>

#include <algorithm>
#include <set>
#include <utility>
#include <vector>

#include "LibCore/hash.h"
#include "LibCore/logging.h"
#include "LibRouting/classify.h"

namespace sassafrasbay {
namespace {

constexpr std::string_view kPart = "routing";
constexpr milliseconds kSweepInterval{10};

/// Backoff before the next attempt, which starts earlier when the owner changes; it doubles with
/// each attempt. The bounds are well below the takeover time of about 1.2 s and well above a round
/// trip between data centres.
constexpr milliseconds kInitialRerouteBackoff{25};
constexpr milliseconds kMaxRerouteBackoff{200};

/// Limits the number of pending requests at this node, and with it their memory.
constexpr std::size_t kMaxPendingRequests = 10'000;

/// Added to the deadline of requests that are open at an owner, so that the "not run" that the
/// owner sends at the deadline arrives before the ingress has to answer "unknown".
constexpr milliseconds kAnswerGrace{50};

}  // namespace

void RespondWith(HttpExchange& exchange, RoutedAnswer answer) {
  HttpResponse response = std::move(answer.response_);
  std::erase_if(response.headers_, [](const auto& header) {
    return strcasecmp(header.first.c_str(), "Sassafrasbay-Outcome") == 0;
  });
  response.headers_.emplace_back("Sassafrasbay-Outcome", ToString(answer.outcome_));
  if (!answer.reason_.empty()) {
    response.headers_.emplace_back("Sassafrasbay-Reason", answer.reason_);
  }
  if (response.status_ == 503 || response.status_ == 429) {
    response.headers_.emplace_back("Retry-After", "1");
  }
  exchange.Respond(std::move(response));
}

Ingress::Ingress(ReactorLoop& loop, SharedState& shared, const StateChart& chart, Owner& owner,
                 TrafficPeers& peers)
    : loop_(loop),
      shared_(shared),
      chart_(chart),
      owner_(owner),
      peers_(peers),
      node_prefix_(RandomId().substr(0, 12)),
      random_(std::random_device{}()),
      last_sweep_(BootClock::now()) {
  loop_.StartRepeatingTimer(kSweepInterval, [this] { Sweep(); });
}

void Ingress::SetSnapshot(std::shared_ptr<const RoutingSnapshot> snapshot) {
  snapshot_ = std::move(snapshot);
  std::vector<std::uint64_t> waiting;
  std::vector<std::uint64_t> orphaned;
  for (const auto& [number, pending] : pending_) {
    const bool open = pending.peer_request_number_ != 0 || pending.owner_request_number_ != 0;
    if (pending.waiting_ && OwnerChanged(pending)) {
      waiting.push_back(number);
    } else if (open && FindSession(*snapshot_->state_, pending.target_session_) == nullptr) {
      orphaned.push_back(number);
    }
  }
  for (const std::uint64_t number : waiting) {
    Route(number);
  }
  for (const std::uint64_t number : orphaned) {
    RerouteAfterSessionEnd(number);
  }
}

// A frozen owner keeps its connections open, so without this the attempt would last until the
// deadline.
void Ingress::RerouteAfterSessionEnd(std::uint64_t number) {
  const auto found = pending_.find(number);
  if (found == pending_.end()) {
    return;
  }
  PendingRequest& pending = found->second;
  peers_.DropRequest(std::exchange(pending.peer_request_number_, 0));
  if (const std::uint64_t owner_request_number = std::exchange(pending.owner_request_number_, 0);
      owner_request_number != 0) {
    owner_.Cancel(owner_request_number);
  }
  pending.may_have_run_ = true;
  WaitAndRoute(number, "the session it was sent to has ended");
}

bool Ingress::OwnerChanged(const PendingRequest& pending) const {
  const Unit* unit = FindUnit(*snapshot_->state_, pending.forward_.unit_);
  return unit == nullptr || unit->owner_ != pending.last_owner_ ||
         unit->token_ != pending.last_token_;
}

void Ingress::Handle(const std::shared_ptr<HttpExchange>& exchange) {
  if (!snapshot_) {
    RespondWith(*exchange, NotRun(503, "this node has no configuration yet"));
    return;
  }
  const auto classified = Classify(snapshot_->state_->configuration_, exchange->Request());
  if (!classified) {
    shared_.metrics_.Count("sassafrasbay_requests_malformed_total");
    RespondWith(*exchange, NotRun(400, ToString(classified.error())));
    return;
  }
  if (pending_.size() >= kMaxPendingRequests) {
    shared_.metrics_.Count("sassafrasbay_requests_rejected_total");
    RespondWith(*exchange, NotRun(429, "too many requests wait at this node"));
    return;
  }
  const std::uint64_t number = next_number_++;
  PendingRequest& pending = pending_[number];
  pending.exchange_ = exchange;
  pending.position_ = StartChart(chart_);
  pending.kind_ = classified.value().class_->kind_;
  pending.received_at_ = exchange->ReceivedAt();
  pending.deadline_ = pending.received_at_ + classified.value().class_->deadline_;
  pending.forward_.key_hash_ = classified.value().key_hash_;
  pending.forward_.unit_.service_ = classified.value().service_->name_;
  pending.forward_.class_ = classified.value().class_->name_;
  pending.forward_.request_id_ = node_prefix_ + "-" + std::to_string(number);
  pending.forward_.request_ = exchange->Request();
  pending.forward_.idempotency_key_ = FindHeader(exchange->Request().headers_, "Idempotency-Key");
  Advance(pending, "classified");
  exchange->OnAbandoned([this, number] { Abandon(number); });
  Route(number);
}

void Ingress::Route(std::uint64_t number) {
  PendingRequest& pending = pending_.at(number);
  pending.waiting_ = false;
  const BootTime now = BootClock::now();
  if (pending.deadline_ <= now) {
    return;  // Sweep() answers the request.
  }
  const ControlState& state = *snapshot_->state_;
  const auto service = state.services_.find(pending.forward_.unit_.service_);
  if (service == state.services_.end() || service->second.shards_.empty()) {
    WaitAndRoute(number, "its service has no units");
    return;
  }
  pending.forward_.unit_ = UnitOfKey(service->second, service->first, pending.forward_.key_hash_);
  const Unit* unit = FindUnit(state, pending.forward_.unit_);
  const Session* owner = unit != nullptr ? FindSession(state, unit->owner_) : nullptr;
  pending.last_owner_ = unit != nullptr ? unit->owner_ : SessionId();
  pending.last_token_ = unit != nullptr ? unit->token_ : 0;
  // During a move the old owner is asked first, since it alone knows whether it still holds the
  // unit. If it answers that it isn't the owner, the next attempt goes to the target of the move.
  if (unit != nullptr && unit->move_ && pending.target_session_ == unit->owner_) {
    const Session* target = FindSession(state, unit->move_->to_);
    owner = target != nullptr ? target : owner;
  }
  if (owner == nullptr) {
    WaitAndRoute(number, "its unit has no owner");
    return;
  }
  pending.forward_.remaining_ms_ =
      static_cast<std::uint32_t>(std::chrono::ceil<milliseconds>(pending.deadline_ - now).count());
  const bool to_move_target = owner->join_.session_ != unit->owner_;
  SendTo(number, *owner, to_move_target ? unit->move_->token_ : unit->token_,
         to_move_target ? "its session is the target of the unit's move"
                        : "its session owns the unit");
}

void Ingress::SendTo(std::uint64_t number, const Session& owner, Offset token,
                     std::string_view reason) {
  PendingRequest& pending = pending_.at(number);
  pending.target_session_ = owner.join_.session_;
  LogInfo(kPart, "Request " + pending.forward_.request_id_ + " of class " +
                     pending.forward_.class_ + " is sent to " + owner.join_.node_ + ": unit " +
                     pending.forward_.unit_.service_ + "/" +
                     std::to_string(pending.forward_.unit_.unit_) + ", token " +
                     std::to_string(token) + ", " + std::string(reason) + ".");
  if (owner.join_.session_ == snapshot_->own_session_) {
    Advance(pending, "local");
    const std::uint64_t owner_request_number =
        owner_.Handle(pending.forward_,
                      [this, number](RoutedAnswer answer) { OnAnswer(number, std::move(answer)); });
    const auto found = pending_.find(number);
    if (found != pending_.end() && !found->second.waiting_) {
      found->second.owner_request_number_ = owner_request_number;
    }
    return;
  }
  Advance(pending, "forwarded");
  pending.peer_request_number_ = peers_.Request(
      owner.join_.traffic_address_, pending.forward_, milliseconds(0),
      [this, number](Result<TrafficMessage> reply) { OnPeerReply(number, std::move(reply)); });
}

void Ingress::OnPeerReply(std::uint64_t number, Result<TrafficMessage> reply) {
  const auto found = pending_.find(number);
  if (found == pending_.end()) {
    return;
  }
  found->second.peer_request_number_ = 0;
  if (!reply) {
    found->second.may_have_run_ = true;
    shared_.metrics_.Count("sassafrasbay_forwards_lost_total");
    // Sending the request again is safe for both kinds: an idempotent request may run twice, and
    // the owner's request table prevents a second run of a binding request.
    WaitAndRoute(number, ToString(reply.error()));
    return;
  }
  auto* answer = std::get_if<Answer>(&reply.value());
  if (answer == nullptr) {
    found->second.may_have_run_ = true;
    WaitAndRoute(number, "the owner's node sent a reply of another type than an answer");
    return;
  }
  OnAnswer(number, std::move(answer->answer_));
}

void Ingress::OnAnswer(std::uint64_t number, RoutedAnswer answer) {
  const auto found = pending_.find(number);
  if (found == pending_.end()) {
    return;
  }
  PendingRequest& pending = found->second;
  pending.owner_request_number_ = 0;
  const bool misdirected =
      answer.outcome_ == Outcome::kNotRun && answer.response_.status_ == kMisdirectedStatus;
  if (misdirected) {
    WaitAndRoute(number, answer.reason_);
    return;
  }
  if (answer.outcome_ == Outcome::kNotRun && pending.may_have_run_) {
    answer = Unknown("an earlier attempt may have run; the last one did not: " + answer.reason_);
  }
  Advance(pending, "answered");
  Respond(number, std::move(answer));
}

void Ingress::WaitAndRoute(std::uint64_t number, std::string_view reason) {
  PendingRequest& pending = pending_.at(number);
  if (pending.position_.state_ != "routing") {
    Advance(pending, "rerouted");
  }
  if (!pending.waiting_) {
    LogInfo(kPart, "Request " + pending.forward_.request_id_ +
                       " waits for its next attempt: " + std::string(reason) + ".");
  }
  pending.waiting_ = true;
  pending.has_waited_ = true;
  shared_.metrics_.Count("sassafrasbay_reroutes_total");
  const milliseconds backoff = std::min(
      kInitialRerouteBackoff * (1 << std::min(pending.reroute_count_, 3)), kMaxRerouteBackoff);
  const int reroute = ++pending.reroute_count_;
  // Jitter spreads the attempts of requests that began to wait at the same time.
  const milliseconds delay(
      std::uniform_int_distribution<std::int64_t>(backoff.count() / 2, backoff.count())(random_));
  loop_.StartTimer(delay, [this, number, reroute] {
    const auto found = pending_.find(number);
    if (found != pending_.end() && found->second.waiting_ &&
        found->second.reroute_count_ == reroute) {
      Route(number);
    }
  });
}

void Ingress::Respond(std::uint64_t number, RoutedAnswer answer) {
  const auto found = pending_.find(number);
  PendingRequest pending = std::move(found->second);
  pending_.erase(found);
  const std::string labels = "service=\"" + pending.forward_.unit_.service_ + "\",class=\"" +
                             pending.forward_.class_ + "\",outcome=\"" +
                             std::string(ToString(answer.outcome_)) + "\"";
  shared_.metrics_.Count("sassafrasbay_requests_total", labels);
  const std::chrono::duration<double, std::milli> latency = BootClock::now() - pending.received_at_;
  shared_.metrics_.Observe("sassafrasbay_request_latency_ms", {}, latency.count());
  if (answer.outcome_ != Outcome::kAnswered) {
    LogInfo(kPart, "Request " + pending.forward_.request_id_ + " ends with outcome " +
                       std::string(ToString(answer.outcome_)) + ": " + answer.reason_ + ".");
  }
  answer.response_.headers_.emplace_back("Sassafrasbay-Request-Id", pending.forward_.request_id_);
  RespondWith(*pending.exchange_, std::move(answer));
}

void Ingress::Abandon(std::uint64_t number) {
  const auto found = pending_.find(number);
  if (found == pending_.end()) {
    return;
  }
  PendingRequest pending = std::move(found->second);
  pending_.erase(found);
  shared_.metrics_.Count("sassafrasbay_requests_abandoned_total");
  if (pending.owner_request_number_ != 0) {
    owner_.Cancel(pending.owner_request_number_);
  }
  if (pending.peer_request_number_ != 0) {
    const Session* owner = FindSession(*snapshot_->state_, pending.target_session_);
    if (owner != nullptr) {
      peers_.Notify(owner->join_.traffic_address_, Cancel{pending.peer_request_number_});
    }
    peers_.DropRequest(pending.peer_request_number_);
  }
}

void Ingress::Sweep() {
  const BootTime now = BootClock::now();
  CountUnavailableTime(now);
  std::vector<std::uint64_t> overdue;
  for (const auto& [number, pending] : pending_) {
    const bool open = pending.peer_request_number_ != 0 || pending.owner_request_number_ != 0;
    if (pending.deadline_ + (open ? kAnswerGrace : milliseconds(0)) <= now) {
      overdue.push_back(number);
    }
  }
  for (const std::uint64_t number : overdue) {
    PendingRequest& pending = pending_.at(number);
    const bool open = pending.peer_request_number_ != 0 || pending.owner_request_number_ != 0;
    if (pending.peer_request_number_ != 0) {
      peers_.DropRequest(pending.peer_request_number_);
    }
    if (open || pending.may_have_run_) {
      Advance(pending, open ? "lost" : "refused");
      Respond(number, Unknown("the deadline passed without an answer"));
      continue;
    }
    Advance(pending, "refused");
    Respond(number, NotRun(503, "no owner took the request within the deadline"));
  }
}

void Ingress::CountUnavailableTime(BootTime now) {
  const auto elapsed = std::chrono::floor<milliseconds>(now - last_sweep_);
  last_sweep_ += elapsed;
  std::set<UnitId> unavailable;
  for (const auto& [number, pending] : pending_) {
    if (pending.has_waited_) {
      unavailable.insert(pending.forward_.unit_);
    }
  }
  for (const UnitId& unit : unavailable) {
    shared_.metrics_.Count(kUnavailableUnitTimeMetric, "service=\"" + unit.service_ + "\"",
                           static_cast<std::uint64_t>(elapsed.count()));
  }
}

void Ingress::Advance(PendingRequest& pending, std::string_view event) {
  if (auto fired = Fire(pending.position_, event); !fired) {
    LogError(kPart, pending.forward_.request_id_ + ": " + ToString(fired.error()));
  }
}

}  // namespace sassafrasbay

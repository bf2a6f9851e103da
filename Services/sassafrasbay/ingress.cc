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

/// Wait before the next attempt when the owner does not change first; it doubles with each attempt.
/// Short against the takeover time of about 1.2 s, long against a round trip between data centres.
constexpr milliseconds kFirstRerouteDelay{25};
constexpr milliseconds kLongestRerouteDelay{200};

/// Bound of the memory of requests that wait for an owner.
constexpr std::size_t kMaxPendingRequests = 10'000;

/// Added to the deadline at the ingress, so that the owner's own "not run" at the deadline arrives
/// before the ingress has to answer "unknown".
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
    const bool open = pending.peer_number_ != 0 || pending.owner_number_ != 0;
    if (pending.waiting_ && OwnerChanged(pending)) {
      waiting.push_back(number);
    } else if (open && FindSession(*snapshot_->state_, pending.sent_to_) == nullptr) {
      orphaned.push_back(number);
    }
  }
  for (const std::uint64_t number : waiting) {
    Route(number);
  }
  for (const std::uint64_t number : orphaned) {
    TakeBack(number);
  }
}

// A frozen owner keeps its connections, so nothing else would end the attempt before the deadline.
void Ingress::TakeBack(std::uint64_t number) {
  const auto found = pending_.find(number);
  if (found == pending_.end()) {
    return;
  }
  Pending& pending = found->second;
  peers_.Forget(std::exchange(pending.peer_number_, 0));
  if (const std::uint64_t handled = std::exchange(pending.owner_number_, 0); handled != 0) {
    owner_.Cancel(handled);
  }
  pending.maybe_ran_ = true;
  WaitAndRoute(number, "the session that had the request has ended");
}

bool Ingress::OwnerChanged(const Pending& pending) const {
  const Unit* unit = FindUnit(*snapshot_->state_, pending.forward_.unit_);
  return unit == nullptr || unit->owner_ != pending.seen_owner_ ||
         unit->token_ != pending.seen_token_;
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
  Pending& pending = pending_[number];
  pending.exchange_ = exchange;
  pending.position_ = StartChart(chart_);
  pending.kind_ = classified.value().class_->kind_;
  pending.received_at_ = BootClock::now();
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
  Pending& pending = pending_.at(number);
  pending.waiting_ = false;
  const BootTime now = BootClock::now();
  if (pending.deadline_ <= now) {
    return;  // Sweep answers it.
  }
  const ControlState& state = *snapshot_->state_;
  const auto service = state.services_.find(pending.forward_.unit_.service_);
  if (service == state.services_.end() || service->second.shards_.empty()) {
    WaitAndRoute(number, "the service has no units");
    return;
  }
  pending.forward_.unit_ = UnitOfKey(service->second, service->first, pending.forward_.key_hash_);
  const Unit* unit = FindUnit(state, pending.forward_.unit_);
  const Session* owner = unit != nullptr ? FindSession(state, unit->owner_) : nullptr;
  pending.seen_owner_ = unit != nullptr ? unit->owner_ : SessionId();
  pending.seen_token_ = unit != nullptr ? unit->token_ : 0;
  // During a move the old owner still knows best until it has released the unit; asked again after
  // that, it answers that it isn't the owner, and the request goes to the new one.
  if (unit != nullptr && unit->move_ && pending.sent_to_ == unit->owner_) {
    const Session* target = FindSession(state, unit->move_->to_);
    owner = target != nullptr ? target : owner;
  }
  if (owner == nullptr) {
    WaitAndRoute(number, "the unit has no owner");
    return;
  }
  pending.forward_.remaining_ms_ =
      static_cast<std::uint32_t>(std::chrono::ceil<milliseconds>(pending.deadline_ - now).count());
  const bool moves = owner->join_.session_ != unit->owner_;
  SendTo(number, *owner, moves ? unit->move_->token_ : unit->token_,
         moves ? "the unit moves to it" : "it owns the unit");
}

void Ingress::SendTo(std::uint64_t number, const Session& owner, Offset token,
                     std::string_view reason) {
  Pending& pending = pending_.at(number);
  pending.sent_to_ = owner.join_.session_;
  LogInfo(kPart, "Request " + pending.forward_.request_id_ + " of class " +
                     pending.forward_.class_ + " goes to " + owner.join_.node_ + ": unit " +
                     pending.forward_.unit_.service_ + "/" +
                     std::to_string(pending.forward_.unit_.unit_) + ", token " +
                     std::to_string(token) + ", " + std::string(reason) + ".");
  if (owner.join_.session_ == snapshot_->own_session_) {
    Advance(pending, "local");
    const std::uint64_t handled =
        owner_.Handle(pending.forward_,
                      [this, number](RoutedAnswer answer) { OnAnswer(number, std::move(answer)); });
    const auto found = pending_.find(number);
    if (found != pending_.end() && !found->second.waiting_) {
      found->second.owner_number_ = handled;
    }
    return;
  }
  Advance(pending, "forwarded");
  pending.peer_number_ = peers_.Request(
      owner.join_.traffic_address_, pending.forward_, milliseconds(0),
      [this, number](Result<TrafficMessage> reply) { OnPeerReply(number, std::move(reply)); });
}

void Ingress::OnPeerReply(std::uint64_t number, Result<TrafficMessage> reply) {
  const auto found = pending_.find(number);
  if (found == pending_.end()) {
    return;
  }
  found->second.peer_number_ = 0;
  if (!reply) {
    found->second.maybe_ran_ = true;
    shared_.metrics_.Count("sassafrasbay_forwards_lost_total");
    // Sending it again is safe for both kinds: an idempotent request may run twice, and the owner's
    // request table stops a binding one that has run.
    WaitAndRoute(number, ToString(reply.error()));
    return;
  }
  auto* answer = std::get_if<Answer>(&reply.value());
  if (answer == nullptr) {
    found->second.maybe_ran_ = true;
    WaitAndRoute(number, "a peer sent a reply of the wrong type");
    return;
  }
  OnAnswer(number, std::move(answer->answer_));
}

void Ingress::OnAnswer(std::uint64_t number, RoutedAnswer answer) {
  const auto found = pending_.find(number);
  if (found == pending_.end()) {
    return;
  }
  Pending& pending = found->second;
  pending.owner_number_ = 0;
  const bool misdirected =
      answer.outcome_ == Outcome::kNotRun && answer.response_.status_ == kMisdirectedStatus;
  if (misdirected) {
    WaitAndRoute(number, answer.reason_);
    return;
  }
  if (answer.outcome_ == Outcome::kNotRun && pending.maybe_ran_) {
    answer = Unknown("an earlier attempt may have run; the last one did not: " + answer.reason_);
  }
  Advance(pending, "answered");
  Respond(number, std::move(answer));
}

void Ingress::WaitAndRoute(std::uint64_t number, std::string_view reason) {
  Pending& pending = pending_.at(number);
  if (pending.position_.state_ != "routing") {
    Advance(pending, "rerouted");
  }
  if (!pending.waiting_) {
    LogInfo(kPart,
            "Request " + pending.forward_.request_id_ + " waits: " + std::string(reason) + ".");
  }
  pending.waiting_ = true;
  pending.has_waited_ = true;
  shared_.metrics_.Count("sassafrasbay_reroutes_total");
  const milliseconds longest =
      std::min(kFirstRerouteDelay * (1 << std::min(pending.waits_, 3)), kLongestRerouteDelay);
  const int wait = ++pending.waits_;
  // Jitter spreads the requests that were held together.
  const milliseconds delay(
      std::uniform_int_distribution<std::int64_t>(longest.count() / 2, longest.count())(random_));
  loop_.StartTimer(delay, [this, number, wait] {
    const auto found = pending_.find(number);
    if (found != pending_.end() && found->second.waiting_ && found->second.waits_ == wait) {
      Route(number);
    }
  });
}

void Ingress::Respond(std::uint64_t number, RoutedAnswer answer) {
  const auto found = pending_.find(number);
  Pending pending = std::move(found->second);
  pending_.erase(found);
  const std::string labels = "service=\"" + pending.forward_.unit_.service_ + "\",class=\"" +
                             pending.forward_.class_ + "\",outcome=\"" +
                             std::string(ToString(answer.outcome_)) + "\"";
  shared_.metrics_.Count("sassafrasbay_requests_total", labels);
  const std::chrono::duration<double, std::milli> latency = BootClock::now() - pending.received_at_;
  shared_.metrics_.Observe("sassafrasbay_request_latency_ms", {}, latency.count());
  if (answer.outcome_ != Outcome::kAnswered) {
    LogInfo(kPart, "Request " + pending.forward_.request_id_ + " ends as " +
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
  Pending pending = std::move(found->second);
  pending_.erase(found);
  shared_.metrics_.Count("sassafrasbay_requests_abandoned_total");
  if (pending.owner_number_ != 0) {
    owner_.Cancel(pending.owner_number_);
  }
  if (pending.peer_number_ != 0) {
    const Session* owner = FindSession(*snapshot_->state_, pending.sent_to_);
    if (owner != nullptr) {
      peers_.Notify(owner->join_.traffic_address_, Cancel{pending.peer_number_});
    }
    peers_.Forget(pending.peer_number_);
  }
}

void Ingress::Sweep() {
  const BootTime now = BootClock::now();
  CountUnavailable(now);
  std::vector<std::uint64_t> overdue;
  for (const auto& [number, pending] : pending_) {
    const bool open = pending.peer_number_ != 0 || pending.owner_number_ != 0;
    if (pending.deadline_ + (open ? kAnswerGrace : milliseconds(0)) <= now) {
      overdue.push_back(number);
    }
  }
  for (const std::uint64_t number : overdue) {
    Pending& pending = pending_.at(number);
    const bool open = pending.peer_number_ != 0 || pending.owner_number_ != 0;
    if (pending.peer_number_ != 0) {
      peers_.Forget(pending.peer_number_);
    }
    if (open || pending.maybe_ran_) {
      Advance(pending, open ? "lost" : "refused");
      Respond(number, Unknown("the deadline passed without an answer"));
      continue;
    }
    Advance(pending, "refused");
    Respond(number, NotRun(503, "no owner took the request within the deadline"));
  }
}

void Ingress::CountUnavailable(BootTime now) {
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

void Ingress::Advance(Pending& pending, std::string_view event) {
  if (auto fired = Fire(pending.position_, event); !fired) {
    LogError(kPart, pending.forward_.request_id_ + ": " + ToString(fired.error()));
  }
}

}  // namespace sassafrasbay

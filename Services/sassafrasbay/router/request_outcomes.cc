#include <algorithm>
#include <utility>

#include "LibCore/logging.h"
#include "platform/request_translation.h"
#include "router/request_router.h"

namespace sassafrasbay {
namespace {

constexpr std::string_view kPart = "route";
constexpr std::string_view kServedPart = "served";

constexpr std::string_view kAnsweredOutcome = "answered";

constexpr int kBadGateway = 502;
constexpr int kUnavailable = 503;
constexpr int kGatewayTimeout = 504;
constexpr int kFirstServerError = 500;

/// Pause before a key whose owner is changing is looked up again.
constexpr milliseconds kOwnerPause{20};

/// Share of the time to the objective for which a request waits for a key that changes its owner.
/// Moves take up to a heartbeat interval; a caller that is refused can come back later.
constexpr double kOwnerWaitShare = 0.5;

/// Shortest time named to a caller; sooner the load has hardly changed.
constexpr milliseconds kShortestRetryAfter{40};

/// Weight of a result in the smoothed share of failures.
constexpr double kFailureWeight = 0.1;

}  // namespace

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
      Finish(number, platform::MakeRouterResponse(kBadGateway, "upstream lost", std::nullopt),
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
    Finish(number, platform::MakeRouterResponse(kBadGateway, reason, std::nullopt), reason);
    return;
  }
  const milliseconds named =
      pending.retry_after_.count() > 0 ? pending.retry_after_ : kNoOwnerRetryAfter;
  Finish(number,
         platform::MakeRouterResponse(kUnavailable, reason, std::max(named, kShortestRetryAfter)),
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
  Finish(number, platform::MakeRouterResponse(kGatewayTimeout, "timed out", std::nullopt), "timed-out");
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

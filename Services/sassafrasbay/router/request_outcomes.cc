#include <algorithm>
#include <utility>
#include <vector>

#include "LibCore/logging.h"
#include "LibRouting/retry_after.h"
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

/// Backoff before the owner of a key is looked up again while it is changing.
constexpr milliseconds kOwnerChangeBackoff{20};

/// Fraction of the time to the objective for which a request waits for a key whose owner is
/// changing. Moves take up to a heartbeat interval; a caller that is refused can retry later.
constexpr double kMaxOwnerWaitFraction = 0.5;

/// Minimum time to the deadline for which a refused request is sent to another gate. Gates refuse
/// 20 ms before it.
constexpr milliseconds kMinDispatchTime{30};

/// Weight of one result in the smoothed ratio of failures.
constexpr double kFailureWeight = 0.1;

}  // namespace

void RequestRouter::OnAnswer(ConnectionId connection, ForwardedAnswer answer) {
  const std::uint64_t number = RequestOfAttempt(answer.number_);
  const auto found = pending_.find(number);
  // A number is valid only on the connection on which the request was last sent.
  if (found == pending_.end() || found->second.location_ != Location::kPeer ||
      found->second.connection_ != connection || found->second.request_.number_ != answer.number_) {
    shared_.metrics_.Count("sassafrasbay_peer_replies_unmatched_total");
    return;
  }
  PeerState& peer = peers_[found->second.node_];
  peer.load_ = answer.load_;
  peer.load_received_at_ = BootClock::now();
  peer.open_requests_at_load_ = peer.open_requests_ - 1;
  HandleAnswer(number, std::move(answer));
}

AwaitedAnswers RequestRouter::AwaitedOn() const {
  AwaitedAnswers awaited;
  for (const auto& [number, pending] : pending_) {
    if (pending.location_ == Location::kPeer) {
      BootTime& oldest = awaited.try_emplace(pending.connection_, pending.sent_at_).first->second;
      oldest = std::min(oldest, pending.sent_at_);
    }
  }
  return awaited;
}

// The node that has received an attempt finds it by its number, so that it doesn't run twice, and
// its answer isn't lost with the connection. An attempt whose process isn't known may have run in
// an earlier one.
void RequestRouter::OnLinkLost(const std::string& address, ConnectionId connection, bool was_open) {
  std::vector<std::uint64_t> lost;
  std::size_t sent_again = 0;
  for (auto& [number, pending] : pending_) {
    if (pending.location_ != Location::kPeer || pending.connection_ != connection) {
      continue;
    }
    if (was_open && !pending.node_incarnation_.empty()) {
      pending.request_.sent_before_to_ = pending.node_incarnation_;
      if (SendToPeer(pending)) {
        ++sent_again;
        continue;
      }
    }
    lost.push_back(number);
  }
  if (sent_again + lost.size() > 0) {
    LogInfo(kPart, "peer=" + address + " connection=" + std::to_string(connection) +
                       " lost; requests sent_again=" + std::to_string(sent_again) +
                       " ended=" + std::to_string(lost.size()) + ".");
  }
  for (const std::uint64_t number : lost) {
    const auto found = pending_.find(number);
    if (found == pending_.end()) {
      continue;
    }
    ForwardedAnswer answer;
    if (!was_open && !found->second.request_.sent_before_to_) {
      answer.reason_ = RefusalReason::kNoUpstream;
      RecordAttemptEnd(found->second, true);
      OnRefused(number, answer);
      continue;
    }
    answer.outcome_ = GateOutcome::kUnknown;
    HandleAnswer(number, std::move(answer));
  }
}

void RequestRouter::RecordAttemptEnd(Pending& pending, bool failed) {
  if (pending.location_ == Location::kPeer) {
    PeerState& peer = peers_[pending.node_];
    peer.open_requests_ = std::max(0, peer.open_requests_ - 1);
    peer.failure_ratio_ += kFailureWeight * ((failed ? 1.0 : 0.0) - peer.failure_ratio_);
  }
  pending.location_ = Location::kUnassigned;
  pending.gate_number_ = 0;
}

void RequestRouter::HandleAnswer(std::uint64_t number, ForwardedAnswer answer) {
  const auto found = pending_.find(number);
  if (found == pending_.end()) {
    return;
  }
  Pending& pending = found->second;
  if (answer.outcome_ == GateOutcome::kRefused) {
    if (pending.location_ == Location::kPeer && answer.reason_ == RefusalReason::kFull) {
      CountRefused(peers_[pending.node_].throttle_);
    }
    if (answer.reason_ == RefusalReason::kFull && answer.retry_after_ms_ > 0) {
      peers_[pending.node_].refusal_wait_ = milliseconds(answer.retry_after_ms_);
    }
    RecordAttemptEnd(pending, false);
    OnRefused(number, answer);
    return;
  }
  ++pending.sent_;
  const bool failed =
      answer.outcome_ != GateOutcome::kAnswered || answer.response_.status_ >= kFirstServerError;
  // An upstream that sheds requests reports fewer slots; treated as failing, it would leave its
  // room unused.
  const bool shed =
      answer.outcome_ == GateOutcome::kRejected && answer.reason_ == RefusalReason::kFull;
  RecordAttemptEnd(pending, failed && !shed);
  pending.tried_nodes_.insert(pending.node_);
  pending.may_have_run_ = pending.may_have_run_ || answer.outcome_ != GateOutcome::kRejected;
  if (failed && MayRetry(pending, answer.outcome_ != GateOutcome::kRejected)) {
    if (answer.outcome_ == GateOutcome::kAnswered) {
      pending.failure_ = std::move(answer.response_);
    }
    const bool changes_owner = pending.sharded_ && answer.reason_ == RefusalReason::kNotOwner;
    Retry(number, changes_owner ? kOwnerChangeBackoff : milliseconds(0));
    return;
  }
  switch (answer.outcome_) {
    case GateOutcome::kAnswered:
      if (!failed) {
        CountSuccess(RetryBudgetFor(pending.service_));
      }
      Finish(number, platform::MakeCallerResponse(std::move(answer.response_)), kAnsweredOutcome);
      return;
    case GateOutcome::kRejected:
      pending.last_refusal_ = answer.reason_;
      pending.retry_after_ = kMinRetryAfter;
      Refuse(number, "rejected-by-upstream");
      return;
    default:
      Finish(number, platform::MakeRouterResponse(kBadGateway, "upstream lost", std::nullopt),
             "upstream-lost");
  }
}

// A request that a gate refused has not reached an upstream, so another attempt needs no retry
// budget.
void RequestRouter::OnRefused(std::uint64_t number, const ForwardedAnswer& answer) {
  Pending& pending = pending_.at(number);
  pending.last_refusal_ = answer.reason_;
  const milliseconds proposed(answer.retry_after_ms_);
  if (proposed.count() > 0 &&
      (pending.retry_after_.count() == 0 || proposed < pending.retry_after_)) {
    pending.retry_after_ = proposed;
  }
  const BootTime now = BootClock::now();
  if (pending.sharded_) {
    const auto waited = now - pending.received_at_;
    const auto max_wait = std::chrono::duration_cast<BootTime::duration>(
        kMaxOwnerWaitFraction * (pending.objective_ - pending.received_at_));
    if (answer.reason_ == RefusalReason::kNotOwner && waited < max_wait) {
      Retry(number, kOwnerChangeBackoff);
      return;
    }
    Refuse(number, ToString(answer.reason_));
    return;
  }
  pending.tried_nodes_.insert(pending.node_);
  // Another gate could neither serve the request nor refuse it before its deadline.
  const bool is_late = pending.deadline_ - now < kMinDispatchTime;
  if (++pending.refusals_ >= kMaxRefusals || is_late) {
    Refuse(number, ToString(answer.reason_));
    return;
  }
  Dispatch(number);
}

RetryBudget& RequestRouter::RetryBudgetFor(const std::string& service) {
  const platform::NodeEnvironment& environment = shared_.environment_;
  const RetryTerms terms = RetryTermsPerNode(environment.retry_ratio_, environment.retry_slack_,
                                             snapshot_->members_.size() + 1);
  RetryBudget& budget = budgets_.try_emplace(service, MakeRetryBudget(terms)).first->second;
  budget.terms_ = terms;
  return budget;
}

bool RequestRouter::MayRetry(Pending& pending, bool reached_upstream) {
  if (pending.sent_ >= pending.route_->max_attempts_) {
    return false;
  }
  const RetryContext question{pending.route_->kind_, reached_upstream, false, pending.sent_,
                              pending.deadline_};
  return DecideRetry(RetryBudgetFor(pending.service_), question, BootClock::now(), random_)
      .has_value();
}

void RequestRouter::Retry(std::uint64_t number, milliseconds delay) {
  pending_.at(number).retry_timer_ = loop_.StartTimer(delay, [this, number] {
    pending_.at(number).retry_timer_ = 0;
    Dispatch(number);
  });
}

// A refusal asserts that the request has not run. If it may have run, the caller gets the failed
// attempt's response, or a 502 without Retry-After.
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
  SetRetryAfter(pending);
  shared_.metrics_.Count("sassafrasbay_requests_refused_total",
                         RefusalLabels(pending.request_, reason));
  Finish(number, platform::MakeRouterResponse(kUnavailable, reason, pending.retry_after_), reason);
}

void RequestRouter::OnDeadline(std::uint64_t number) {
  const auto found = pending_.find(number);
  if (found == pending_.end()) {
    return;
  }
  found->second.deadline_timer_ = 0;
  if (found->second.location_ == Location::kLocalGate && *found->second.gate_outcome_) {
    return;  // The answer is handled next, in the same iteration of the loop.
  }
  if (found->second.location_ == Location::kPeer) {
    CountRefused(peers_[found->second.node_].throttle_);
  }
  GiveUp(number, "deadline", "timed-out");
}

void RequestRouter::GiveUp(std::uint64_t number, std::string_view refusal,
                           std::string_view outcome) {
  Pending& pending = pending_.at(number);
  const bool may_have_run = CancelAttempt(pending) || pending.may_have_run_;
  if (!may_have_run) {
    Refuse(number, refusal);
    return;
  }
  Finish(number, platform::MakeRouterResponse(kGatewayTimeout, outcome, std::nullopt), outcome);
}

// A closed connection would tell the callers less than an answer.
void RequestRouter::AnswerOpenRequests() {
  std::vector<std::uint64_t> numbers;
  numbers.reserve(pending_.size());
  for (const auto& [number, pending] : pending_) {
    numbers.push_back(number);
  }
  for (const std::uint64_t number : numbers) {
    GiveUp(number, "node-ending", "node-ended");
  }
}

void RequestRouter::OnAbandoned(std::uint64_t number) {
  const auto found = pending_.find(number);
  if (found == pending_.end()) {
    return;
  }
  CancelAttempt(found->second);
  Finish(number, HttpResponse{}, "abandoned");
}

bool RequestRouter::CancelAttempt(Pending& pending) {
  bool may_have_run = false;
  if (pending.location_ == Location::kLocalGate) {
    const std::optional<GateOutcome>& outcome = *pending.gate_outcome_;
    may_have_run = outcome ? *outcome == GateOutcome::kAnswered || *outcome == GateOutcome::kUnknown
                           : gate_.Cancel(pending.gate_number_);
  } else if (pending.location_ == Location::kPeer) {
    // An attempt that was sent before, over a lost connection, may run there.
    may_have_run = pending.request_.sent_before_to_.has_value() ||
                   !links_.Withdraw(pending.connection_, pending.request_);
    if (may_have_run) {
      links_.Reply(pending.connection_, CancelForwarded{pending.request_.number_});
    }
  }
  RecordAttemptEnd(pending, false);
  return may_have_run;
}

void RequestRouter::LogOutcome(const Pending& pending, int status, std::string_view outcome,
                               double took_ms) const {
  const bool late = BootClock::now() > pending.objective_;
  const bool served = outcome == kAnsweredOutcome && status < kFirstServerError;
  const std::string key =
      pending.sharded_ ? std::to_string(*pending.request_.shard_key_) : std::string("-");
  // Two log parts, so that the limit on lines of the many served requests doesn't suppress the
  // others.
  LogInfo(served && !late ? kServedPart : kPart,
          "request=" + pending.request_.request_id_ + " route=" + pending.request_.class_ +
              " service=" + pending.service_ + " key=" + key + " node=" + pending.node_ +
              " sent=" + std::to_string(pending.sent_) +
              " refusals=" + std::to_string(pending.refusals_) + DescribeRank(pending.request_) +
              (status == kUnavailable
                   ? " retry_after_ms=" + std::to_string(pending.retry_after_.count())
                   : std::string()) +
              " configuration=" + std::to_string(pending.routes_->version_) +
              " tables_end=" + ToString(snapshot_->tables_end_) + " ms=" +
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
      std::chrono::duration<double, std::milli>(BootClock::now() - pending.received_at_).count();
  const std::string labels = "outcome=\"" + std::string(outcome) + "\"";
  shared_.metrics_.Count("sassafrasbay_requests_total", labels);
  shared_.metrics_.Observe("sassafrasbay_request_ms", labels, took);
  LogOutcome(pending, response.status_, outcome, took);
  links_.CountOtherTraffic(response.body_.size());
  pending.exchange_->Respond(std::move(response));
}

}  // namespace sassafrasbay

#include <algorithm>
#include <utility>

#include "LibCore/logging.h"
#include "owner.h"

namespace sassafrasbay {
namespace {

constexpr std::string_view kPart = "owner";

/// Status with which an upstream refuses a request because it has no valid grant for it.
constexpr int kGrantRefusedStatus = 409;

}  // namespace

void Owner::SendToUpstream(std::uint64_t number) {
  ActiveRequest& active = active_requests_.at(number);
  const BootTime now = BootClock::now();
  if (active.deadline_ <= now) {
    Refuse(number, 503, "the deadline passed before the hand-over");
    return;
  }
  const BootTime expiry = LeaseEnd(lease_);
  const bool owned = units_.Check(active.forward_.unit_) != OwnedUnits::Availability::kNotOwned &&
                     units_.IsCurrent(active.forward_.unit_, active.tenure_);
  if (expiry <= now || !owned || !link_.AcceptsRequests()) {
    Refuse(number, kMisdirectedStatus, expiry <= now ? "the lease has expired" : "not the owner");
    return;
  }
  active.stage_ = Stage::kAtUpstream;
  active.token_ = units_.TokenOf(active.forward_.unit_);
  active.sent_at_ = now;
  active.expiry_ = expiry;
  ++active.attempts_;
  LogInfo(kPart, "Request " + active.forward_.request_id_ + " is sent to upstream " +
                     link_.Announcement()->address_ + ": unit " + active.forward_.unit_.service_ +
                     "/" + std::to_string(active.forward_.unit_.unit_) + ", token " +
                     std::to_string(active.token_) + ".");
  const auto timeout = std::chrono::ceil<milliseconds>(active.deadline_ - now);
  active.call_ = link_.Send(UpstreamRequest(active, expiry, now), timeout,
                            active.kind_ == RequestKind::kBinding,
                            [this, number](const HttpResult& result) { OnResult(number, result); });
}

HttpRequest Owner::UpstreamRequest(const ActiveRequest& active, BootTime expiry,
                                   BootTime now) const {
  HttpRequest request = active.forward_.request_;
  const auto remaining = std::chrono::floor<milliseconds>(active.deadline_ - now).count();
  request.headers_.emplace_back("Sassafrasbay-Request-Id", active.forward_.request_id_);
  request.headers_.emplace_back("Sassafrasbay-Unit", std::to_string(active.forward_.unit_.unit_));
  request.headers_.emplace_back("Sassafrasbay-Token", std::to_string(active.token_));
  request.headers_.emplace_back("Sassafrasbay-Expires-Boottime-Ms",
                                std::to_string(ToBootMilliseconds(expiry)));
  request.headers_.emplace_back("Sassafrasbay-Deadline-Ms", std::to_string(remaining));
  return request;
}

void Owner::OnResult(std::uint64_t number, const HttpResult& result) {
  const auto found = active_requests_.find(number);
  if (found == active_requests_.end()) {
    return;
  }
  ActiveRequest& active = found->second;
  active.call_ = 0;
  if (!result.response_) {
    OnLostAnswer(number, result.response_.error(), result.maybe_sent_);
    return;
  }
  RoutedAnswer answer;
  answer.response_ = result.response_.value();
  const bool not_run =
      FindHeader(answer.response_.headers_, "Sassafrasbay-Outcome") == ToString(Outcome::kNotRun);
  EndCall(active, not_run ? ServiceResult::kRefused : ServiceResult::kCompleted, true);
  if (not_run) {
    answer.outcome_ = Outcome::kNotRun;
    answer.reason_ = "the upstream refused the request";
    if (answer.response_.status_ == kGrantRefusedStatus) {
      // Routing the request again helps: by the next heartbeat either the grant is renewed or the
      // unit has a new owner.
      answer.response_ = {kMisdirectedStatus, {}, {}};
    }
  } else {
    answer.outcome_ = Outcome::kAnswered;
    CountSuccess(retries_);
    ClearSuspect(suspects_, active.fingerprint_);
  }
  Complete(number, answer);
}

void Owner::OnLostAnswer(std::uint64_t number, const Error& error, bool maybe_sent) {
  ActiveRequest& active = active_requests_.at(number);
  if (!maybe_sent) {
    EndCall(active, ServiceResult::kFailed, true);
    Refuse(number, kMisdirectedStatus, ToString(error));
    return;
  }
  EndCall(active, ServiceResult::kFailed, false);
  if (error.code_ == Errc::kConnectionLost) {
    CheckForCrash(number, error);
    return;
  }
  RetryOrFail(number, error);
}

void Owner::RetryOrFail(std::uint64_t number, const Error& error) {
  ActiveRequest& active = active_requests_.at(number);
  RetryContext context;
  context.kind_ = active.kind_;
  context.handed_to_upstream_ = true;
  context.suspect_ = IsSuspect(suspects_, active.fingerprint_, BootClock::now());
  context.attempts_ = active.attempts_;
  context.deadline_ = active.deadline_;
  const auto delay = DecideRetry(retries_, context, BootClock::now(), random_);
  if (!delay) {
    Complete(number, Unknown(ToString(error)));
    return;
  }
  shared_.metrics_.Count("sassafrasbay_retries_total");
  active.stage_ = Stage::kRetryDelay;
  loop_.StartTimer(*delay, [this, number] {
    if (active_requests_.contains(number)) {
      Admit(number);
    }
  });
}

void Owner::CheckForCrash(std::uint64_t number, const Error& error) {
  crash_candidates_.emplace_back(number, error);
  if (crash_candidates_.size() > 1) {
    return;
  }
  // All requests in flight lose their connection at the same time, so one check serves them all.
  link_.CheckAlive([this](bool alive) {
    const auto candidates = std::exchange(crash_candidates_, {});
    if (!alive) {
      RecordSuspects(candidates);
    }
    for (const auto& [lost, cause] : candidates) {
      if (active_requests_.contains(lost)) {
        RetryOrFail(lost, cause);
      }
    }
  });
}

void Owner::RecordSuspects(std::span<const std::pair<std::uint64_t, Error>> candidates) {
  std::set<std::uint64_t> fingerprints;
  for (const auto& [number, error] : candidates) {
    const auto found = active_requests_.find(number);
    if (found != active_requests_.end()) {
      fingerprints.insert(found->second.fingerprint_);
    }
  }
  const std::vector<std::uint64_t> in_flight(fingerprints.begin(), fingerprints.end());
  const std::vector<Suspect> suspects = RecordCrash(suspects_, in_flight, BootClock::now());
  LogWarning(kPart, "The upstream crashed with " + std::to_string(in_flight.size()) +
                        " requests in flight; they are suspected of causing the crash.");
  for (const auto& [id, session] : snapshot_->state_->sessions_) {
    if (id == snapshot_->own_session_) {
      continue;
    }
    for (const Suspect& suspect : suspects) {
      peers_.Notify(session.join_.traffic_address_, suspect);
    }
  }
}

void Owner::EndCall(ActiveRequest& active, ServiceResult result, bool answered) {
  const BootTime now = BootClock::now();
  const auto elapsed = std::chrono::duration_cast<milliseconds>(now - active.sent_at_);
  if (!answered) {
    active.unanswered_until_ = std::max(active.unanswered_until_, active.expiry_);
    unanswered_until_ = std::max(unanswered_until_, active.expiry_);
  }
  if (active.admitted_) {
    active.admitted_ = false;
    Release(admission_, result, elapsed, now);
    loop_.Post([this] { StartQueued(); });
  }
  shared_.metrics_.Observe("sassafrasbay_upstream_latency_ms", {},
                           static_cast<double>(elapsed.count()));
}

void Owner::OnSuspect(const Suspect& suspect) { Merge(suspects_, suspect, BootClock::now()); }

void Owner::OnUpstreamStarted() {
  withdrawing_ = false;
  stopped_ = false;
  AdmissionTerms terms;
  terms.slots_ = link_.Announcement()->slots_;
  terms.queue_length_ = static_cast<std::uint32_t>(shared_.settings_.queue_length_);
  const std::uint32_t running = admission_.running_;
  admission_ = MakeAdmission(terms, BootClock::now());
  admission_.running_ = running;
}

void Owner::OnUpstreamLost() {
  withdrawing_ = true;
  std::vector<std::uint64_t> waiting;
  for (const auto& [number, active] : active_requests_) {
    if (active.stage_ == Stage::kAwaitingUnit || active.stage_ == Stage::kQueued) {
      waiting.push_back(number);
    }
  }
  for (const std::uint64_t number : waiting) {
    RemoveQueued(admission_, number);
    Refuse(number, kMisdirectedStatus, "the upstream is lost");
  }
  TryWithdraw();
}

void Owner::TryWithdraw() {
  if (!withdrawing_ || unanswered_until_ >= BootClock::now()) {
    return;
  }
  const BootTime now = BootClock::now();
  const bool open =
      std::any_of(active_requests_.begin(), active_requests_.end(), [now](const auto& item) {
        return item.second.stage_ == Stage::kAtUpstream && item.second.expiry_ >= now;
      });
  if (open) {
    return;
  }
  withdrawing_ = false;
  control_.upstream_withdrawn_();
}

}  // namespace sassafrasbay

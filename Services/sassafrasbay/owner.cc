#include "owner.h"

#include <algorithm>
#include <cctype>
#include <utility>

#include "LibCore/logging.h"

namespace sassafrasbay {
namespace {

constexpr std::string_view kPart = "owner";
/// Status with which an upstream refuses a request for lack of a valid grant.
constexpr int kGrantRefusedStatus = 409;

constexpr milliseconds kSweepInterval{10};
constexpr milliseconds kLoadInterval{2000};
constexpr std::size_t kReportedUnits = 16;
constexpr std::size_t kReportedKeys = 8;

void LogRequest(const Forward& forward, std::string_view what) {
  LogInfo(kPart, "Request " + forward.request_id_ + " of unit " + forward.unit_.service_ + "/" +
                     std::to_string(forward.unit_.unit_) + " " + std::string(what) + ".");
}

}  // namespace

RoutedAnswer NotRun(int status, std::string_view reason) {
  RoutedAnswer answer;
  answer.outcome_ = Outcome::kNotRun;
  answer.response_.status_ = status;
  answer.reason_ = reason;
  return answer;
}

RoutedAnswer Unknown(std::string_view reason) {
  RoutedAnswer answer;
  answer.outcome_ = Outcome::kUnknown;
  answer.response_.status_ = 504;
  answer.reason_ = reason;
  return answer;
}

Owner::Owner(ReactorLoop& loop, SharedState& shared, const LeaseView& lease, UpstreamLink& link,
             OwnedUnits& units, RequestCopies& copies, RequestTable& table, TrafficPeers& peers)
    : loop_(loop),
      shared_(shared),
      lease_(lease),
      link_(link),
      units_(units),
      copies_(copies),
      table_(table),
      peers_(peers),
      random_(std::random_device{}()) {
  RetryTerms retry_terms;
  retry_terms.budget_percent_ = shared_.settings_.retry_budget_percent_;
  retries_ = MakeRetryBudget(retry_terms);
  suspects_.terms_.refusal_ = shared_.settings_.suspect_refusal_;
  loop_.StartRepeatingTimer(kSweepInterval, [this] { Sweep(); });
  loop_.StartRepeatingTimer(kLoadInterval, [this] { MeasureLoad(); });
}

void Owner::SetSnapshot(std::shared_ptr<const RoutingSnapshot> snapshot) {
  snapshot_ = std::move(snapshot);
}

std::uint64_t Owner::Handle(Forward forward, AnswerHandler reply) {
  const std::uint64_t number = next_number_++;
  Active& active = active_[number];
  active.forward_ = std::move(forward);
  // UUIDs are compared without case.
  for (char& letter : active.forward_.idempotency_key_) {
    letter = static_cast<char>(std::tolower(static_cast<unsigned char>(letter)));
  }
  active.reply_ = std::move(reply);
  active.deadline_ = BootClock::now() + milliseconds(active.forward_.remaining_ms_);
  if (stopped_ || withdrawing_ || !link_.AcceptsRequests() || !snapshot_) {
    Refuse(number, kMisdirectedStatus, "this node takes no work");
    return number;
  }
  switch (units_.Check(active.forward_.unit_)) {
    case OwnedUnits::Availability::kElsewhere:
      Refuse(number, kMisdirectedStatus, "this node does not own the unit");
      return number;
    case OwnedUnits::Availability::kStarting:
      LogRequest(active.forward_, "waits: the unit starts here");
      return number;
    case OwnedUnits::Availability::kServing:
      Start(number);
      return number;
  }
  return number;
}

void Owner::Start(std::uint64_t number) {
  Active& active = active_.at(number);
  // The owner classifies again: its configuration may be newer than the ingress's.
  const auto classified = Classify(snapshot_->state_->configuration_, active.forward_.request_);
  if (!classified) {
    Refuse(number, 400, ToString(classified.error()));
    return;
  }
  // An ingress that hasn't read of a split or merged key yet names the unit of before. Its id would
  // enter that unit's table, where a repeated request of a newer ingress doesn't look.
  const auto service = snapshot_->state_->services_.find(active.forward_.unit_.service_);
  if (service == snapshot_->state_->services_.end() ||
      UnitOfKey(service->second, service->first, active.forward_.key_hash_) !=
          active.forward_.unit_) {
    Refuse(number, kMisdirectedStatus, "the key belongs to another unit now");
    return;
  }
  active.kind_ = classified.value().class_->kind_;
  active.worth_ = classified.value().class_->worth_;
  active.fingerprint_ = classified.value().fingerprint_;
  if (IsRefused(suspects_, active.fingerprint_, BootClock::now())) {
    shared_.metrics_.Count("sassafrasbay_suspects_refused_total");
    Refuse(number, 503, "the request crashed upstreams");
    return;
  }
  CountRequest(load_, active.forward_.unit_, active.forward_.key_hash_);
  active.lease_ = lease_.cell_;
  active.tenure_ = units_.Pin(active.forward_.unit_);
  active.pinned_ = true;
  if (active.kind_ == RequestKind::kBinding && !EnterTable(number, active)) {
    return;
  }
  Admit(number);
}

bool Owner::EnterTable(std::uint64_t number, Active& active) {
  const UnitId unit = active.forward_.unit_;
  const std::string id = active.forward_.idempotency_key_;
  TableVerdict verdict =
      sassafrasbay::Admit(table_, unit, id, active.fingerprint_, WallNow(), TableTerms());
  switch (verdict.decision_) {
    case TableDecision::kRun:
      active.in_table_ = true;
      return true;
    case TableDecision::kWait:
      LogRequest(active.forward_, "waits: its id is running");
      waiters_[{unit, id}].push_back(
          [this, number](const RoutedAnswer& answer) { Deliver(number, answer); });
      active.stage_ = Stage::kRecording;
      return false;
    case TableDecision::kReplay:
      LogRequest(active.forward_, "gets the recorded outcome of its id");
      Replay(number, verdict.answer_);
      return false;
    case TableDecision::kMismatch:
      Refuse(number, 422, verdict.reason_);
      return false;
    case TableDecision::kTooEarly:
    case TableDecision::kInvalid:
      Refuse(number, 400, verdict.reason_);
      return false;
    case TableDecision::kUnknown:
      LogRequest(active.forward_, "ends as unknown: " + verdict.reason_);
      Deliver(number, Unknown(verdict.reason_));
      return false;
  }
  return false;
}

void Owner::Admit(std::uint64_t number) {
  Active& active = active_.at(number);
  const BootTime now = BootClock::now();
  const AdmissionVerdict verdict =
      Offer(admission_, {number, active.worth_, active.deadline_}, now);
  if (verdict.shed_instead_) {
    Refuse(*verdict.shed_instead_, 429, "shed for a request of more worth");
  }
  switch (verdict.decision_) {
    case AdmissionDecision::kRun:
      active.admitted_ = true;
      Prepare(number);
      return;
    case AdmissionDecision::kQueue:
      active.stage_ = Stage::kQueued;
      return;
    case AdmissionDecision::kShed:
      Refuse(number, 429, verdict.reason_);
      return;
  }
}

void Owner::Prepare(std::uint64_t number) {
  Active& active = active_.at(number);
  if (active.kind_ != RequestKind::kBinding) {
    HandOver(number);
    return;
  }
  // The copy comes before the hand-over: a successor that finds no copy knows that the id never
  // reached the upstream.
  active.stage_ = Stage::kCopying;
  TableEntry entry;
  entry.unit_ = active.forward_.unit_;
  entry.id_ = active.forward_.idempotency_key_;
  entry.fingerprint_ = active.fingerprint_;
  copies_.Copy(entry, [this, number](bool copied) {
    if (!active_.contains(number)) {
      return;
    }
    if (!copied) {
      Refuse(number, 503, "no grantor confirmed the copy of the request id");
      return;
    }
    HandOver(number);
  });
}

void Owner::HandOver(std::uint64_t number) {
  Active& active = active_.at(number);
  const BootTime now = BootClock::now();
  if (active.deadline_ <= now) {
    Refuse(number, 503, "the deadline passed before the hand-over");
    return;
  }
  const BootTime expiry = LeaseEnd(lease_);
  const bool owned = units_.Check(active.forward_.unit_) != OwnedUnits::Availability::kElsewhere &&
                     units_.IsCurrent(active.forward_.unit_, active.tenure_);
  if (expiry <= now || !owned || !link_.AcceptsRequests()) {
    Refuse(number, kMisdirectedStatus, expiry <= now ? "the lease has expired" : "not the owner");
    return;
  }
  active.stage_ = Stage::kHandedOver;
  active.token_ = units_.TokenOf(active.forward_.unit_);
  active.handed_over_at_ = now;
  active.expiry_ = expiry;
  ++active.attempts_;
  LogInfo(kPart, "Request " + active.forward_.request_id_ + " runs at " +
                     link_.Announcement()->address_ + ": unit " + active.forward_.unit_.service_ +
                     "/" + std::to_string(active.forward_.unit_.unit_) + ", token " +
                     std::to_string(active.token_) + ".");
  const auto timeout = std::chrono::ceil<milliseconds>(active.deadline_ - now);
  active.call_ = link_.Send(UpstreamRequest(active, expiry, now), timeout,
                            active.kind_ == RequestKind::kBinding,
                            [this, number](const HttpResult& result) { OnResult(number, result); });
}

HttpRequest Owner::UpstreamRequest(const Active& active, BootTime expiry, BootTime now) const {
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
  const auto found = active_.find(number);
  if (found == active_.end()) {
    return;
  }
  Active& active = found->second;
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
      // The grant is renewed with the next heartbeat, or the unit has a new owner by then.
      answer.response_ = {kMisdirectedStatus, {}, {}};
    }
  } else {
    answer.outcome_ = Outcome::kAnswered;
    CountSuccess(retries_);
    Exonerate(suspects_, active.fingerprint_);
  }
  Complete(number, answer);
}

void Owner::OnLostAnswer(std::uint64_t number, const Error& error, bool maybe_sent) {
  Active& active = active_.at(number);
  if (!maybe_sent) {
    EndCall(active, ServiceResult::kFailed, true);
    Refuse(number, kMisdirectedStatus, ToString(error));
    return;
  }
  EndCall(active, ServiceResult::kFailed, false);
  if (error.code_ == Errc::kConnectionLost) {
    CheckCrash(number, error);
    return;
  }
  RetryOrFail(number, error);
}

void Owner::RetryOrFail(std::uint64_t number, const Error& error) {
  Active& active = active_.at(number);
  RetryQuestion question;
  question.kind_ = active.kind_;
  question.handed_to_upstream_ = true;
  question.suspect_ = IsSuspect(suspects_, active.fingerprint_, BootClock::now());
  question.attempts_ = active.attempts_;
  question.deadline_ = active.deadline_;
  const auto delay = DecideRetry(retries_, question, BootClock::now(), random_);
  if (!delay) {
    Complete(number, Unknown(ToString(error)));
    return;
  }
  shared_.metrics_.Count("sassafrasbay_retries_total");
  active.stage_ = Stage::kRetryDelay;
  loop_.StartTimer(*delay, [this, number] {
    if (active_.contains(number)) {
      Admit(number);
    }
  });
}

void Owner::CheckCrash(std::uint64_t number, const Error& error) {
  crash_candidates_.emplace_back(number, error);
  if (crash_candidates_.size() > 1) {
    return;
  }
  // All requests that were in flight lose their connection at the same time; one check covers them.
  link_.CheckAlive([this](bool alive) {
    const auto candidates = std::exchange(crash_candidates_, {});
    if (!alive) {
      RecordSuspects(candidates);
    }
    for (const auto& [lost, cause] : candidates) {
      if (active_.contains(lost)) {
        RetryOrFail(lost, cause);
      }
    }
  });
}

void Owner::RecordSuspects(std::span<const std::pair<std::uint64_t, Error>> candidates) {
  std::set<std::uint64_t> fingerprints;
  for (const auto& [number, error] : candidates) {
    const auto found = active_.find(number);
    if (found != active_.end()) {
      fingerprints.insert(found->second.fingerprint_);
    }
  }
  const std::vector<std::uint64_t> in_flight(fingerprints.begin(), fingerprints.end());
  const std::vector<Suspect> suspects = RecordCrash(suspects_, in_flight, BootClock::now());
  LogWarning(kPart, "The upstream crashed with " + std::to_string(in_flight.size()) +
                        " requests in flight; they are suspects now.");
  for (const auto& [id, session] : snapshot_->state_->sessions_) {
    if (id == snapshot_->own_session_) {
      continue;
    }
    for (const Suspect& suspect : suspects) {
      peers_.Notify(session.join_.traffic_address_, suspect);
    }
  }
}

void Owner::EndCall(Active& active, ServiceResult result, bool answered) {
  const BootTime now = BootClock::now();
  const auto taken = std::chrono::duration_cast<milliseconds>(now - active.handed_over_at_);
  if (!answered) {
    active.unanswered_until_ = std::max(active.unanswered_until_, active.expiry_);
    unanswered_until_ = std::max(unanswered_until_, active.expiry_);
  }
  if (active.admitted_) {
    active.admitted_ = false;
    Release(admission_, result, taken, now);
    loop_.Post([this] { RunNext(); });
  }
  shared_.metrics_.Observe("sassafrasbay_upstream_latency_ms", {},
                           static_cast<double>(taken.count()));
}

void Owner::Complete(std::uint64_t number, const RoutedAnswer& answer) {
  Active& active = active_.at(number);
  if (!active.in_table_) {
    Deliver(number, answer);
    return;
  }
  if (answer.outcome_ == Outcome::kAnswered) {
    Record(number, answer);
    return;
  }
  TableEntry entry;
  entry.unit_ = active.forward_.unit_;
  entry.id_ = active.forward_.idempotency_key_;
  entry.fingerprint_ = active.fingerprint_;
  entry.phase_ = EntryPhase::kDone;
  entry.answer_ = answer;
  copies_.Copy(entry, [](bool) {});
  Deliver(number, answer);
}

void Owner::Record(std::uint64_t number, const RoutedAnswer& answer) {
  Active& active = active_.at(number);
  FinishInTable(active, answer);
  CopyOutcome(number, answer);
}

void Owner::Replay(std::uint64_t number, const RoutedAnswer& answer) {
  if (answer.outcome_ != Outcome::kAnswered) {
    Deliver(number, answer);
    return;
  }
  // The first answer may have been withheld because its outcome could not be copied.
  CopyOutcome(number, answer);
}

void Owner::CopyOutcome(std::uint64_t number, const RoutedAnswer& answer) {
  Active& active = active_.at(number);
  active.stage_ = Stage::kRecording;
  TableEntry entry;
  entry.unit_ = CurrentUnit(active);
  entry.id_ = active.forward_.idempotency_key_;
  entry.fingerprint_ = active.fingerprint_;
  entry.phase_ = EntryPhase::kDone;
  entry.answer_ = answer;
  // The caller sees the outcome only when a grantor has it, so that an acknowledged booking is
  // still acknowledged after the loss of this node. Once the lease has expired, a successor may
  // have read the copies already.
  copies_.Copy(entry, [this, number, answer](bool copied) {
    const auto found = active_.find(number);
    if (found == active_.end()) {
      return;
    }
    const auto& lease = found->second.lease_;
    const bool held = lease != nullptr && LeaseEnd(*lease) > BootClock::now();
    Deliver(number,
            copied && held ? answer : Unknown("the outcome was not copied under a held lease"));
  });
}

void Owner::FinishInTable(Active& active, const RoutedAnswer& answer) {
  if (active.recorded_) {
    return;
  }
  active.recorded_ = true;
  const UnitId& unit = active.forward_.unit_;
  if (units_.IsCurrent(unit, active.tenure_)) {
    Finish(table_, unit, active.forward_.idempotency_key_, answer);
  }
  const UnitId current = CurrentUnit(active);
  if (current == unit || answer.outcome_ != Outcome::kAnswered) {
    return;
  }
  // The key was split off or merged while the request ran, and its table took the id over as one
  // whose outcome is not known.
  TableEntry entry;
  entry.unit_ = current;
  entry.id_ = active.forward_.idempotency_key_;
  entry.fingerprint_ = active.fingerprint_;
  entry.phase_ = EntryPhase::kDone;
  entry.answer_ = answer;
  AdoptEntries(table_, current, {&entry, 1}, WallNow(), TableTerms());
}

UnitId Owner::CurrentUnit(const Active& active) const {
  const UnitId& unit = active.forward_.unit_;
  const auto service = snapshot_->state_->services_.find(unit.service_);
  if (service == snapshot_->state_->services_.end()) {
    return unit;
  }
  return UnitOfKey(service->second, unit.service_, active.forward_.key_hash_);
}

bool Owner::HasRunning(const UnitId& unit) const {
  return std::any_of(active_.begin(), active_.end(), [this, &unit](const auto& item) {
    const Active& active = item.second;
    return active.pinned_ && active.forward_.unit_ != unit && CurrentUnit(active) == unit;
  });
}

void Owner::Deliver(std::uint64_t number, const RoutedAnswer& answer) {
  const auto found = active_.find(number);
  if (found == active_.end()) {
    return;
  }
  Active active = std::move(found->second);
  active_.erase(found);
  const TableKey key{active.forward_.unit_, active.forward_.idempotency_key_};
  std::vector<AnswerHandler> waiting;
  if (active.in_table_) {
    FinishInTable(active, answer);
    const auto waiters = waiters_.find(key);
    if (waiters != waiters_.end()) {
      waiting = std::move(waiters->second);
      waiters_.erase(waiters);
    }
  }
  if (active.admitted_) {
    Release(admission_, ServiceResult::kFailed, milliseconds(0), BootClock::now());
    loop_.Post([this] { RunNext(); });
  }
  if (active.pinned_) {
    units_.Unpin(active.forward_.unit_, active.tenure_, active.unanswered_until_);
  }
  if (active.reply_) {
    active.reply_(answer);
  }
  for (const AnswerHandler& waiter : waiting) {
    waiter(answer);
  }
}

void Owner::Refuse(std::uint64_t number, int status, std::string_view reason) {
  const auto found = active_.find(number);
  if (found == active_.end()) {
    return;
  }
  LogRequest(found->second.forward_, "is refused: " + std::string(reason));
  // After a hand-over without an answer the request may have run, whatever refuses it now.
  if (found->second.unanswered_until_ != BootTime{}) {
    Complete(number, Unknown(reason));
    return;
  }
  Complete(number, NotRun(status, reason));
}

void Owner::Cancel(std::uint64_t number) {
  const auto found = active_.find(number);
  if (found == active_.end()) {
    return;
  }
  Active& active = found->second;
  active.reply_ = nullptr;
  if (active.stage_ == Stage::kQueued) {
    RemoveQueued(admission_, number);
    Refuse(number, 503, "the caller left");
    return;
  }
  if (active.stage_ == Stage::kHandedOver && active.kind_ == RequestKind::kIdempotent) {
    link_.Cancel(active.call_, active.forward_.request_id_);
    EndCall(active, ServiceResult::kFailed, false);
    Complete(number, Unknown("the caller left"));
  }
}

void Owner::RunNext() {
  while (auto next = TakeNext(admission_, BootClock::now())) {
    const auto found = active_.find(next->number_);
    if (found == active_.end()) {
      Release(admission_, ServiceResult::kFailed, milliseconds(0), BootClock::now());
      continue;
    }
    found->second.admitted_ = true;
    Prepare(next->number_);
  }
}

void Owner::Sweep() {
  const BootTime now = BootClock::now();
  for (const WaitingRequest& expired : TakeExpired(admission_, now)) {
    Refuse(expired.number_, 503, "the deadline cannot be met any more");
  }
  std::vector<std::uint64_t> overdue;
  for (const auto& [number, active] : active_) {
    if (active.stage_ == Stage::kHeld && active.deadline_ <= now) {
      overdue.push_back(number);
    }
  }
  for (const std::uint64_t number : overdue) {
    Refuse(number, 503, "the unit did not start within the deadline");
  }
  RunNext();
  TryWithdraw();
}

void Owner::OnUnitServing(const UnitId& unit) {
  std::vector<std::uint64_t> held;
  for (const auto& [number, active] : active_) {
    if (active.stage_ == Stage::kHeld && active.forward_.unit_ == unit) {
      held.push_back(number);
    }
  }
  for (const std::uint64_t number : held) {
    Start(number);
  }
}

void Owner::OnUnitUnavailable(const UnitId& unit) {
  std::vector<std::uint64_t> waiting;
  for (const auto& [number, active] : active_) {
    const bool waits = active.stage_ == Stage::kHeld || active.stage_ == Stage::kQueued;
    if (waits && active.forward_.unit_ == unit) {
      waiting.push_back(number);
    }
  }
  for (const std::uint64_t number : waiting) {
    RemoveQueued(admission_, number);
    Refuse(number, kMisdirectedStatus, "the unit moves to another node");
  }
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
  for (const auto& [number, active] : active_) {
    if (active.stage_ == Stage::kHeld || active.stage_ == Stage::kQueued) {
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
  const bool open = std::any_of(active_.begin(), active_.end(), [now](const auto& item) {
    return item.second.stage_ == Stage::kHandedOver && item.second.expiry_ >= now;
  });
  if (open) {
    return;
  }
  withdrawing_ = false;
  control_.upstream_withdrawn_();
}

void Owner::StopOwning() {
  stopped_ = true;
  std::vector<std::uint64_t> held;
  for (const auto& [number, active] : active_) {
    if (active.stage_ == Stage::kHeld) {
      held.push_back(number);
    }
  }
  for (const std::uint64_t number : held) {
    Refuse(number, kMisdirectedStatus, "this node is leaving");
  }
}

void Owner::MeasureLoad() {
  const double seconds = std::chrono::duration<double>(kLoadInterval).count();
  EndInterval(load_, seconds);
  auto units = HeaviestUnits(load_, kReportedUnits);
  auto keys = HeaviestKeys(load_, kReportedKeys);
  for (auto& [unit, rate] : units) {
    rate /= seconds;
  }
  for (auto& [key, rate] : keys) {
    rate /= seconds;
  }
  ExpireEntries(table_, WallNow());
  ExpireSuspects(suspects_, BootClock::now());
  control_.load_measured_(std::move(units), std::move(keys));
}

RequestTableTerms Owner::TableTerms() const {
  return {shared_.settings_.clock_allowance_, shared_.settings_.request_table_retention_};
}

}  // namespace sassafrasbay

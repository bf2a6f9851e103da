#include "owner.h"

#include <algorithm>
#include <cctype>
#include <utility>

#include "LibCore/logging.h"

namespace sassafrasbay {
namespace {

constexpr milliseconds kSweepInterval{10};
constexpr milliseconds kLoadMeasurementInterval{2000};
constexpr std::size_t kMaxReportedUnits = 16;
constexpr std::size_t kMaxReportedKeys = 8;

}  // namespace

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
  suspects_.terms_.refusal_duration_ = shared_.settings_.suspect_refusal_;
  loop_.StartRepeatingTimer(kSweepInterval, [this] { Sweep(); });
  loop_.StartRepeatingTimer(kLoadMeasurementInterval, [this] { MeasureLoad(); });
}

void Owner::SetSnapshot(std::shared_ptr<const RoutingSnapshot> snapshot) {
  snapshot_ = std::move(snapshot);
}

std::uint64_t Owner::Handle(Forward forward, AnswerHandler reply) {
  const std::uint64_t number = next_number_++;
  ActiveRequest& active = active_requests_[number];
  active.forward_ = std::move(forward);
  // UUIDs are compared case-insensitively.
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
    case OwnedUnits::Availability::kNotOwned:
      Refuse(number, kMisdirectedStatus, "this node does not own the unit");
      return number;
    case OwnedUnits::Availability::kStarting:
      LogRequest(active.forward_, "waits until the unit is recovered and granted at this node");
      return number;
    case OwnedUnits::Availability::kServing:
      Start(number);
      return number;
  }
  return number;
}

void Owner::Start(std::uint64_t number) {
  ActiveRequest& active = active_requests_.at(number);
  // The owner classifies the request again, since its configuration may be newer than that of the
  // ingress.
  const auto classified = Classify(snapshot_->state_->configuration_, active.forward_.request_);
  if (!classified) {
    Refuse(number, 400, ToString(classified.error()));
    return;
  }
  // An ingress that hasn't read the split or merge of a key yet names the key's previous unit. The
  // request id would be recorded in that unit's table, while a repetition through an up-to-date
  // ingress would be looked up in the table of the current unit.
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
  if (active.kind_ == RequestKind::kBinding && !AdmitToTable(number, active)) {
    return;
  }
  Admit(number);
}

bool Owner::AdmitToTable(std::uint64_t number, ActiveRequest& active) {
  const UnitId unit = active.forward_.unit_;
  const std::string id = active.forward_.idempotency_key_;
  TableVerdict verdict =
      sassafrasbay::Admit(table_, unit, id, active.fingerprint_, WallNow(), TableTerms());
  switch (verdict.decision_) {
    case TableDecision::kRun:
      active.in_table_ = true;
      return true;
    case TableDecision::kWait:
      LogRequest(active.forward_, "waits for the outcome of a running request with the same id");
      waiters_[{unit, id}].push_back(
          [this, number](const RoutedAnswer& answer) { Deliver(number, answer); });
      active.stage_ = Stage::kAwaitingOutcome;
      return false;
    case TableDecision::kReplay:
      LogRequest(active.forward_, "is answered with the recorded outcome of its id");
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
      LogRequest(active.forward_, "ends with outcome unknown: " + verdict.reason_);
      Deliver(number, Unknown(verdict.reason_));
      return false;
  }
  return false;
}

void Owner::Admit(std::uint64_t number) {
  ActiveRequest& active = active_requests_.at(number);
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
  ActiveRequest& active = active_requests_.at(number);
  if (active.kind_ != RequestKind::kBinding) {
    SendToUpstream(number);
    return;
  }
  // The id is copied before the request is sent to the upstream, so that a new owner that finds no
  // copy knows that the id never reached the upstream.
  active.stage_ = Stage::kCopyingId;
  TableEntry entry;
  entry.unit_ = active.forward_.unit_;
  entry.id_ = active.forward_.idempotency_key_;
  entry.fingerprint_ = active.fingerprint_;
  copies_.Copy(entry, [this, number](bool copied) {
    if (!active_requests_.contains(number)) {
      return;
    }
    if (!copied) {
      Refuse(number, 503, "no grantor confirmed the copy of the request id");
      return;
    }
    SendToUpstream(number);
  });
}

void Owner::Cancel(std::uint64_t number) {
  const auto found = active_requests_.find(number);
  if (found == active_requests_.end()) {
    return;
  }
  ActiveRequest& active = found->second;
  active.reply_ = nullptr;
  if (active.stage_ == Stage::kQueued) {
    RemoveQueued(admission_, number);
    Refuse(number, 503, "the caller left");
    return;
  }
  if (active.stage_ == Stage::kAtUpstream && active.kind_ == RequestKind::kIdempotent) {
    link_.Cancel(active.call_, active.forward_.request_id_);
    EndCall(active, ServiceResult::kFailed, false);
    Complete(number, Unknown("the caller left"));
  }
}

void Owner::StartQueued() {
  while (auto next = TakeNext(admission_, BootClock::now())) {
    const auto found = active_requests_.find(next->number_);
    if (found == active_requests_.end()) {
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
  for (const auto& [number, active] : active_requests_) {
    if (active.stage_ == Stage::kAwaitingUnit && active.deadline_ <= now) {
      overdue.push_back(number);
    }
  }
  for (const std::uint64_t number : overdue) {
    Refuse(number, 503, "the unit did not start within the deadline");
  }
  StartQueued();
  TryWithdraw();
}

void Owner::OnUnitServing(const UnitId& unit) {
  std::vector<std::uint64_t> held;
  for (const auto& [number, active] : active_requests_) {
    if (active.stage_ == Stage::kAwaitingUnit && active.forward_.unit_ == unit) {
      held.push_back(number);
    }
  }
  for (const std::uint64_t number : held) {
    Start(number);
  }
}

void Owner::OnUnitUnavailable(const UnitId& unit) {
  std::vector<std::uint64_t> waiting;
  for (const auto& [number, active] : active_requests_) {
    const bool waits = active.stage_ == Stage::kAwaitingUnit || active.stage_ == Stage::kQueued;
    if (waits && active.forward_.unit_ == unit) {
      waiting.push_back(number);
    }
  }
  for (const std::uint64_t number : waiting) {
    RemoveQueued(admission_, number);
    Refuse(number, kMisdirectedStatus, "the unit moves to another node");
  }
}

void Owner::StopOwning() {
  stopped_ = true;
  std::vector<std::uint64_t> held;
  for (const auto& [number, active] : active_requests_) {
    if (active.stage_ == Stage::kAwaitingUnit) {
      held.push_back(number);
    }
  }
  for (const std::uint64_t number : held) {
    Refuse(number, kMisdirectedStatus, "this node is leaving");
  }
}

void Owner::MeasureLoad() {
  const double seconds = std::chrono::duration<double>(kLoadMeasurementInterval).count();
  EndInterval(load_, seconds);
  auto units = TopUnitsByRate(load_, kMaxReportedUnits);
  auto keys = TopKeysByRate(load_, kMaxReportedKeys);
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

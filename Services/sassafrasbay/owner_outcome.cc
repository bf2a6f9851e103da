#include <algorithm>
#include <utility>

#include "LibCore/logging.h"
#include "owner.h"

namespace sassafrasbay {

void LogRequest(const Forward& forward, std::string_view what) {
  LogInfo("owner", "Request " + forward.request_id_ + " of unit " + forward.unit_.service_ + "/" +
                       std::to_string(forward.unit_.unit_) + " " + std::string(what) + ".");
}

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

void Owner::Complete(std::uint64_t number, const RoutedAnswer& answer) {
  ActiveRequest& active = active_requests_.at(number);
  if (!active.in_table_) {
    Deliver(number, answer);
    return;
  }
  if (answer.outcome_ == Outcome::kAnswered) {
    Record(number, answer);
    return;
  }
  copies_.Copy(OutcomeEntry(active, active.forward_.unit_, answer), [](bool) {});
  Deliver(number, answer);
}

void Owner::Record(std::uint64_t number, const RoutedAnswer& answer) {
  ActiveRequest& active = active_requests_.at(number);
  FinishInTable(active, answer);
  CopyOutcome(number, answer);
}

void Owner::Replay(std::uint64_t number, const RoutedAnswer& answer) {
  if (answer.outcome_ != Outcome::kAnswered) {
    Deliver(number, answer);
    return;
  }
  // The first answer may have been withheld from the caller because the outcome could not be
  // copied, so the outcome is copied again.
  CopyOutcome(number, answer);
}

void Owner::CopyOutcome(std::uint64_t number, const RoutedAnswer& answer) {
  ActiveRequest& active = active_requests_.at(number);
  active.stage_ = Stage::kAwaitingOutcome;
  // The caller gets the outcome only after a grantor has confirmed its copy, so that an
  // acknowledged booking stays acknowledged after the loss of this node. After the expiry of the
  // lease a new owner may have read the copies already, without this one.
  const TableEntry entry = OutcomeEntry(active, CurrentUnit(active), answer);
  copies_.Copy(entry, [this, number, answer](bool copied) {
    const auto found = active_requests_.find(number);
    if (found == active_requests_.end()) {
      return;
    }
    const auto& lease = found->second.lease_;
    const bool held = lease != nullptr && LeaseEnd(*lease) > BootClock::now();
    Deliver(number,
            copied && held ? answer : Unknown("the outcome was not copied under a held lease"));
  });
}

void Owner::FinishInTable(ActiveRequest& active, const RoutedAnswer& answer) {
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
  // The key was split off or merged while the request ran. The table of its current unit has
  // adopted the id with an unknown outcome, which this entry replaces.
  const TableEntry entry = OutcomeEntry(active, current, answer);
  AdoptEntries(table_, current, {&entry, 1}, WallNow(), TableTerms());
}

TableEntry Owner::OutcomeEntry(const ActiveRequest& active, const UnitId& unit,
                               const RoutedAnswer& answer) {
  TableEntry entry;
  entry.unit_ = unit;
  entry.id_ = active.forward_.idempotency_key_;
  entry.fingerprint_ = active.fingerprint_;
  entry.phase_ = EntryPhase::kDone;
  entry.answer_ = answer;
  return entry;
}

UnitId Owner::CurrentUnit(const ActiveRequest& active) const {
  const UnitId& unit = active.forward_.unit_;
  const auto service = snapshot_->state_->services_.find(unit.service_);
  if (service == snapshot_->state_->services_.end()) {
    return unit;
  }
  return UnitOfKey(service->second, unit.service_, active.forward_.key_hash_);
}

bool Owner::HasRunningRequests(const UnitId& unit) const {
  return std::any_of(
      active_requests_.begin(), active_requests_.end(), [this, &unit](const auto& item) {
        const ActiveRequest& active = item.second;
        return active.pinned_ && active.forward_.unit_ != unit && CurrentUnit(active) == unit;
      });
}

void Owner::Deliver(std::uint64_t number, const RoutedAnswer& answer) {
  const auto found = active_requests_.find(number);
  if (found == active_requests_.end()) {
    return;
  }
  ActiveRequest active = std::move(found->second);
  active_requests_.erase(found);
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
    loop_.Post([this] { StartQueued(); });
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
  const auto found = active_requests_.find(number);
  if (found == active_requests_.end()) {
    return;
  }
  LogRequest(found->second.forward_, "is refused: " + std::string(reason));
  // After an attempt at the upstream that got no answer the request may have run, whatever the
  // reason of the present refusal.
  if (found->second.unanswered_until_ != BootTime{}) {
    Complete(number, Unknown(reason));
    return;
  }
  Complete(number, NotRun(status, reason));
}

}  // namespace sassafrasbay

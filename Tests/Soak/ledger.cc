#include "Soak/ledger.h"

#include <iostream>

namespace sassafrasbay::soak {
namespace {

/// Time after a disruption for which losses of answers are excused, as in the platform's rules.
constexpr milliseconds kTouch{3000};

/// Longest time for which two targets may hold a key, as in the platform's rules.
constexpr milliseconds kLongestOverlap{500};

constexpr int kOk = 200;

bool IsPromise(int status) {
  return status == 408 || status == 421 || status == 429 || status == 503;
}

}  // namespace

std::string PathOf(Kind kind, std::string_view id) {
  constexpr std::string_view kPrefixes[] = {"/lookup/", "/report/", "/book/"};
  return std::string(kPrefixes[static_cast<std::size_t>(kind)]) + std::string(id) +
         "?of=" + std::string(id);
}

std::string BodyOf(Kind kind, std::string_view id) {
  return kind == Kind::kBooking ? "booking " + std::string(id) : std::string();
}

std::string AnswerTo(std::string_view id) { return "done " + std::string(id); }

std::string StampOf(std::string_view id) { return "stamp-" + std::string(id); }

void Ledger::Report(std::string_view promise, const std::string& what) {
  violations_.push_back(std::string(promise) + ": " + what);
  std::cout << "BROKEN " << violations_.back() << std::endl;
}

void Ledger::OnSent(const std::string& id, Kind kind) {
  requests_[id].kind_ = kind;
  ++recovery_sent_;
}

void Ledger::OnRun(const std::string& id, std::string_view path, std::string_view body, int key,
                   const KeyHolder& target) {
  const auto found = requests_.find(id);
  if (found == requests_.end()) {
    Report("UNASKED", "request " + id + " was never sent");
    return;
  }
  Request& request = found->second;
  if (path != PathOf(request.kind_, id) || body != BodyOf(request.kind_, id)) {
    Report("UNASKED", "request " + id + " arrived as " + std::string(path));
  }
  ++request.runs_;
  if (request.kind_ == Kind::kBooking && request.runs_ > 1) {
    Report("TWICE", "booking " + id + " runs again at " + target.Instance());
  }
  if (request.refused_) {
    Report("REFUSED", "request " + id + " runs at " + target.Instance() + " after its refusal");
  }
  if (key >= 0) {
    CheckOwner(id, key, target);
  }
}

// Both hold the key, and both have begun a request on it since both hold it.
void Ledger::CheckOwner(const std::string& id, int key, const KeyHolder& target) {
  for (const KeyHolder* other : targets_) {
    if (other == &target || !other->Holds(key)) {
      continue;
    }
    const BootTime both = std::max(other->HeldSince(key), target.HeldSince(key));
    if (other->LastRun(key) > both) {
      Report("OWNER", "key " + std::to_string(key) + " of request " + id + " is held by " +
                          target.Instance() + " and " + other->Instance());
    }
  }
}

void Ledger::OnAnswer(const std::string& id, const HttpResponse& answer) {
  Request& request = requests_.at(id);
  ++answers_[answer.status_];
  if (answer.status_ == kOk) {
    ++recovery_served_;
    const bool stamped = FindHeader(answer.headers_, kStampHeader) == StampOf(id);
    if (answer.body_ != AnswerTo(id) || !stamped) {
      Report("MIXED", "request " + id + " got \"" + answer.body_ + "\"");
    }
  }
  if (!IsPromise(answer.status_)) {
    return;
  }
  request.refused_ = true;
  if (request.runs_ > 0) {
    Report("REFUSED", "request " + id + " has run and got " + std::to_string(answer.status_));
  }
}

void Ledger::OnLost(const std::string& id, bool was_read, BootTime now) {
  ++answers_[0];
  if (was_read && open_disruptions_ == 0 && now - disrupted_ > kTouch) {
    Report("LOST", "request " + id + " got no answer, without any disruption");
  }
}

void Ledger::OnTake(int key, std::uint64_t token, const KeyHolder& target, bool disturbed) {
  auto& [highest, instance] = highest_token_[key];
  if (token <= highest && instance != target.Instance() && !disturbed) {
    Report("OWNER", "key " + std::to_string(key) + " goes to " + target.Instance() +
                        " with token " + std::to_string(token) + ", " + instance + " had " +
                        std::to_string(highest));
  }
  for (const KeyHolder* other : targets_) {
    if (other != &target && other->Holds(key) && !disturbed) {
      overlaps_.push_back(
          {key, &target, other, target.Instance(), other->Instance(), BootClock::now()});
    }
  }
  if (token >= highest) {
    highest = token;
    instance = target.Instance();
  }
}

void Ledger::CheckOverlaps(BootTime now) {
  std::erase_if(overlaps_, [&](const Overlap& overlap) {
    const bool both = overlap.taker_->Holds(overlap.key_) && overlap.holder_->Holds(overlap.key_) &&
                      overlap.taker_->Instance() == overlap.taker_instance_ &&
                      overlap.holder_->Instance() == overlap.holder_instance_;
    const bool too_long = both && now - overlap.since_ > kLongestOverlap;
    if (too_long) {
      Report("OWNER", "key " + std::to_string(overlap.key_) + " is held by " +
                          overlap.taker_instance_ + " and " + overlap.holder_instance_ +
                          " for too long");
    }
    return too_long || !both;
  });
}

void Ledger::OnLateArrival(const std::string& id, const KeyHolder& target) {
  if (open_disruptions_ == 0 && BootClock::now() - disrupted_ > kTouch) {
    Report("DRAIN", "request " + id + " reaches " + target.Instance() + " too late");
  }
}

double Ledger::RecoveredShare() const {
  return recovery_sent_ == 0
             ? 0
             : static_cast<double>(recovery_served_) / static_cast<double>(recovery_sent_);
}

std::string Ledger::Summary() const {
  std::string text = "requests=" + std::to_string(requests_.size());
  for (const auto& [status, count] : answers_) {
    text += " " + (status == 0 ? std::string("none") : std::to_string(status)) + "=" +
            std::to_string(count);
  }
  return text;
}

}  // namespace sassafrasbay::soak

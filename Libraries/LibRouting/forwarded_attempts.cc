#include "LibRouting/forwarded_attempts.h"

#include <algorithm>

namespace sassafrasbay {
namespace {

/// Time that a sender takes to open a new connection and to send its open attempts again, after
/// both sides have noticed the loss of the old one.
constexpr milliseconds kReattachTimeout{500};

/// Time and memory for which answers are kept for senders that lost them with their connection.
constexpr milliseconds kAnswerRetention{4000};
constexpr std::size_t kMaxAnswerBytes = 8U << 20U;

void RecordDropped(ForwardedAttempts& table, const AttemptKey& key) {
  std::uint64_t& dropped = table.dropped_up_to_[key.origin_];
  dropped = std::max(dropped, key.number_);
}

void DropOldestAnswer(ForwardedAttempts& table) {
  const AttemptKey& key = table.answered_.front().second;
  const auto found = table.attempts_.find(key);
  if (found != table.attempts_.end() && found->second.answer_) {
    table.answer_bytes_ -= found->second.answer_->size();
    RecordDropped(table, key);
    table.attempts_.erase(found);
  }
  table.answered_.pop_front();
}

}  // namespace

std::string_view ToString(ArrivalKind kind) {
  switch (kind) {
    case ArrivalKind::kNew:
      return "nothing";
    case ArrivalKind::kJoined:
      return "running";
    case ArrivalKind::kAnswered:
      return "answered";
    case ArrivalKind::kUnknown:
      return "unknown";
  }
  return "unknown";
}

Arrival RecordArrival(ForwardedAttempts& table, const AttemptKey& key, std::uint64_t connection,
                      const std::optional<std::string>& sent_before_to, std::string_view self) {
  const auto found = table.attempts_.find(key);
  if (found != table.attempts_.end()) {
    found->second.connection_ = connection;
    return found->second.answer_ ? Arrival{ArrivalKind::kAnswered, *found->second.answer_}
                                 : Arrival{ArrivalKind::kJoined, {}};
  }
  if (sent_before_to) {
    const auto dropped = table.dropped_up_to_.find(key.origin_);
    if (*sent_before_to != self ||
        (dropped != table.dropped_up_to_.end() && key.number_ <= dropped->second)) {
      return {ArrivalKind::kUnknown, {}};
    }
  }
  table.attempts_[key].connection_ = connection;
  return {ArrivalKind::kNew, {}};
}

void RecordSubmitted(ForwardedAttempts& table, const AttemptKey& key, std::uint64_t gate_number) {
  const auto found = table.attempts_.find(key);
  if (found != table.attempts_.end() && !found->second.answer_) {
    found->second.gate_number_ = gate_number;
  }
}

std::uint64_t AnswerConnection(const ForwardedAttempts& table, const AttemptKey& key) {
  const auto found = table.attempts_.find(key);
  return found == table.attempts_.end() ? 0 : found->second.connection_;
}

void RecordAnswer(ForwardedAttempts& table, const AttemptKey& key, std::string answer,
                  BootTime now) {
  const auto found = table.attempts_.find(key);
  if (found == table.attempts_.end()) {
    return;
  }
  ForwardedAttempt& attempt = found->second;
  attempt.gate_number_ = 0;
  table.answer_bytes_ += answer.size();
  attempt.answer_ = std::move(answer);
  table.answered_.emplace_back(now, key);
}

std::uint64_t RemoveCancelled(ForwardedAttempts& table, const AttemptKey& key) {
  const auto found = table.attempts_.find(key);
  if (found == table.attempts_.end() || found->second.answer_) {
    return 0;
  }
  const std::uint64_t gate_number = found->second.gate_number_;
  table.attempts_.erase(found);
  return gate_number;
}

void DetachConnection(ForwardedAttempts& table, std::uint64_t connection, BootTime now) {
  for (auto& [key, attempt] : table.attempts_) {
    if (attempt.connection_ == connection) {
      attempt.connection_ = 0;
      attempt.detached_at_ = now;
    }
  }
}

std::vector<std::uint64_t> TakeAbandoned(ForwardedAttempts& table, BootTime now) {
  while (!table.answered_.empty() && (now - table.answered_.front().first > kAnswerRetention ||
                                      table.answer_bytes_ > kMaxAnswerBytes)) {
    DropOldestAnswer(table);
  }
  std::vector<std::uint64_t> abandoned;
  std::erase_if(table.attempts_, [&](const auto& entry) {
    const ForwardedAttempt& attempt = entry.second;
    if (attempt.answer_ || attempt.connection_ != 0 ||
        now - attempt.detached_at_ < kReattachTimeout) {
      return false;
    }
    abandoned.push_back(attempt.gate_number_);
    RecordDropped(table, entry.first);
    return true;
  });
  return abandoned;
}

std::vector<std::uint64_t> TakeAttemptsOf(ForwardedAttempts& table, std::string_view origin) {
  std::vector<std::uint64_t> open;
  std::erase_if(table.attempts_, [&](const auto& entry) {
    if (entry.first.origin_ != origin || entry.second.answer_) {
      return false;
    }
    open.push_back(entry.second.gate_number_);
    return true;
  });
  table.dropped_up_to_.erase(std::string(origin));
  return open;
}

}  // namespace sassafrasbay

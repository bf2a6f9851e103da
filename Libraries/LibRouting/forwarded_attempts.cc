#include "LibRouting/forwarded_attempts.h"

#include <algorithm>

namespace sassafrasbay {
namespace {

/// Time that a sender takes to open a new connection and to send its open attempts with their
/// bodies again, after both sides have noticed the loss of the old one.
constexpr milliseconds kReattachTimeout{1500};

/// Time and memory for which answers are kept for senders that lost them with their connection.
constexpr milliseconds kAnswerRetention{1500};
constexpr std::size_t kMaxAnswerBytes = 8U << 20U;

/// No request is sent again after such a time; deadlines are far shorter.
constexpr milliseconds kDroppedRetention{600'000};

void RecordDropped(ForwardedAttempts& table, const AttemptKey& key, BootTime now) {
  DroppedAttempts& dropped = table.dropped_[key.origin_];
  dropped.up_to_ = std::max(dropped.up_to_, key.number_);
  dropped.newest_at_ = now;
}

void DropOldestAnswer(ForwardedAttempts& table, BootTime now) {
  const AttemptKey& key = table.answered_.front().second;
  const auto found = table.attempts_.find(key);
  if (found != table.attempts_.end() && found->second.answer_) {
    table.answer_bytes_ -= found->second.answer_->size();
    RecordDropped(table, key, now);
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
    const auto dropped = table.dropped_.find(key.origin_);
    if (*sent_before_to != self ||
        (dropped != table.dropped_.end() && key.number_ <= dropped->second.up_to_)) {
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
      table.detached_ += attempt.answer_ ? 0 : 1;
    }
  }
}

std::vector<std::uint64_t> TakeAbandoned(ForwardedAttempts& table, BootTime now) {
  while (!table.answered_.empty() && (now - table.answered_.front().first > kAnswerRetention ||
                                      table.answer_bytes_ > kMaxAnswerBytes)) {
    DropOldestAnswer(table, now);
  }
  std::erase_if(table.dropped_, [now](const auto& entry) {
    return now - entry.second.newest_at_ > kDroppedRetention;
  });
  std::vector<std::uint64_t> abandoned;
  if (table.detached_ == 0) {
    return abandoned;
  }
  table.detached_ = 0;
  std::erase_if(table.attempts_, [&](const auto& entry) {
    const ForwardedAttempt& attempt = entry.second;
    if (attempt.answer_ || attempt.connection_ != 0) {
      return false;
    }
    if (now - attempt.detached_at_ < kReattachTimeout) {
      ++table.detached_;
      return false;
    }
    abandoned.push_back(attempt.gate_number_);
    RecordDropped(table, entry.first, now);
    return true;
  });
  return abandoned;
}

std::vector<std::uint64_t> TakeAttemptsOf(ForwardedAttempts& table, std::string_view origin,
                                          BootTime now) {
  std::vector<std::uint64_t> open;
  std::erase_if(table.attempts_, [&](const auto& entry) {
    if (entry.first.origin_ != origin || entry.second.answer_) {
      return false;
    }
    open.push_back(entry.second.gate_number_);
    RecordDropped(table, entry.first, now);
    return true;
  });
  return open;
}

}  // namespace sassafrasbay

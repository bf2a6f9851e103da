#include "router/topic_follower.h"

#include <algorithm>
#include <utility>

#include "LibCore/logging.h"

namespace sassafrasbay {
namespace {

constexpr std::string_view kPart = "store";

/// Backoff after a failed read, doubled with each further failure.
constexpr milliseconds kInitialBackoff{100};
constexpr milliseconds kMaxBackoff{800};

/// Time without a byte of an answer, beyond the wait that the read asks for, after which the
/// connection counts as lost. After a read that has timed out, the store may only be slow. The
/// longer time is also that after which the return of a silent store is noticed.
constexpr milliseconds kStallTimeout{700};
constexpr milliseconds kSlowStallTimeout{1400};

}  // namespace

TopicFollower::TopicFollower(ReactorLoop& loop, RecordStore& store, std::string topic,
                             const ReadSchedule& schedule, Hooks hooks)
    : loop_(loop),
      store_(store),
      topic_(std::move(topic)),
      read_schedule_(schedule),
      hooks_(std::move(hooks)) {}

TopicFollower::~TopicFollower() {
  loop_.CancelTimer(timer_);
  loop_.CancelTimer(delayed_read_timer_);
}

void TopicFollower::Start() { ReadNewest(); }

void TopicFollower::SkipTo(const TopicPosition& end) {
  if (current_ && end <= end_) {
    return;
  }
  end_ = end;
  current_ = true;
  if (candidate_ && candidate_->end_.era_ <= end.era_) {
    candidate_.reset();
  }
  needs_newest_ = needs_newest_ && end.era_ < newest_era_;
  ReadNow();
}

void TopicFollower::SetReadSchedule(const ReadSchedule& schedule) {
  if (schedule == read_schedule_) {
    return;
  }
  read_schedule_ = schedule;
  const bool uses_long_poll = schedule.wait_timeout_.count() > 0;
  if (uses_long_poll && timer_ != 0 && consecutive_failures_ == 0) {
    ReadNow();
  }
}

bool TopicFollower::Advance(const TopicPosition& position) {
  if (!current_ || position != end_) {
    return false;
  }
  ++end_.offset_;
  return true;
}

bool TopicFollower::Push(const KeyedRecord& record, std::uint64_t era) {
  if (!Advance({era, record.offset_})) {
    return false;
  }
  hooks_.on_record_(record);
  return true;
}

void TopicFollower::ReadNow() {
  loop_.CancelTimer(timer_);
  timer_ = 0;
  ContinueReading(milliseconds(0));
}

void TopicFollower::ContinueReading(milliseconds wait) {
  if (needs_newest_) {
    ReadNewest();
    return;
  }
  ReadNext(wait);
}

bool TopicFollower::ReadUnlessPending() {
  if (immediate_read_pending_ || consecutive_failures_ > 0) {
    return false;
  }
  ReadNow();
  return true;
}

void TopicFollower::ReadUnlessKnown(milliseconds delay, std::function<bool()> is_known) {
  if (delayed_read_timer_ != 0 || immediate_read_pending_ || !is_store_reachable_) {
    return;
  }
  delayed_read_timer_ = loop_.StartTimer(delay, [this, is_known = std::move(is_known)] {
    delayed_read_timer_ = 0;
    if (!immediate_read_pending_ && is_store_reachable_ && !is_known()) {
      ReadNow();
    }
  });
}

void TopicFollower::ReadUnlessEraKnown(std::uint64_t era) {
  if (era > newest_era_) {
    ReadUnlessKnown(milliseconds(0), [this, era] { return era <= newest_era_; });
  }
}

void TopicFollower::ReadNewest() {
  const std::uint64_t read_number = ++read_number_;
  immediate_read_pending_ = true;
  const BootTime requested_at = BootClock::now();
  wait_ = milliseconds(0);
  store_.ReadNewestRecords(topic_, Limits(wait_).stall_timeout_,
                           [this, read_number, requested_at](Result<RecordBatch> batch) {
                             OnBatch(read_number, requested_at, std::move(batch), true);
                           });
}

void TopicFollower::ReadNext(milliseconds wait) {
  const std::uint64_t read_number = ++read_number_;
  immediate_read_pending_ = wait.count() == 0;
  const BootTime requested_at = BootClock::now();
  wait_ = wait;
  store_.Read(topic_, ReadPosition().offset_, Limits(wait),
              [this, read_number, requested_at](Result<RecordBatch> batch) {
                OnBatch(read_number, requested_at, std::move(batch), false);
              });
}

void TopicFollower::OnBatch(std::uint64_t read_number, BootTime requested_at,
                            Result<RecordBatch> batch, bool newest) {
  if (read_number != read_number_) {
    return;
  }
  immediate_read_pending_ = false;
  if (!batch) {
    const auto lasted =
        std::chrono::duration_cast<milliseconds>(BootClock::now() - requested_at).count();
    LogInfo(kPart, "topic=" + topic_ + " end=" + ToString(end_) + " read=failed ms=" +
                       std::to_string(lasted) + " reason=\"" + ToString(batch.error()) + "\".");
    OnReadError(requested_at, batch.error());
    return;
  }
  if (batch.value().era_ < newest_era_) {
    ScheduleRetry(requested_at,
                  MakeError(Errc::kUnavailable, "read records", {},
                            "era " + std::to_string(batch.value().era_) + " is over"));
    return;
  }
  consecutive_failures_ = 0;
  RecordAnswerTime(std::chrono::duration_cast<milliseconds>(BootClock::now() - requested_at) -
                   wait_);
  SetReached(true, {});
  OnEra(batch.value());
  // The records of another history don't follow those that are known, whatever their offsets.
  if (!newest && batch.value().era_ != ReadPosition().era_) {
    needs_newest_ = true;
    ReadNewest();
    return;
  }
  if (newest) {
    TakeNewest(batch.value());
  } else {
    TakeNext(batch.value());
  }
  // The newest records aren't a consistent snapshot, and a batch may end before the topic does. A
  // further read without a long poll returns what is missing.
  const bool complete = !newest && ReadPosition().offset_ >= batch.value().end_;
  if (complete && candidate_ && (!hooks_.may_replace_ || hooks_.may_replace_(*candidate_))) {
    const HistoryCandidate replacement = *std::exchange(candidate_, std::nullopt);
    end_ = replacement.end_;
    current_ = true;
    hooks_.on_replaced_(replacement);
  }
  if (complete && !candidate_) {
    hooks_.on_current_(requested_at, BootClock::now());
  }
  const bool long_poll_expired =
      batch.value().records_.empty() && read_schedule_.wait_timeout_.count() > 0;
  if (complete && read_schedule_.delay_.count() > 0 && !long_poll_expired) {
    ScheduleRead(read_schedule_.delay_);
    return;
  }
  ReadNext(complete ? read_schedule_.wait_timeout_ : milliseconds(0));
}

void TopicFollower::OnReadError(BootTime requested_at, const Error& error) {
  if (error.code_ != make_error_code(Errc::kTruncated)) {
    is_slow_ = is_slow_ || error.code_ == make_error_code(Errc::kTimedOut);
    ScheduleRetry(requested_at, error);
    return;
  }
  LogInfo(kPart, "topic=" + topic_ + " offset=" + ToString(ReadPosition()) +
                     " is not retained; reading the newest records.");
  candidate_.reset();
  needs_newest_ = true;
  ReadNewest();
}

void TopicFollower::OnEra(const RecordBatch& batch) {
  if (batch.era_ == newest_era_) {
    return;
  }
  LogInfo(kPart, "topic=" + topic_ + " era=" + std::to_string(batch.era_) +
                     " before=" + std::to_string(newest_era_) +
                     " store_end=" + std::to_string(batch.end_) + " end=" + ToString(end_) + ".");
  newest_era_ = batch.era_;
}

void TopicFollower::TakeNewest(const RecordBatch& batch) {
  needs_newest_ = false;
  const TopicPosition end{batch.era_, batch.end_};
  if (hooks_.on_replaced_) {
    candidate_ = HistoryCandidate{end, {}};
    for (const KeyedRecord& record : batch.records_) {
      candidate_->records_[record.key_] = record.value_;
    }
    return;
  }
  for (const KeyedRecord& record : batch.records_) {
    hooks_.on_record_(record);
  }
  end_ = end;
  current_ = true;
}

void TopicFollower::TakeNext(const RecordBatch& batch) {
  for (const KeyedRecord& record : batch.records_) {
    // Another node passed on the records below the end while this read was in progress.
    if (record.offset_ < ReadPosition().offset_) {
      continue;
    }
    if (!candidate_) {
      end_.offset_ = record.offset_ + 1;
      hooks_.on_record_(record);
      continue;
    }
    candidate_->end_.offset_ = record.offset_ + 1;
    if (record.value_.empty()) {
      candidate_->records_.erase(record.key_);
    } else {
      candidate_->records_[record.key_] = record.value_;
    }
  }
}

void TopicFollower::ScheduleRead(milliseconds delay) {
  timer_ = loop_.StartTimer(delay, [this] {
    timer_ = 0;
    ContinueReading(consecutive_failures_ > 0 ? milliseconds(0) : read_schedule_.wait_timeout_);
  });
}

ReadLimits TopicFollower::Limits(milliseconds wait) const {
  return {wait, is_slow_ ? kSlowStallTimeout : kStallTimeout};
}

void TopicFollower::RecordAnswerTime(milliseconds beyond_wait) {
  is_slow_ = is_slow_ && beyond_wait >= kStallTimeout;
}

// The time that a read took before it failed counts as part of the backoff.
void TopicFollower::ScheduleRetry(BootTime requested_at, const Error& error) {
  SetReached(false, ToString(error));
  const milliseconds backoff =
      std::min(kMaxBackoff, kInitialBackoff * (1 << std::min(consecutive_failures_, 4)));
  const auto lasted = std::chrono::duration_cast<milliseconds>(BootClock::now() - requested_at);
  ++consecutive_failures_;
  ScheduleRead(std::max(milliseconds(0), backoff - lasted));
}

void TopicFollower::SetReached(bool reached, std::string_view reason) {
  if (is_store_reachable_ == reached) {
    return;
  }
  is_store_reachable_ = reached;
  LogInfo(kPart, "topic=" + topic_ + " end=" + ToString(end_) +
                     (reached ? " store=reached." : " store=lost reason=\"") +
                     (reached ? "" : std::string(reason) + "\"."));
  hooks_.on_reachability_changed_(reached);
}

}  // namespace sassafrasbay

#include "router/topic_follower.h"

#include <algorithm>
#include <utility>

#include "LibCore/logging.h"

namespace sassafrasbay {
namespace {

constexpr std::string_view kPart = "store";

/// Pause after a failed call, doubled with each further one.
constexpr milliseconds kFirstPause{100};
constexpr milliseconds kLongestPause{800};

}  // namespace

TopicFollower::TopicFollower(ReactorLoop& loop, RecordStore& store, std::string topic,
                             const ReadPace& pace, Hooks hooks)
    : loop_(loop), store_(store), topic_(std::move(topic)), pace_(pace), hooks_(std::move(hooks)) {}

TopicFollower::~TopicFollower() {
  loop_.CancelTimer(timer_);
  loop_.CancelTimer(check_timer_);
}

void TopicFollower::Start() { ReadNewest(); }

void TopicFollower::SkipTo(std::uint64_t end) {
  if (current_ && end <= end_) {
    return;
  }
  end_ = end;
  current_ = true;
  ReadNow();
}

void TopicFollower::SetPace(const ReadPace& pace) {
  if (pace == pace_) {
    return;
  }
  pace_ = pace;
  const bool follows = pace.wait_.count() > 0;
  if (follows && timer_ != 0 && failures_ == 0) {
    ReadNow();
  }
}

bool TopicFollower::Push(const KeyedRecord& record) {
  if (!current_ || record.offset_ != end_) {
    return false;
  }
  ++end_;
  hooks_.on_record_(record);
  return true;
}

void TopicFollower::ReadNow() {
  loop_.CancelTimer(timer_);
  timer_ = 0;
  if (current_) {
    ReadOn(milliseconds(0));
  } else {
    ReadNewest();
  }
}

void TopicFollower::ReadUnless(milliseconds delay, std::function<bool()> is_known) {
  if (check_timer_ != 0 || reading_ || !reached_) {
    return;
  }
  check_timer_ = loop_.StartTimer(delay, [this, is_known = std::move(is_known)] {
    check_timer_ = 0;
    if (!reading_ && reached_ && !is_known()) {
      ReadNow();
    }
  });
}

void TopicFollower::ReadNewest() {
  const std::uint64_t round = ++round_;
  reading_ = true;
  const BootTime asked = BootClock::now();
  store_.ReadNewestRecords(topic_, [this, round, asked](Result<RecordBatch> batch) {
    OnBatch(round, asked, std::move(batch), true);
  });
}

void TopicFollower::ReadOn(milliseconds wait) {
  const std::uint64_t round = ++round_;
  reading_ = wait.count() == 0;
  const BootTime asked = BootClock::now();
  store_.Read(topic_, end_, wait, [this, round, asked](Result<RecordBatch> batch) {
    OnBatch(round, asked, std::move(batch), false);
  });
}

void TopicFollower::OnBatch(std::uint64_t round, BootTime asked, Result<RecordBatch> batch,
                            bool newest) {
  if (round != round_) {
    return;
  }
  reading_ = false;
  if (!batch) {
    if (batch.error().code_ == make_error_code(Errc::kTruncated)) {
      LogInfo(kPart, "topic=" + topic_ + " offset=" + std::to_string(end_) +
                         " is no longer retained; reading the newest records.");
      current_ = false;
      ReadNewest();
      return;
    }
    RetryLater(batch.error());
    return;
  }
  failures_ = 0;
  SetReached(true, {});
  for (const KeyedRecord& record : batch.value().records_) {
    // Records below the end were passed on by another node meanwhile.
    if (newest || record.offset_ >= end_) {
      end_ = newest ? end_ : record.offset_ + 1;
      hooks_.on_record_(record);
    }
  }
  if (newest) {
    end_ = batch.value().end_;
  }
  current_ = true;
  // Newest records aren't a snapshot, and a batch may end before the end of the topic; reading on
  // without a wait shows what is missing.
  const bool complete = !newest && end_ >= batch.value().end_;
  if (complete) {
    hooks_.on_current_(asked);
  }
  const bool waited_in_vain = batch.value().records_.empty() && pace_.wait_.count() > 0;
  if (complete && pace_.pause_.count() > 0 && !waited_in_vain) {
    ReadAfter(pace_.pause_);
    return;
  }
  ReadOn(complete ? pace_.wait_ : milliseconds(0));
}

void TopicFollower::ReadAfter(milliseconds pause) {
  timer_ = loop_.StartTimer(pause, [this] {
    timer_ = 0;
    if (!current_) {
      ReadNewest();
      return;
    }
    ReadOn(failures_ > 0 ? milliseconds(0) : pace_.wait_);
  });
}

void TopicFollower::RetryLater(const Error& error) {
  SetReached(false, ToString(error));
  const milliseconds pause = std::min(kLongestPause, kFirstPause * (1 << std::min(failures_, 4)));
  ++failures_;
  ReadAfter(pause);
}

void TopicFollower::SetReached(bool reached, std::string_view reason) {
  if (reached_ == reached) {
    return;
  }
  reached_ = reached;
  LogInfo(kPart, "topic=" + topic_ + " end=" + std::to_string(end_) +
                     (reached ? " store=reached." : " store=lost reason=\"") +
                     (reached ? "" : std::string(reason) + "\"."));
  hooks_.on_reached_(reached);
}

}  // namespace sassafrasbay

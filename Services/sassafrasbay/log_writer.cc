#include "log_writer.h"

#include <algorithm>
#include <random>
#include <utility>

#include "LibControl/record_codec.h"
#include "LibCore/hash.h"
#include "LibCore/logging.h"

namespace sassafrasbay {
namespace {

constexpr std::string_view kPart = "log";
constexpr milliseconds kAppendTimeout{2000};
constexpr milliseconds kFirstRepeat{500};
constexpr milliseconds kLongestRepeat{5000};

/// After this time the verdict of a record that is not repeated is of no use to its writer.
constexpr milliseconds kForgetDelay{60'000};

/// Jitter keeps all nodes from appending at the same moment when the log comes back.
milliseconds WithJitter(milliseconds delay) {
  thread_local std::mt19937_64 random{std::random_device{}()};
  return milliseconds(
      std::uniform_int_distribution<std::int64_t>(delay.count() / 2, delay.count())(random));
}

}  // namespace

LogWriter::LogWriter(ReactorLoop& loop, SharedState& shared, LogClient& log)
    : loop_(loop), shared_(shared), log_(log) {}

std::string LogWriter::Write(RecordBody body, Repeat repeat, Callback callback) {
  Record record;
  record.id_ = RandomId();
  record.body_ = std::move(body);
  Pending& pending = pending_[record.id_];
  pending.bytes_ = EncodeRecord(record);
  pending.repeat_ = repeat;
  pending.callback_ = std::move(callback);
  pending.sent_at_ = BootClock::now();
  if (repeat == Repeat::kNever) {
    loop_.StartTimer(kForgetDelay, [this, id = record.id_] { pending_.erase(id); });
  }
  Send(record.id_);
  return record.id_;
}

void LogWriter::Abandon(const std::string& id) { pending_.erase(id); }

void LogWriter::Send(const std::string& id) {
  Pending& pending = pending_.at(id);
  ++pending.attempts_;
  shared_.metrics_.Count("sassafrasbay_log_appends_total");
  log_.Append(pending.bytes_, kAppendTimeout, [this, id](const Result<std::uint64_t>& offset) {
    const auto found = pending_.find(id);
    if (found == pending_.end()) {
      return;
    }
    if (!offset) {
      shared_.metrics_.Count("sassafrasbay_log_append_errors_total");
      LogWarning(kPart, "An append has no answer: " + ToString(offset.error()) + ".");
      if (found->second.repeat_ == Repeat::kNever) {
        return;
      }
    }
    ScheduleRepeat(id);
  });
}

void LogWriter::ScheduleRepeat(const std::string& id) {
  Pending& pending = pending_.at(id);
  const int doublings = std::clamp(pending.attempts_ - 1, 0, 4);
  const milliseconds delay = std::min(kFirstRepeat * (1 << doublings), kLongestRepeat);
  pending.repeat_timer_ = loop_.StartTimer(WithJitter(delay), [this, id] {
    const auto found = pending_.find(id);
    if (found == pending_.end()) {
      return;
    }
    found->second.repeat_timer_ = 0;
    if (found->second.repeat_ == Repeat::kUntilSeen) {
      Send(id);
    }
  });
}

// The delay between repeats has grown during the outage, and a takeover waits for its attestations.
void LogWriter::OnLogReturned() {
  for (auto& [id, pending] : pending_) {
    pending.attempts_ = 0;
    if (pending.repeat_timer_ != 0) {
      loop_.CancelTimer(pending.repeat_timer_);
      ScheduleRepeat(id);
    }
  }
}

void LogWriter::OnApplied(Offset offset, const Record& record, const ApplyResult& verdict) {
  const auto found = pending_.find(record.id_);
  if (found == pending_.end()) {
    return;
  }
  Pending pending = std::move(found->second);
  pending_.erase(found);
  pending.callback_(offset, verdict, pending.sent_at_);
}

}  // namespace sassafrasbay

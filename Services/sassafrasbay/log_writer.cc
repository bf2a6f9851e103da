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
constexpr milliseconds kMinRetryBackoff{500};
constexpr milliseconds kMaxRetryBackoff{5000};

/// After this time the result of a record that is not retried is of no use to its caller.
constexpr milliseconds kUnretriedRecordRetention{60'000};

/// Returns a random duration between half of `backoff` and `backoff`. The jitter keeps the nodes
/// from appending all at the same time when the log becomes available again.
milliseconds WithJitter(milliseconds backoff) {
  thread_local std::mt19937_64 random{std::random_device{}()};
  return milliseconds(
      std::uniform_int_distribution<std::int64_t>(backoff.count() / 2, backoff.count())(random));
}

}  // namespace

LogWriter::LogWriter(ReactorLoop& loop, SharedState& shared, LogClient& log)
    : loop_(loop), shared_(shared), log_(log) {}

std::string LogWriter::Write(RecordBody body, RetryPolicy retry_policy, Callback callback) {
  Record record;
  record.id_ = RandomId();
  record.body_ = std::move(body);
  Pending& pending = pending_[record.id_];
  pending.bytes_ = EncodeRecord(record);
  pending.retry_policy_ = retry_policy;
  pending.callback_ = std::move(callback);
  pending.sent_at_ = BootClock::now();
  if (retry_policy == RetryPolicy::kNever) {
    loop_.StartTimer(kUnretriedRecordRetention, [this, id = record.id_] { pending_.erase(id); });
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
      LogWarning(kPart,
                 "An append to the log failed or got no answer: " + ToString(offset.error()) + ".");
      if (found->second.retry_policy_ == RetryPolicy::kNever) {
        return;
      }
    }
    ScheduleRetry(id);
  });
}

void LogWriter::ScheduleRetry(const std::string& id) {
  Pending& pending = pending_.at(id);
  const int doublings = std::clamp(pending.attempts_ - 1, 0, 4);
  const milliseconds backoff = std::min(kMinRetryBackoff * (1 << doublings), kMaxRetryBackoff);
  pending.retry_timer_ = loop_.StartTimer(WithJitter(backoff), [this, id] {
    const auto found = pending_.find(id);
    if (found == pending_.end()) {
      return;
    }
    found->second.retry_timer_ = 0;
    if (found->second.retry_policy_ == RetryPolicy::kUntilApplied) {
      Send(id);
    }
  });
}

// The backoff has grown during the outage of the log, and a takeover can't complete before the
// attestations of the lapsed lease are in the log.
void LogWriter::OnLogAvailable() {
  for (auto& [id, pending] : pending_) {
    pending.attempts_ = 0;
    if (pending.retry_timer_ != 0) {
      loop_.CancelTimer(pending.retry_timer_);
      ScheduleRetry(id);
    }
  }
}

void LogWriter::OnApplied(Offset offset, const Record& record, const ApplyResult& result) {
  const auto found = pending_.find(record.id_);
  if (found == pending_.end()) {
    return;
  }
  Pending pending = std::move(found->second);
  pending_.erase(found);
  pending.callback_(offset, result, pending.sent_at_);
}

}  // namespace sassafrasbay

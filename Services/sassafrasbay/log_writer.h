#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <string>

#include "LibControl/control_state.h"
#include "LibControl/records.h"
#include "LibTransport/log_client.h"
#include "LibTransport/reactor_loop.h"
#include "shared_state.h"

namespace sassafrasbay {

/// Appends records and learns whether they are valid by reading them back from the log. An append
/// may take effect although its answer is lost. A record with RetryPolicy::kUntilApplied is
/// therefore appended again, unchanged, when the follower has not read it after the backoff; the
/// validity rules of the records reject a second instance.
class LogWriter {
 public:
  /// Gets the record's offset, the result of applying it, and the time of its first append.
  using Callback = std::function<void(Offset, const ApplyResult&, BootTime sent_at)>;

  /// Whether a record is appended again until it is read back.
  enum class RetryPolicy { kUntilApplied, kNever };

  LogWriter(ReactorLoop& loop, SharedState& shared, LogClient& log);
  LogWriter(const LogWriter&) = delete;
  LogWriter& operator=(const LogWriter&) = delete;

  /// Appends a record and returns its id. The callback runs when the record has been read back; it
  /// never runs for a record with RetryPolicy::kNever that isn't read back within a minute.
  std::string Write(RecordBody body, RetryPolicy retry_policy, Callback callback);

  /// Stops retrying a record and drops its callback.
  void Abandon(const std::string& id);

  /// Called when the log can be read to its end again. Resets the backoff of the pending records,
  /// so that those which were not read there are appended again soon.
  void OnLogAvailable();

  void OnApplied(Offset offset, const Record& record, const ApplyResult& result);

 private:
  struct Pending {
    std::string bytes_;
    RetryPolicy retry_policy_ = RetryPolicy::kUntilApplied;
    Callback callback_;
    BootTime sent_at_{};
    int attempts_ = 0;
    ReactorLoop::TimerId retry_timer_ = 0;  ///< 0 while an append is in progress.
  };

  void Send(const std::string& id);
  void ScheduleRetry(const std::string& id);

  ReactorLoop& loop_;
  SharedState& shared_;
  LogClient& log_;
  std::map<std::string, Pending> pending_;
};

}  // namespace sassafrasbay

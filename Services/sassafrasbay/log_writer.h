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

/// Appends records and learns their verdict by reading them back. A record whose append got no
/// answer is looked for in the log; the same record is appended again only after the follower has
/// read on without meeting it, and its validity rules make a second instance void.
class LogWriter {
 public:
  /// The verdict, and when the first append was sent.
  using Callback = std::function<void(Offset, const ApplyResult&, BootTime sent_at)>;

  enum class Repeat { kUntilSeen, kNever };

  LogWriter(ReactorLoop& loop, SharedState& shared, LogClient& log);
  LogWriter(const LogWriter&) = delete;
  LogWriter& operator=(const LogWriter&) = delete;

  /// Returns the record's id.
  std::string Write(RecordBody body, Repeat repeat, Callback callback);

  /// Stops repeating a record; its callback is dropped.
  void Abandon(const std::string& id);

  /// The log can be read to its end again: repeats soon what was not seen there.
  void OnLogReturned();

  void OnApplied(Offset offset, const Record& record, const ApplyResult& verdict);

 private:
  struct Pending {
    std::string bytes_;
    Repeat repeat_ = Repeat::kUntilSeen;
    Callback callback_;
    BootTime sent_at_{};
    int attempts_ = 0;
    ReactorLoop::TimerId repeat_timer_ = 0;  ///< 0 while an append is open.
  };

  void Send(const std::string& id);
  void ScheduleRepeat(const std::string& id);

  ReactorLoop& loop_;
  SharedState& shared_;
  LogClient& log_;
  std::map<std::string, Pending> pending_;
};

}  // namespace sassafrasbay

#pragma once

#include "LibControl/control_state.h"
#include "LibTransport/reactor_loop.h"
#include "log_follower.h"
#include "log_writer.h"
#include "session_keeper.h"
#include "shared_state.h"

namespace sassafrasbay {

/// Writes the control state into the log before the records it rests on expire. The session with
/// the lowest id does it; each further one waits longer, in case those before it are silent.
class CheckpointWriter {
 public:
  CheckpointWriter(ReactorLoop& loop, SharedState& shared, LogFollower& follower, LogWriter& writer,
                   SessionKeeper& session);
  CheckpointWriter(const CheckpointWriter&) = delete;
  CheckpointWriter& operator=(const CheckpointWriter&) = delete;

  void Start();
  void OnApplied(const Record& record);

 private:
  void Check();
  bool IsDue(BootTime now) const;

  ReactorLoop& loop_;
  SharedState& shared_;
  LogFollower& follower_;
  LogWriter& writer_;
  SessionKeeper& session_;
  Offset latest_through_ = 0;
  BootTime latest_at_{};
  BootTime due_since_{};
};

}  // namespace sassafrasbay

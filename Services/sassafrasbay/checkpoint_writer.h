#pragma once

#include "LibControl/control_state.h"
#include "LibTransport/reactor_loop.h"
#include "log_follower.h"
#include "log_writer.h"
#include "session_keeper.h"
#include "shared_state.h"

namespace sassafrasbay {

/// Writes checkpoints of the control state to the log before the records that it results from
/// expire. The session with the lowest id writes them. Each further session, in the order of ids,
/// waits for a longer delay and writes one only if the sessions before it have not.
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
  Offset latest_through_offset_ = 0;
  BootTime latest_applied_at_{};
  BootTime due_since_{};
};

}  // namespace sassafrasbay

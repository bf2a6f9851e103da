#pragma once

#include <map>
#include <string>

#include "LibControl/placement.h"
#include "LibRouting/messages.h"
#include "LibTransport/reactor_loop.h"
#include "control_peers.h"
#include "log_follower.h"
#include "log_writer.h"
#include "session_keeper.h"
#include "shared_state.h"

namespace sassafrasbay {

/// Sends the load of this node to the planner's node, and plans placement while this node's session
/// is the planner.
class PlannerRunner {
 public:
  PlannerRunner(ReactorLoop& loop, SharedState& shared, LogFollower& follower, LogWriter& writer,
                ControlPeers& peers, SessionKeeper& session);
  PlannerRunner(const PlannerRunner&) = delete;
  PlannerRunner& operator=(const PlannerRunner&) = delete;

  void Start();
  void OnLoadMeasured(LoadReport report);
  void OnLoadReport(const LoadReport& report);

 private:
  struct ReceivedReport {
    LoadReport report_;
    BootTime received_at_{};
  };

  void Plan();
  MeasuredLoad CollectLoad();

  ReactorLoop& loop_;
  SharedState& shared_;
  LogFollower& follower_;
  LogWriter& writer_;
  ControlPeers& peers_;
  SessionKeeper& session_;
  PlannerState planner_;
  std::map<SessionId, ReceivedReport> reports_;
};

}  // namespace sassafrasbay

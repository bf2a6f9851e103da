#pragma once

#include <functional>
#include <memory>

#include "LibTransport/http_client.h"
#include "LibTransport/log_client.h"
#include "LibTransport/reactor_loop.h"
#include "charts.h"
#include "checkpoint_writer.h"
#include "control_peers.h"
#include "log_follower.h"
#include "log_writer.h"
#include "planner_runner.h"
#include "session_keeper.h"
#include "shared_state.h"

namespace sassafrasbay {

/// The event loop of the control thread, which follows the log, maintains the session and its
/// lease, and plans placement.
class ControlLoop {
 public:
  ControlLoop(SharedState& shared, const Charts& charts);
  ControlLoop(const ControlLoop&) = delete;
  ControlLoop& operator=(const ControlLoop&) = delete;

  /// Opens the control port. When a drain that ends the process is complete, `drained` is passed to
  /// `traffic.drain_connections_`, which runs it on the traffic thread.
  Result<void> Open(TrafficCalls traffic, std::function<void()> drained);

  /// Returns the calls that other threads may make while the loop runs.
  ControlCalls Calls();

  void Run() { loop_.Run(); }
  void Stop() { loop_.Stop(); }

 private:
  void OnMessage(ConnectionId connection, const ControlMessage& message);
  void PublishSnapshot();
  void RequestSnapshot();

  ReactorLoop loop_;
  SharedState& shared_;
  HttpClient client_;
  LogClient log_;
  LogFollower follower_;
  LogWriter writer_;
  ControlPeers peers_;
  SessionKeeper session_;
  CheckpointWriter checkpoints_;
  PlannerRunner planner_;
  TrafficCalls traffic_;
  std::uint64_t snapshot_version_ = 0;
};

}  // namespace sassafrasbay

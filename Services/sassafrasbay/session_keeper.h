#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>

#include "LibControl/lease.h"
#include "LibCore/state_chart.h"
#include "LibRouting/routing_snapshot.h"
#include "control_peers.h"
#include "log_follower.h"
#include "log_writer.h"
#include "shared_state.h"

namespace sassafrasbay {

/// Manages the node's session: joins the fleet when the upstream announces itself, renews the
/// session's lease, and ends the session after a drain or the loss of the upstream. As a grantor,
/// acknowledges the heartbeats of its grantees and attests the lapse of their leases.
class SessionKeeper {
 public:
  struct Hooks {
    /// The session was joined or has ended.
    std::function<void()> on_session_changed_;
    /// The session still owns units after three quarters of the grace period of a drain.
    std::function<void()> on_stop_owning_;
    /// A drain that was requested with `exit` is complete; the process may end.
    std::function<void()> on_drained_;
  };

  SessionKeeper(ReactorLoop& loop, SharedState& shared, const StateChart& chart,
                LogFollower& follower, LogWriter& writer, ControlPeers& peers);
  SessionKeeper(const SessionKeeper&) = delete;
  SessionKeeper& operator=(const SessionKeeper&) = delete;

  void SetHooks(Hooks hooks) { hooks_ = std::move(hooks); }
  void Start();

  void OnAnnouncement(const UpstreamAnnouncement& announcement);
  void OnUpstreamWithdrawn();
  void RequestDrain(bool exit);
  void OnStateChanged();
  void OnHeartbeat(ConnectionId connection, const Heartbeat& heartbeat);
  void OnHeartbeatAck(const HeartbeatAck& ack);

  /// The id of the node's session while the session is active in the log; empty otherwise.
  const SessionId& ActiveSession() const { return active_session_; }
  const std::shared_ptr<LeaseCell>& Lease() const { return lease_cell_; }
  bool HoldsLease() const { return IsHeld(lease_, BootClock::now()); }

 private:
  void Join();
  void OnJoinApplied(const SessionId& session, const ApplyResult& result, BootTime sent_at);
  void Tick();
  void SendHeartbeats();
  void AttestLapses(BootTime now);
  void RenewIfNeeded(BootTime now);
  void Renew();
  void ContinueDrain();
  void EndSession();
  void OnSessionEnded();
  bool OwnsUnits() const;
  void Advance(std::string_view event);
  LeaseSettings MakeLeaseSettings() const;

  ReactorLoop& loop_;
  SharedState& shared_;
  LogFollower& follower_;
  LogWriter& writer_;
  ControlPeers& peers_;
  Hooks hooks_;
  ChartPosition lifecycle_;
  std::optional<UpstreamAnnouncement> announcement_;
  SessionId joining_session_;
  SessionId active_session_;
  std::shared_ptr<LeaseCell> lease_cell_;
  HolderLease lease_;
  GrantorState grantor_;
  std::map<std::uint64_t, BootTime> heartbeat_send_times_;
  std::uint64_t next_sequence_ = 1;
  BootTime next_heartbeat_{};
  BootTime next_renewal_{};
  milliseconds renewal_backoff_{0};
  BootTime last_tick_{};
  bool end_written_ = false;  ///< SessionEnded was passed to the log writer.
  bool drain_exits_ = false;
  bool upstream_drained_ =
      false;  ///< Drained by an operator or by itself; the node doesn't join while it is set.
  BootTime drain_started_{};
  bool stop_owning_sent_ = false;
};

}  // namespace sassafrasbay

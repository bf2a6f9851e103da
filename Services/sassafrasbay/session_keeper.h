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

/// The node's session: joins when the upstream announces itself, keeps its lease, leaves when asked
/// to, and extends or attests the leases of its grantees.
class SessionKeeper {
 public:
  struct Hooks {
    std::function<void()> on_session_changed_;
    std::function<void()> on_stop_owning_;
    std::function<void()> on_drained_;  ///< The drain is complete, the process may end.
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

  /// The own session while it is active in the log; empty otherwise.
  const SessionId& ActiveSession() const { return active_; }
  const std::shared_ptr<LeaseCell>& Lease() const { return cell_; }
  bool HoldsLease() const { return IsHeld(lease_, BootClock::now()); }

 private:
  void Join();
  void OnJoinVerdict(const SessionId& session, const ApplyResult& verdict, BootTime sent_at);
  void Tick();
  void SendHeartbeats();
  void AttestLapses(BootTime now);
  void RenewIfNeeded(BootTime now);
  void Renew();
  void ContinueDrain();
  void EndSession();
  void OnOwnEnd();
  bool OwnsUnits() const;
  void Advance(std::string_view event);
  LeaseSettings Terms() const;

  ReactorLoop& loop_;
  SharedState& shared_;
  LogFollower& follower_;
  LogWriter& writer_;
  ControlPeers& peers_;
  Hooks hooks_;
  ChartPosition lifecycle_;
  std::optional<UpstreamAnnouncement> announcement_;
  SessionId joining_;
  SessionId active_;
  std::shared_ptr<LeaseCell> cell_;
  HolderLease lease_;
  GrantorState grantor_;
  std::map<std::uint64_t, BootTime> heartbeats_sent_;
  std::uint64_t next_sequence_ = 1;
  BootTime next_heartbeat_{};
  BootTime next_renewal_{};
  milliseconds renewal_backoff_{0};
  BootTime last_tick_{};
  bool end_written_ = false;
  bool drain_exits_ = false;
  bool upstream_drained_ =
      false;  ///< By an operator or by itself; it keeps this node from joining.
  BootTime drain_started_{};
  bool stop_owning_sent_ = false;
};

}  // namespace sassafrasbay

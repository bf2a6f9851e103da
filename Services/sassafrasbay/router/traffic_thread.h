#pragma once

#include <array>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>

#include "LibRouting/forwarded_attempts.h"
#include "LibRouting/transit_time.h"
#include "LibTransport/http_server.h"
#include "LibTransport/reactor_loop.h"
#include "router/peer_links.h"
#include "router/request_router.h"
#include "router/router_state.h"
#include "router/upstream_gate.h"

namespace sassafrasbay {

/// Handles callers' requests, messages of other nodes and the requests to the local upstream.
class TrafficThread {
 public:
  explicit TrafficThread(RouterShared& shared);
  TrafficThread(const TrafficThread&) = delete;
  TrafficThread& operator=(const TrafficThread&) = delete;

  /// Opens the listening sockets and starts the periodic reports. Errors: those of the sockets.
  Result<void> Open(ControlThreadCallbacks control);

  /// Callbacks for the control thread.
  TrafficThreadCallbacks Callbacks();

  /// Reports not ready from now on, then runs `done` on this thread when all requests are answered,
  /// or after `limit`. A further call starts the limit anew. Thread-safe.
  void ShutDown(milliseconds limit, std::function<void()> done);

  /// Sets the service that callers on this VM belong to. Thread-safe.
  void SetCallerService(const std::string& service);

  void Run() { loop_.Run(); }
  void Stop() { loop_.Stop(); }

 private:
  struct IncomingLink {
    ConnectionId connection_ = 0;
    std::string incarnation_;
    bool takes_next_report_ = true;
  };

  /// Reports sent to one node.
  struct SentReports {
    BootTime newest_at_{};
    /// Clock values of the newest ones that were sent on this node's own connection.
    std::array<std::uint64_t, 4> own_clocks_{};
    std::size_t own_count_ = 0;
  };

  /// Opens the ports for callers, readiness and metrics.
  Result<void> OpenPorts();
  void SetSnapshot(const std::shared_ptr<const RouterSnapshot>& snapshot);
  void OnMessage(ConnectionId connection, NodeMessage message);
  void OnIntroduction(ConnectionId connection, const Introduction& introduction);
  void OnForwarded(ConnectionId connection, ForwardedRequest request);
  /// Time that a request took from the node of its caller to this one, as far as it is known.
  milliseconds TransitTimeOf(ConnectionId connection, const ForwardedRequest& request) const;
  void OnCancelled(ConnectionId connection, const CancelForwarded& cancel);
  /// Identity of the process that opened the connection.
  std::string OriginOf(ConnectionId connection) const;
  void OnReport(ConnectionId connection, const NodeReport& report);
  /// Sends the node what it lacks of the shared state, if it is this node's turn.
  void OfferState(ConnectionId connection, const NodeReport& report);
  void OnIncomingClosed(ConnectionId connection);
  void Broadcast(const NodeMessage& message);
  /// Sends a report to each other node now.
  void SendReports();
  /// Sends a report to each node whose report interval has passed.
  void SendDueReports();
  /// Replaces the connections of this node that are silent, and drops those of others.
  void CheckConnections();
  void SendReport(NodeReport& report, const std::string& address, BootTime now);
  /// Connection of the peer that the next report goes over; 0 for that of this node.
  ConnectionId NextReportConnection(const std::string& address);
  /// Records that a peer has received a report of this node, if it went over its own connection.
  void ConfirmReport(const NodeReport& report);
  /// Number of live nodes that are due to send the state to `address` before this one.
  std::size_t StateTransferTurn(const std::string& address) const;
  std::size_t NodeCount() const;
  void SendDemand();
  NodeReport MakeReport() const;
  HttpResponse MakeReadinessResponse() const;
  /// Whether all requests have ended and their answers have been sent.
  bool IsIdle() const;
  /// Sets the time at which the process ends, and the earlier one of the last answers.
  void SetShutdownLimit(BootTime end);
  void ShutDownWhenIdle(BootTime earliest, const std::function<void()>& done);

  RouterShared& shared_;
  ReactorLoop loop_;
  PeerLinks links_;
  UpstreamGate gate_;
  RequestRouter router_;
  ControlThreadCallbacks control_;
  std::unique_ptr<HttpServer> callers_;
  std::unique_ptr<HttpServer> ready_;
  std::unique_ptr<HttpServer> metrics_;
  std::shared_ptr<const RouterSnapshot> snapshot_;
  std::map<std::string, ReceivedReport> reports_;    ///< Newest by peer address.
  std::map<std::string, SentReports> sent_reports_;  ///< By peer address.
  std::map<std::string, BootTime> lagging_since_;    ///< Nodes that lack state of this one.
  ForwardedAttempts attempts_;                       ///< Of requests of peers.
  /// Connections that peers have opened, by the sender's address; the newest one of each.
  std::map<std::string, IncomingLink> incoming_;
  std::map<ConnectionId, std::string> origins_;         ///< Incarnation of the peer that opened it.
  std::map<std::string, TransitClock> transit_clocks_;  ///< By incarnation of the peer.
  bool leaving_ = false;
  bool stopped_accepting_ = false;  ///< New requests are refused; the process ends soon.
  BootTime shutdown_end_{};
  BootTime busy_at_{};  ///< When requests were last open, once the process is shutting down.
};

}  // namespace sassafrasbay

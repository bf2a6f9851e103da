#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>

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
  void SetSnapshot(const std::shared_ptr<const RouterSnapshot>& snapshot);
  void OnMessage(ConnectionId connection, NodeMessage message);
  void OnForwarded(ConnectionId connection, ForwardedRequest request);
  void OnReport(ConnectionId connection, const NodeReport& report);
  void OnIncomingClosed(ConnectionId connection);
  void Broadcast(const NodeMessage& message);
  /// Sends a report to each other node now.
  void SendReports();
  /// Sends a report to each node whose report interval has passed.
  void SendDueReports();
  void SendReport(NodeReport& report, const std::string& address, BootTime now);
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
  std::map<std::string, ReceivedReport> reports_;  ///< Newest by peer address.
  std::map<std::string, BootTime> report_sent_;    ///< Time of the newest, by peer address.
  std::map<std::string, BootTime> lagging_since_;  ///< Nodes that lack state of this one.
  /// Gate numbers of open requests of peers, by connection and the number that the peer gave them.
  std::map<std::pair<ConnectionId, std::uint64_t>, UpstreamGate::RequestNumber> forwarded_requests_;
  bool leaving_ = false;
  bool stopped_accepting_ = false;  ///< New requests are refused; the process ends soon.
  BootTime shutdown_end_{};
  BootTime busy_at_{};  ///< When requests were last open, once the process is shutting down.
};

}  // namespace sassafrasbay

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

/// Callers, other nodes and the upstream's requests.
class TrafficThread {
 public:
  explicit TrafficThread(RouterShared& shared);
  TrafficThread(const TrafficThread&) = delete;
  TrafficThread& operator=(const TrafficThread&) = delete;

  /// Opens the listening sockets. Errors: those of the sockets.
  Result<void> Open(ControlThreadCallbacks control);

  /// Calls that the control thread may make.
  TrafficThreadCallbacks Callbacks();

  /// Says not ready from now on, then runs `done` on this thread when all requests are answered, or
  /// after `limit`. Thread-safe.
  void ShutDown(milliseconds limit, std::function<void()> done);

  /// The service that requests of this VM come from. Thread-safe.
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
  /// Reports to all other nodes at once.
  void SendReports();
  /// Reports to those whose interval is over.
  void SendDueReports();
  void SendReport(NodeReport& report, const std::string& address, BootTime now);
  /// Nodes that would send the state to `address` before this one.
  std::size_t StateTransferTurn(const std::string& address) const;
  std::size_t NodeCount() const;
  void SendDemand();
  NodeReport MakeReport() const;
  HttpResponse MakeReadinessResponse() const;
  void ShutDownWhenIdle(BootTime earliest, BootTime latest, const std::function<void()>& done);

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
  std::map<std::string, BootTime> report_sent_;    ///< Newest report to each node.
  std::map<std::string, BootTime> lagging_since_;  ///< Nodes with older state than this one.
  /// Gate numbers of open requests of peers, by connection and the peer's number.
  std::map<std::pair<ConnectionId, std::uint64_t>, UpstreamGate::RequestNumber> forwarded_requests_;
  bool leaving_ = false;
  bool stopped_accepting_ = false;  ///< No new requests, since this process is about to end.
};

}  // namespace sassafrasbay

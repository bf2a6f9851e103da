#pragma once

#include <functional>
#include <memory>

#include "LibRouting/messages.h"
#include "LibTransport/http_server.h"
#include "LibTransport/reactor_loop.h"
#include "charts.h"
#include "ingress.h"
#include "operator_api.h"
#include "owned_units.h"
#include "owner.h"
#include "request_copies.h"
#include "shared_state.h"
#include "traffic_peers.h"
#include "upstream_link.h"

namespace sassafrasbay {

/// Owns everything that runs on the traffic thread: requests of callers and of peer nodes, and the
/// connection to this node's upstream.
class TrafficLoop {
 public:
  TrafficLoop(SharedState& shared, const Charts& charts);
  TrafficLoop(const TrafficLoop&) = delete;
  TrafficLoop& operator=(const TrafficLoop&) = delete;

  /// Opens the listening sockets; fails with the error of the socket that can't be opened.
  Result<void> Open(const ControlCalls& control);

  /// Callbacks that other threads may call while the loop runs.
  TrafficCalls Calls();

  void Run() { loop_.Run(); }
  void Stop() { loop_.Stop(); }

 private:
  void SetSnapshot(const std::shared_ptr<const RoutingSnapshot>& snapshot);
  void OnExchange(const std::shared_ptr<HttpExchange>& exchange);
  void OnMessage(ConnectionId connection, TrafficMessage message);
  void OnForward(ConnectionId connection, Forward forward);
  /// Runs `done` when no request is open any more, at the latest at the deadline.
  void FinishWhenIdle(const std::function<void()>& done, BootTime deadline);

  ReactorLoop loop_;
  SharedState& shared_;
  LeaseView lease_;
  TrafficPeers peers_;
  UpstreamLink link_;
  RequestTable table_;
  RequestCopies copies_;
  CopyStore copy_store_;
  OwnedUnits units_;
  Owner owner_;
  Ingress ingress_;
  OperatorApi operators_;
  std::unique_ptr<HttpServer> server_;
  /// Numbers at the Owner of open requests, by connection and number of the peer that sent them. A
  /// Cancel message of the peer is matched by them.
  std::map<std::pair<ConnectionId, std::uint64_t>, std::uint64_t> owner_request_numbers_;
};

}  // namespace sassafrasbay

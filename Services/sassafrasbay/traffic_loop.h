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

/// Everything that runs on the traffic thread: callers, peers' requests, and the own upstream.
class TrafficLoop {
 public:
  TrafficLoop(SharedState& shared, const Charts& charts);
  TrafficLoop(const TrafficLoop&) = delete;
  TrafficLoop& operator=(const TrafficLoop&) = delete;

  /// Opens the listening sockets. Errors: those of the sockets.
  Result<void> Open(const ControlCalls& control);

  /// Calls that other threads may make while the loop runs.
  TrafficCalls Calls();

  void Run() { loop_.Run(); }
  void Stop() { loop_.Stop(); }

 private:
  void SetSnapshot(const std::shared_ptr<const RoutingSnapshot>& snapshot);
  void OnExchange(const std::shared_ptr<HttpExchange>& exchange);
  void OnMessage(ConnectionId connection, TrafficMessage message);
  void OnForward(ConnectionId connection, Forward forward);
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
  /// Owner-side numbers of open requests of peers, for Cancel.
  std::map<std::pair<ConnectionId, std::uint64_t>, std::uint64_t> owner_request_numbers_;
};

}  // namespace sassafrasbay

#pragma once

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <string_view>

#include "LibRouting/messages.h"
#include "LibTransport/peer_network.h"
#include "LibTransport/reactor_loop.h"
#include "shared_state.h"

namespace sassafrasbay {

/// Control connections to other nodes, which carry heartbeats, snapshots and load reports.
class ControlPeers {
 public:
  using MessageHandler = std::function<void(ConnectionId connection, ControlMessage message)>;

  ControlPeers(ReactorLoop& loop, SharedState& shared);
  ControlPeers(const ControlPeers&) = delete;
  ControlPeers& operator=(const ControlPeers&) = delete;

  Result<void> Listen(MessageHandler handler);
  /// Sends to a node by its control address; connects first when there is no connection. The
  /// message may be lost.
  void Send(std::string_view address, const ControlMessage& message);
  void Reply(ConnectionId connection, const ControlMessage& message);

 private:
  ReactorLoop& loop_;
  SharedState& shared_;
  std::unique_ptr<PeerNetwork> network_;
  std::map<std::string, ConnectionId, std::less<>> connections_by_address_;
};

}  // namespace sassafrasbay

#pragma once

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "LibRouting/node_messages.h"
#include "LibTransport/peer_network.h"
#include "LibTransport/reactor_loop.h"
#include "router/router_state.h"

namespace sassafrasbay {

/// One connection to each other node, opened when it is first needed.
class PeerLinks {
 public:
  struct Hooks {
    std::function<void(ConnectionId connection, NodeMessage message)> on_message_;
    /// A connection that this node opened has ended.
    std::function<void(const std::string& address, ConnectionId connection)> on_outgoing_closed_;
    std::function<void(ConnectionId connection)> on_incoming_closed_;  ///< One that a peer opened.
  };

  PeerLinks(ReactorLoop& loop, RouterShared& shared);
  PeerLinks(const PeerLinks&) = delete;
  PeerLinks& operator=(const PeerLinks&) = delete;

  Result<void> Listen(Hooks hooks);

  /// Sends to the node at that address. 0 when the link's queue is full or it has just failed.
  ConnectionId Send(const std::string& address, const NodeMessage& message);

  /// Sends on a connection that a peer opened.
  void Reply(ConnectionId connection, const NodeMessage& message);

  /// Closes the link of a node that hasn't been heard of, so that the next message opens a new one.
  void Reset(const std::string& address);

 private:
  void OnFrame(ConnectionId connection, std::string_view frame);
  void OnClosed(ConnectionId connection, const Error& error);

  ReactorLoop& loop_;
  RouterShared& shared_;
  Hooks hooks_;
  std::unique_ptr<PeerNetwork> network_;
  std::map<std::string, ConnectionId, std::less<>> connection_by_address_;
  std::unordered_map<ConnectionId, std::string> address_by_connection_;
  std::map<std::string, BootTime> backoff_until_;  ///< After a failed connect.
};

}  // namespace sassafrasbay

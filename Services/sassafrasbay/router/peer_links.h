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

/// Connections to the other nodes, one to each, opened when first used, and those that other nodes
/// open.
class PeerLinks {
 public:
  struct Hooks {
    std::function<void(ConnectionId connection, NodeMessage message)> on_message_;
    /// Called when a connection that this node opened has closed.
    std::function<void(const std::string& address, ConnectionId connection)> on_outgoing_closed_;
    std::function<void(ConnectionId connection)> on_incoming_closed_;  ///< Opened by a peer.
    /// Whether answers are due on a connection that this node opened.
    std::function<bool(ConnectionId connection)> awaits_answers_;
  };

  PeerLinks(ReactorLoop& loop, RouterShared& shared);
  PeerLinks(const PeerLinks&) = delete;
  PeerLinks& operator=(const PeerLinks&) = delete;

  Result<void> Listen(Hooks hooks);

  /// Sends to the node at `address`. Returns 0 when the queue of the connection is full or a
  /// connect has failed recently.
  ConnectionId Send(const std::string& address, const NodeMessage& message);

  /// Sends on an existing connection, usually one that a peer opened. Large messages wait for each
  /// other and are overtaken by small ones. A message that can't be sent is counted and dropped.
  void Reply(ConnectionId connection, const NodeMessage& message);

  /// Bytes of large messages that wait for this VM's link.
  std::size_t PendingBulkBytes() const { return network_->PendingBulkBytes(); }
  /// Counts bytes that the link carries besides messages, such as responses to callers.
  void CountOtherTraffic(std::size_t bytes) { network_->CountOtherTraffic(bytes); }

  /// Makes the next message to a node open a new connection, because the node has sent no report
  /// within the suspicion timeout. The present connection stays open until all answers that are due
  /// on it have arrived or timed out: a node that is only slow goes on with their requests.
  void Replace(const std::string& address);

 private:
  /// Closes a replaced connection on which no answers are due any more.
  void CloseWhenAnswered(ConnectionId connection);
  void OnFrame(ConnectionId connection, std::string_view frame);
  void OnClosed(ConnectionId connection, const Error& error);

  ReactorLoop& loop_;
  RouterShared& shared_;
  Hooks hooks_;
  std::unique_ptr<PeerNetwork> network_;
  std::map<std::string, ConnectionId, std::less<>> connection_by_address_;
  std::unordered_map<ConnectionId, std::string> address_by_connection_;
  std::map<std::string, BootTime> backoff_until_;  ///< By address, after a closed connection.
};

}  // namespace sassafrasbay

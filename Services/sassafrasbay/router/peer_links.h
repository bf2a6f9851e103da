#pragma once

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "LibRouting/node_messages.h"
#include "LibTransport/connection_liveness.h"
#include "LibTransport/peer_network.h"
#include "LibTransport/reactor_loop.h"
#include "router/router_state.h"

namespace sassafrasbay {

/// Send time of the oldest request without an answer, by connection.
using AwaitedAnswers = std::unordered_map<ConnectionId, BootTime>;

/// Connections to the other nodes, one to each, opened when first used, and those that other nodes
/// open. A connection of this node that has gone silent is replaced by this node, and only by it.
class PeerLinks {
 public:
  struct Hooks {
    std::function<void(ConnectionId connection, NodeMessage message)> on_message_;
    /// Called when a connection that this node opened has closed. `was_open` is false if nothing
    /// was sent on it.
    std::function<void(const std::string& address, ConnectionId connection, bool was_open)>
        on_outgoing_closed_;
    /// Called when messages to the address go over a new connection, as the old one was silent.
    std::function<void(const std::string& address, ConnectionId silent)> on_replaced_;
    std::function<void(ConnectionId connection)> on_incoming_closed_;  ///< Opened by a peer.
    std::function<AwaitedAnswers()> awaited_answers_;
  };

  PeerLinks(ReactorLoop& loop, RouterShared& shared);
  PeerLinks(const PeerLinks&) = delete;
  PeerLinks& operator=(const PeerLinks&) = delete;

  Result<void> Listen(Hooks hooks);

  /// Sends to the node at `address`. Returns 0 when the queue of the connection is full or a
  /// connect has failed recently.
  ConnectionId Send(const std::string& address, const NodeMessage& message);

  /// Withdraws a message that waits for its connection to open, so that it is never sent. Returns
  /// false when it may have been sent.
  bool Withdraw(ConnectionId connection, const NodeMessage& message) {
    return network_->Withdraw(connection, EncodeNodeMessage(message));
  }

  /// Sends on an existing connection, usually one that a peer opened. Large messages wait for each
  /// other and are overtaken by small ones. A message that can't be sent is counted and dropped.
  void Reply(ConnectionId connection, const NodeMessage& message);
  void ReplyFrame(ConnectionId connection, std::string_view frame);

  /// Drops a connection that a peer opened and no longer uses.
  void DropIncoming(ConnectionId connection) { network_->Reset(connection); }

  /// Bytes of large messages that wait for this VM's link.
  std::size_t PendingBulkBytes() const { return network_->PendingBulkBytes(); }
  /// Bytes of all messages that wait for this VM's link or for a peer to read.
  std::size_t PendingBytes() const { return network_->PendingBytes(); }
  /// Counts bytes that the link carries besides messages, such as responses to callers.
  void CountOtherTraffic(std::size_t bytes) { network_->CountOtherTraffic(bytes); }

  /// Records that the node at `address` has received a message sent there at that time.
  void ConfirmSent(const std::string& address, BootTime sent_at);

  /// Probes the connections that may be silent, and opens new ones in place of those that are.
  /// `confirmation_timeout` is the maximum age of the newest ConfirmSent of a sound connection.
  void CheckConnections(milliseconds confirmation_timeout);

  /// When bytes last arrived on a connection.
  BootTime ProgressAt(ConnectionId connection) const { return network_->ProgressAt(connection); }

 private:
  struct Link {
    ConnectionId connection_ = 0;
    bool open_ = false;
    BootTime opened_at_{};
    ConnectionLiveness liveness_;
    /// Connection that shows whether the peer answers while the other one is suspected; 0 if none.
    ConnectionId trial_ = 0;
    BootTime next_trial_at_{};
    milliseconds trial_interval_{0};
  };

  ConnectionId Connect(const std::string& address);
  void SendIntroduction(ConnectionId connection);
  void EndTrial(Link& link);
  void OnOpen(ConnectionId connection);
  void ReplaceByTrial(const std::string& address, Link& link);
  void OnPong(ConnectionId connection);
  void OnFrame(ConnectionId connection, std::string_view frame);
  void OnClosed(ConnectionId connection, const Error& error);

  ReactorLoop& loop_;
  RouterShared& shared_;
  Hooks hooks_;
  std::unique_ptr<PeerNetwork> network_;
  std::map<std::string, Link, std::less<>> links_;  ///< By address.
  std::unordered_map<ConnectionId, std::string> address_by_connection_;
  std::map<std::string, BootTime> backoff_until_;  ///< By address, after a closed connection.
};

}  // namespace sassafrasbay

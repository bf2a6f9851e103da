#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>

#include "LibRouting/messages.h"
#include "LibTransport/peer_network.h"
#include "LibTransport/reactor_loop.h"
#include "shared_state.h"

namespace sassafrasbay {

/// Sends requests and replies between nodes over one connection per peer address.
class TrafficPeers {
 public:
  /// Gets the reply, or the error of the connection or the timeout. Runs once, unless the
  /// request is dropped.
  using ReplyHandler = std::function<void(Result<TrafficMessage>)>;
  /// Gets each message that isn't a reply; replies to it are sent over `connection`.
  using MessageHandler = std::function<void(ConnectionId connection, TrafficMessage message)>;

  TrafficPeers(ReactorLoop& loop, SharedState& shared);
  TrafficPeers(const TrafficPeers&) = delete;
  TrafficPeers& operator=(const TrafficPeers&) = delete;

  Result<void> Listen(MessageHandler handler);

  /// Sends a request under a new number and returns this number for DropRequest(). With a timeout
  /// of zero, only a reply or the loss of the connection ends the request.
  std::uint64_t Request(std::string_view address, TrafficMessage message, milliseconds timeout,
                        ReplyHandler handler);

  /// Drops the handler of a request without calling it; a late reply is counted and dropped.
  void DropRequest(std::uint64_t number);

  void Reply(ConnectionId connection, const TrafficMessage& message);
  /// Sends a message to which no reply is expected.
  void Notify(std::string_view address, const TrafficMessage& message);

 private:
  struct OpenRequest {
    ConnectionId connection_ = 0;
    ReactorLoop::TimerId timer_ = 0;
    ReplyHandler handler_;
  };

  ConnectionId ConnectionTo(std::string_view address);
  void OnFrame(ConnectionId connection, std::string_view frame);
  void OnClosed(ConnectionId connection, const Error& error);
  void Finish(std::uint64_t number, Result<TrafficMessage> result);

  ReactorLoop& loop_;
  SharedState& shared_;
  MessageHandler handler_;
  std::unique_ptr<PeerNetwork> network_;
  std::map<std::string, ConnectionId, std::less<>> connections_by_address_;
  std::unordered_map<ConnectionId, std::string> addresses_by_connection_;
  std::unordered_map<std::uint64_t, OpenRequest> open_requests_;
  std::uint64_t next_number_ = 1;
};

}  // namespace sassafrasbay

#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include "LibCore/error.h"
#include "LibTransport/reactor_loop.h"

namespace sassafrasbay {

using ConnectionId = std::uint64_t;  ///< 0 is never a valid id.

/// Callbacks of a PeerNetwork, called on the loop's thread.
struct PeerEvents {
  std::function<void(ConnectionId)> on_open_;
  std::function<void(ConnectionId, std::string_view)> on_frame_;
  std::function<void(ConnectionId, const Error&)> on_closed_;
  std::function<void(ConnectionId)> on_pong_;  ///< Answer to a Ping.
};

/// Websocket connections to other nodes, carrying binary frames in both directions. websocketpp
/// implements the protocol without I/O; the sockets are watched by the reactor loop.
class PeerNetwork {
 public:
  virtual ~PeerNetwork() = default;

  /// Starts a connection to "host:port". Frames can be sent at once; a failure is reported through
  /// on_closed_, never from within Connect.
  virtual ConnectionId Connect(std::string_view address) = 0;

  /// Queues one frame, also before the connection is open. False when the connection is closed, the
  /// frame is too large or the queue is full.
  virtual bool Send(ConnectionId connection, std::string_view frame) = 0;

  /// Removes a frame that was queued before the connection was open, so that it is never sent.
  /// False when it isn't queued any more.
  virtual bool Withdraw(ConnectionId connection, std::string_view frame) = 0;

  /// Queues one frame behind all other bulk frames of this network. They are sent one after the
  /// other at the rate of the link, and let the frames of Send overtake them. Results as of Send.
  virtual bool SendBulk(ConnectionId connection, std::string_view frame) = 0;

  /// Bytes of bulk frames that have not been written to a socket.
  virtual std::size_t PendingBulkBytes() const = 0;

  /// Bytes of all frames that have not been written to a socket.
  virtual std::size_t PendingBytes() const = 0;

  /// Counts bytes that this process sends over the same link by other connections.
  virtual void CountOtherTraffic(std::size_t bytes) = 0;

  /// Asks the peer for a sign of life on this connection. False when it isn't open.
  virtual bool Ping(ConnectionId connection) = 0;

  /// States that the other side of an accepted connection is a peer, see MaxAcceptedConnections().
  virtual void ConfirmPeer(ConnectionId connection) = 0;

  /// When bytes last arrived, or the peer last made room for bytes that waited for it.
  virtual BootTime ProgressAt(ConnectionId connection) const = 0;

  /// Closes a connection and drops what hasn't reached the peer. on_closed_ is not called.
  virtual void Reset(ConnectionId connection) = 0;

  /// Closes a connection after sending as much of the queue as the socket accepts without blocking.
  /// on_closed_ is not called.
  virtual void Close(ConnectionId connection) = 0;
  virtual std::uint16_t Port() const = 0;
};

class PeerNetworkBuilder {
 public:
  explicit PeerNetworkBuilder(ReactorLoop& loop);
  /// Takes a numeric host; port 0 selects a free port.
  PeerNetworkBuilder& Listen(std::string_view host, std::uint16_t port);
  /// A larger received frame closes its connection; a larger frame to send is rejected.
  PeerNetworkBuilder& MaxFrameBytes(std::size_t bytes);
  /// Timeout for connect and handshake, also of accepted connections.
  PeerNetworkBuilder& ConnectTimeout(milliseconds timeout);
  /// Maximum number of accepted connections; 0, the default, is no limit. With a limit, an accepted
  /// connection may send and leave unread only little until ConfirmPeer() is called, and the oldest
  /// of those that aren't confirmed is closed to make room for a new one.
  PeerNetworkBuilder& MaxAcceptedConnections(std::size_t connections);
  /// Rate of the VM's outgoing link, which bulk frames don't exceed. 0, the default, is no limit.
  PeerNetworkBuilder& LinkBytesPerSecond(double rate);
  PeerNetworkBuilder& Events(PeerEvents events);
  /// Starts listening. Errors: kInvalidArgument (host), system errors of the listening socket.
  Result<std::unique_ptr<PeerNetwork>> Build();

 private:
  ReactorLoop& loop_;
  std::string host_ = "127.0.0.1";
  std::uint16_t port_ = 0;
  std::size_t max_frame_bytes_ = 4U << 20U;
  std::size_t max_accepted_connections_ = 0;
  milliseconds connect_timeout_{1000};
  double link_bytes_per_second_ = 0;
  PeerEvents events_;
};

}  // namespace sassafrasbay

#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include "LibCore/error.h"
#include "LibTransport/reactor_loop.h"

namespace sassafrasbay {

using ConnectionId = std::uint64_t;  ///< 0 is never a connection.

/// What the owner of a PeerNetwork is told, on the loop's thread.
struct PeerEvents {
  std::function<void(ConnectionId)> on_open_;
  std::function<void(ConnectionId, std::string_view)> on_frame_;
  std::function<void(ConnectionId, const Error&)> on_closed_;
};

/// Websocket connections to other nodes: binary frames in both directions. websocketpp does the
/// protocol without I/O of its own; the reactor loop owns the sockets.
class PeerNetwork {
 public:
  virtual ~PeerNetwork() = default;

  /// Starts a connection to "host:port". Its id can be used at once; on_closed_ tells of a failure.
  virtual ConnectionId Connect(std::string_view address) = 0;

  /// Queues one frame; frames sent before the connection is open wait for it. False when the
  /// connection is gone or its queue is longer than the bound.
  virtual bool Send(ConnectionId connection, std::string_view frame) = 0;

  /// Sends what the socket still takes. on_closed_ isn't called.
  virtual void Close(ConnectionId connection) = 0;
  virtual std::uint16_t Port() const = 0;
};

class PeerNetworkBuilder {
 public:
  explicit PeerNetworkBuilder(ReactorLoop& loop);
  PeerNetworkBuilder& Listen(std::string_view host, std::uint16_t port);
  /// A larger frame closes its connection.
  PeerNetworkBuilder& MaxFrameBytes(std::size_t bytes);
  PeerNetworkBuilder& ConnectTimeout(milliseconds timeout);
  PeerNetworkBuilder& Events(PeerEvents events);
  Result<std::unique_ptr<PeerNetwork>> Build();

 private:
  ReactorLoop& loop_;
  std::string host_ = "127.0.0.1";
  std::uint16_t port_ = 0;
  std::size_t max_frame_bytes_ = 4U << 20U;
  milliseconds connect_timeout_{1000};
  PeerEvents events_;
};

}  // namespace sassafrasbay

#pragma once

#include <cstddef>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace sassafrasbay {

/// Callbacks of a session, always called from within one of its functions.
struct WebsocketHandlers {
  std::function<void(std::string_view)> write_;  ///< Bytes for the socket.
  std::function<void()> on_open_;
  std::function<void(std::string_view)> on_frame_;
  std::function<void()> on_pong_ = [] {};
};

/// Websocket protocol of one connection, without I/O. The implementation is compiled as C++17,
/// which websocketpp requires.
class WebsocketSession {
 public:
  virtual ~WebsocketSession() = default;
  /// Starts the handshake. A client session writes its request.
  virtual void Start() = 0;
  /// Processes bytes read from the socket. False when the session has ended.
  virtual bool Receive(std::string_view bytes) = 0;
  /// Writes one binary frame. False when the session is not open.
  virtual bool Send(std::string_view frame) = 0;
  /// Writes a ping, which the peer's session answers by itself. False when the session is not open.
  virtual bool Ping() = 0;
  /// Limits the size of received messages. A larger one ends the session.
  virtual void SetMaxFrameBytes(std::size_t bytes) = 0;
  /// Describes why the session has ended.
  virtual std::string EndReason() const = 0;
};

/// Creates sessions. Must outlive them.
class WebsocketFactory {
 public:
  virtual ~WebsocketFactory() = default;
  virtual std::unique_ptr<WebsocketSession> MakeServerSession(WebsocketHandlers handlers) = 0;
  /// `address` is "host:port". Null when the address is malformed.
  virtual std::unique_ptr<WebsocketSession> MakeClientSession(const std::string& address,
                                                              WebsocketHandlers handlers) = 0;
};

std::unique_ptr<WebsocketFactory> MakeWebsocketFactory(std::size_t max_frame_bytes);

}  // namespace sassafrasbay

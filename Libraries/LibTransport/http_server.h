#pragma once

#include <cstddef>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include "LibCore/error.h"
#include "LibCore/http_message.h"
#include "LibTransport/reactor_loop.h"

namespace sassafrasbay {

/// One request of a caller. The handler responds once, at any later time, on the loop's thread. An
/// exchange that is destroyed without a response is answered with 500.
class HttpExchange {
 public:
  virtual ~HttpExchange() = default;
  virtual const HttpRequest& Request() const = 0;
  /// Sends the response. Further calls are ignored.
  virtual void Respond(HttpResponse response) = 0;
  /// Sets the callback for a caller that closes its connection before the response. It is posted to
  /// the loop when that has already happened.
  virtual void OnAbandoned(std::function<void()> callback) = 0;
};

using HttpHandler = std::function<void(std::shared_ptr<HttpExchange>)>;

/// Limits for callers. Timeouts are rounded up to whole seconds.
struct HttpLimits {
  std::size_t max_header_bytes_ = 16U << 10U;  ///< Of names and values; 431 above it.
  std::size_t max_body_bytes_ = 1U << 20U;     ///< 413 above it.
  milliseconds header_timeout_{120'000};       ///< Inactivity before the first request.
  milliseconds idle_timeout_{120'000};         ///< Inactivity after a response.
};

/// HTTP server on a reactor loop, based on libmicrohttpd. The destructor closes all connections.
class HttpServer {
 public:
  virtual ~HttpServer() = default;
  /// Applies to connections and requests that begin, and to responses that end, after the call.
  virtual void SetLimits(const HttpLimits& limits) = 0;
  /// Stops accepting connections. Open exchanges can still be answered; their connections are then
  /// closed.
  virtual void StopAccepting() = 0;
  /// Lets every further response announce that its connection closes after it.
  virtual void CloseAfterResponses() = 0;
  /// Number of requests that have begun and are not finished: their bodies are being received, or
  /// their responses have not been sent.
  virtual std::size_t OpenExchanges() const = 0;
  virtual std::uint16_t Port() const = 0;
};

class HttpServerBuilder {
 public:
  explicit HttpServerBuilder(ReactorLoop& loop);
  /// Takes a numeric host; port 0 selects a free port.
  HttpServerBuilder& Listen(std::string_view host, std::uint16_t port);
  /// Larger bodies are answered with 413, without calling the handler.
  HttpServerBuilder& MaxBodyBytes(std::size_t bytes);
  HttpServerBuilder& MaxConnections(unsigned connections);
  HttpServerBuilder& OnRequest(HttpHandler handler);
  /// Starts the server. Errors: kInvalidArgument (host), system errors of the listening socket.
  Result<std::unique_ptr<HttpServer>> Build();

 private:
  ReactorLoop& loop_;
  std::string host_ = "127.0.0.1";
  std::uint16_t port_ = 0;
  HttpLimits limits_;
  unsigned max_connections_ = 2000;
  HttpHandler handler_;
};

}  // namespace sassafrasbay

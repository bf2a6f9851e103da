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

/// One request of a caller, answered once, at any later time, on the loop's thread.
class HttpExchange {
 public:
  virtual ~HttpExchange() = default;
  virtual const HttpRequest& Request() const = 0;
  /// Further calls are ignored.
  virtual void Respond(HttpResponse response) = 0;
  /// Called when the caller closes its connection before the answer.
  virtual void OnAbandoned(std::function<void()> callback) = 0;
};

using HttpHandler = std::function<void(std::shared_ptr<HttpExchange>)>;

/// Bounds on what callers may send. Times are rounded up to seconds.
struct HttpLimits {
  std::size_t max_header_bytes_ = 16U << 10U;  ///< Names and values; 431 beyond it.
  std::size_t max_body_bytes_ = 1U << 20U;     ///< 413 beyond it.
  milliseconds header_timeout_{120'000};  ///< Silence before the first request of a connection.
  milliseconds idle_timeout_{120'000};    ///< Silence after an answer.
};

/// libmicrohttpd on a reactor loop. Destroying it closes all connections.
class HttpServer {
 public:
  virtual ~HttpServer() = default;
  /// Holds for connections and requests that begin, and answers that end, after the call.
  virtual void SetLimits(const HttpLimits& limits) = 0;
  /// Stops accepting connections; open exchanges can still be answered.
  virtual void StopAccepting() = 0;
  virtual std::size_t OpenExchanges() const = 0;
  virtual std::uint16_t Port() const = 0;
};

class HttpServerBuilder {
 public:
  explicit HttpServerBuilder(ReactorLoop& loop);
  /// Numeric host; port 0 chooses a free one.
  HttpServerBuilder& Listen(std::string_view host, std::uint16_t port);
  /// A larger body is answered with 413, oversize headers with 431, without calling the handler.
  HttpServerBuilder& MaxBodyBytes(std::size_t bytes);
  HttpServerBuilder& MaxConnections(unsigned connections);
  HttpServerBuilder& OnRequest(HttpHandler handler);
  /// Errors: the system's error of the listening socket.
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

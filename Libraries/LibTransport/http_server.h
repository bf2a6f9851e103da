#pragma once

#include <cstddef>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include "LibCore/error.h"
#include "LibCore/http_message.h"
#include "LibCore/metrics.h"
#include "LibTransport/memory_budget.h"
#include "LibTransport/reactor_loop.h"

namespace sassafrasbay {

/// One request of a caller. The handler responds once, at any later time, on the loop's thread. An
/// exchange that is destroyed without a response is answered with 500.
class HttpExchange {
 public:
  virtual ~HttpExchange() = default;
  virtual const HttpRequest& Request() const = 0;
  /// Moves the body out of the request, which spares a copy.
  virtual std::string TakeBody() = 0;
  /// When the request had been received, which may be earlier than the call of the handler.
  virtual BootTime ReceivedAt() const = 0;
  /// Sends the response. Further calls are ignored.
  virtual void Respond(HttpResponse response) = 0;
  /// Sets the callback for a connection that ends before the response, usually because the caller
  /// closes it. It is posted to the loop when that has already happened.
  virtual void OnAbandoned(std::function<void()> callback) = 0;
};

using HttpHandler = std::function<void(std::shared_ptr<HttpExchange>)>;

/// Decides whether a request may start while requests ahead of it on its connection have not been
/// answered.
using OverlapRule = std::function<bool(const HttpRequest&)>;

/// Limits for callers. 0 turns a minimum rate off.
struct HttpLimits {
  std::size_t max_header_bytes_ = 16U << 10U;  ///< Of names and values; 431 above it.
  std::size_t max_body_bytes_ = 1U << 20U;     ///< 413 above it.
  milliseconds header_timeout_{120'000};       ///< For a header section, and until the first one.
  milliseconds idle_timeout_{120'000};         ///< Inactivity after a response.
  std::size_t max_header_fields_ = 256;        ///< 431 above it.
  /// Requests of one connection that have been read and not been answered.
  std::size_t max_requests_ahead_ = 64;
  /// Minimum rates while a request is received and while a response is sent, over 10 s.
  std::size_t min_receive_bytes_per_second_ = 50;
  std::size_t min_send_bytes_per_second_ = 50;
};

/// HTTP server on a reactor loop. Requests of a connection are read ahead of the responses, which
/// are sent in the order of the requests. The destructor closes all connections.
class HttpServer {
 public:
  virtual ~HttpServer() = default;
  /// Applies to connections and requests that begin, and to responses that end, after the call.
  virtual void SetLimits(const HttpLimits& limits) = 0;
  /// Stops accepting connections. Requests that have started are still answered; their connections
  /// are then closed.
  virtual void StopAccepting() = 0;
  /// Lets connections close after the response to the last request that has started on them, or to
  /// the next one if none has.
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
  /// Above this number, the connection that has been idle longest is closed.
  HttpServerBuilder& MaxConnections(std::size_t connections);
  HttpServerBuilder& OnRequest(HttpHandler handler);
  /// By default no request may overlap with those ahead of it. The rule is asked on the loop's
  /// thread.
  HttpServerBuilder& MayOverlap(OverlapRule rule);
  HttpServerBuilder& Limits(const HttpLimits& limits);
  /// Bytes that connections may hold, shared with other servers; not limited by default. Leaves
  /// `reserve_bytes` of it to other servers. It must outlive the server.
  HttpServerBuilder& Budget(MemoryBudget& budget, std::size_t reserve_bytes = 0);
  /// Registry for counters of ended connections; it must outlive the server.
  HttpServerBuilder& CountIn(Metrics& metrics);
  /// Starts the server. Errors: kInvalidArgument (host), system errors of the listening socket.
  Result<std::unique_ptr<HttpServer>> Build();

 private:
  ReactorLoop& loop_;
  std::string host_ = "127.0.0.1";
  std::uint16_t port_ = 0;
  HttpLimits limits_;
  std::size_t max_connections_ = 2000;
  HttpHandler handler_;
  OverlapRule may_overlap_;
  MemoryBudget* budget_ = nullptr;
  std::size_t reserve_bytes_ = 0;
  Metrics* metrics_ = nullptr;
};

}  // namespace sassafrasbay

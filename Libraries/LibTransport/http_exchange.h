#pragma once

#include <microhttpd.h>

#include <cstddef>
#include <functional>
#include <memory>

#include "LibTransport/http_server.h"

namespace sassafrasbay {

struct Exchange;

/// The server as an exchange sees it.
class ExchangeOwner {
 public:
  virtual ~ExchangeOwner() = default;
  /// Lets the connection of an answered or abandoned exchange continue.
  virtual void Resume(Exchange& exchange) = 0;
};

enum class Phase { kReading, kWaiting, kAnswered, kAbandoned, kClosed };

/// One request, shared by its connection and the handler. `owner_` and `connection_` are valid
/// until the phase is kClosed.
struct Exchange {
  ExchangeOwner* owner_ = nullptr;
  ReactorLoop* loop_ = nullptr;
  MHD_Connection* connection_ = nullptr;
  Phase phase_ = Phase::kReading;
  bool started_ = false;
  bool too_large_ = false;
  bool dispatched_ = false;
  bool suspended_ = false;
  bool abandoned_ = false;
  std::size_t received_bytes_ = 0;
  HttpRequest request_;
  HttpResponse response_;
  std::function<void()> on_abandoned_;
};

using ExchangePointer = std::shared_ptr<Exchange>;

/// The handler's end of an exchange.
std::shared_ptr<HttpExchange> MakeExchangeHandle(ExchangePointer exchange);

HeaderList ReadHeaders(MHD_Connection* connection);

/// Consumes the body of `response`. The caller destroys the result.
MHD_Response* MakeResponse(HttpResponse& response);

}  // namespace sassafrasbay

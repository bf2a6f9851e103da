#pragma once

#include <microhttpd.h>

#include <cstddef>
#include <functional>
#include <memory>

#include "LibTransport/http_server.h"

namespace sassafrasbay {

struct ExchangeState;

/// The part of the server that an exchange uses.
class ExchangeServer {
 public:
  virtual ~ExchangeServer() = default;
  /// Resumes the suspended connection of an answered or abandoned exchange.
  virtual void Resume(ExchangeState& exchange) = 0;
};

/// Progress of an exchange. kAbandoned: the caller disconnected before the response.
enum class ExchangePhase { kReading, kWaiting, kAnswered, kAbandoned, kClosed };

/// State of one request and its response, shared by the connection and the handler. `server_` and
/// `connection_` are valid until the phase is kClosed.
struct ExchangeState {
  ExchangeServer* server_ = nullptr;
  ReactorLoop* loop_ = nullptr;
  MHD_Connection* connection_ = nullptr;
  ExchangePhase phase_ = ExchangePhase::kReading;
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

using ExchangeStatePointer = std::shared_ptr<ExchangeState>;

/// Creates the object through which the handler reads and answers the request.
std::shared_ptr<HttpExchange> MakeExchangeHandle(ExchangeStatePointer exchange);

/// Request headers in the order received.
HeaderList ReadHeaders(MHD_Connection* connection);

/// Converts a response for libmicrohttpd. Moves the body out of `response`; the caller destroys the
/// result.
MHD_Response* MakeResponse(HttpResponse& response);

}  // namespace sassafrasbay

#pragma once

#include <cstdint>
#include <functional>
#include <memory>

#include "LibTransport/http_server.h"

namespace sassafrasbay {

struct ExchangeState;

/// The connection of an exchange.
class ExchangeOwner {
 public:
  virtual ~ExchangeOwner() = default;
  /// Takes the response to an exchange that runs.
  virtual void Answer(ExchangeState& exchange, HttpResponse response) = 0;
};

/// Progress of an exchange. kAbandoned: the connection ended before the response. kClosed: the
/// exchange is answered, or the server is destroyed.
enum class ExchangePhase : std::uint8_t { kWaiting, kRunning, kAbandoned, kClosed };

/// State of one request, shared by the connection and the handler. `owner_` is valid while the
/// phase is kRunning.
struct ExchangeState {
  ExchangeOwner* owner_ = nullptr;
  ReactorLoop* loop_ = nullptr;
  std::uint64_t number_ = 0;  ///< Position among the requests of the connection.
  ExchangePhase phase_ = ExchangePhase::kWaiting;
  BootTime received_at_{};
  HttpRequest request_;
  std::function<void()> on_abandoned_;
};

using ExchangeStatePointer = std::shared_ptr<ExchangeState>;

/// Creates the object through which the handler reads and answers the request.
std::shared_ptr<HttpExchange> MakeExchangeHandle(ExchangeStatePointer exchange);

/// Ends an exchange whose connection has ended, and runs the handler's callback.
void Abandon(ExchangeState& exchange);

/// Ends an exchange without running the handler's callback.
void Close(ExchangeState& exchange);

}  // namespace sassafrasbay

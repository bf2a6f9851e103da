#include "LibTransport/http_exchange.h"

#include <utility>

namespace sassafrasbay {
namespace {

constexpr int kInternalServerError = 500;

class ExchangeHandle final : public HttpExchange {
 public:
  explicit ExchangeHandle(ExchangeStatePointer exchange) : state_(std::move(exchange)) {}

  // Answers for a handler that dropped the exchange; the caller would otherwise wait forever.
  ~ExchangeHandle() override {
    RespondOnce(HttpResponse{kInternalServerError, {}, "no answer was produced\n"});
  }

  ExchangeHandle(const ExchangeHandle&) = delete;
  ExchangeHandle& operator=(const ExchangeHandle&) = delete;

  const HttpRequest& Request() const override { return state_->request_; }

  std::string TakeBody() override { return std::exchange(state_->request_.body_, {}); }

  BootTime ReceivedAt() const override { return state_->received_at_; }

  void Respond(HttpResponse response) override { RespondOnce(std::move(response)); }

  void OnAbandoned(std::function<void()> callback) override {
    if (state_->phase_ == ExchangePhase::kAbandoned) {
      state_->loop_->Post(std::move(callback));
    } else if (state_->phase_ == ExchangePhase::kRunning) {
      state_->on_abandoned_ = std::move(callback);
    }
  }

 private:
  void RespondOnce(HttpResponse response) {
    if (state_->phase_ != ExchangePhase::kRunning) {
      return;
    }
    ExchangeOwner& owner = *state_->owner_;
    // The callback may hold the last reference to this object, so it is destroyed last.
    const auto callback = std::exchange(state_->on_abandoned_, nullptr);
    Close(*state_);
    owner.Answer(*state_, std::move(response));
  }

  ExchangeStatePointer state_;
};

}  // namespace

std::shared_ptr<HttpExchange> MakeExchangeHandle(ExchangeStatePointer exchange) {
  return std::make_shared<ExchangeHandle>(std::move(exchange));
}

void Abandon(ExchangeState& exchange) {
  if (exchange.phase_ != ExchangePhase::kRunning) {
    Close(exchange);
    return;
  }
  exchange.phase_ = ExchangePhase::kAbandoned;
  exchange.owner_ = nullptr;
  if (const auto callback = std::exchange(exchange.on_abandoned_, nullptr)) {
    callback();
  }
}

void Close(ExchangeState& exchange) {
  exchange.phase_ = ExchangePhase::kClosed;
  exchange.owner_ = nullptr;
  const auto callback = std::exchange(exchange.on_abandoned_, nullptr);
}

}  // namespace sassafrasbay

#include "LibTransport/http_exchange.h"

#include <strings.h>

#include <array>
#include <string>
#include <string_view>
#include <utility>

namespace sassafrasbay {
namespace {

// Headers that describe a single connection. libmicrohttpd generates its own.
constexpr std::array<std::string_view, 4> kHopByHopHeaders = {
    "Connection", "Keep-Alive", "Transfer-Encoding", "Content-Length"};

class ExchangeHandle final : public HttpExchange {
 public:
  explicit ExchangeHandle(ExchangeStatePointer exchange) : state_(std::move(exchange)) {}

  // Answers for a handler that dropped the exchange; the caller would otherwise wait forever.
  ~ExchangeHandle() override {
    RespondOnce(HttpResponse{MHD_HTTP_INTERNAL_SERVER_ERROR, {}, "no answer was produced\n"});
  }

  ExchangeHandle(const ExchangeHandle&) = delete;
  ExchangeHandle& operator=(const ExchangeHandle&) = delete;

  const HttpRequest& Request() const override { return state_->request_; }

  void Respond(HttpResponse response) override { RespondOnce(std::move(response)); }

  void OnAbandoned(std::function<void()> callback) override {
    if (state_->abandoned_) {
      state_->loop_->Post(std::move(callback));
    } else if (state_->phase_ == ExchangePhase::kWaiting) {
      state_->on_abandoned_ = std::move(callback);
    }
  }

 private:
  void RespondOnce(HttpResponse response) {
    if (state_->phase_ != ExchangePhase::kWaiting) {
      return;
    }
    state_->phase_ = ExchangePhase::kAnswered;
    state_->response_ = std::move(response);
    state_->server_->Resume(*state_);
    // The callback may hold the last reference to this object, so it is destroyed last.
    const auto callback = std::exchange(state_->on_abandoned_, nullptr);
  }

  ExchangeStatePointer state_;
};

bool IsHopByHop(std::string_view name) {
  for (const std::string_view header : kHopByHopHeaders) {
    if (name.size() == header.size() && strncasecmp(name.data(), header.data(), name.size()) == 0) {
      return true;
    }
  }
  return false;
}

bool HasBody(int status) {
  return status != MHD_HTTP_NO_CONTENT && status != MHD_HTTP_NOT_MODIFIED;
}

MHD_Result AddHeader(void* headers, MHD_ValueKind, const char* name, const char* value) {
  static_cast<HeaderList*>(headers)->emplace_back(name, value == nullptr ? "" : value);
  return MHD_YES;
}

void DeleteBody(void* body) { delete static_cast<std::string*>(body); }

}  // namespace

std::shared_ptr<HttpExchange> MakeExchangeHandle(ExchangeStatePointer exchange) {
  return std::make_shared<ExchangeHandle>(std::move(exchange));
}

HeaderList ReadHeaders(MHD_Connection* connection) {
  HeaderList headers;
  MHD_get_connection_values(connection, MHD_HEADER_KIND, &AddHeader, &headers);
  return headers;
}

MHD_Response* MakeResponse(HttpResponse& response) {
  auto* body = new std::string(HasBody(response.status_) ? std::move(response.body_) : "");
  MHD_Response* result = MHD_create_response_from_buffer_with_free_callback_cls(
      body->size(), body->data(), &DeleteBody, body);
  for (const auto& [name, value] : response.headers_) {
    if (!IsHopByHop(name)) {
      MHD_add_response_header(result, name.c_str(), value.c_str());
    }
  }
  return result;
}

}  // namespace sassafrasbay

#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include "LibCore/clock.h"
#include "LibCore/error.h"
#include "LibCore/http_message.h"
#include "LibTransport/reactor_loop.h"

namespace sassafrasbay {

struct HttpCall {
  std::string base_url_;  ///< "http://127.0.0.1:9000"; the request's path is appended.
  HttpRequest request_;
  milliseconds timeout_{2000};
  milliseconds connect_timeout_{1000};
  std::size_t max_response_bytes_ = 4U << 20U;
  /// Opens a new connection instead of reusing one. libcurl sends a request again by itself when a
  /// reused connection turns out to be dead, which a binding request must never be.
  bool fresh_connection_ = false;
};

struct HttpResult {
  /// The whole response. Errors: kConnectionLost, kTimedOut, kUnavailable (no connection),
  /// kTooLarge, kMalformed; a body that ends early is kConnectionLost.
  Result<HttpResponse> response_;
  bool maybe_sent_ = true;  ///< False only when no byte of the request can have left.
};

/// libcurl's multi interface on a reactor loop, with connection reuse.
class HttpClient {
 public:
  using CallId = std::uint64_t;  ///< 0 is never a call.
  using Callback = std::function<void(HttpResult)>;

  HttpClient(ReactorLoop& loop, int max_connections_per_host);
  ~HttpClient();
  HttpClient(const HttpClient&) = delete;
  HttpClient& operator=(const HttpClient&) = delete;

  /// The callback runs once on the loop's thread, never inside Start.
  CallId Start(HttpCall call, Callback callback);
  /// Closes the call's connection; its callback isn't run.
  void Cancel(CallId call);

 private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace sassafrasbay

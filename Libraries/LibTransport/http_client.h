#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "LibCore/clock.h"
#include "LibCore/error.h"
#include "LibCore/http_message.h"
#include "LibTransport/reactor_loop.h"

namespace sassafrasbay {

/// One request and the options of its transfer.
struct HttpCall {
  std::string base_url_;  ///< For example "http://127.0.0.1:9000"; the request path is appended.
  HttpRequest request_;
  milliseconds timeout_{2000};
  /// Maximum time without a byte of the response; nothing for no limit but that of the whole call.
  std::optional<milliseconds> stall_timeout_;
  milliseconds connect_timeout_{1000};
  std::size_t max_response_bytes_ = 4U << 20U;
  /// Opens a new connection instead of reusing one. Needed for requests that must be sent at most
  /// once: libcurl resends a request on its own when a reused connection turns out to be closed.
  bool fresh_connection_ = false;
};

/// Outcome of one call.
struct HttpResult {
  /// The complete response. Errors: kInvalidArgument (invalid request or URL), kUnavailable (no
  /// connection), kConnectionLost (also for a truncated body or one without a declared length),
  /// kTimedOut, kTooLarge, kMalformed.
  Result<HttpResponse> response_;
  bool maybe_sent_ = true;  ///< False only when no byte of the request can have been sent.
};

/// HTTP client on a reactor loop, based on libcurl's multi interface. Reuses connections.
class HttpClient {
 public:
  using CallId = std::uint64_t;  ///< 0 is never a valid id.
  using Callback = std::function<void(HttpResult)>;

  HttpClient(ReactorLoop& loop, int max_connections_per_host);
  ~HttpClient();
  HttpClient(const HttpClient&) = delete;
  HttpClient& operator=(const HttpClient&) = delete;

  /// Starts a call. The callback runs once on the loop's thread, never from within Start.
  CallId Start(HttpCall call, Callback callback);
  /// Cancels a call and closes its connection. The callback is not run.
  void Cancel(CallId call);

 private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace sassafrasbay

#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "LibCore/error.h"
#include "LibCore/http_message.h"
#include "LibTransport/reactor_loop.h"

namespace sassafrasbay {

/// One request to an upstream.
struct UpstreamCall {
  HttpRequest request_;
  milliseconds timeout_{1000};
  /// Header that the upstream repeats in its response. A response with another value, or without
  /// it, belongs to another request. Empty for no check.
  std::string_view correlation_header_;
  std::size_t max_response_bytes_ = 64U << 20U;
};

struct UpstreamResult {
  /// A whole response. Errors: kConnectionLost, kTimedOut, kMalformed, kTooLarge, kUnavailable (no
  /// connection).
  Result<HttpResponse> response_;
  bool maybe_sent_ = true;  ///< False only when no byte of the request can have left.
  bool refused_ = false;    ///< The upstream's port refused the connection.
};

struct UpstreamClientCounts {
  std::uint64_t connections_opened_ = 0;
  std::uint64_t requests_on_reused_connections_ = 0;
  std::uint64_t unsolicited_data_ = 0;  ///< Bytes of an upstream that belong to no request.
};

/// HTTP/1.1 client of one upstream at a time, with kept connections. It sends each request exactly
/// once: nothing is repeated on another connection, whatever happens.
class UpstreamClient {
 public:
  using CallId = std::uint64_t;  ///< 0 is never a call.
  using Callback = std::function<void(UpstreamResult)>;

  explicit UpstreamClient(ReactorLoop& loop);
  ~UpstreamClient();
  UpstreamClient(const UpstreamClient&) = delete;
  UpstreamClient& operator=(const UpstreamClient&) = delete;

  /// Closes idle connections when the address is another one. Open calls go on.
  void SetAddress(std::string_view address);

  /// The callback runs once on the loop's thread, never inside Start.
  CallId Start(UpstreamCall call, Callback callback);

  /// Closes the call's connection, which tells the upstream to stop; the callback isn't run.
  void Cancel(CallId call);

  UpstreamClientCounts Counts() const;

 private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace sassafrasbay

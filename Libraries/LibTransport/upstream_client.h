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

/// Default limit of a response. A frame to another node that holds a larger one isn't accepted.
inline constexpr std::size_t kMaxResponseBytes = 7U << 20U;

/// Limit of all incomplete responses of a client together. The smallest VMs have 160 MB.
inline constexpr std::size_t kMaxPartialResponseBytes = 32U << 20U;

/// Size up to which a response is read in any case, so that small ones pass large ones.
inline constexpr std::size_t kMinResponseRoomBytes = 64U << 10U;

/// One request to an upstream and the options of the call.
struct UpstreamCall {
  HttpRequest request_;
  milliseconds timeout_{1000};
  /// Time after which a request of which nothing has been sent isn't sent any more; 0 for
  /// `timeout_`.
  milliseconds send_timeout_{0};
  /// Header whose value the upstream copies from the request to the response. A response without it
  /// or with a different value is rejected as kMalformed. Empty disables the check.
  std::string_view correlation_header_;
  std::size_t max_response_bytes_ = kMaxResponseBytes;
};

/// Outcome of one call.
struct UpstreamResult {
  /// The complete response. Errors: kConnectionLost, kTimedOut, kMalformed, kTooLarge,
  /// kInvalidArgument (address), system errors of the socket.
  Result<HttpResponse> response_;
  bool maybe_sent_ = true;  ///< False only when no byte of the request can have been sent.
  bool refused_ = false;    ///< The connection was refused (ECONNREFUSED).
};

/// Counters since the client was created.
struct UpstreamClientCounts {
  std::uint64_t connections_opened_ = 0;
  std::uint64_t requests_on_reused_connections_ = 0;
  std::uint64_t unsolicited_data_ = 0;  ///< Times that data matched no request.
  std::size_t partial_bytes_ = 0;       ///< Size of the incomplete responses, at present.
};

/// Connections that the upstream may count among those it has accepted.
struct HeldConnections {
  std::size_t open_ = 0;
  /// Closed by the client since anything last arrived from the upstream, which may not have
  /// noticed.
  std::size_t abandoned_ = 0;
};

/// HTTP/1.1 client of one upstream at a time, with persistent connections. It sends each request at
/// most once: a request is never repeated on another connection.
class UpstreamClient {
 public:
  using CallId = std::uint64_t;  ///< 0 is never a valid id.
  using Callback = std::function<void(UpstreamResult)>;

  explicit UpstreamClient(ReactorLoop& loop);
  ~UpstreamClient();
  UpstreamClient(const UpstreamClient&) = delete;
  UpstreamClient& operator=(const UpstreamClient&) = delete;

  /// Sets the upstream's "host:port". A change closes idle connections; open calls continue.
  void SetAddress(std::string_view address);

  /// Sets how many connections the upstream accepts; nothing for any number. At that number an idle
  /// one is closed before another is opened. Callers limit the calls that run at the same time.
  void SetMaxConnections(std::optional<std::size_t> connections);

  /// While `has_room` returns false, responses of more than kMinResponseRoomBytes are read one by
  /// one and slowly, so that the upstream waits. The argument is the size of all incomplete
  /// responses.
  void SetRoom(std::function<bool(std::size_t partial_bytes)> has_room);

  /// Starts a call. The callback runs once on the loop's thread, never from within Start.
  CallId Start(UpstreamCall call, Callback callback);

  /// Cancels a call. Closes its connection, which signals the upstream to stop; the callback is not
  /// run. Returns false only when no byte of the request can have been sent.
  bool Cancel(CallId call);

  UpstreamClientCounts Counts() const;
  HeldConnections Held() const;

 private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace sassafrasbay

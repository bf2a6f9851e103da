#pragma once

#include <curl/curl.h>

#include <array>
#include <cstddef>
#include <memory>
#include <optional>
#include <string>

#include "LibTransport/http_client.h"

namespace sassafrasbay {

/// State of one running call. libcurl holds pointers into it until the transfer is removed from the
/// multi handle.
struct CallState {
  HttpClient::CallId id_ = 0;
  HttpCall call_;
  HttpClient::Callback callback_;
  CURL* easy_ = nullptr;  ///< Null when the request was not started.
  curl_slist* headers_ = nullptr;
  std::string url_;
  std::array<char, CURL_ERROR_SIZE> error_text_{};
  HttpResponse response_;
  std::size_t header_bytes_ = 0;  ///< Received so far, whether or not they are kept.
  BootTime progress_at_{};        ///< When bytes of the response were received last.
  ReactorLoop::TimerId stall_timer_ = 0;
  bool stalled_ = false;  ///< The last check found no progress.
  bool body_started_ = false;
  bool too_large_ = false;
  bool connected_ = false;  ///< Set once a connection is ready, before the request is sent.
  std::optional<Error> start_error_;
};

/// Validates the method, path and headers, which libcurl sends without checking them. Error:
/// kInvalidArgument.
Result<void> CheckRequest(const HttpCall& call);

/// Sets all libcurl options of `state.easy_` for the call.
void PrepareTransfer(CallState& state);

/// Result of a call whose response has stalled.
HttpResult StalledTransfer(const CallState& state);

/// Converts the outcome of a finished transfer into a result. Moves the response out of `state`.
HttpResult FinishTransfer(CallState& state, CURLcode code);

}  // namespace sassafrasbay

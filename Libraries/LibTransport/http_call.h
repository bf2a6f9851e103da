#pragma once

#include <curl/curl.h>

#include <array>
#include <memory>
#include <optional>
#include <string>

#include "LibTransport/http_client.h"

namespace sassafrasbay {

/// One running call. libcurl holds pointers into it until the transfer is removed.
struct CallState {
  HttpClient::CallId id_ = 0;
  HttpCall call_;
  HttpClient::Callback callback_;
  CURL* easy_ = nullptr;  ///< Null when the request could not be started.
  curl_slist* headers_ = nullptr;
  std::string url_;
  std::array<char, CURL_ERROR_SIZE> error_text_{};
  HttpResponse response_;
  bool body_started_ = false;
  bool too_large_ = false;
  bool connected_ = false;  ///< Set before the first byte of the request is sent.
  std::optional<Error> start_error_;
};

/// Checks the parts of the request that libcurl would send unchanged.
Result<void> CheckRequest(const HttpCall& call);

/// Sets all options of `state.easy_`.
void PrepareTransfer(CallState& state);

/// The result of a finished transfer; consumes the response.
HttpResult FinishTransfer(CallState& state, CURLcode code);

}  // namespace sassafrasbay

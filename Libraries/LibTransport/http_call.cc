#include "LibTransport/http_call.h"

#include <strings.h>

#include <string_view>
#include <utility>

namespace sassafrasbay {
namespace {

// Headers that libcurl generates: they describe a single connection or the body that it sends.
constexpr std::array<std::string_view, 5> kHeadersSetByLibcurl = {
    "Connection", "Transfer-Encoding", "Content-Length", "Expect", "Keep-Alive"};

// Headers that libcurl adds by default. They are suppressed unless the request contains them.
constexpr std::array<std::string_view, 2> kSuppressedDefaultHeaders = {"Accept", "Content-Type"};

/// Limit of all header sections of a response, interim ones and the trailer included. Some versions
/// of libcurl limit only each line.
constexpr std::size_t kMaxHeaderBytes = 64U << 10U;

constexpr int kFirstFinalStatus = 200;
constexpr int kLastStatus = 599;
constexpr int kNoContent = 204;
constexpr int kNotModified = 304;

bool EqualsIgnoringCase(std::string_view left, std::string_view right) {
  return left.size() == right.size() && strncasecmp(left.data(), right.data(), left.size()) == 0;
}

bool IsSetByLibcurl(std::string_view name) {
  for (const std::string_view header : kHeadersSetByLibcurl) {
    if (EqualsIgnoringCase(name, header)) {
      return true;
    }
  }
  return false;
}

bool ContainsControlCharacter(std::string_view text) {
  for (const char character : text) {
    const auto byte = static_cast<unsigned char>(character);
    if ((byte < 0x20 && byte != '\t') || byte == 0x7F) {
      return true;
    }
  }
  return false;
}

bool IsToken(std::string_view text) {
  return !text.empty() && !ContainsControlCharacter(text) &&
         text.find_first_of(" \t:") == std::string_view::npos;
}

std::string_view Trim(std::string_view text) {
  constexpr std::string_view kBlank = " \t\r\n";
  const std::size_t begin = text.find_first_not_of(kBlank);
  if (begin == std::string_view::npos) {
    return {};
  }
  return text.substr(begin, text.find_last_not_of(kBlank) - begin + 1);
}

std::size_t OnHeader(char* data, std::size_t size, std::size_t count, void* context) {
  auto& state = *static_cast<CallState*>(context);
  const std::string_view line(data, size * count);
  state.progress_at_ = BootClock::now();
  state.header_bytes_ += line.size();
  if (state.header_bytes_ > kMaxHeaderBytes) {
    state.too_large_ = true;
    return 0;
  }
  // A status line starts a new response: discard the headers of an interim (1xx) response.
  if (line.starts_with("HTTP/")) {
    state.response_.headers_.clear();
    return line.size();
  }
  HeaderList& headers = state.response_.headers_;
  if ((line.starts_with(' ') || line.starts_with('\t')) && !headers.empty()) {
    // Obsolete line folding (RFC 9112, section 5.2) is replaced by a space.
    headers.back().second.append(" ").append(Trim(line));
    return line.size();
  }
  const std::size_t colon = line.find(':');
  // Trailer fields follow the body and are not part of the header section.
  if (colon != std::string_view::npos && !state.body_started_) {
    headers.emplace_back(Trim(line.substr(0, colon)), Trim(line.substr(colon + 1)));
  }
  return line.size();
}

std::size_t OnBody(char* data, std::size_t size, std::size_t count, void* context) {
  auto& state = *static_cast<CallState*>(context);
  const std::size_t bytes = size * count;
  state.body_started_ = true;
  state.progress_at_ = BootClock::now();
  if (state.response_.body_.size() + bytes > state.call_.max_response_bytes_) {
    state.too_large_ = true;
    return 0;
  }
  state.response_.body_.append(data, bytes);
  return bytes;
}

// libcurl calls this when a new or reused connection is ready, before it sends the request.
int OnConnected(void* context, char*, char*, int, int) {
  static_cast<CallState*>(context)->connected_ = true;
  return CURL_PREREQFUNC_OK;
}

void SetHeaders(CallState& state) {
  const HeaderList& headers = state.call_.request_.headers_;
  for (const auto& [name, value] : headers) {
    if (!IsSetByLibcurl(name)) {
      // "Name:" makes libcurl remove the header; "Name;" sends it with an empty value.
      std::string line = name;
      line += value.empty() ? ";" : ": ";
      line += value;
      state.headers_ = curl_slist_append(state.headers_, line.c_str());
    }
  }
  for (const std::string_view name : kSuppressedDefaultHeaders) {
    if (FindHeader(headers, name).empty()) {
      state.headers_ = curl_slist_append(state.headers_, (std::string(name) + ":").c_str());
    }
  }
  // Waiting for "100 Continue" would add a round trip, or a delay of 1 s when the server ignores
  // the header.
  state.headers_ = curl_slist_append(state.headers_, "Expect:");
  curl_easy_setopt(state.easy_, CURLOPT_HTTPHEADER, state.headers_);
}

void SetMethodAndBody(CallState& state) {
  const std::string& method = state.call_.request_.method_;
  const std::string& body = state.call_.request_.body_;
  if (method == "HEAD") {
    curl_easy_setopt(state.easy_, CURLOPT_NOBODY, 1L);
    return;
  }
  const bool has_body = !body.empty() || method == "POST" || method == "PUT" || method == "PATCH";
  if (has_body) {
    curl_easy_setopt(state.easy_, CURLOPT_POST, 1L);
    curl_easy_setopt(state.easy_, CURLOPT_POSTFIELDSIZE_LARGE,
                     static_cast<curl_off_t>(body.size()));
    curl_easy_setopt(state.easy_, CURLOPT_POSTFIELDS, body.data());
  }
  curl_easy_setopt(state.easy_, CURLOPT_CUSTOMREQUEST, method.c_str());
}

Errc ToErrc(const CallState& state, CURLcode code) {
  if (state.too_large_) {
    return Errc::kTooLarge;
  }
  if (code == CURLE_URL_MALFORMAT || code == CURLE_UNSUPPORTED_PROTOCOL) {
    return state.connected_ ? Errc::kMalformed : Errc::kInvalidArgument;
  }
  if (!state.connected_) {
    return Errc::kUnavailable;
  }
  if (code == CURLE_OPERATION_TIMEDOUT) {
    return Errc::kTimedOut;
  }
  if (code == CURLE_WEIRD_SERVER_REPLY || code == CURLE_BAD_CONTENT_ENCODING) {
    return Errc::kMalformed;
  }
  return Errc::kConnectionLost;
}

// Without a declared length, a complete body can't be distinguished from one that was truncated
// because the server crashed.
bool HasDeclaredLength(const CallState& state) {
  const HttpResponse& response = state.response_;
  return state.call_.request_.method_ == "HEAD" || response.status_ == kNoContent ||
         response.status_ == kNotModified ||
         !FindHeader(response.headers_, "Content-Length").empty() ||
         !FindHeader(response.headers_, "Transfer-Encoding").empty();
}

HttpResult Failure(const CallState& state, Errc code, std::string_view detail) {
  return {MakeError(code, "HTTP request", state.call_.base_url_, detail), state.connected_};
}

}  // namespace

Result<void> CheckRequest(const HttpCall& call) {
  const HttpRequest& request = call.request_;
  const auto fail = [&call](std::string_view detail) {
    return MakeError(Errc::kInvalidArgument, "HTTP request", call.base_url_, detail);
  };
  if (!IsToken(request.method_)) {
    return fail("HTTP method is not a token");
  }
  if (!request.path_.starts_with('/') || ContainsControlCharacter(request.path_)) {
    return fail("request path must start with a slash and have no control characters");
  }
  for (const auto& [name, value] : request.headers_) {
    if (!IsToken(name) || ContainsControlCharacter(value)) {
      return fail("header name is not a token or header value has control characters");
    }
  }
  return boost::outcome_v2::success();
}

void PrepareTransfer(CallState& state) {
  CURL* easy = state.easy_;
  state.url_ = state.call_.base_url_ + state.call_.request_.path_;
  curl_easy_setopt(easy, CURLOPT_URL, state.url_.c_str());
  curl_easy_setopt(easy, CURLOPT_PATH_AS_IS, 1L);
  curl_easy_setopt(easy, CURLOPT_PROTOCOLS_STR, "http");
  curl_easy_setopt(easy, CURLOPT_HTTP_VERSION, static_cast<long>(CURL_HTTP_VERSION_1_1));  // NOLINT
  curl_easy_setopt(easy, CURLOPT_PROXY, "");  // Ignores http_proxy and similar variables.
  curl_easy_setopt(easy, CURLOPT_NOSIGNAL, 1L);
  curl_easy_setopt(easy, CURLOPT_TCP_NODELAY, 1L);
  curl_easy_setopt(easy, CURLOPT_FOLLOWLOCATION, 0L);
  curl_easy_setopt(easy, CURLOPT_TIMEOUT_MS, state.call_.timeout_.count());
  curl_easy_setopt(easy, CURLOPT_CONNECTTIMEOUT_MS, state.call_.connect_timeout_.count());
  curl_easy_setopt(easy, CURLOPT_FRESH_CONNECT, state.call_.fresh_connection_ ? 1L : 0L);
  curl_easy_setopt(easy, CURLOPT_ERRORBUFFER, state.error_text_.data());
  curl_easy_setopt(easy, CURLOPT_PRIVATE, &state);
  curl_easy_setopt(easy, CURLOPT_HEADERFUNCTION, &OnHeader);
  curl_easy_setopt(easy, CURLOPT_HEADERDATA, &state);
  curl_easy_setopt(easy, CURLOPT_WRITEFUNCTION, &OnBody);
  curl_easy_setopt(easy, CURLOPT_WRITEDATA, &state);
  curl_easy_setopt(easy, CURLOPT_PREREQFUNCTION, &OnConnected);
  curl_easy_setopt(easy, CURLOPT_PREREQDATA, &state);
  SetMethodAndBody(state);
  SetHeaders(state);
}

HttpResult StalledTransfer(const CallState& state) {
  return Failure(state, state.connected_ ? Errc::kTimedOut : Errc::kUnavailable,
                 "nothing received for " + std::to_string(state.call_.stall_timeout_->count()) +
                     " ms after " + std::to_string(state.response_.body_.size()) +
                     " bytes of the body");
}

HttpResult FinishTransfer(CallState& state, CURLcode code) {
  if (code != CURLE_OK) {
    const char* text =
        state.error_text_[0] != 0 ? state.error_text_.data() : curl_easy_strerror(code);
    return Failure(state, ToErrc(state, code), text);
  }
  long status = 0;  // NOLINT(google-runtime-int): libcurl's type
  curl_easy_getinfo(state.easy_, CURLINFO_RESPONSE_CODE, &status);
  state.response_.status_ = static_cast<int>(status);
  if (status < kFirstFinalStatus || status > kLastStatus) {
    return Failure(state, Errc::kMalformed, "the final response has no status from 200 to 599");
  }
  if (!HasDeclaredLength(state)) {
    return Failure(state, Errc::kConnectionLost,
                   "response has neither Content-Length nor Transfer-Encoding");
  }
  return {std::move(state.response_), true};
}

}  // namespace sassafrasbay

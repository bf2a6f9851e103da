#include "StandIns/blocking_client.h"

#include <curl/curl.h>

#include <memory>
#include <string>

namespace sassafrasbay::stand_ins {
namespace {

std::size_t AppendBody(const char* data, std::size_t size, std::size_t count, void* target) {
  static_cast<std::string*>(target)->append(data, size * count);
  return size * count;
}

std::size_t AppendHeader(const char* data, std::size_t size, std::size_t count, void* target) {
  const std::string_view line(data, size * count);
  const std::size_t colon = line.find(':');
  if (colon == std::string_view::npos) {
    return line.size();
  }
  std::string_view value = line.substr(colon + 1);
  while (!value.empty() && value.front() == ' ') {
    value.remove_prefix(1);
  }
  while (!value.empty() && (value.back() == '\r' || value.back() == '\n')) {
    value.remove_suffix(1);
  }
  static_cast<HeaderList*>(target)->emplace_back(line.substr(0, colon), value);
  return line.size();
}

std::error_code ToErrorCode(CURLcode code) {
  switch (code) {
    case CURLE_OPERATION_TIMEDOUT:
      return Errc::kTimedOut;
    case CURLE_COULDNT_CONNECT:
      return Errc::kUnavailable;
    default:
      return Errc::kConnectionLost;
  }
}

struct CurlDeleter {
  void operator()(CURL* handle) const { curl_easy_cleanup(handle); }
  void operator()(curl_slist* list) const { curl_slist_free_all(list); }
};

std::unique_ptr<curl_slist, CurlDeleter> MakeHeaders(const HeaderList& headers) {
  // Without an empty Expect header libcurl waits a second before it sends a large body.
  curl_slist* list = curl_slist_append(nullptr, "Expect:");
  for (const auto& [name, value] : headers) {
    std::string line = name;
    line += ": ";
    line += value;
    list = curl_slist_append(list, line.c_str());
  }
  return std::unique_ptr<curl_slist, CurlDeleter>(list);
}

}  // namespace

Result<HttpResponse> CallBlocking(std::string_view base_url, const HttpRequest& request,
                                  milliseconds timeout) {
  const std::unique_ptr<CURL, CurlDeleter> handle(curl_easy_init());
  const auto headers = MakeHeaders(request.headers_);
  const std::string url = std::string(base_url) + request.path_;
  HttpResponse response;
  curl_easy_setopt(handle.get(), CURLOPT_URL, url.c_str());
  curl_easy_setopt(handle.get(), CURLOPT_NOSIGNAL, 1L);
  curl_easy_setopt(handle.get(), CURLOPT_NOPROXY, "*");
  curl_easy_setopt(handle.get(), CURLOPT_TIMEOUT_MS, static_cast<long>(timeout.count()));
  curl_easy_setopt(handle.get(), CURLOPT_HTTPHEADER, headers.get());
  curl_easy_setopt(handle.get(), CURLOPT_WRITEFUNCTION, AppendBody);
  curl_easy_setopt(handle.get(), CURLOPT_WRITEDATA, &response.body_);
  curl_easy_setopt(handle.get(), CURLOPT_HEADERFUNCTION, AppendHeader);
  curl_easy_setopt(handle.get(), CURLOPT_HEADERDATA, &response.headers_);
  if (request.method_ != "GET") {
    curl_easy_setopt(handle.get(), CURLOPT_POSTFIELDSIZE, static_cast<long>(request.body_.size()));
    curl_easy_setopt(handle.get(), CURLOPT_POSTFIELDS, request.body_.data());
    curl_easy_setopt(handle.get(), CURLOPT_CUSTOMREQUEST, request.method_.c_str());
  }
  const CURLcode code = curl_easy_perform(handle.get());
  if (code != CURLE_OK) {
    return MakeError(ToErrorCode(code), request.method_ + " " + request.path_, base_url,
                     curl_easy_strerror(code));
  }
  long status = 0;  // NOLINT(google-runtime-int): the type that libcurl writes
  curl_easy_getinfo(handle.get(), CURLINFO_RESPONSE_CODE, &status);
  response.status_ = static_cast<int>(status);
  return response;
}

}  // namespace sassafrasbay::stand_ins

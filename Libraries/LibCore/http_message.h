#pragma once

#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace sassafrasbay {

using HeaderList = std::vector<std::pair<std::string, std::string>>;

struct HttpRequest {
  std::string method_;
  std::string path_;  ///< Includes the query.
  HeaderList headers_;
  std::string body_;
};

struct HttpResponse {
  int status_ = 0;
  HeaderList headers_;
  std::string body_;
};

/// Returns a response whose body is JSON text.
HttpResponse JsonResponse(int status, std::string body);

/// Value of the first header with that case-insensitive name; empty when absent.
std::string_view FindHeader(const HeaderList& headers, std::string_view name);

}  // namespace sassafrasbay

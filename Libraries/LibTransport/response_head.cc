#include "LibTransport/response_head.h"

#include <strings.h>

#include <algorithm>
#include <array>
#include <ostream>

// Uses std::ostream without including it.
#include <boost/beast/http/status.hpp>

namespace sassafrasbay {
namespace {

// Headers that describe a single connection. The server writes its own.
constexpr std::array<std::string_view, 4> kHopByHopHeaders = {
    "Connection", "Keep-Alive", "Transfer-Encoding", "Content-Length"};

/// Typical size of a status line, the separators, and the fields that the server adds.
constexpr std::size_t kTypicalHeadBytes = 160;

constexpr int kFirstFinalStatus = 200;
constexpr int kLastStatus = 599;
constexpr int kNoContent = 204;
constexpr int kNotModified = 304;
constexpr int kInternalServerError = 500;

bool EqualsIgnoringCase(std::string_view left, std::string_view right) {
  return left.size() == right.size() && strncasecmp(left.data(), right.data(), left.size()) == 0;
}

bool IsHopByHop(std::string_view name) {
  return std::ranges::any_of(
      kHopByHopHeaders, [&](std::string_view header) { return EqualsIgnoringCase(name, header); });
}

bool EndsLine(char character) {
  return character == '\r' || character == '\n' || character == '\0';
}

bool EndsName(char character) {
  return EndsLine(character) || character == ' ' || character == '\t' || character == ':';
}

// A line end in a name or value would let an upstream's response end early for the caller.
bool IsWritable(std::string_view name, std::string_view value) {
  return !name.empty() && std::ranges::none_of(name, EndsName) &&
         std::ranges::none_of(value, EndsLine);
}

void AppendField(std::string& text, std::string_view name, std::string_view value) {
  text.append(name).append(": ").append(value).append("\r\n");
}

}  // namespace

void CorrectStatus(HttpResponse& response) {
  if (response.status_ < kFirstFinalStatus || response.status_ > kLastStatus) {
    response.status_ = kInternalServerError;
  }
}

bool MayHaveBody(int status) { return status != kNoContent && status != kNotModified; }

// Written directly instead of by Beast's serializer: that needs the header in its own fields
// container, with one allocation for each field, which throws on fields above 64 KB.
void AppendHead(std::string& text, const HttpResponse& response, const ResponseFraming& framing) {
  const auto status = static_cast<unsigned>(response.status_);
  text.reserve(text.size() + kTypicalHeadBytes + SizeOf(response) - response.body_.size());
  const auto reason =
      boost::beast::http::obsolete_reason(boost::beast::http::int_to_status(status));
  text.append("HTTP/1.1 ").append(std::to_string(status)).append(" ");
  text.append(reason.data(), reason.size()).append("\r\n");
  bool has_date = false;
  for (const auto& [name, value] : response.headers_) {
    if (IsHopByHop(name) || !IsWritable(name, value)) {
      continue;
    }
    has_date = has_date || EqualsIgnoringCase(name, "Date");
    AppendField(text, name, value);
  }
  if (!has_date) {
    AppendField(text, "Date", framing.date_);
  }
  if (framing.closes_) {
    AppendField(text, "Connection", "close");
  } else if (framing.is_http_10_) {
    AppendField(text, "Connection", "keep-alive");
  }
  if (MayHaveBody(response.status_)) {
    AppendField(text, "Content-Length", std::to_string(response.body_.size()));
  }
  text.append("\r\n");
}

std::size_t SizeOf(const HttpResponse& response) {
  std::size_t bytes = response.body_.size();
  for (const auto& [name, value] : response.headers_) {
    bytes += name.size() + value.size();
  }
  return bytes;
}

}  // namespace sassafrasbay

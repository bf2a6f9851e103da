#pragma once

#include <cstddef>
#include <string>
#include <string_view>

#include "LibCore/http_message.h"

namespace sassafrasbay {

/// What the connection adds to a response.
struct ResponseFraming {
  std::string_view date_;    ///< Used when the response has no Date header.
  bool closes_ = false;      ///< The connection closes after the response.
  bool is_http_10_ = false;  ///< The caller uses HTTP/1.0.
  bool is_head_ = false;     ///< The request has the method HEAD.
};

/// Corrects the status of a response that is none to 500.
void CorrectStatus(HttpResponse& response);

/// Whether a response with the status may have a body.
bool MayHaveBody(int status);

/// Appends the status line and the header section of a response with this body size.
void AppendHead(std::string& text, const HttpResponse& response, const ResponseFraming& framing);

/// Bytes of memory that a response takes.
std::size_t SizeOf(const HttpResponse& response);

}  // namespace sassafrasbay

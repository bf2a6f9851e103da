#pragma once

#include <cstddef>
#include <memory>
#include <string_view>

#include "LibCore/error.h"
#include "LibCore/http_message.h"

namespace sassafrasbay {

/// Parses one HTTP/1.1 response from the bytes of a connection.
class ResponseReader {
 public:
  explicit ResponseReader(std::size_t max_body_bytes);
  ~ResponseReader();
  ResponseReader(ResponseReader&&) noexcept;
  ResponseReader& operator=(ResponseReader&&) noexcept;

  /// Limits the body, the sections of headers, and all bytes together, so that a peer which sends
  /// without end is detected in every part of a response. Parses received bytes and returns how
  /// many of them belong to this response. Bytes that no response with a status from 100 to 599 can
  /// start with are detected without the rest of its header section. Errors: kMalformed, kTooLarge.
  Result<std::size_t> Receive(std::string_view bytes);

  /// To be called when the peer has closed the connection. Completes a response without a declared
  /// length. Errors: kConnectionLost when the response is incomplete.
  Result<void> ReceiveEnd();

  /// Memory that the response takes so far.
  std::size_t BufferedBytes() const;
  bool IsComplete() const;
  bool IsKeepAlive() const;  ///< The connection may be reused.

  /// Moves the complete response out of the reader.
  HttpResponse TakeResponse();

 private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace sassafrasbay

#pragma once

#include <cstddef>
#include <memory>
#include <string_view>

#include "LibCore/http_message.h"

namespace sassafrasbay {

struct RequestLimits {
  std::size_t max_header_bytes_ = 0;   ///< Of names and values; 431 above it.
  std::size_t max_header_fields_ = 0;  ///< 431 above it.
  std::size_t max_body_bytes_ = 0;     ///< 413 above it.
};

/// Parses one HTTP/1 request from the bytes of a connection.
class RequestReader {
 public:
  explicit RequestReader(const RequestLimits& limits);
  ~RequestReader();
  RequestReader(RequestReader&&) noexcept;
  RequestReader& operator=(RequestReader&&) noexcept;

  /// Parses bytes and returns how many of them are consumed. The rest is to be passed again in
  /// front of further bytes. Nothing is consumed after a fault.
  std::size_t Receive(std::string_view bytes);

  /// Status with which the request is to be refused; 0 if none.
  int FaultStatus() const;
  bool IsHeaderComplete() const;
  bool IsComplete() const;

  // Valid once the header section is complete.
  bool IsKeepAlive() const;      ///< The caller accepts further responses on the connection.
  bool IsHttp10() const;         ///< An HTTP/1.0 caller.
  bool ExpectsContinue() const;  ///< The caller waits for 100 before it sends the body.

  /// Bytes of the request so far.
  std::size_t HeldBytes() const;

  /// Moves the complete request out of the reader.
  HttpRequest TakeRequest();

 private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace sassafrasbay

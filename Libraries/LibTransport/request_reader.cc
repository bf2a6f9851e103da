#include "LibTransport/request_reader.h"

#include <strings.h>

#include <algorithm>
#include <boost/asio/buffer.hpp>
#include <boost/beast/core/string.hpp>
#include <boost/beast/http/basic_parser.hpp>
#include <limits>
#include <string>
#include <utility>

namespace sassafrasbay {
namespace {

namespace beast = boost::beast;
namespace http = boost::beast::http;

/// Limit of the request line, in addition to the limit of the header fields.
constexpr std::size_t kMaxRequestLineBytes = 16U << 10U;

/// Colon, space and line end of a header field.
constexpr std::size_t kFieldSeparatorBytes = 4;

/// Limit of one chunk header with its extensions, and of the trailer.
constexpr std::size_t kMaxChunkHeaderBytes = 16U << 10U;

/// Bytes that a chunked body needs at least from the start of a chunk header or from within a
/// chunk. Beast 1.74 asserts that it gets that many once it has seen the last chunk's size.
constexpr std::size_t kMinChunkedRestBytes = 5;

/// Space that is reserved for a body before any of it has arrived. More is reserved as it arrives,
/// since callers may declare a large body and send nothing.
constexpr std::size_t kMaxInitialBodyBytes = 64U << 10U;

constexpr int kBadRequest = 400;
constexpr int kContentTooLarge = 413;
constexpr int kTargetTooLong = 414;
constexpr int kHeadersTooLarge = 431;

bool EqualsIgnoringCase(beast::string_view text, std::string_view expected) {
  return text.size() == expected.size() &&
         strncasecmp(text.data(), expected.data(), text.size()) == 0;
}

void Append(std::string& text, beast::string_view added) {
  text.append(added.data(), added.size());
}

}  // namespace

// Derived from Beast's parser instead of using its fields container, which moves header fields of
// the same name next to each other and copies each field once more.
struct RequestReader::Impl final : http::basic_parser<true> {
  explicit Impl(const RequestLimits& limits) : limits_(limits) {
    eager(true);
    header_limit(std::numeric_limits<std::uint32_t>::max());
    body_limit(limits.max_body_bytes_);
  }

  std::size_t MaxHeaderSectionBytes() const {
    return kMaxRequestLineBytes + limits_.max_header_bytes_ +
           kFieldSeparatorBytes * limits_.max_header_fields_;
  }

  void Refuse(int status, http::error code, beast::error_code& error) {
    fault_ = status;
    error = code;
  }

  void on_request_impl(http::verb, beast::string_view method, beast::string_view target,
                       int version, beast::error_code& error) override {
    if (target.size() > kMaxRequestLineBytes) {
      Refuse(kTargetTooLong, http::error::header_limit, error);
      return;
    }
    Append(request_.method_, method);
    Append(request_.path_, target);
    is_http_10_ = version < 11;
  }

  void on_response_impl(int, beast::string_view, int, beast::error_code&) override {}

  void on_field_impl(http::field field, beast::string_view name, beast::string_view value,
                     beast::error_code& error) override {
    ++fields_;
    field_bytes_ += name.size() + value.size();
    if (fields_ > limits_.max_header_fields_ || field_bytes_ > limits_.max_header_bytes_) {
      Refuse(kHeadersTooLarge, http::error::header_limit, error);
      return;
    }
    // Fields of the trailer must not pass as header fields.
    if (header_done_) {
      return;
    }
    CheckFraming(field, value, error);
    request_.headers_.emplace_back(std::piecewise_construct,
                                   std::forward_as_tuple(name.data(), name.size()),
                                   std::forward_as_tuple(value.data(), value.size()));
  }

  // A request whose end an intermediary may see elsewhere can hide another request in its body
  // (smuggling). Beast refuses both length headers together, but accepts equal lengths and transfer
  // codings that it doesn't know.
  void CheckFraming(http::field field, beast::string_view value, beast::error_code& error) {
    switch (field) {
      case http::field::content_length:
        if (has_length_ || value.find(',') != beast::string_view::npos) {
          Refuse(kBadRequest, http::error::bad_content_length, error);
        }
        has_length_ = true;
        return;
      case http::field::transfer_encoding:
        if (is_http_10_ || !EqualsIgnoringCase(value, "chunked")) {
          Refuse(kBadRequest, http::error::bad_transfer_encoding, error);
        }
        return;
      case http::field::host:
        if (has_host_) {
          Refuse(kBadRequest, http::error::bad_field, error);
        }
        has_host_ = true;
        return;
      case http::field::expect:
        expects_continue_ = EqualsIgnoringCase(value, "100-continue");
        return;
      default:
        return;
    }
  }

  void on_header_impl(beast::error_code&) override { header_done_ = true; }

  void on_body_init_impl(const boost::optional<std::uint64_t>& length,
                         beast::error_code&) override {
    request_.body_.reserve(std::min<std::size_t>(length.value_or(0), kMaxInitialBodyBytes));
  }

  std::size_t on_body_impl(beast::string_view body, beast::error_code&) override {
    const std::size_t needed = request_.body_.size() + body.size();
    if (needed > request_.body_.capacity()) {
      const std::size_t declared = content_length().value_or(needed);
      request_.body_.reserve(std::max(needed, std::min(declared, 2 * needed)));
    }
    Append(request_.body_, body);
    return body.size();
  }

  void on_chunk_header_impl(std::uint64_t, beast::string_view, beast::error_code&) override {}

  std::size_t on_chunk_body_impl(std::uint64_t, beast::string_view body,
                                 beast::error_code&) override {
    Append(request_.body_, body);
    return body.size();
  }

  void on_finish_impl(beast::error_code&) override {}

  RequestLimits limits_;
  HttpRequest request_;
  std::size_t fields_ = 0;
  std::size_t field_bytes_ = 0;
  std::size_t section_bytes_ = 0;  ///< Consumed bytes of the header section.
  int fault_ = 0;
  bool header_done_ = false;
  bool is_http_10_ = false;
  bool has_length_ = false;
  bool has_host_ = false;
  bool expects_continue_ = false;
};

RequestReader::RequestReader(const RequestLimits& limits) : impl_(std::make_unique<Impl>(limits)) {}
RequestReader::~RequestReader() = default;
RequestReader::RequestReader(RequestReader&&) noexcept = default;
RequestReader& RequestReader::operator=(RequestReader&&) noexcept = default;

std::size_t RequestReader::Receive(std::string_view bytes) {
  Impl& impl = *impl_;
  std::size_t used = 0;
  while (used < bytes.size() && !impl.is_done() && impl.fault_ == 0) {
    const std::size_t left = bytes.size() - used;
    const bool in_chunks = impl.header_done_ && impl.chunked();
    if (in_chunks && left < kMinChunkedRestBytes) {
      break;
    }
    beast::error_code error;
    used += impl.put(boost::asio::const_buffer(bytes.data() + used, left), error);
    if (error == http::error::need_more) {
      break;
    }
    if (error && impl.fault_ == 0) {
      impl.fault_ = error == http::error::body_limit ? kContentTooLarge : kBadRequest;
    }
  }
  const std::size_t left = bytes.size() - used;
  if (impl.header_done_) {
    // Beast limits neither chunk headers nor trailers.
    if (impl.fault_ == 0 && !impl.is_done() && impl.chunked() && left > kMaxChunkHeaderBytes) {
      impl.fault_ = kBadRequest;
    }
  } else if (impl.fault_ == 0) {
    impl.section_bytes_ += used;
    if (impl.section_bytes_ + left > impl.MaxHeaderSectionBytes()) {
      const bool in_request_line = impl.section_bytes_ == 0 && bytes.find('\n') == bytes.npos;
      impl.fault_ = in_request_line ? kTargetTooLong : kHeadersTooLarge;
    }
  }
  return used;
}

int RequestReader::FaultStatus() const { return impl_->fault_; }
bool RequestReader::IsHeaderComplete() const { return impl_->header_done_; }
bool RequestReader::IsComplete() const { return impl_->fault_ == 0 && impl_->is_done(); }
bool RequestReader::IsKeepAlive() const { return impl_->keep_alive(); }
bool RequestReader::IsHttp10() const { return impl_->is_http_10_; }
bool RequestReader::ExpectsContinue() const { return impl_->expects_continue_; }

std::size_t RequestReader::HeldBytes() const {
  const HttpRequest& request = impl_->request_;
  return request.path_.size() + impl_->field_bytes_ + request.body_.size();
}

HttpRequest RequestReader::TakeRequest() { return std::move(impl_->request_); }

}  // namespace sassafrasbay

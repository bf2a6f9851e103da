#include "LibTransport/response_reader.h"

#include <boost/asio/buffer.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>
#include <string>
#include <tuple>
#include <utility>

namespace sassafrasbay {
namespace {

namespace http = boost::beast::http;

using Parser = http::response_parser<http::string_body>;

constexpr std::string_view kOperation = "read response";
constexpr std::uint32_t kMaxHeaderBytes = 64U << 10U;
constexpr unsigned kFirstFinalStatus = 200;

/// Maximum size of a response as transferred, relative to the maximum size of its body. It ends a
/// response that consists of interim responses or chunk extensions without end.
constexpr std::size_t kMaxTransferRatio = 2;

Error ParseError(const boost::system::error_code& error) {
  const bool too_large = error == http::error::body_limit || error == http::error::header_limit;
  return MakeError(too_large ? Errc::kTooLarge : Errc::kMalformed, kOperation, {}, error.message());
}

}  // namespace

struct ResponseReader::Impl {
  explicit Impl(std::size_t max_body_bytes) : max_body_bytes_(max_body_bytes) { Restart(); }

  void Restart() {
    parser_ = std::make_unique<Parser>();
    parser_->eager(true);
    parser_->header_limit(kMaxHeaderBytes);
    parser_->body_limit(max_body_bytes_);
  }

  std::size_t max_body_bytes_;
  std::size_t received_bytes_ = 0;
  std::unique_ptr<Parser> parser_;
  std::string pending_;  ///< Unparsed bytes; the parser needs a header section as a whole.
};

ResponseReader::ResponseReader(std::size_t max_body_bytes)
    : impl_(std::make_unique<Impl>(max_body_bytes)) {}
ResponseReader::~ResponseReader() = default;
ResponseReader::ResponseReader(ResponseReader&&) noexcept = default;
ResponseReader& ResponseReader::operator=(ResponseReader&&) noexcept = default;

Result<std::size_t> ResponseReader::Receive(std::string_view bytes) {
  impl_->received_bytes_ += bytes.size();
  if (impl_->received_bytes_ > kMaxTransferRatio * impl_->max_body_bytes_ + kMaxHeaderBytes) {
    return MakeError(Errc::kTooLarge, kOperation, {}, "response exceeds the maximum size");
  }
  const std::size_t previously_pending = impl_->pending_.size();
  impl_->pending_.append(bytes);
  std::size_t used = 0;
  while (used < impl_->pending_.size() && !impl_->parser_->is_done()) {
    boost::system::error_code error;
    const std::size_t count = impl_->parser_->put(
        boost::asio::const_buffer(impl_->pending_.data() + used, impl_->pending_.size() - used),
        error);
    used += count;
    if (error == http::error::need_more) {
      break;
    }
    if (error) {
      return ParseError(error);
    }
    // This version of Beast does not check the declared length of a response against the limit.
    if (impl_->parser_->get().body().size() > impl_->max_body_bytes_) {
      return MakeError(Errc::kTooLarge, kOperation, {}, "response body exceeds the maximum size");
    }
    // An interim response is followed by the final one.
    if (impl_->parser_->is_done() && impl_->parser_->get().result_int() < kFirstFinalStatus) {
      impl_->Restart();
    }
  }
  if (impl_->parser_->is_done()) {
    impl_->pending_.clear();
    return used - std::min(used, previously_pending);
  }
  impl_->pending_.erase(0, used);
  // Beast limits the header section, but neither chunk headers nor trailers.
  if (impl_->pending_.size() > kMaxHeaderBytes) {
    return MakeError(Errc::kTooLarge, kOperation, {}, "chunk header or trailer is too large");
  }
  return bytes.size();
}

Result<void> ResponseReader::ReceiveEnd() {
  boost::system::error_code error;
  // put_eof may only be called after the parser has consumed some bytes.
  if (impl_->parser_->got_some()) {
    impl_->parser_->put_eof(error);
  }
  if (error || !impl_->parser_->is_done()) {
    return MakeError(Errc::kConnectionLost, kOperation, {},
                     "connection closed before the response was complete");
  }
  return boost::outcome_v2::success();
}

std::size_t ResponseReader::BufferedBytes() const {
  return impl_->pending_.size() + impl_->parser_->get().body().size();
}

bool ResponseReader::IsComplete() const { return impl_->parser_->is_done(); }

bool ResponseReader::IsKeepAlive() const { return impl_->parser_->get().keep_alive(); }

HttpResponse ResponseReader::TakeResponse() {
  auto message = impl_->parser_->release();
  HttpResponse response;
  response.status_ = static_cast<int>(message.result_int());
  for (const auto& field : message) {
    const auto name = field.name_string();
    const auto value = field.value();
    response.headers_.emplace_back(std::piecewise_construct,
                                   std::forward_as_tuple(name.data(), name.size()),
                                   std::forward_as_tuple(value.data(), value.size()));
  }
  response.body_ = std::move(message.body());
  return response;
}

}  // namespace sassafrasbay

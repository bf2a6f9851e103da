#include "LibTransport/response_reader.h"

#include <algorithm>
#include <boost/asio/buffer.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/optional/optional.hpp>
#include <cstddef>
#include <cstdint>
#include <string>
#include <tuple>
#include <utility>

namespace sassafrasbay {
namespace {

namespace http = boost::beast::http;

/// Space that is reserved for a body before any of it has arrived. Upstreams may declare any length
/// and send nothing of it.
constexpr std::size_t kMaxInitialBodyBytes = 64U << 10U;

/// Part of a declared length that has to arrive before all of it is reserved, as a divisor.
constexpr std::uint64_t kReserveAllShare = 4;

// Beast's string_body reserves the declared length. Names are those of Beast's Body requirements.
struct IncrementalStringBody {
  using value_type = std::string;  // NOLINT(readability-identifier-naming)

  class reader {  // NOLINT(readability-identifier-naming)
   public:
    template <bool kIsRequest, typename Fields>
    reader(http::header<kIsRequest, Fields>& /*header*/, value_type& body) : body_(body) {}

    // NOLINTNEXTLINE(readability-identifier-naming)
    void init(const boost::optional<std::uint64_t>& length, boost::system::error_code& error) {
      error = {};
      declared_bytes_ = length.value_or(0);
      body_.reserve(std::min<std::uint64_t>(declared_bytes_, kMaxInitialBodyBytes));
    }

    template <typename Buffers>
    std::size_t put(const Buffers& buffers,  // NOLINT(readability-identifier-naming)
                    boost::system::error_code& error) {
      error = {};
      const std::size_t previous_size = body_.size();
      for (auto buffer = boost::asio::buffer_sequence_begin(buffers);
           buffer != boost::asio::buffer_sequence_end(buffers); ++buffer) {
        const boost::asio::const_buffer piece = *buffer;
        // Of the declared length, all is reserved in time: a string grows to twice its capacity.
        const std::size_t needed = body_.size() + piece.size();
        if (needed > body_.capacity() && needed >= declared_bytes_ / kReserveAllShare) {
          body_.reserve(std::max<std::uint64_t>(needed, declared_bytes_));
        }
        body_.append(static_cast<const char*>(piece.data()), piece.size());
      }
      return body_.size() - previous_size;
    }

    // NOLINTNEXTLINE(readability-identifier-naming)
    void finish(boost::system::error_code& error) { error = {}; }

   private:
    std::string& body_;
    std::uint64_t declared_bytes_ = 0;
  };
};

using Parser = http::response_parser<IncrementalStringBody>;

constexpr std::string_view kOperation = "read response";
constexpr std::uint32_t kMaxHeaderBytes = 64U << 10U;
constexpr unsigned kFirstFinalStatus = 200;

/// A chunked body never ends with fewer bytes than its last chunk. Beast's parser asserts that it
/// isn't called with fewer once it has seen the size of that chunk.
constexpr std::size_t kMinChunkedRestBytes = std::string_view("0\r\n\r\n").size();

/// Start of a response, without the space before a reason phrase. `v` stands for the minor version,
/// `c` for the class of the status, and `d` for a digit.
constexpr std::string_view kStartPattern = "HTTP/1.v cdd";

/// An interim status after which no HTTP response follows. No request asks for another protocol.
constexpr std::string_view kSwitchingProtocols = "101";

/// Maximum size of a response as transferred, relative to the maximum size of its body. It ends a
/// response that consists of interim responses or chunk extensions without end.
constexpr std::size_t kMaxTransferRatio = 2;

Error ParseError(const boost::system::error_code& error) {
  const bool too_large = error == http::error::body_limit || error == http::error::header_limit;
  return MakeError(too_large ? Errc::kTooLarge : Errc::kMalformed, kOperation, {}, error.message());
}

bool MatchesPattern(char byte, char pattern) {
  switch (pattern) {
    case 'v':
      return byte == '0' || byte == '1';
    case 'c':
      return byte >= '1' && byte <= '5';
    case 'd':
      return byte >= '0' && byte <= '9';
    default:
      return byte == pattern;
  }
}

/// Whether a response may start with the bytes, of which more may follow. The parser takes any
/// three digits for a status, and waits for the end of the header section before it checks
/// anything.
bool MayStartResponse(std::string_view bytes) {
  const std::string_view start = bytes.substr(0, kStartPattern.size());
  const std::string_view rest = bytes.substr(start.size());
  return std::equal(start.begin(), start.end(), kStartPattern.begin(), MatchesPattern) &&
         (rest.empty() || rest.front() == ' ' || rest.front() == '\r') &&
         (start.size() < kStartPattern.size() || !start.ends_with(kSwitchingProtocols));
}

}  // namespace

struct ResponseReader::Impl {
  explicit Impl(std::size_t max_body_bytes) : max_body_bytes_(max_body_bytes) { Restart(); }

  void Restart() {
    is_start_checked_ = false;
    // Not eager before the body: Beast 1.74 would go on after a declared length above the limit.
    parser_ = std::make_unique<Parser>();
    parser_->header_limit(kMaxHeaderBytes);
    parser_->body_limit(max_body_bytes_);
  }

  /// Checks the start of a response at the position in the pending bytes. The parser requires a
  /// space after the status; where it is missing it is added. Returns the number of added bytes.
  Result<std::size_t> CheckStart(std::size_t position);

  std::size_t max_body_bytes_;
  std::size_t received_bytes_ = 0;
  bool is_start_checked_ = false;  ///< Version and status of the current response are valid.
  std::unique_ptr<Parser> parser_;
  std::string pending_;  ///< Unparsed bytes; the parser needs a header section as a whole.
};

Result<std::size_t> ResponseReader::Impl::CheckStart(std::size_t position) {
  if (is_start_checked_) {
    return 0U;
  }
  const std::string_view pending = pending_;
  const std::string_view bytes = pending.substr(position);
  if (!MayStartResponse(bytes)) {
    return MakeError(Errc::kMalformed, kOperation, {}, "not an HTTP/1.1 response with a status");
  }
  is_start_checked_ = bytes.size() > kStartPattern.size();
  if (!is_start_checked_ || bytes[kStartPattern.size()] == ' ') {
    return 0U;
  }
  pending_.insert(position + kStartPattern.size(), 1, ' ');
  return 1U;
}

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
  std::size_t added = 0;
  while (used < impl_->pending_.size() && !impl_->parser_->is_done()) {
    const bool in_chunks = impl_->parser_->is_header_done() && impl_->parser_->chunked();
    if (in_chunks && impl_->pending_.size() - used < kMinChunkedRestBytes) {
      break;
    }
    SASSAFRASBAY_TRY(added_bytes, impl_->CheckStart(used));
    added += added_bytes;
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
    impl_->parser_->eager(impl_->parser_->is_header_done());
    // An interim response is followed by the final one.
    if (impl_->parser_->is_done() && impl_->parser_->get().result_int() < kFirstFinalStatus) {
      impl_->Restart();
    }
  }
  if (impl_->parser_->is_done()) {
    impl_->pending_.clear();
    return used - std::min(used, previously_pending + added);
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
  return impl_->pending_.size() + impl_->parser_->get().body().capacity();
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

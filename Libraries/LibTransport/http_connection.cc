#include "LibTransport/http_connection.h"

#include <sys/epoll.h>
#include <sys/socket.h>

#include <algorithm>
#include <cerrno>
#include <utility>

#include "LibTransport/response_head.h"

namespace sassafrasbay {
namespace {

/// Memory of a request besides its text, at the connection and in the handler.
constexpr std::size_t kRequestOverheadBytes = 4U << 10U;

/// Copies of a request that the handler holds besides that of the connection: one to be sent again,
/// and one on its way to another node. Counted once, 192 connections with requests sent ahead took
/// a process with a budget of 32 MB to 98 MB.
constexpr std::size_t kHandlerCopies = 2;

/// Rounds of reading and writing before other connections have their turn.
constexpr int kMaxRounds = 8;

constexpr int kBadRequest = 400;
constexpr int kContentTooLarge = 413;
constexpr int kTargetTooLong = 414;
constexpr int kHeadersTooLarge = 431;

std::string_view FaultText(int status) {
  switch (status) {
    case kContentTooLarge:
      return "request body is too large\n";
    case kTargetTooLong:
      return "request line is too large\n";
    case kHeadersTooLarge:
      return "headers are too large\n";
    default:
      return "malformed request\n";
  }
}

}  // namespace

HttpConnection::HttpConnection(ConnectionContext& context, ConnectionNumber number, int socket)
    : context_(context), number_(number), socket_(socket) {
  last_progress_ = BootClock::now();
  deadline_ = last_progress_ + context_.limits_.header_timeout_;
}

HttpConnection::~HttpConnection() {
  for (Entry& entry : entries_) {
    if (entry.exchange_ != nullptr) {
      Close(*entry.exchange_);
    }
  }
  CloseSocket();
}

void HttpConnection::OnEvents(std::uint32_t events) {
  if (IsClosed()) {
    return;
  }
  if ((events & EPOLLERR) != 0 || ((events & EPOLLHUP) != 0 && !lingering_)) {
    OnFailed();
    return;
  }
  readable_ = readable_ || (events & (EPOLLIN | EPOLLRDHUP | EPOLLHUP)) != 0;
  writable_ = writable_ || (events & EPOLLOUT) != 0;
  end_seen_ = end_seen_ || (events & EPOLLRDHUP) != 0;
  Continue();
}

void HttpConnection::Continue() {
  due_ = false;
  if (continuing_ || IsClosed()) {
    return;
  }
  continuing_ = true;
  bool progressed = true;
  for (int round = 0; progressed && !IsClosed(); ++round) {
    if (round == kMaxRounds) {
      Schedule();
      break;
    }
    // A caller that has closed its end counts as gone, so what it has sent is not read.
    if (end_seen_ && !closing_) {
      OnEndOfStream();
    }
    progressed = Read();
    progressed = StartRequests() || progressed;
    progressed = QueueResponses() || progressed;
    progressed = Write() || progressed;
  }
  FinishIfDone();
  UpdateHeldBytes();
  continuing_ = false;
}

void HttpConnection::ContinueReading() {
  awaits_budget_ = false;
  Continue();
}

bool HttpConnection::MayParse() const {
  // Requests behind the last one that is answered before a planned close are not read.
  if (stops_reading_ || (context_.closes_connections_ && started_ > 0)) {
    return false;
  }
  const std::size_t limit = std::max<std::size_t>(1, context_.limits_.max_requests_ahead_);
  return reader_ != nullptr || entries_.size() + output_.UnsentCount() < limit;
}

bool HttpConnection::Read() {
  if (IsClosed() || lingering_) {
    Discard();
    return false;
  }
  if (!MayParse()) {
    return false;
  }
  // Bytes that were left when the connection was at the bound of requests.
  if (!unparsed_.empty() && reader_ == nullptr) {
    const std::string bytes = std::exchange(unparsed_, {});
    Consume(bytes);
    return true;
  }
  return readable_ && Receive();
}

bool HttpConnection::Receive() {
  UpdateHeldBytes();
  const std::size_t room = context_.budget_.Room(held_bytes_, context_.reserve_bytes_);
  if (room < kMinRoomBytes) {
    if (!std::exchange(awaits_budget_, true)) {
      context_.budget_waiters_.push_back(number_);
    }
    return false;
  }
  awaits_budget_ = false;
  const std::size_t size = std::min(context_.read_buffer_.size(), room);
  const ssize_t count = recv(socket_, context_.read_buffer_.data(), size, MSG_DONTWAIT);
  if (count < 0 && (errno == EAGAIN || errno == EINTR)) {
    readable_ = errno == EINTR;
    return false;
  }
  if (count < 0) {
    OnFailed();
    return false;
  }
  if (count == 0) {
    end_seen_ = true;
    OnEndOfStream();
    return true;
  }
  // Fewer bytes than asked for were all there were; further ones raise a new event.
  readable_ = static_cast<std::size_t>(count) == size;
  received_at_ = BootClock::now();
  last_progress_ = received_at_;
  receiving_.bytes_ += static_cast<std::size_t>(count);
  Consume({context_.read_buffer_.data(), static_cast<std::size_t>(count)});
  return true;
}

void HttpConnection::Consume(std::string_view bytes) {
  if (unparsed_.empty()) {
    unparsed_.assign(bytes.substr(Parse(bytes)));
    return;
  }
  std::string joined = std::exchange(unparsed_, {});
  joined.append(bytes);
  joined.erase(0, Parse(joined));
  if (!joined.empty()) {
    unparsed_ = std::move(joined);
  }
}

std::size_t HttpConnection::Parse(std::string_view bytes) {
  std::size_t used = 0;
  while (used < bytes.size() && MayParse()) {
    if (reader_ == nullptr) {
      // Empty lines before a request are ignored, as RFC 9112 asks for.
      used = std::min(bytes.find_first_not_of("\r\n", used), bytes.size());
      if (used == bytes.size()) {
        break;
      }
      BeginRequest();
    }
    used += reader_->Receive(bytes.substr(used));
    if (const int status = reader_->FaultStatus(); status != 0) {
      Report(status == kBadRequest ? "malformed" : "too-large");
      Reject(status, FaultText(status));
      break;
    }
    if (reader_->IsHeaderComplete() && !reader_has_entry_) {
      OnHeaderComplete();
    }
    if (!reader_->IsComplete()) {
      break;
    }
    OnRequestComplete();
  }
  return stops_reading_ ? bytes.size() : used;
}

void HttpConnection::BeginRequest() {
  const HttpLimits& limits = context_.limits_;
  reader_ = std::make_unique<RequestReader>(
      RequestLimits{limits.max_header_bytes_, limits.max_header_fields_, limits.max_body_bytes_});
  reader_has_entry_ = false;
  if (has_requests_) {
    deadline_ = received_at_ + limits.header_timeout_;
  }
  has_requests_ = true;
  idle_since_.reset();
  receiving_ = {received_at_, 0, true};
}

void HttpConnection::OnHeaderComplete() {
  entries_.emplace_back();
  reader_has_entry_ = true;
  ++context_.open_exchanges_;
  wants_continue_ = !reader_->IsComplete() && reader_->ExpectsContinue() && !reader_->IsHttp10();
}

void HttpConnection::OnRequestComplete() {
  Entry& entry = entries_.back();
  entry.complete_ = true;
  entry.closes_ = !reader_->IsKeepAlive();
  entry.is_http_10_ = reader_->IsHttp10();
  entry.bytes_ = (1 + kHandlerCopies) * reader_->HeldBytes() + kRequestOverheadBytes;
  entry_bytes_ += entry.bytes_;
  entry.exchange_ = std::make_shared<ExchangeState>();
  entry.exchange_->loop_ = &context_.loop_;
  entry.exchange_->number_ = first_number_ + entries_.size() - 1;
  entry.exchange_->received_at_ = received_at_;
  entry.exchange_->request_ = reader_->TakeRequest();
  entry.is_head_ = entry.exchange_->request_.method_ == "HEAD";
  reader_.reset();
  reader_has_entry_ = false;
  wants_continue_ = false;
  receiving_.active_ = false;
  if (entry.closes_) {
    stops_reading_ = true;
  }
}

void HttpConnection::Reject(int status, std::string_view text, HeaderList headers) {
  if (!reader_has_entry_) {
    entries_.emplace_back();
    ++context_.open_exchanges_;
  }
  Entry& entry = entries_.back();
  entry.response_ = HttpResponse{status, std::move(headers), std::string(text)};
  entry.complete_ = true;
  entry.closes_ = true;
  StopReading();
}

void HttpConnection::StopReading() {
  stops_reading_ = true;
  reader_.reset();
  reader_has_entry_ = false;
  wants_continue_ = false;
  receiving_.active_ = false;
  unparsed_ = {};
}

// Requests start in their order, so that those which a planned close leaves behind are the last
// ones.
bool HttpConnection::StartRequests() {
  bool any = false;
  while (!IsClosed() && started_ < entries_.size()) {
    Entry& entry = entries_[started_];
    if (!entry.complete_ || (!entry.response_ && !MayStart(entry))) {
      break;
    }
    ++started_;
    any = true;
    if (entry.response_) {
      continue;
    }
    ++unanswered_;
    entry.exchange_->phase_ = ExchangePhase::kRunning;
    entry.exchange_->owner_ = this;
    context_.handler_(MakeExchangeHandle(entry.exchange_));
  }
  return any;
}

bool HttpConnection::MayStart(const Entry& entry) const {
  if (started_ == 0) {
    return true;
  }
  if (context_.closes_connections_) {
    return false;
  }
  return unanswered_ == 0 ||
         (context_.may_overlap_ && context_.may_overlap_(entry.exchange_->request_));
}

void HttpConnection::Answer(ExchangeState& exchange, HttpResponse response) {
  const std::uint64_t index = exchange.number_ - first_number_;
  if (index >= entries_.size()) {
    return;
  }
  Entry& entry = entries_[index];
  entry_bytes_ -= entry.bytes_;
  entry.bytes_ = SizeOf(response);
  entry_bytes_ += entry.bytes_;
  entry.response_ = std::move(response);
  entry.exchange_.reset();
  --unanswered_;
  if (!continuing_) {
    Schedule();
  }
}

// Ends all requests whose responses have not been passed to the output.
void HttpConnection::DropRequests() {
  const std::vector<Entry> dropped = std::exchange(entries_, {});
  first_number_ += dropped.size();
  context_.open_exchanges_ -= dropped.size();
  started_ = 0;
  unanswered_ = 0;
  entry_bytes_ = 0;
  StopReading();
  for (const Entry& entry : dropped) {
    if (entry.exchange_ != nullptr) {
      Abandon(*entry.exchange_);
    }
  }
}

void HttpConnection::Schedule() {
  if (due_) {
    return;
  }
  due_ = true;
  context_.due_.push_back(number_);
  context_.schedule_();
}

void HttpConnection::UpdateHeldBytes() {
  const std::size_t held = IsClosed() ? 0
                                      : unparsed_.size() + entry_bytes_ + output_.HeldBytes() +
                                            (reader_ == nullptr ? 0 : reader_->HeldBytes());
  if (held != held_bytes_) {
    context_.budget_.Update(held_bytes_, held);
    held_bytes_ = held;
  }
}

}  // namespace sassafrasbay

#include <arpa/inet.h>
#include <netdb.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <cerrno>
#include <string>
#include <utility>

#include "LibCore/logging.h"
#include "LibTransport/http_connection.h"

namespace sassafrasbay {
namespace {

constexpr std::string_view kPart = "door";

/// Interval over which the minimum rates apply.
constexpr milliseconds kRateWindow{10'000};
constexpr std::size_t kRateWindowSeconds = 10;

/// Time for which input is read and dropped before a connection is closed. A close with unread
/// input resets the connection, and the caller may lose the response.
constexpr milliseconds kLingerTime{2000};

/// Reads of dropped input, and writes, before other connections have their turn.
constexpr int kMaxCallsPerTurn = 16;

constexpr int kRequestTimeout = 408;
constexpr int kUnavailable = 503;

/// Time that a caller is asked to wait when the budget is exhausted, in seconds.
constexpr const char* kRetryAfterSeconds = "1";

constexpr std::string_view kContinue = "HTTP/1.1 100 Continue\r\n\r\n";

std::string PeerName(int socket) {
  sockaddr_storage address{};
  socklen_t length = sizeof(address);
  std::array<char, NI_MAXHOST> host{};
  std::array<char, NI_MAXSERV> port{};
  auto* generic = reinterpret_cast<sockaddr*>(&address);
  if (getpeername(socket, generic, &length) != 0 ||
      getnameinfo(generic, length, host.data(), host.size(), port.data(), port.size(),
                  NI_NUMERICHOST | NI_NUMERICSERV) != 0) {
    return "unknown";
  }
  return std::string(host.data()) + ":" + port.data();
}

/// Whether the window has ended with fewer bytes than the rate requires. Starts the next window.
bool IsTooSlow(TransferWindow& window, std::size_t bytes_per_second, BootTime now) {
  if (!window.active_ || now - window.since_ < kRateWindow) {
    return false;
  }
  const bool too_slow = window.bytes_ < bytes_per_second * kRateWindowSeconds;
  window = {now, 0, true};
  return too_slow;
}

}  // namespace

bool HttpConnection::QueueResponses() {
  bool any = false;
  while (!closing_ && started_ > 0 && entries_.front().response_) {
    Entry entry = std::move(entries_.front());
    entries_.erase(entries_.begin());
    ++first_number_;
    entry_bytes_ -= entry.bytes_;
    --started_;
    QueueResponse(std::move(entry));
    any = true;
  }
  // An interim response must not overtake the responses to requests ahead.
  if (wants_continue_ && entries_.size() == 1) {
    wants_continue_ = false;
    receiving_ = {BootClock::now(), 0, true};
    output_.AddText(kContinue);
    any = true;
  }
  return any;
}

void HttpConnection::QueueResponse(Entry entry) {
  const bool planned_close = context_.closes_connections_ && started_ == 0 && !entry.closes_;
  ResponseFraming framing;
  framing.date_ = Date();
  framing.closes_ = entry.closes_ || planned_close;
  framing.is_http_10_ = entry.is_http_10_;
  framing.is_head_ = entry.is_head_;
  output_.Add(std::move(*entry.response_), framing);
  if (!framing.closes_) {
    return;
  }
  closing_ = true;
  if (planned_close) {
    Report("stop");
  }
  DropRequests();
}

std::string_view HttpConnection::Date() {
  const std::time_t now = std::time(nullptr);
  if (now != context_.date_second_) {
    context_.date_second_ = now;
    std::tm parts{};
    gmtime_r(&now, &parts);
    std::array<char, 32> text{};
    const std::size_t size =
        std::strftime(text.data(), text.size(), "%a, %d %b %Y %H:%M:%S GMT", &parts);
    context_.date_.assign(text.data(), size);
  }
  return context_.date_;
}

bool HttpConnection::Write() {
  bool any = false;
  for (int call = 0; !IsClosed() && writable_ && !output_.IsEmpty(); ++call) {
    if (call == kMaxCallsPerTurn) {
      Schedule();
      break;
    }
    const std::ptrdiff_t sent = output_.Send(socket_);
    if (sent < 0) {
      OnFailed();
      return false;
    }
    writable_ = sent > 0;
    sending_.bytes_ += static_cast<std::size_t>(sent);
    any = any || sent > 0;
  }
  if (any) {
    last_progress_ = BootClock::now();
    context_.open_exchanges_ -= output_.TakeSentCount();
  }
  if (output_.IsEmpty()) {
    sending_.active_ = false;
  } else if (!sending_.active_) {
    sending_ = {BootClock::now(), 0, true};
  }
  return any;
}

void HttpConnection::FinishIfDone() {
  if (IsClosed() || lingering_ || !output_.IsEmpty()) {
    return;
  }
  if (closing_) {
    Linger();
    return;
  }
  if (has_requests_ && !idle_since_ && entries_.empty() && reader_ == nullptr) {
    entries_ = {};
    idle_since_ = last_progress_;
    deadline_ = last_progress_ + context_.limits_.idle_timeout_;
  }
}

// The responses that are there are still sent.
void HttpConnection::OnEndOfStream() {
  if (closing_) {
    return;
  }
  wants_continue_ = false;
  QueueResponses();
  closing_ = true;
  DropRequests();
}

void HttpConnection::Linger() {
  shutdown(socket_, SHUT_WR);
  lingering_ = true;
  linger_end_ = BootClock::now() + kLingerTime;
  readable_ = true;
  Discard();
}

void HttpConnection::Discard() {
  for (int call = 0; !IsClosed() && readable_; ++call) {
    if (call == kMaxCallsPerTurn) {
      Schedule();
      return;
    }
    const ssize_t count =
        recv(socket_, context_.read_buffer_.data(), context_.read_buffer_.size(), MSG_DONTWAIT);
    if (count < 0 && errno == EAGAIN) {
      readable_ = false;
    } else if (count == 0 || (count < 0 && errno != EINTR)) {
      CloseSocket();
    }
  }
}

void HttpConnection::CheckDeadlines(BootTime now) {
  if (IsClosed()) {
    return;
  }
  if (lingering_) {
    if (now >= linger_end_) {
      CloseSocket();
    }
    return;
  }
  if (!CheckSendRate(now) && !CheckReceiveRate(now)) {
    CheckTimeouts(now);
  }
  UpdateHeldBytes();
}

bool HttpConnection::CheckSendRate(BootTime now) {
  if (!IsTooSlow(sending_, context_.limits_.min_send_bytes_per_second_, now)) {
    return false;
  }
  End("slow-reader");
  return true;
}

bool HttpConnection::CheckReceiveRate(BootTime now) {
  // Time in which the server doesn't read, or in which the caller waits for it, doesn't count.
  if (awaits_budget_ || wants_continue_ || !MayParse()) {
    receiving_.since_ = now;
    receiving_.bytes_ = 0;
    return false;
  }
  if (!IsTooSlow(receiving_, context_.limits_.min_receive_bytes_per_second_, now) ||
      HasUnreadBytes()) {
    return false;
  }
  RejectSlowRequest();
  return true;
}

// A request that has arrived but hasn't been read, because this thread was busy or paused, came in
// time.
void HttpConnection::CheckTimeouts(BootTime now) {
  const bool awaits_header = reader_ != nullptr && !reader_has_entry_ && MayParse();
  if (now < deadline_ || awaits_budget_ || !(awaits_header || IsUnused())) {
    return;
  }
  if (HasUnreadBytes()) {
    deadline_ = now + context_.limits_.header_timeout_;
  } else if (awaits_header) {
    RejectSlowRequest();
  } else {
    End(idle_since_ ? "idle" : "no-request");
  }
}

bool HttpConnection::HasUnreadBytes() const {
  char byte = 0;
  return recv(socket_, &byte, 1, MSG_PEEK | MSG_DONTWAIT) > 0;
}

void HttpConnection::RejectSlowRequest() {
  Report("slow-request");
  Reject(kRequestTimeout, "the request arrives too slowly\n");
  Continue();
}

// Callers may reuse idle connections up to the limit in force, so a longer one applies to them too.
// A shorter one doesn't, since callers may not know it yet.
void HttpConnection::OnLimitsChanged() {
  if (idle_since_) {
    deadline_ = std::max(deadline_, *idle_since_ + context_.limits_.idle_timeout_);
  }
}

std::size_t HttpConnection::StalledBytes(BootTime now, milliseconds duration) const {
  const bool awaits_caller = reader_ != nullptr || !output_.IsEmpty();
  const bool stalled = !IsClosed() && awaits_caller && now - last_progress_ >= duration;
  return stalled ? held_bytes_ : 0;
}

void HttpConnection::EndForMemory() {
  if (reader_ == nullptr || !output_.IsEmpty()) {
    End("memory");
    return;
  }
  Report("memory");
  Reject(kUnavailable, "not enough memory for the request\n",
         {{"Retry-After", kRetryAfterSeconds}});
  Continue();
}

void HttpConnection::EndForConnectionLimit() {
  // One that waits for the caller to close its end has been reported.
  if (lingering_) {
    CloseSocket();
  } else {
    End("connections");
  }
}

void HttpConnection::End(std::string_view reason) {
  Report(reason);
  OnFailed();
}

void HttpConnection::OnFailed() {
  CloseSocket();
  DropRequests();
}

void HttpConnection::Report(std::string_view reason) const {
  LogInfo(kPart, "end reason=" + std::string(reason) + " bytes=" + std::to_string(held_bytes_) +
                     " peer=" + PeerName(socket_) + ".");
  if (context_.metrics_ != nullptr) {
    context_.metrics_->Count("sassafrasbay_connections_ended_total",
                             "reason=\"" + std::string(reason) + "\"");
  }
}

void HttpConnection::CloseSocket() {
  if (IsClosed()) {
    return;
  }
  close(socket_);
  socket_ = -1;
  context_.open_exchanges_ -= output_.TakeSentCount() + output_.UnsentCount();
  output_ = {};
  UpdateHeldBytes();
}

}  // namespace sassafrasbay

#include "LibTransport/upstream_client.h"

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <charconv>
#include <set>
#include <unordered_map>
#include <utility>
#include <vector>

#include "LibTransport/response_reader.h"
#include "LibTransport/tcp_socket.h"

namespace sassafrasbay {
namespace {

constexpr unsigned kReadBit = static_cast<unsigned>(Readiness::kRead);
constexpr unsigned kWriteBit = static_cast<unsigned>(Readiness::kWrite);
constexpr std::size_t kReadBytes = 64U << 10U;

/// Idle time after which a connection is not reused, for upstreams that send no Keep-Alive timeout.
constexpr milliseconds kDefaultIdleTimeout{5000};

/// Time before the upstream's idle timeout from which a connection is not reused. If the upstream
/// closed the connection while a request was in transit, it would be unknown whether it ran.
constexpr milliseconds kIdleTimeoutMargin{1000};

/// Time after which a connection with unacknowledged data is considered lost (TCP_USER_TIMEOUT).
constexpr milliseconds kUnacknowledgedDataTimeout{2000};

/// Maximum number of repeated responses to an earlier request that are skipped for one request.
constexpr int kMaxSkippedResponses = 4;

/// Maximum number of failed responses on a connection that is kept. Their correlation values take
/// memory.
constexpr std::size_t kMaxFailedResponses = 256;

/// Time after which a response that awaits room is read again.
constexpr milliseconds kPauseDuration{20};

/// Minimum time between two responses that are read without room. What holds the memory may be
/// requests that wait for these very responses. Callers that don't read theirs are ended faster.
constexpr milliseconds kForcedReadInterval{250};

constexpr int kFirstErrorStatus = 400;

struct Connection {
  int socket_ = -1;
  bool connecting_ = true;
  bool closed_ = false;
  bool ended_ = false;               ///< Closed or reset by the upstream.
  UpstreamClient::CallId call_ = 0;  ///< 0 while idle.
  std::string output_;
  std::size_t sent_ = 0;
  std::optional<ResponseReader> reader_;
  BootTime reuse_deadline_{};
  std::string previous_correlation_value_;  ///< Of the request before; empty on a new connection.
  /// Of requests that were answered with an error here, and may therefore be sent again.
  std::set<std::string> failed_correlation_values_;
  int skipped_responses_ = 0;  ///< Repeated responses to the request before.
};

using ConnectionPointer = std::shared_ptr<Connection>;

struct OpenCall {
  UpstreamCall call_;
  UpstreamClient::Callback callback_;
  std::string expected_correlation_value_;
  ConnectionPointer connection_;
  ReactorLoop::TimerId timer_ = 0;
  ReactorLoop::TimerId send_timer_ = 0;
};

/// Whether a byte of the connection's request can have been sent.
bool MaybeSent(const Connection& connection) {
  return !connection.connecting_ && connection.sent_ > 0;
}

std::string Serialize(const HttpRequest& request) {
  std::string text = request.method_ + " " + request.path_ + " HTTP/1.1\r\n";
  for (const auto& [name, value] : request.headers_) {
    text += name;
    text += ": ";
    text += value;
    text += "\r\n";
  }
  // GET and HEAD usually have no body, so an empty one needs no Content-Length.
  if (!request.body_.empty() || (request.method_ != "GET" && request.method_ != "HEAD")) {
    text += "Content-Length: " + std::to_string(request.body_.size()) + "\r\n";
  }
  text += "\r\n";
  text += request.body_;
  return text;
}

/// Idle time for which a connection may be reused: "timeout=N" (seconds) of the Keep-Alive header
/// less the margin, or the default.
milliseconds IdleTimeout(const HttpResponse& response) {
  constexpr std::string_view kTimeout = "timeout=";
  const std::string_view header = FindHeader(response.headers_, "Keep-Alive");
  const std::size_t position = header.find(kTimeout);
  if (position == std::string_view::npos) {
    return kDefaultIdleTimeout;
  }
  const std::string_view digits = header.substr(position + kTimeout.size());
  int seconds = 0;
  std::from_chars(digits.data(), digits.data() + digits.size(), seconds);
  return std::max(milliseconds(0), milliseconds(seconds * 1000LL) - kIdleTimeoutMargin);
}

void SetUnacknowledgedDataTimeout(int socket) {
  const auto limit = static_cast<unsigned>(kUnacknowledgedDataTimeout.count());
  setsockopt(socket, IPPROTO_TCP, TCP_USER_TIMEOUT, &limit, sizeof(limit));
}

}  // namespace

struct UpstreamClient::Impl {
  explicit Impl(ReactorLoop& loop) : loop_(loop), buffer_(kReadBytes) {}
  ~Impl();
  Impl(const Impl&) = delete;
  Impl& operator=(const Impl&) = delete;

  CallId Start(UpstreamCall call, Callback callback);
  /// Returns a connection that may be used for a request with this correlation value, or null.
  ConnectionPointer TakeIdleConnection(const std::string& correlation_value);
  ConnectionPointer Open(CallId id);
  void Watch(const ConnectionPointer& connection);
  void OnReady(const ConnectionPointer& connection, unsigned ready);
  void OnConnected(const ConnectionPointer& connection);
  bool Flush(const ConnectionPointer& connection);
  void Read(const ConnectionPointer& connection);
  /// Whether the response takes memory that isn't there now.
  bool AwaitsRoom(const Connection& connection) const;
  void Pause(const ConnectionPointer& connection);
  void ResumePaused();
  void Receive(const ConnectionPointer& connection, std::string_view bytes);
  void OnResponse(const ConnectionPointer& connection, std::string_view extra_bytes);
  bool SkipsResponse(const ConnectionPointer& connection, const HttpResponse& response);
  void Fail(const ConnectionPointer& connection, Error error, bool refused = false);
  void Finish(CallId id, UpstreamResult result);
  void OnSendTimeout(CallId id);
  void CancelTimers(const OpenCall& open);
  std::size_t PartialBytes() const;
  /// Number of established connections.
  std::size_t OpenConnections() const;
  void MakeRoom();
  /// Frees the memory of the largest incomplete response.
  void FailLargestResponse();
  void Close(const ConnectionPointer& connection);
  void CloseIdleConnections();

  ReactorLoop& loop_;
  std::string address_;
  std::unordered_map<CallId, OpenCall> calls_;
  std::vector<ConnectionPointer> idle_connections_;  ///< Most recently used last.
  std::vector<char> buffer_;
  CallId last_id_ = 0;
  std::size_t abandoned_connections_ = 0;  ///< See HeldConnections.
  std::optional<std::size_t> max_connections_;
  std::function<bool(std::size_t)> has_room_ = [](std::size_t) { return true; };
  std::vector<ConnectionPointer> paused_;  ///< Connections that aren't read.
  ReactorLoop::TimerId resume_timer_ = 0;
  CallId forced_call_ = 0;  ///< The call whose response is read without room; 0 if none ever was.
  BootTime forced_at_{};
  UpstreamClientCounts counts_;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);  // Checked by posted tasks.
};

UpstreamClient::Impl::~Impl() {
  *alive_ = false;
  loop_.CancelTimer(resume_timer_);
  CloseIdleConnections();
  for (const auto& [id, call] : std::exchange(calls_, {})) {
    CancelTimers(call);
    if (call.connection_ != nullptr) {
      Close(call.connection_);
    }
  }
}

UpstreamClient::CallId UpstreamClient::Impl::Start(UpstreamCall call, Callback callback) {
  const CallId id = ++last_id_;
  OpenCall& open = calls_[id];
  open.expected_correlation_value_ = FindHeader(call.request_.headers_, call.correlation_header_);
  open.call_ = std::move(call);
  open.callback_ = std::move(callback);
  open.timer_ = loop_.StartTimer(open.call_.timeout_, [this, id] {
    const ConnectionPointer connection = calls_.at(id).connection_;
    const Error error = MakeError(Errc::kTimedOut, "call upstream", address_, {});
    if (connection != nullptr) {
      Fail(connection, error);
    } else {
      Finish(id, {error, false, false});
    }
  });
  if (open.call_.send_timeout_.count() > 0) {
    open.send_timer_ =
        loop_.StartTimer(open.call_.send_timeout_, [this, id] { OnSendTimeout(id); });
  }
  ConnectionPointer connection = TakeIdleConnection(open.expected_correlation_value_);
  if (connection == nullptr) {
    connection = Open(id);
  }
  if (connection == nullptr) {
    return id;
  }
  open.connection_ = connection;
  connection->call_ = id;
  connection->output_ = Serialize(open.call_.request_);
  connection->sent_ = 0;
  connection->reader_.emplace(open.call_.max_response_bytes_);
  if (!connection->connecting_) {
    // Posted, so that a failure does not run the callback from within Start.
    loop_.Post([this, alive = alive_, connection, id] {
      if (*alive && !connection->closed_ && connection->call_ == id) {
        Flush(connection);
      }
    });
  }
  return id;
}

void UpstreamClient::Impl::OnSendTimeout(CallId id) {
  OpenCall& open = calls_.at(id);
  open.send_timer_ = 0;
  if (open.connection_ != nullptr && !MaybeSent(*open.connection_)) {
    Fail(open.connection_, MakeError(Errc::kTimedOut, "connect to upstream", address_, {}));
  }
}

void UpstreamClient::Impl::CancelTimers(const OpenCall& open) {
  loop_.CancelTimer(open.timer_);
  loop_.CancelTimer(open.send_timer_);
}

ConnectionPointer UpstreamClient::Impl::TakeIdleConnection(const std::string& correlation_value) {
  const BootTime now = BootClock::now();
  for (std::size_t i = idle_connections_.size(); i-- > 0;) {
    ConnectionPointer connection = idle_connections_[i];
    // A late copy of the earlier response would pass for the response to this attempt.
    if (connection->failed_correlation_values_.contains(correlation_value)) {
      continue;
    }
    idle_connections_.erase(idle_connections_.begin() + static_cast<std::ptrdiff_t>(i));
    // A connection on which data or an end of stream has arrived while idle can't be reused.
    char byte = 0;
    const ssize_t count = recv(connection->socket_, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    if (now < connection->reuse_deadline_ && count < 0 && errno == EAGAIN) {
      ++counts_.requests_on_reused_connections_;
      return connection;
    }
    counts_.unsolicited_data_ += count > 0 ? 1 : 0;
    connection->ended_ = count == 0 || (count < 0 && errno != EAGAIN);
    Close(connection);
  }
  return nullptr;
}

// An idle connection that isn't reused for this call still counts at the upstream.
void UpstreamClient::Impl::MakeRoom() {
  while (max_connections_ && !idle_connections_.empty() && OpenConnections() >= *max_connections_) {
    Close(idle_connections_.front());
    idle_connections_.erase(idle_connections_.begin());
  }
}

ConnectionPointer UpstreamClient::Impl::Open(CallId id) {
  MakeRoom();
  const Result<int> socket = OpenConnectingSocket(address_);
  if (!socket) {
    loop_.Post([this, alive = alive_, id, error = socket.error()] {
      if (*alive) {
        const bool refused = error.code_ == std::error_code(ECONNREFUSED, std::generic_category());
        Finish(id, {error, false, refused});
      }
    });
    return nullptr;
  }
  ++counts_.connections_opened_;
  auto connection = std::make_shared<Connection>();
  connection->socket_ = socket.value();
  SetNoDelay(connection->socket_);
  SetUnacknowledgedDataTimeout(connection->socket_);
  Watch(connection);
  return connection;
}

void UpstreamClient::Impl::Watch(const ConnectionPointer& connection) {
  const bool write = connection->connecting_ || connection->sent_ < connection->output_.size();
  const Result<void> watched =
      loop_.Watch(connection->socket_, write ? kReadBit | kWriteBit : kReadBit,
                  [this, connection](unsigned ready) { OnReady(connection, ready); });
  // A connection that can't be watched is closed by the timeout of its call.
  static_cast<void>(watched);
}

void UpstreamClient::Impl::OnReady(const ConnectionPointer& connection, unsigned ready) {
  if (connection->connecting_) {
    OnConnected(connection);
    return;
  }
  if ((ready & kWriteBit) != 0 && !Flush(connection)) {
    return;
  }
  if ((ready & kReadBit) != 0 && !connection->closed_) {
    Read(connection);
  }
}

void UpstreamClient::Impl::OnConnected(const ConnectionPointer& connection) {
  int error_number = 0;
  socklen_t length = sizeof(error_number);
  getsockopt(connection->socket_, SOL_SOCKET, SO_ERROR, &error_number, &length);
  if (error_number != 0) {
    Fail(connection, SystemError(error_number, "connect to upstream", address_),
         error_number == ECONNREFUSED);
    return;
  }
  connection->connecting_ = false;
  if (Flush(connection)) {
    Watch(connection);
  }
}

// Writes the request to the socket. False when the connection has failed.
bool UpstreamClient::Impl::Flush(const ConnectionPointer& connection) {
  const std::string& output = connection->output_;
  const bool had_backlog = connection->sent_ > 0;
  while (connection->sent_ < output.size()) {
    const ssize_t count = send(connection->socket_, output.data() + connection->sent_,
                               output.size() - connection->sent_, MSG_NOSIGNAL);
    if (count >= 0) {
      connection->sent_ += static_cast<std::size_t>(count);
    } else if (errno == EAGAIN) {
      Watch(connection);
      return true;
    } else if (errno != EINTR) {
      connection->ended_ = true;
      Fail(connection, SystemError(errno, "send to upstream", address_));
      return false;
    }
  }
  if (had_backlog) {
    Watch(connection);
  }
  return true;
}

bool UpstreamClient::Impl::AwaitsRoom(const Connection& connection) const {
  return connection.call_ != 0 && connection.call_ != forced_call_ && connection.reader_ &&
         connection.reader_->BufferedBytes() >= kMinResponseRoomBytes && !has_room_(PartialBytes());
}

void UpstreamClient::Impl::Pause(const ConnectionPointer& connection) {
  loop_.Unwatch(connection->socket_);
  paused_.push_back(connection);
  if (resume_timer_ == 0) {
    resume_timer_ = loop_.StartTimer(kPauseDuration, [this] { ResumePaused(); });
  }
}

void UpstreamClient::Impl::ResumePaused() {
  resume_timer_ = 0;
  const BootTime now = BootClock::now();
  std::erase_if(paused_, [](const ConnectionPointer& connection) { return connection->closed_; });
  if (!paused_.empty() && !calls_.contains(forced_call_) &&
      now - forced_at_ >= kForcedReadInterval) {
    const auto oldest = std::min_element(
        paused_.begin(), paused_.end(),
        [](const auto& left, const auto& right) { return left->call_ < right->call_; });
    forced_call_ = (*oldest)->call_;
    forced_at_ = now;
  }
  for (const ConnectionPointer& connection : std::exchange(paused_, {})) {
    Watch(connection);
  }
}

void UpstreamClient::Impl::Read(const ConnectionPointer& connection) {
  if (AwaitsRoom(*connection)) {
    Pause(connection);
    return;
  }
  const ssize_t count = recv(connection->socket_, buffer_.data(), buffer_.size(), 0);
  if (count < 0 && (errno == EAGAIN || errno == EINTR)) {
    return;
  }
  abandoned_connections_ = 0;
  connection->ended_ = count <= 0;
  if (connection->call_ == 0) {
    // An idle connection was closed by the upstream or received data that belongs to no request.
    counts_.unsolicited_data_ += count > 0 ? 1 : 0;
    std::erase(idle_connections_, connection);
    Close(connection);
    return;
  }
  if (count < 0) {
    Fail(connection, SystemError(errno, "read from upstream", address_));
    return;
  }
  if (count > 0) {
    Receive(connection, std::string_view(buffer_.data(), static_cast<std::size_t>(count)));
    return;
  }
  if (auto ended = connection->reader_->ReceiveEnd(); !ended) {
    Fail(connection, ended.error());
    return;
  }
  OnResponse(connection, {});
}

void UpstreamClient::Impl::Receive(const ConnectionPointer& connection, std::string_view bytes) {
  const Result<std::size_t> used = connection->reader_->Receive(bytes);
  if (!used) {
    Fail(connection, used.error());
    return;
  }
  if (connection->reader_->IsComplete()) {
    OnResponse(connection, bytes.substr(used.value()));
  } else if (PartialBytes() > kMaxPartialResponseBytes) {
    FailLargestResponse();
  }
}

void UpstreamClient::Impl::FailLargestResponse() {
  ConnectionPointer largest;
  for (const auto& [id, call] : calls_) {
    if (call.connection_ != nullptr && call.connection_->reader_ &&
        (largest == nullptr ||
         call.connection_->reader_->BufferedBytes() > largest->reader_->BufferedBytes())) {
      largest = call.connection_;
    }
  }
  Fail(largest, MakeError(Errc::kTooLarge, "read from upstream", address_,
                          "incomplete responses exceed the memory for them"));
}

std::size_t UpstreamClient::Impl::PartialBytes() const {
  std::size_t bytes = 0;
  for (const auto& [id, call] : calls_) {
    if (call.connection_ != nullptr && call.connection_->reader_) {
      bytes += call.connection_->reader_->BufferedBytes();
    }
  }
  return bytes;
}

std::size_t UpstreamClient::Impl::OpenConnections() const {
  const auto connected = std::count_if(calls_.begin(), calls_.end(), [](const auto& call) {
    const ConnectionPointer& connection = call.second.connection_;
    return connection != nullptr && !connection->closed_ && !connection->connecting_;
  });
  return idle_connections_.size() + static_cast<std::size_t>(connected);
}

// An upstream may send a second copy of a response late, when the next request has been written
// already. The response to that request follows the copy.
bool UpstreamClient::Impl::SkipsResponse(const ConnectionPointer& connection,
                                         const HttpResponse& response) {
  const OpenCall& open = calls_.at(connection->call_);
  const std::string_view value = FindHeader(response.headers_, open.call_.correlation_header_);
  if (open.call_.correlation_header_.empty() || value.empty() ||
      value == open.expected_correlation_value_ ||
      value != connection->previous_correlation_value_ || connection->ended_ ||
      connection->skipped_responses_ >= kMaxSkippedResponses) {
    return false;
  }
  ++connection->skipped_responses_;
  ++counts_.unsolicited_data_;
  return true;
}

void UpstreamClient::Impl::OnResponse(const ConnectionPointer& connection,
                                      std::string_view extra_bytes) {
  const CallId id = connection->call_;
  OpenCall& open = calls_.at(id);
  const bool reusable = connection->reader_->IsKeepAlive() && extra_bytes.empty() &&
                        connection->failed_correlation_values_.size() < kMaxFailedResponses &&
                        !connection->ended_ && connection->skipped_responses_ == 0 &&
                        connection->sent_ == connection->output_.size();
  HttpResponse response = connection->reader_->TakeResponse();
  if (SkipsResponse(connection, response)) {
    connection->reader_.emplace(open.call_.max_response_bytes_);
    if (!extra_bytes.empty()) {
      Receive(connection, extra_bytes);
    }
    return;
  }
  if (!open.call_.correlation_header_.empty() &&
      FindHeader(response.headers_, open.call_.correlation_header_) !=
          open.expected_correlation_value_) {
    ++counts_.unsolicited_data_;
    Fail(connection, MakeError(Errc::kMalformed, "read from upstream", address_,
                               "correlation header of the response does not match the request"));
    return;
  }
  connection->call_ = 0;
  connection->reader_.reset();
  if (reusable) {
    connection->previous_correlation_value_ = open.expected_correlation_value_;
    if (response.status_ >= kFirstErrorStatus && !open.expected_correlation_value_.empty()) {
      connection->failed_correlation_values_.insert(open.expected_correlation_value_);
    }
    connection->reuse_deadline_ = BootClock::now() + IdleTimeout(response);
    idle_connections_.push_back(connection);
  } else {
    Close(connection);
  }
  Finish(id, {std::move(response), true, false});
}

void UpstreamClient::Impl::Fail(const ConnectionPointer& connection, Error error, bool refused) {
  if (connection->closed_) {
    return;
  }
  const CallId id = std::exchange(connection->call_, 0);
  const bool maybe_sent = MaybeSent(*connection);
  Close(connection);
  if (id != 0) {
    Finish(id, {std::move(error), maybe_sent, refused});
  }
}

void UpstreamClient::Impl::Finish(CallId id, UpstreamResult result) {
  const auto found = calls_.find(id);
  if (found == calls_.end()) {
    return;
  }
  OpenCall open = std::move(found->second);
  calls_.erase(found);
  CancelTimers(open);
  open.callback_(std::move(result));
}

void UpstreamClient::Impl::Close(const ConnectionPointer& connection) {
  if (connection->closed_) {
    return;
  }
  connection->closed_ = true;
  abandoned_connections_ += connection->connecting_ || connection->ended_ ? 0 : 1;
  loop_.Unwatch(connection->socket_);
  close(std::exchange(connection->socket_, -1));
}

void UpstreamClient::Impl::CloseIdleConnections() {
  for (const ConnectionPointer& connection : std::exchange(idle_connections_, {})) {
    Close(connection);
  }
}

UpstreamClient::UpstreamClient(ReactorLoop& loop) : impl_(std::make_unique<Impl>(loop)) {}
UpstreamClient::~UpstreamClient() = default;

void UpstreamClient::SetAddress(std::string_view address) {
  if (impl_->address_ != address) {
    impl_->address_ = address;
    impl_->CloseIdleConnections();
    impl_->abandoned_connections_ = 0;
  }
}

void UpstreamClient::SetMaxConnections(std::optional<std::size_t> connections) {
  impl_->max_connections_ = connections;
}

void UpstreamClient::SetRoom(std::function<bool(std::size_t)> has_room) {
  impl_->has_room_ = std::move(has_room);
}

UpstreamClient::CallId UpstreamClient::Start(UpstreamCall call, Callback callback) {
  return impl_->Start(std::move(call), std::move(callback));
}

bool UpstreamClient::Cancel(CallId call) {
  const auto found = impl_->calls_.find(call);
  if (found == impl_->calls_.end()) {
    return true;
  }
  const OpenCall open = std::move(found->second);
  impl_->calls_.erase(found);
  impl_->CancelTimers(open);
  if (open.connection_ == nullptr) {
    return false;
  }
  open.connection_->call_ = 0;
  impl_->Close(open.connection_);
  return MaybeSent(*open.connection_);
}

UpstreamClientCounts UpstreamClient::Counts() const {
  UpstreamClientCounts counts = impl_->counts_;
  counts.partial_bytes_ = impl_->PartialBytes();
  return counts;
}

HeldConnections UpstreamClient::Held() const {
  return {impl_->OpenConnections(), impl_->abandoned_connections_};
}

}  // namespace sassafrasbay

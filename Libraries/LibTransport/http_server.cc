#include "LibTransport/http_server.h"

#include <microhttpd.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <charconv>
#include <chrono>
#include <optional>
#include <unordered_map>
#include <unordered_set>
#include <utility>

#include "LibTransport/http_exchange.h"
#include "LibTransport/tcp_socket.h"

namespace sassafrasbay {
namespace {

// Limit of the request line and all headers; libmicrohttpd answers 431 above it.
constexpr std::size_t kConnectionMemoryBytes = 32U << 10U;
// Inactivity timeout while the body of a request is received or a response is sent. Frees
// connections of callers that disappeared meanwhile. Does not apply to suspended connections.
constexpr milliseconds kTransferTimeout{120000};
// Interval at which expired connections are closed.
constexpr milliseconds kExpiryInterval{500};
// Value of MHD_OPTION_CONNECTION_TIMEOUT for none. libmicrohttpd visits all connections that have a
// timeout of their own in each run, so the timeouts are kept here.
constexpr unsigned kNoTimeout = 0;
// libmicrohttpd can't respond in the middle of a body, so the rest of an oversize chunked body is
// read and discarded. Above this multiple of the body limit, the connection is closed instead.
constexpr std::size_t kMaxDiscardRatio = 4;

constexpr int kContentTooLarge = 413;
constexpr int kHeadersTooLarge = 431;

/// When a connection that isn't suspended is closed.
struct ConnectionDeadline {
  BootTime at_{};
  bool awaits_request_ = false;         ///< No head has been read since the last response.
  std::optional<BootTime> idle_since_;  ///< Set between two requests.
};

/// Whether bytes wait to be read from the socket.
bool HasUnreadBytes(int socket) {
  char byte = 0;
  return recv(socket, &byte, 1, MSG_PEEK | MSG_DONTWAIT) > 0;
}

class Server final : public HttpServer, public ExchangeServer {
 public:
  Server(ReactorLoop& loop, const HttpLimits& limits, HttpHandler handler)
      : loop_(loop), limits_(limits), handler_(std::move(handler)) {}
  ~Server() override;
  Server(const Server&) = delete;
  Server& operator=(const Server&) = delete;

  Result<void> Start(int listen_socket, unsigned max_connections);
  void SetLimits(const HttpLimits& limits) override;
  void StopAccepting() override;
  void CloseAfterResponses() override { closes_connections_ = true; }
  std::size_t OpenExchanges() const override { return open_exchanges_; }
  std::uint16_t Port() const override { return port_; }
  ReactorLoop& Loop() { return loop_; }

  MHD_Result OnAccess(const ExchangeStatePointer& exchange, MHD_Connection* connection,
                      const char* method, std::string_view upload, size_t* upload_size);
  void OnConnected(MHD_Connection* connection);
  void OnDisconnected(MHD_Connection* connection) { deadlines_.erase(connection); }
  void OnCompleted(ExchangeState& exchange);
  void Resume(ExchangeState& exchange) override;

 private:
  MHD_Result BeginRequest(ExchangeState& exchange, const char* method);
  MHD_Result ReceiveBody(ExchangeState& exchange, std::string_view upload, size_t* upload_size);
  MHD_Result Dispatch(const ExchangeStatePointer& exchange);
  MHD_Result SendResponse(ExchangeState& exchange);
  MHD_Result Reject(ExchangeState& exchange, int status);
  void SetTimeout(MHD_Connection* connection, milliseconds timeout);
  void CloseExpiredConnections();
  void WatchForDisconnect(const ExchangeStatePointer& exchange);
  void CheckForDisconnect(const ExchangeStatePointer& exchange, int socket);
  void RunDaemon();
  void ScheduleRun();
  void ScheduleTimer();

  ReactorLoop& loop_;
  HttpLimits limits_;
  HttpHandler handler_;
  MHD_Daemon* daemon_ = nullptr;
  int epoll_descriptor_ = -1;
  std::uint16_t port_ = 0;
  bool accepting_ = true;
  bool closes_connections_ = false;  // After each response.
  std::size_t open_exchanges_ = 0;
  std::unordered_set<ExchangeState*> suspended_;
  // Of all connections that aren't suspended.
  std::unordered_map<MHD_Connection*, ConnectionDeadline> deadlines_;
  ReactorLoop::TimerId expiry_timer_ = 0;
  bool run_posted_ = false;
  ReactorLoop::TimerId timer_ = 0;
  BootTime timer_expiry_;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);  // Checked by posted tasks.
};

int GetSocket(MHD_Connection* connection) {
  const MHD_ConnectionInfo* info =
      MHD_get_connection_info(connection, MHD_CONNECTION_INFO_CONNECTION_FD);
  return info == nullptr ? -1 : info->connect_fd;
}

// libmicrohttpd passes the original URI only to this callback; the path passed to OnAccess is
// decoded.
void* OnUri(void* server, const char* uri, MHD_Connection* connection) {
  auto exchange = std::make_shared<ExchangeState>();
  exchange->server_ = static_cast<Server*>(server);
  exchange->loop_ = &static_cast<Server*>(server)->Loop();
  exchange->connection_ = connection;
  exchange->request_.path_ = uri;
  return new ExchangeStatePointer(std::move(exchange));
}

MHD_Result OnAccess(void* server, MHD_Connection* connection, const char*, const char* method,
                    const char*, const char* upload, size_t* upload_size, void** context) {
  const auto* exchange = static_cast<ExchangeStatePointer*>(*context);
  return static_cast<Server*>(server)->OnAccess(
      *exchange, connection, method, std::string_view(upload, *upload_size), upload_size);
}

void OnCompleted(void* server, MHD_Connection*, void** context, MHD_RequestTerminationCode) {
  auto* exchange = static_cast<ExchangeStatePointer*>(*context);
  if (exchange == nullptr) {
    return;
  }
  static_cast<Server*>(server)->OnCompleted(**exchange);
  delete exchange;
  *context = nullptr;
}

void OnConnection(void* server, MHD_Connection* connection, void**,
                  MHD_ConnectionNotificationCode code) {
  if (code == MHD_CONNECTION_NOTIFY_STARTED) {
    SetNoDelay(GetSocket(connection));
    static_cast<Server*>(server)->OnConnected(connection);
  } else {
    static_cast<Server*>(server)->OnDisconnected(connection);
  }
}

Result<void> Server::Start(int listen_socket, unsigned max_connections) {
  port_ = BoundPort(listen_socket);
  daemon_ = MHD_start_daemon(
      MHD_USE_EPOLL | MHD_ALLOW_SUSPEND_RESUME, 0, nullptr, nullptr, &sassafrasbay::OnAccess, this,
      MHD_OPTION_LISTEN_SOCKET, listen_socket, MHD_OPTION_CONNECTION_LIMIT, max_connections,
      MHD_OPTION_CONNECTION_MEMORY_LIMIT, kConnectionMemoryBytes, MHD_OPTION_CONNECTION_TIMEOUT,
      kNoTimeout, MHD_OPTION_URI_LOG_CALLBACK, &OnUri, this, MHD_OPTION_NOTIFY_COMPLETED,
      &sassafrasbay::OnCompleted, this, MHD_OPTION_NOTIFY_CONNECTION, &OnConnection, this,
      MHD_OPTION_END);
  if (daemon_ == nullptr) {
    const int number = errno;
    close(listen_socket);
    return SystemError(number, "start HTTP server", std::to_string(port_));
  }
  expiry_timer_ = loop_.StartRepeatingTimer(kExpiryInterval, [this] { CloseExpiredConnections(); });
  epoll_descriptor_ = MHD_get_daemon_info(daemon_, MHD_DAEMON_INFO_EPOLL_FD)->epoll_fd;
  return loop_.Watch(epoll_descriptor_, static_cast<unsigned>(Readiness::kRead),
                     [this](unsigned) { RunDaemon(); });
}

Server::~Server() {
  *alive_ = false;
  loop_.CancelTimer(timer_);
  loop_.CancelTimer(expiry_timer_);
  if (daemon_ == nullptr) {
    return;
  }
  loop_.Unwatch(epoll_descriptor_);
  // Resume suspended connections: libmicrohttpd aborts the process when it is stopped with any.
  for (ExchangeState* exchange : std::exchange(suspended_, {})) {
    loop_.Unwatch(GetSocket(exchange->connection_));
    exchange->phase_ = ExchangePhase::kClosed;
    MHD_resume_connection(exchange->connection_);
  }
  MHD_stop_daemon(daemon_);
}

void Server::StopAccepting() {
  if (!accepting_) {
    return;
  }
  accepting_ = false;
  const int listen_socket = MHD_quiesce_daemon(daemon_);
  if (listen_socket >= 0) {
    close(listen_socket);
  }
}

MHD_Result Server::OnAccess(const ExchangeStatePointer& exchange, MHD_Connection* connection,
                            const char* method, std::string_view upload, size_t* upload_size) {
  if (!exchange->started_) {
    exchange->connection_ = connection;
    return BeginRequest(*exchange, method);
  }
  if (!upload.empty()) {
    return ReceiveBody(*exchange, upload, upload_size);
  }
  if (exchange->too_large_) {
    return Reject(*exchange, kContentTooLarge);
  }
  if (!exchange->dispatched_) {
    return Dispatch(exchange);
  }
  return exchange->phase_ == ExchangePhase::kAnswered ? SendResponse(*exchange) : MHD_NO;
}

MHD_Result Server::BeginRequest(ExchangeState& exchange, const char* method) {
  exchange.started_ = true;
  ++open_exchanges_;
  exchange.request_.method_ = method;
  exchange.request_.headers_ = ReadHeaders(exchange.connection_);
  SetTimeout(exchange.connection_, kTransferTimeout);
  std::size_t header_bytes = 0;
  for (const auto& [name, value] : exchange.request_.headers_) {
    header_bytes += name.size() + value.size();
  }
  if (header_bytes > limits_.max_header_bytes_) {
    return Reject(exchange, kHeadersTooLarge);
  }
  const std::string_view length = FindHeader(exchange.request_.headers_, "Content-Length");
  std::size_t bytes = 0;
  std::from_chars(length.data(), length.data() + length.size(), bytes);
  if (bytes > limits_.max_body_bytes_) {
    return Reject(exchange, kContentTooLarge);
  }
  exchange.request_.body_.reserve(bytes);
  return MHD_YES;
}

MHD_Result Server::ReceiveBody(ExchangeState& exchange, std::string_view upload,
                               size_t* upload_size) {
  *upload_size = 0;
  SetTimeout(exchange.connection_, kTransferTimeout);
  exchange.received_bytes_ += upload.size();
  if (exchange.received_bytes_ <= limits_.max_body_bytes_) {
    exchange.request_.body_.append(upload);
    return MHD_YES;
  }
  exchange.too_large_ = true;
  exchange.request_.body_.clear();
  const bool exceeds_discard_limit =
      exchange.received_bytes_ > limits_.max_body_bytes_ * kMaxDiscardRatio;
  return exceeds_discard_limit ? MHD_NO : MHD_YES;
}

MHD_Result Server::Dispatch(const ExchangeStatePointer& exchange) {
  exchange->dispatched_ = true;
  exchange->phase_ = ExchangePhase::kWaiting;
  handler_(MakeExchangeHandle(exchange));
  if (exchange->phase_ == ExchangePhase::kAnswered) {
    return SendResponse(*exchange);
  }
  exchange->suspended_ = true;
  deadlines_.erase(exchange->connection_);
  suspended_.insert(exchange.get());
  MHD_suspend_connection(exchange->connection_);
  WatchForDisconnect(exchange);
  return MHD_YES;
}

MHD_Result Server::SendResponse(ExchangeState& exchange) {
  SetTimeout(exchange.connection_, kTransferTimeout);
  const int status = exchange.response_.status_;
  const bool valid = status >= MHD_HTTP_OK && status < 600;
  MHD_Response* response = MakeResponse(exchange.response_);
  if (!accepting_ || closes_connections_) {
    MHD_add_response_header(response, "Connection", "close");
  }
  const auto code = static_cast<unsigned>(valid ? status : MHD_HTTP_INTERNAL_SERVER_ERROR);
  const MHD_Result result = MHD_queue_response(exchange.connection_, code, response);
  MHD_destroy_response(response);
  return result;
}

MHD_Result Server::Reject(ExchangeState& exchange, int status) {
  exchange.response_ = HttpResponse{
      status,
      {},
      status == kContentTooLarge ? "request body is too large\n" : "headers are too large\n"};
  return SendResponse(exchange);
}

void Server::OnConnected(MHD_Connection* connection) {
  deadlines_[connection] = {BootClock::now() + limits_.header_timeout_, true, std::nullopt};
}

void Server::SetTimeout(MHD_Connection* connection, milliseconds timeout) {
  deadlines_[connection] = {BootClock::now() + timeout, false, std::nullopt};
}

// Callers may reuse idle connections up to the limit in force, so a longer one applies to them too.
// A shorter one doesn't, since callers may not know it yet.
void Server::SetLimits(const HttpLimits& limits) {
  limits_ = limits;
  for (auto& [connection, deadline] : deadlines_) {
    if (deadline.idle_since_) {
      deadline.at_ = std::max(deadline.at_, *deadline.idle_since_ + limits_.idle_timeout_);
    }
  }
}

// libmicrohttpd notices the end of the stream and closes the connection. A request that has arrived
// but hasn't been read, because this thread was busy or paused, came in time.
void Server::CloseExpiredConnections() {
  const BootTime now = BootClock::now();
  for (auto entry = deadlines_.begin(); entry != deadlines_.end();) {
    auto& [connection, deadline] = *entry;
    const int socket = GetSocket(connection);
    if (deadline.at_ <= now && deadline.awaits_request_ && HasUnreadBytes(socket)) {
      deadline.at_ = now + limits_.header_timeout_;
    }
    if (now < deadline.at_) {
      ++entry;
      continue;
    }
    shutdown(socket, SHUT_RDWR);
    entry = deadlines_.erase(entry);
  }
}

void Server::OnCompleted(ExchangeState& exchange) {
  const BootTime now = BootClock::now();
  deadlines_[exchange.connection_] = {now + limits_.idle_timeout_, true, now};
  if (exchange.started_) {
    --open_exchanges_;
  }
  exchange.phase_ = ExchangePhase::kClosed;
  exchange.connection_ = nullptr;
  // The callback may hold the last reference to the handler's exchange object, so it is destroyed
  // last.
  const auto callback = std::exchange(exchange.on_abandoned_, nullptr);
}

// libmicrohttpd does not poll the socket of a suspended connection, so disconnects are detected
// here.
void Server::WatchForDisconnect(const ExchangeStatePointer& exchange) {
  const int socket = GetSocket(exchange->connection_);
  const Result<void> watched =
      loop_.Watch(socket, static_cast<unsigned>(Readiness::kRead),
                  [this, exchange, socket](unsigned) { CheckForDisconnect(exchange, socket); });
  // If the watch fails, a disconnect is only detected when the response is sent.
  static_cast<void>(watched);
}

void Server::CheckForDisconnect(const ExchangeStatePointer& exchange, int socket) {
  char byte = 0;
  const ssize_t count = recv(socket, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
  if (count < 0 && (errno == EAGAIN || errno == EINTR)) {
    return;
  }
  // A pipelined request keeps the socket readable until the current one is answered, so the watch
  // would spin the loop.
  loop_.Unwatch(socket);
  if (count > 0) {
    return;
  }
  exchange->phase_ = ExchangePhase::kAbandoned;
  exchange->abandoned_ = true;
  Resume(*exchange);
  if (const auto callback = std::exchange(exchange->on_abandoned_, nullptr)) {
    callback();
  }
}

void Server::Resume(ExchangeState& exchange) {
  if (!exchange.suspended_) {
    return;
  }
  exchange.suspended_ = false;
  suspended_.erase(&exchange);
  loop_.Unwatch(GetSocket(exchange.connection_));
  MHD_resume_connection(exchange.connection_);
  ScheduleRun();
}

void Server::RunDaemon() {
  MHD_run(daemon_);
  ScheduleTimer();
}

// Coalesces the responses of one loop iteration into one run of the daemon.
void Server::ScheduleRun() {
  if (run_posted_) {
    return;
  }
  run_posted_ = true;
  loop_.Post([this, alive = alive_] {
    if (*alive) {
      run_posted_ = false;
      RunDaemon();
    }
  });
}

void Server::ScheduleTimer() {
  MHD_UNSIGNED_LONG_LONG wait = 0;
  if (MHD_get_timeout(daemon_, &wait) != MHD_YES) {
    return;
  }
  if (wait == 0) {
    ScheduleRun();
    return;
  }
  // Keep a timer that expires earlier: one extra run of the daemon is cheaper than rescheduling the
  // timer after each run.
  const BootTime expiry = BootClock::now() + milliseconds(wait);
  if (timer_ != 0 && timer_expiry_ <= expiry) {
    return;
  }
  loop_.CancelTimer(timer_);
  timer_expiry_ = expiry;
  timer_ = loop_.StartTimer(milliseconds(wait), [this] {
    timer_ = 0;
    RunDaemon();
  });
}

}  // namespace

HttpServerBuilder::HttpServerBuilder(ReactorLoop& loop) : loop_(loop) {}

HttpServerBuilder& HttpServerBuilder::Listen(std::string_view host, std::uint16_t port) {
  host_ = host;
  port_ = port;
  return *this;
}

HttpServerBuilder& HttpServerBuilder::MaxBodyBytes(std::size_t bytes) {
  limits_.max_body_bytes_ = bytes;
  return *this;
}

HttpServerBuilder& HttpServerBuilder::MaxConnections(unsigned connections) {
  max_connections_ = connections;
  return *this;
}

HttpServerBuilder& HttpServerBuilder::OnRequest(HttpHandler handler) {
  handler_ = std::move(handler);
  return *this;
}

Result<std::unique_ptr<HttpServer>> HttpServerBuilder::Build() {
  SASSAFRASBAY_TRY(listen_socket, OpenListenSocket(host_, port_));
  auto server = std::make_unique<Server>(loop_, limits_, handler_);
  const Result<void> started = server->Start(listen_socket, max_connections_);
  if (!started) {
    return started.error();
  }
  return std::unique_ptr<HttpServer>(std::move(server));
}

}  // namespace sassafrasbay

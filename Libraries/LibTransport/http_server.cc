#include "LibTransport/http_server.h"

#include <poll.h>
#include <sys/epoll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <cerrno>
#include <limits>
#include <unordered_map>
#include <utility>

#include "LibTransport/http_connection.h"
#include "LibTransport/tcp_socket.h"

namespace sassafrasbay {
namespace {

/// Interval between checks of timeouts, minimum rates and the budget.
constexpr milliseconds kCheckInterval{500};

/// Time without progress after which a connection may be ended when the budget is exhausted.
constexpr milliseconds kStallTime{1000};

/// Connections that may be ended in one check. With one, a crowd of 192 unfinished bodies that held
/// the budget took more than a minute to make room for an ordinary request.
constexpr int kMaxEndsPerCheck = 16;

constexpr std::size_t kReadBufferBytes = 64U << 10U;

/// Events, and accepted connections, that are handled before other descriptors of the loop.
constexpr std::size_t kMaxEventsPerTurn = 64;

/// Number of the listening socket among those of the connections.
constexpr ConnectionNumber kListener = 0;

class Server final : public HttpServer {
 public:
  Server(ReactorLoop& loop, const HttpLimits& limits, std::size_t max_connections,
         MemoryBudget* budget, std::size_t reserve_bytes, Metrics* metrics);
  ~Server() override;
  Server(const Server&) = delete;
  Server& operator=(const Server&) = delete;

  Result<void> Start(int listen_socket, HttpHandler handler, OverlapRule may_overlap);
  void SetLimits(const HttpLimits& limits) override;
  void StopAccepting() override;
  void CloseAfterResponses() override { context_.closes_connections_ = true; }
  std::size_t OpenExchanges() const override { return context_.open_exchanges_; }
  std::uint16_t Port() const override { return port_; }

 private:
  void OnEvents();
  void Accept();
  bool MakeRoom();
  void SetListening(bool listens);
  void ContinueDue();
  void ResumeBudgetWaiters();
  void ContinueWaiters();
  void Check();
  /// Returns whether a connection was ended.
  bool EndLargestStalled(BootTime now);
  void RemoveIfClosed(ConnectionNumber number);

  ReactorLoop& loop_;
  MemoryBudget own_budget_{std::numeric_limits<std::size_t>::max()};
  ConnectionContext context_;
  std::size_t max_connections_;
  int epoll_descriptor_ = -1;
  int listen_socket_ = -1;
  bool listening_ = false;  // The listening socket is watched.
  std::uint16_t port_ = 0;
  std::unordered_map<ConnectionNumber, std::unique_ptr<HttpConnection>> connections_;
  ConnectionNumber last_number_ = kListener;
  ReactorLoop::TimerId check_timer_ = 0;
  bool continue_posted_ = false;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);  // Checked by posted tasks.
};

Server::Server(ReactorLoop& loop, const HttpLimits& limits, std::size_t max_connections,
               MemoryBudget* budget, std::size_t reserve_bytes, Metrics* metrics)
    : loop_(loop),
      context_{.loop_ = loop,
               .limits_ = limits,
               .handler_ = {},
               .may_overlap_ = {},
               .budget_ = budget == nullptr ? own_budget_ : *budget,
               .reserve_bytes_ = reserve_bytes,
               .metrics_ = metrics,
               .read_buffer_ = std::vector<char>(kReadBufferBytes),
               .date_ = {},
               .due_ = {},
               .budget_waiters_ = {},
               .schedule_ = {}},
      max_connections_(std::max<std::size_t>(1, max_connections)) {}

// The sockets are in an epoll set of their own: the reactor takes one event in each call and
// registers the descriptor again after it, which costs two more system calls for each request.
Result<void> Server::Start(int listen_socket, HttpHandler handler, OverlapRule may_overlap) {
  listen_socket_ = listen_socket;
  port_ = BoundPort(listen_socket);
  // Accepted sockets inherit the option.
  SetNoDelay(listen_socket);
  context_.handler_ = std::move(handler);
  context_.may_overlap_ = std::move(may_overlap);
  context_.schedule_ = [this] { ContinueDue(); };
  epoll_descriptor_ = epoll_create1(EPOLL_CLOEXEC);
  if (epoll_descriptor_ < 0) {
    return SystemError(errno, "start HTTP server", std::to_string(port_));
  }
  SetListening(true);
  check_timer_ = loop_.StartRepeatingTimer(kCheckInterval, [this] { Check(); });
  return loop_.Watch(epoll_descriptor_, static_cast<unsigned>(Readiness::kRead),
                     [this](unsigned) { OnEvents(); });
}

Server::~Server() {
  *alive_ = false;
  loop_.CancelTimer(check_timer_);
  context_.budget_.OfferLargest(this, 0);
  connections_.clear();
  if (epoll_descriptor_ >= 0) {
    loop_.Unwatch(epoll_descriptor_);
    close(epoll_descriptor_);
  }
  if (listen_socket_ >= 0) {
    close(listen_socket_);
  }
}

void Server::SetListening(bool listens) {
  if (listening_ == listens || listen_socket_ < 0) {
    return;
  }
  listening_ = listens;
  epoll_event event{};
  event.events = EPOLLIN;
  event.data.u64 = kListener;
  epoll_ctl(epoll_descriptor_, listens ? EPOLL_CTL_ADD : EPOLL_CTL_DEL, listen_socket_, &event);
}

void Server::StopAccepting() {
  SetListening(false);
  context_.closes_connections_ = true;
  if (listen_socket_ >= 0) {
    close(std::exchange(listen_socket_, -1));
  }
}

void Server::SetLimits(const HttpLimits& limits) {
  context_.limits_ = limits;
  for (const auto& [number, connection] : connections_) {
    connection->OnLimitsChanged();
  }
}

void Server::OnEvents() {
  std::array<epoll_event, kMaxEventsPerTurn> events{};
  const int count = epoll_wait(epoll_descriptor_, events.data(), events.size(), 0);
  for (int i = 0; i < count; ++i) {
    const epoll_event& event = events[static_cast<std::size_t>(i)];
    if (event.data.u64 == kListener) {
      Accept();
      continue;
    }
    const auto found = connections_.find(event.data.u64);
    if (found != connections_.end()) {
      found->second->OnEvents(event.events);
      RemoveIfClosed(event.data.u64);
    }
  }
  ResumeBudgetWaiters();
}

void Server::Accept() {
  for (std::size_t i = 0; i < kMaxEventsPerTurn; ++i) {
    if (listen_socket_ < 0 || (connections_.size() >= max_connections_ && !MakeRoom())) {
      return;
    }
    const int socket = accept4(listen_socket_, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
    if (socket < 0) {
      // Without descriptors the listening socket stays ready; it is tried again at the next check.
      if (errno == EMFILE || errno == ENFILE || errno == ENOMEM || errno == ENOBUFS) {
        SetListening(false);
      }
      return;
    }
    const ConnectionNumber number = ++last_number_;
    epoll_event event{};
    event.events = EPOLLIN | EPOLLOUT | EPOLLRDHUP | EPOLLET;
    event.data.u64 = number;
    if (epoll_ctl(epoll_descriptor_, EPOLL_CTL_ADD, socket, &event) != 0) {
      close(socket);
      continue;
    }
    connections_[number] = std::make_unique<HttpConnection>(context_, number, socket);
  }
}

// Ends the connection that has been without a request for longest, if another one is to be
// accepted. If all have a request, further connections wait in the listening socket's queue.
bool Server::MakeRoom() {
  pollfd listener{listen_socket_, POLLIN, 0};
  if (poll(&listener, 1, 0) != 1) {
    return false;
  }
  auto longest = connections_.end();
  for (auto entry = connections_.begin(); entry != connections_.end(); ++entry) {
    const bool longer = longest == connections_.end() ||
                        entry->second->LastProgress() < longest->second->LastProgress();
    if (entry->second->IsUnused() && longer) {
      longest = entry;
    }
  }
  if (longest == connections_.end()) {
    SetListening(false);
    return false;
  }
  longest->second->EndForConnectionLimit();
  connections_.erase(longest);
  return true;
}

// Continues the connections once the present callback of the loop has returned, so that handlers
// aren't called from within others and the responses of one iteration are sent together.
void Server::ContinueDue() {
  if (continue_posted_) {
    return;
  }
  continue_posted_ = true;
  loop_.Post([this, alive = alive_] {
    if (*alive) {
      continue_posted_ = false;
      for (const ConnectionNumber number : std::exchange(context_.due_, {})) {
        const auto found = connections_.find(number);
        if (found != connections_.end()) {
          found->second->Continue();
          RemoveIfClosed(number);
        }
      }
      ResumeBudgetWaiters();
    }
  });
}

void Server::ResumeBudgetWaiters() {
  if (!context_.budget_waiters_.empty() &&
      context_.budget_.Room(0, context_.reserve_bytes_) >= kMinRoomBytes) {
    ContinueWaiters();
  }
}

void Server::ContinueWaiters() {
  for (const ConnectionNumber number : std::exchange(context_.budget_waiters_, {})) {
    const auto found = connections_.find(number);
    if (found != connections_.end()) {
      found->second->ContinueReading();
      RemoveIfClosed(number);
    }
  }
}

void Server::RemoveIfClosed(ConnectionNumber number) {
  const auto found = connections_.find(number);
  if (found == connections_.end() || !found->second->IsClosed()) {
    return;
  }
  connections_.erase(found);
  SetListening(true);
}

void Server::Check() {
  const BootTime now = BootClock::now();
  std::vector<ConnectionNumber> numbers;
  numbers.reserve(connections_.size());
  for (const auto& [number, connection] : connections_) {
    numbers.push_back(number);
  }
  for (const ConnectionNumber number : numbers) {
    connections_.at(number)->CheckDeadlines(now);
    RemoveIfClosed(number);
  }
  SetListening(true);
  MemoryBudget& budget = context_.budget_;
  const bool is_awaited = budget.TakeAwaited();
  const auto is_exhausted = [&] {
    return !context_.budget_waiters_.empty() ||
           (is_awaited && budget.Held() >= budget.ResponseLimit());
  };
  const bool exhausted = is_exhausted();
  // Also those that are now the only ones to hold bytes.
  ContinueWaiters();
  bool ends_more = exhausted;
  for (int ended = 0; ended < kMaxEndsPerCheck && ends_more && is_exhausted(); ++ended) {
    ends_more = EndLargestStalled(now);
  }
  if (!exhausted || !is_exhausted()) {
    context_.budget_.OfferLargest(this, 0);
  }
  if (context_.metrics_ != nullptr) {
    context_.metrics_->SetGauge("sassafrasbay_held_bytes", {},
                                static_cast<double>(context_.budget_.Held()));
  }
}

bool Server::EndLargestStalled(BootTime now) {
  ConnectionNumber largest = kListener;
  std::size_t bytes = 0;
  for (const auto& [number, connection] : connections_) {
    const std::size_t stalled = connection->StalledBytes(now, kStallTime);
    if (stalled > bytes) {
      largest = number;
      bytes = stalled;
    }
  }
  if (!context_.budget_.OfferLargest(this, bytes)) {
    return false;
  }
  connections_.at(largest)->EndForMemory();
  RemoveIfClosed(largest);
  ResumeBudgetWaiters();
  return true;
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

HttpServerBuilder& HttpServerBuilder::MaxConnections(std::size_t connections) {
  max_connections_ = connections;
  return *this;
}

HttpServerBuilder& HttpServerBuilder::OnRequest(HttpHandler handler) {
  handler_ = std::move(handler);
  return *this;
}

HttpServerBuilder& HttpServerBuilder::MayOverlap(OverlapRule rule) {
  may_overlap_ = std::move(rule);
  return *this;
}

HttpServerBuilder& HttpServerBuilder::Limits(const HttpLimits& limits) {
  limits_ = limits;
  return *this;
}

HttpServerBuilder& HttpServerBuilder::Budget(MemoryBudget& budget, std::size_t reserve_bytes) {
  budget_ = &budget;
  reserve_bytes_ = reserve_bytes;
  return *this;
}

HttpServerBuilder& HttpServerBuilder::CountIn(Metrics& metrics) {
  metrics_ = &metrics;
  return *this;
}

Result<std::unique_ptr<HttpServer>> HttpServerBuilder::Build() {
  SASSAFRASBAY_TRY(listen_socket, OpenListenSocket(host_, port_));
  auto server =
      std::make_unique<Server>(loop_, limits_, max_connections_, budget_, reserve_bytes_, metrics_);
  const Result<void> started = server->Start(listen_socket, handler_, may_overlap_);
  if (!started) {
    return started.error();
  }
  return std::unique_ptr<HttpServer>(std::move(server));
}

}  // namespace sassafrasbay

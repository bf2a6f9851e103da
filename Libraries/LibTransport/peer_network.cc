#include "LibTransport/peer_network.h"

#include <sys/socket.h>
#include <unistd.h>

#include <cerrno>
#include <unordered_map>
#include <utility>
#include <vector>

#include "LibTransport/peer_connection.h"
#include "LibTransport/tcp_socket.h"

namespace sassafrasbay {
namespace {

constexpr unsigned kReadBit = static_cast<unsigned>(Readiness::kRead);
constexpr unsigned kWriteBit = static_cast<unsigned>(Readiness::kWrite);

// Two frames of the default maximum size. A peer that reads too slowly to stay below this limit is
// treated like a lost one: Send returns false.
constexpr std::size_t kMaxQueuedBytes = 8U << 20U;
constexpr std::size_t kReadBytes = 64U << 10U;
constexpr int kMaxAcceptsPerIteration = 64;
// Delay after an accept that failed because descriptors or memory are exhausted. The listening
// socket stays readable in this state and would spin the loop.
constexpr milliseconds kAcceptRetryDelay{100};

class Network final : public PeerNetwork {
 public:
  Network(ReactorLoop& loop, PeerEvents events, std::size_t max_frame_bytes, milliseconds timeout)
      : loop_(loop),
        events_(std::move(events)),
        max_frame_bytes_(max_frame_bytes),
        connect_timeout_(timeout),
        factory_(MakeWebsocketFactory(max_frame_bytes)),
        read_buffer_(kReadBytes) {}
  ~Network() override;
  Network(const Network&) = delete;
  Network& operator=(const Network&) = delete;

  Result<void> Listen(int listener);
  ConnectionId Connect(std::string_view address) override;
  bool Send(ConnectionId id, std::string_view frame) override;
  void Close(ConnectionId id) override;
  std::uint16_t Port() const override { return BoundPort(listener_); }

 private:
  Result<void> WatchListener();
  void Accept();
  PeerConnectionPointer Add(std::string address, int socket);
  WebsocketHandlers MakeHandlers(PeerConnection* connection);
  void OnOpen(PeerConnection& connection);
  void Watch(const PeerConnectionPointer& connection);
  void OnReady(const PeerConnectionPointer& connection, unsigned ready);
  void OnConnected(const PeerConnectionPointer& connection);
  void Read(const PeerConnectionPointer& connection);
  void ScheduleFlush(const PeerConnectionPointer& connection);
  bool Flush(const PeerConnectionPointer& connection);
  void Release(const PeerConnectionPointer& connection);
  void Fail(const PeerConnectionPointer& connection, const Error& error);
  PeerConnectionPointer Find(ConnectionId id) const;

  ReactorLoop& loop_;
  PeerEvents events_;
  std::size_t max_frame_bytes_;
  milliseconds connect_timeout_;
  std::shared_ptr<WebsocketFactory> factory_;  // Must outlive the sessions.
  std::unordered_map<ConnectionId, PeerConnectionPointer> connections_;
  std::vector<char> read_buffer_;
  ConnectionId last_id_ = 0;
  int listener_ = -1;
  ReactorLoop::TimerId accept_timer_ = 0;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);  // Checked by posted tasks.
};

Network::~Network() {
  *alive_ = false;
  loop_.CancelTimer(accept_timer_);
  for (const auto& [id, connection] : std::exchange(connections_, {})) {
    Release(connection);
  }
  loop_.Unwatch(listener_);
  close(listener_);
}

Result<void> Network::Listen(int listener) {
  listener_ = listener;
  return WatchListener();
}

Result<void> Network::WatchListener() {
  return loop_.Watch(listener_, kReadBit, [this](unsigned) { Accept(); });
}

void Network::Accept() {
  for (int round = 0; round < kMaxAcceptsPerIteration; ++round) {
    const int socket = accept4(listener_, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
    if (socket >= 0) {
      const PeerConnectionPointer connection = Add("accepted connection", socket);
      connection->session_ = factory_->MakeServerSession(MakeHandlers(connection.get()));
      connection->session_->Start();
      Watch(connection);
    } else if (errno == EMFILE || errno == ENFILE || errno == ENOBUFS || errno == ENOMEM) {
      loop_.Unwatch(listener_);
      accept_timer_ =
          loop_.StartTimer(kAcceptRetryDelay, [this] { static_cast<void>(WatchListener()); });
      return;
    } else if (errno == EAGAIN) {
      return;
    }
  }
}

PeerConnectionPointer Network::Add(std::string address, int socket) {
  auto connection = std::make_shared<PeerConnection>();
  connection->id_ = ++last_id_;
  connection->address_ = std::move(address);
  connection->socket_ = socket;
  connections_[connection->id_] = connection;
  // Also closes accepted connections that do not complete the handshake.
  const ConnectionId id = connection->id_;
  connection->open_timer_ = loop_.StartTimer(connect_timeout_, [this, id] {
    const PeerConnectionPointer expired = Find(id);
    expired->open_timer_ = 0;
    Fail(expired, MakeError(Errc::kTimedOut, "connect to peer", expired->address_, {}));
  });
  if (socket >= 0) {
    SetNoDelay(socket);
  }
  return connection;
}

ConnectionId Network::Connect(std::string_view address) {
  const Result<int> socket = OpenConnectingSocket(address);
  const PeerConnectionPointer connection = Add(std::string(address), socket ? socket.value() : -1);
  if (socket) {
    connection->connecting_ = true;
    connection->session_ =
        factory_->MakeClientSession(connection->address_, MakeHandlers(connection.get()));
    Watch(connection);
    return connection->id_;
  }
  // Report the failure only after Connect has returned the id.
  loop_.Post([this, alive = alive_, connection, error = socket.error()] {
    if (*alive) {
      Fail(connection, error);
    }
  });
  return connection->id_;
}

// The session owns the handlers and the connection owns the session, so the handlers hold a plain
// pointer to the connection.
WebsocketHandlers Network::MakeHandlers(PeerConnection* connection) {
  WebsocketHandlers handlers;
  handlers.write_ = [connection](std::string_view bytes) { connection->output_.append(bytes); };
  handlers.on_open_ = [this, connection] { OnOpen(*connection); };
  handlers.on_frame_ = [this, connection](std::string_view frame) {
    if (!connection->closed_) {
      events_.on_frame_(connection->id_, frame);
    }
  };
  return handlers;
}

void Network::OnOpen(PeerConnection& connection) {
  connection.open_ = true;
  loop_.CancelTimer(std::exchange(connection.open_timer_, 0));
  for (const std::string& frame : std::exchange(connection.pending_frames_, {})) {
    connection.session_->Send(frame);
  }
  connection.pending_frame_bytes_ = 0;
  if (events_.on_open_) {
    events_.on_open_(connection.id_);
  }
}

void Network::Watch(const PeerConnectionPointer& connection) {
  const bool write = connection->connecting_ || connection->wants_write_;
  const Result<void> watched =
      loop_.Watch(connection->socket_, write ? kReadBit | kWriteBit : kReadBit,
                  [this, connection](unsigned ready) { OnReady(connection, ready); });
  // A connection that can't be watched is closed by its connect timer, or by its user when answers
  // fail to arrive.
  static_cast<void>(watched);
}

void Network::OnReady(const PeerConnectionPointer& connection, unsigned ready) {
  if (connection->connecting_) {
    OnConnected(connection);
    return;
  }
  if ((ready & kWriteBit) != 0 && !Flush(connection)) {
    return;
  }
  if ((ready & kReadBit) != 0) {
    Read(connection);
  }
}

void Network::OnConnected(const PeerConnectionPointer& connection) {
  int error_number = 0;
  socklen_t length = sizeof(error_number);
  getsockopt(connection->socket_, SOL_SOCKET, SO_ERROR, &error_number, &length);
  if (error_number != 0) {
    Fail(connection, SystemError(error_number, "connect to peer", connection->address_));
    return;
  }
  if (connection->session_ == nullptr) {
    Fail(connection, MakeError(Errc::kInvalidArgument, "connect to peer", connection->address_,
                               "malformed address, expected host:port"));
    return;
  }
  connection->connecting_ = false;
  connection->session_->Start();
  Watch(connection);
  Flush(connection);
}

void Network::Read(const PeerConnectionPointer& connection) {
  const ssize_t count = recv(connection->socket_, read_buffer_.data(), read_buffer_.size(), 0);
  if (count < 0 && (errno == EAGAIN || errno == EINTR)) {
    return;
  }
  if (count <= 0) {
    const std::string_view detail = count == 0 ? "closed by the peer" : "read failed";
    Fail(connection,
         MakeError(Errc::kConnectionLost, "read from peer", connection->address_, detail));
    return;
  }
  const std::string_view bytes(read_buffer_.data(), static_cast<std::size_t>(count));
  const bool session_continues = connection->session_->Receive(bytes);
  if (connection->closed_) {
    return;
  }
  if (Flush(connection) && !session_continues) {
    Fail(connection, MakeError(Errc::kMalformed, "read from peer", connection->address_,
                               connection->session_->EndReason()));
  }
}

bool Network::Send(ConnectionId id, std::string_view frame) {
  const PeerConnectionPointer connection = Find(id);
  if (connection == nullptr || frame.size() > max_frame_bytes_ ||
      QueuedBytes(*connection) + frame.size() > kMaxQueuedBytes) {
    return false;
  }
  if (!connection->open_) {
    connection->pending_frames_.emplace_back(frame);
    connection->pending_frame_bytes_ += frame.size();
    return true;
  }
  if (!connection->session_->Send(frame)) {
    return false;
  }
  ScheduleFlush(connection);
  return true;
}

// Sends all frames queued in one loop iteration in one system call.
void Network::ScheduleFlush(const PeerConnectionPointer& connection) {
  if (connection->flush_posted_ || connection->wants_write_) {
    return;
  }
  connection->flush_posted_ = true;
  loop_.Post([this, alive = alive_, connection] {
    connection->flush_posted_ = false;
    if (*alive && !connection->closed_) {
      Flush(connection);
    }
  });
}

// Writes queued bytes to the socket. False when the connection has failed.
bool Network::Flush(const PeerConnectionPointer& connection) {
  std::string& output = connection->output_;
  std::size_t& start = connection->output_start_;
  while (start < output.size()) {
    const ssize_t count =
        send(connection->socket_, output.data() + start, output.size() - start, MSG_NOSIGNAL);
    if (count >= 0) {
      start += static_cast<std::size_t>(count);
    } else if (errno == EAGAIN) {
      break;
    } else if (errno != EINTR) {
      Fail(connection, SystemError(errno, "send to peer", connection->address_));
      return false;
    }
  }
  // Remove sent bytes only when they are at least half of the buffer, to limit copying.
  if (start * 2 >= output.size()) {
    output.erase(0, start);
    start = 0;
  }
  const bool wants_write = !output.empty();
  if (wants_write != connection->wants_write_) {
    connection->wants_write_ = wants_write;
    Watch(connection);
  }
  return true;
}

void Network::Close(ConnectionId id) {
  const PeerConnectionPointer connection = Find(id);
  if (connection == nullptr) {
    return;
  }
  connection->closed_locally_ = true;
  connections_.erase(id);
  if (!connection->connecting_) {
    Flush(connection);
  }
  if (!connection->closed_) {
    Release(connection);
  }
}

// The session may be in use further up the call stack, so a posted task destroys it.
void Network::Release(const PeerConnectionPointer& connection) {
  connection->closed_ = true;
  loop_.CancelTimer(std::exchange(connection->open_timer_, 0));
  if (connection->socket_ >= 0) {
    loop_.Unwatch(connection->socket_);
    close(std::exchange(connection->socket_, -1));
  }
  if (*alive_) {
    loop_.Post([connection, factory = factory_] { connection->session_.reset(); });
  } else {
    connection->session_.reset();
  }
}

void Network::Fail(const PeerConnectionPointer& connection, const Error& error) {
  if (connection->closed_) {
    return;
  }
  connections_.erase(connection->id_);
  Release(connection);
  if (events_.on_closed_ && !connection->closed_locally_) {
    events_.on_closed_(connection->id_, error);
  }
}

PeerConnectionPointer Network::Find(ConnectionId id) const {
  const auto entry = connections_.find(id);
  return entry == connections_.end() ? nullptr : entry->second;
}

}  // namespace

PeerNetworkBuilder::PeerNetworkBuilder(ReactorLoop& loop) : loop_(loop) {}

PeerNetworkBuilder& PeerNetworkBuilder::Listen(std::string_view host, std::uint16_t port) {
  host_ = host;
  port_ = port;
  return *this;
}

PeerNetworkBuilder& PeerNetworkBuilder::MaxFrameBytes(std::size_t bytes) {
  max_frame_bytes_ = bytes;
  return *this;
}

PeerNetworkBuilder& PeerNetworkBuilder::ConnectTimeout(milliseconds timeout) {
  connect_timeout_ = timeout;
  return *this;
}

PeerNetworkBuilder& PeerNetworkBuilder::Events(PeerEvents events) {
  events_ = std::move(events);
  return *this;
}

Result<std::unique_ptr<PeerNetwork>> PeerNetworkBuilder::Build() {
  SASSAFRASBAY_TRY(listener, OpenListenSocket(host_, port_));
  auto network = std::make_unique<Network>(loop_, events_, max_frame_bytes_, connect_timeout_);
  SASSAFRASBAY_TRY(network->Listen(listener));
  return std::unique_ptr<PeerNetwork>(std::move(network));
}

}  // namespace sassafrasbay

#include "LibTransport/peer_network.h"

#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <deque>
#include <set>
#include <unordered_map>
#include <utility>
#include <vector>

#include "LibTransport/link_budget.h"
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
// Maximum size of all bulk frames that wait for the link, in total.
constexpr std::size_t kMaxPendingBulkBytes = 16U << 20U;
// Delay between two writes of bulk data.
constexpr milliseconds kBulkWriteInterval{10};
constexpr int kMaxAcceptsPerIteration = 64;
// Maximum size of a frame, and of unread output, of an accepted connection that isn't known to be
// that of a peer. An introduction has some hundred bytes.
constexpr std::size_t kMaxUnconfirmedBytes = 4U << 10U;
// Delay after an accept that failed because descriptors or memory are exhausted. The listening
// socket stays readable in this state and would spin the loop.
constexpr milliseconds kAcceptRetryDelay{100};

/// A bulk frame that waits for the link.
struct BulkFrame {
  ConnectionId connection_ = 0;
  std::string frame_;
};

class Network final : public PeerNetwork {
 public:
  Network(ReactorLoop& loop, PeerEvents events, std::size_t max_frame_bytes,
          std::size_t max_accepted_connections, milliseconds timeout, double link_bytes_per_second)
      : loop_(loop),
        events_(std::move(events)),
        max_frame_bytes_(max_frame_bytes),
        max_accepted_connections_(max_accepted_connections),
        connect_timeout_(timeout),
        factory_(MakeWebsocketFactory(max_frame_bytes)),
        read_buffer_(kReadBytes),
        link_{.bytes_per_second_ = link_bytes_per_second} {}
  ~Network() override;
  Network(const Network&) = delete;
  Network& operator=(const Network&) = delete;

  Result<void> Listen(int listener);
  ConnectionId Connect(std::string_view address) override;
  bool Send(ConnectionId id, std::string_view frame) override;
  bool Withdraw(ConnectionId id, std::string_view frame) override;
  bool SendBulk(ConnectionId id, std::string_view frame) override;
  std::size_t PendingBulkBytes() const override;
  std::size_t PendingBytes() const override;
  void CountOtherTraffic(std::size_t bytes) override;
  bool Ping(ConnectionId id) override;
  void ConfirmPeer(ConnectionId id) override;
  BootTime ProgressAt(ConnectionId id) const override;
  void Reset(ConnectionId id) override;
  void Close(ConnectionId id) override;
  std::uint16_t Port() const override { return BoundPort(listener_); }

 private:
  Result<void> WatchListener();
  void Accept();
  void AddAccepted(int socket);
  bool MakeRoomForAccepted();
  bool IsUnconfirmed(ConnectionId id) const { return unconfirmed_.contains(id); }
  PeerConnectionPointer Add(std::string address, int socket);
  WebsocketHandlers MakeHandlers(PeerConnection* connection);
  void OnOpen(PeerConnection& connection);
  void Watch(const PeerConnectionPointer& connection);
  void OnReady(const PeerConnectionPointer& connection, unsigned ready);
  void OnConnected(const PeerConnectionPointer& connection);
  void Read(const PeerConnectionPointer& connection);
  void ScheduleFlush(const PeerConnectionPointer& connection);
  bool Flush(const PeerConnectionPointer& connection);
  void ContinueBulk();
  void ScheduleBulk(milliseconds delay);
  void Release(const PeerConnectionPointer& connection);
  void Fail(const PeerConnectionPointer& connection, const Error& error);
  PeerConnectionPointer Find(ConnectionId id) const;

  ReactorLoop& loop_;
  PeerEvents events_;
  std::size_t max_frame_bytes_;
  std::size_t max_accepted_connections_;  // 0 for no limit.
  std::size_t accepted_connections_ = 0;
  std::set<ConnectionId> unconfirmed_;  // Accepted with a limit and not confirmed; oldest first.
  milliseconds connect_timeout_;
  std::shared_ptr<WebsocketFactory> factory_;  // Must outlive the sessions.
  std::unordered_map<ConnectionId, PeerConnectionPointer> connections_;
  std::vector<char> read_buffer_;
  LinkBudget link_;
  std::deque<BulkFrame> bulk_frames_;  // Waiting; the one being sent is in its connection's output.
  std::size_t waiting_bulk_bytes_ = 0;
  ConnectionId bulk_connection_ = 0;  // Sends a bulk frame; 0 when none is being sent.
  ReactorLoop::TimerId bulk_timer_ = 0;
  ConnectionId last_id_ = 0;
  int listener_ = -1;
  ReactorLoop::TimerId accept_timer_ = 0;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);  // Checked by posted tasks.
};

Network::~Network() {
  *alive_ = false;
  loop_.CancelTimer(accept_timer_);
  loop_.CancelTimer(bulk_timer_);
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
      AddAccepted(socket);
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

void Network::AddAccepted(int socket) {
  if (!MakeRoomForAccepted()) {
    close(socket);
    return;
  }
  const PeerConnectionPointer connection = Add("accepted connection", socket);
  connection->accepted_ = true;
  ++accepted_connections_;
  connection->session_ = factory_->MakeServerSession(MakeHandlers(connection.get()));
  if (max_accepted_connections_ > 0) {
    unconfirmed_.insert(connection->id_);
    connection->session_->SetMaxFrameBytes(kMaxUnconfirmedBytes);
  }
  connection->session_->Start();
  Watch(connection);
}

bool Network::MakeRoomForAccepted() {
  if (max_accepted_connections_ == 0 || accepted_connections_ < max_accepted_connections_) {
    return true;
  }
  if (unconfirmed_.empty()) {
    return false;
  }
  const PeerConnectionPointer oldest = Find(*unconfirmed_.begin());
  Fail(oldest, MakeError(Errc::kUnavailable, "accept peer", oldest->address_,
                         "too many connections without an introduction"));
  return true;
}

void Network::ConfirmPeer(ConnectionId id) {
  if (unconfirmed_.erase(id) > 0) {
    Find(id)->session_->SetMaxFrameBytes(max_frame_bytes_);
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
  handlers.on_pong_ = [this, connection] {
    if (!connection->closed_ && events_.on_pong_) {
      events_.on_pong_(connection->id_);
    }
  };
  return handlers;
}

void Network::OnOpen(PeerConnection& connection) {
  connection.open_ = true;
  connection.progress_at_ = BootClock::now();
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
  if ((ready & kWriteBit) != 0) {
    connection->progress_at_ = BootClock::now();
    if (!Flush(connection)) {
      return;
    }
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
  connection->progress_at_ = BootClock::now();
  const std::string_view bytes(read_buffer_.data(), static_cast<std::size_t>(count));
  const bool session_continues = connection->session_->Receive(bytes);
  if (connection->closed_) {
    return;
  }
  if (!Flush(connection)) {
    return;
  }
  if (!session_continues) {
    Fail(connection, MakeError(Errc::kMalformed, "read from peer", connection->address_,
                               connection->session_->EndReason()));
  } else if (IsUnconfirmed(connection->id_) && QueuedBytes(*connection) > kMaxUnconfirmedBytes) {
    Fail(connection, MakeError(Errc::kTooLarge, "send to peer", connection->address_,
                               "answers to pings are not read"));
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

bool Network::Withdraw(ConnectionId id, std::string_view frame) {
  const PeerConnectionPointer connection = Find(id);
  if (connection == nullptr || connection->open_) {
    return false;
  }
  std::vector<std::string>& frames = connection->pending_frames_;
  const auto found = std::find(frames.begin(), frames.end(), frame);
  if (found == frames.end()) {
    return false;
  }
  connection->pending_frame_bytes_ -= found->size();
  frames.erase(found);
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
  bool waits_for_link = false;
  std::size_t& start = connection->output_start_;
  while (start < output.size()) {
    std::size_t size = output.size() - start;
    if (start < connection->bulk_end_) {
      size = std::min(connection->bulk_end_ - start, BulkAllowance(link_, BootClock::now()));
      if (size == 0) {
        waits_for_link = true;
        ScheduleBulk(kBulkWriteInterval);
        break;
      }
    }
    const ssize_t count = send(connection->socket_, output.data() + start, size, MSG_NOSIGNAL);
    if (count >= 0) {
      start += static_cast<std::size_t>(count);
      CountSent(link_, static_cast<std::size_t>(count), BootClock::now());
    } else if (errno == EAGAIN) {
      // A peer that reads slowly doesn't hold up the bulk frames of the others.
      connection->bulk_end_ = 0;
      break;
    } else if (errno != EINTR) {
      Fail(connection, SystemError(errno, "send to peer", connection->address_));
      return false;
    }
  }
  // Remove sent bytes only when they are at least half of the buffer, to limit copying.
  if (start * 2 >= output.size()) {
    output.erase(0, start);
    connection->bulk_end_ -= std::min(connection->bulk_end_, start);
    start = 0;
  }
  if (bulk_connection_ == connection->id_ && start >= connection->bulk_end_) {
    connection->bulk_end_ = 0;
    bulk_connection_ = 0;
    ScheduleBulk(milliseconds(0));
  }
  // The timer continues a bulk frame that waits for the link.
  const bool wants_write = !output.empty() && !waits_for_link;
  if (wants_write != connection->wants_write_) {
    connection->wants_write_ = wants_write;
    Watch(connection);
  }
  return true;
}

bool Network::SendBulk(ConnectionId id, std::string_view frame) {
  if (Find(id) == nullptr || frame.size() > max_frame_bytes_ ||
      PendingBulkBytes() + frame.size() > std::max(kMaxPendingBulkBytes, frame.size())) {
    return false;
  }
  bulk_frames_.push_back({id, std::string(frame)});
  waiting_bulk_bytes_ += frame.size();
  ScheduleBulk(milliseconds(0));
  return true;
}

std::size_t Network::PendingBytes() const {
  std::size_t bytes = waiting_bulk_bytes_;
  for (const auto& [id, connection] : connections_) {
    bytes += connection->output_.size() - connection->output_start_;
  }
  return bytes;
}

std::size_t Network::PendingBulkBytes() const {
  const PeerConnectionPointer sending = Find(bulk_connection_);
  return waiting_bulk_bytes_ + (sending == nullptr || sending->bulk_end_ < sending->output_start_
                                    ? 0
                                    : sending->bulk_end_ - sending->output_start_);
}

void Network::CountOtherTraffic(std::size_t bytes) { CountSent(link_, bytes, BootClock::now()); }

void Network::ScheduleBulk(milliseconds delay) {
  if (bulk_timer_ != 0) {
    return;
  }
  bulk_timer_ = loop_.StartTimer(delay, [this] {
    bulk_timer_ = 0;
    ContinueBulk();
  });
}

// One frame at a time gets the whole link, so that the first ones arrive early instead of all late.
void Network::ContinueBulk() {
  if (const PeerConnectionPointer sending = Find(bulk_connection_)) {
    Flush(sending);
    return;
  }
  bulk_connection_ = 0;
  while (!bulk_frames_.empty() && bulk_connection_ == 0) {
    const BulkFrame next = std::move(bulk_frames_.front());
    bulk_frames_.pop_front();
    waiting_bulk_bytes_ -= next.frame_.size();
    const PeerConnectionPointer connection = Find(next.connection_);
    if (connection == nullptr) {
      continue;
    }
    if (!connection->open_) {
      connection->pending_frames_.push_back(next.frame_);
      connection->pending_frame_bytes_ += next.frame_.size();
      continue;
    }
    if (!connection->session_->Send(next.frame_)) {
      Fail(connection, MakeError(Errc::kConnectionLost, "send to peer", connection->address_,
                                 "session accepts no frames"));
      continue;
    }
    bulk_connection_ = next.connection_;
    connection->bulk_end_ = connection->output_.size();
    Flush(connection);
  }
}

bool Network::Ping(ConnectionId id) {
  const PeerConnectionPointer connection = Find(id);
  if (connection == nullptr || !connection->open_ || !connection->session_->Ping()) {
    return false;
  }
  ScheduleFlush(connection);
  return true;
}

BootTime Network::ProgressAt(ConnectionId id) const {
  const PeerConnectionPointer connection = Find(id);
  return connection == nullptr ? BootTime{} : connection->progress_at_;
}

void Network::Reset(ConnectionId id) {
  const PeerConnectionPointer connection = Find(id);
  if (connection == nullptr) {
    return;
  }
  ResetOnClose(connection->socket_);
  connections_.erase(id);
  Release(connection);
  if (bulk_connection_ == id) {
    ScheduleBulk(milliseconds(0));
  }
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
  if (bulk_connection_ == id) {
    ScheduleBulk(milliseconds(0));
  }
}

// The session may be in use further up the call stack, so a posted task destroys it.
void Network::Release(const PeerConnectionPointer& connection) {
  connection->closed_ = true;
  if (std::exchange(connection->accepted_, false)) {
    --accepted_connections_;
    unconfirmed_.erase(connection->id_);
  }
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
  if (bulk_connection_ == connection->id_) {
    ScheduleBulk(milliseconds(0));
  }
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

PeerNetworkBuilder& PeerNetworkBuilder::MaxAcceptedConnections(std::size_t connections) {
  max_accepted_connections_ = connections;
  return *this;
}

PeerNetworkBuilder& PeerNetworkBuilder::LinkBytesPerSecond(double rate) {
  link_bytes_per_second_ = rate;
  return *this;
}

PeerNetworkBuilder& PeerNetworkBuilder::Events(PeerEvents events) {
  events_ = std::move(events);
  return *this;
}

Result<std::unique_ptr<PeerNetwork>> PeerNetworkBuilder::Build() {
  SASSAFRASBAY_TRY(listener, OpenListenSocket(host_, port_));
  auto network =
      std::make_unique<Network>(loop_, events_, max_frame_bytes_, max_accepted_connections_,
                                connect_timeout_, link_bytes_per_second_);
  SASSAFRASBAY_TRY(network->Listen(listener));
  return std::unique_ptr<PeerNetwork>(std::move(network));
}

}  // namespace sassafrasbay

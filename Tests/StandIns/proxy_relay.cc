#include "StandIns/proxy_relay.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <vector>

#include "LibTransport/tcp_socket.h"
#include "StandIns/socket_owner.h"

namespace sassafrasbay::stand_ins {
namespace {

constexpr std::size_t kReadBytes = 64U << 10U;
// The proxy stops reading from a sender while this many bytes are queued for the receiver.
constexpr std::size_t kMaxQueuedBytes = 1U << 20U;
constexpr int kBacklog = 512;
constexpr auto kRead = static_cast<unsigned>(Readiness::kRead);
constexpr auto kWrite = static_cast<unsigned>(Readiness::kWrite);

sockaddr_in SocketAddress(const std::string& host, std::uint16_t port) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(port);
  inet_pton(AF_INET, host.c_str(), &address.sin_addr);
  return address;
}

void CloseConnection(Proxy& proxy, ProxyConnection& connection, bool reset) {
  proxy.loop_.CancelTimer(connection.timer_);
  for (const int descriptor : {connection.to_target_.from_, connection.to_target_.to_}) {
    if (reset) {
      ResetOnClose(descriptor);
    }
    proxy.loop_.Unwatch(descriptor);
    close(descriptor);
  }
  proxy.connections_.erase(&connection);
}

// Combines the faults that apply to all processes with those for the process that owns the caller's
// end of the connection. Its socket is looked up only when a fault is limited to one process.
ProxyFaults EffectiveFaults(const ProxyRoute& route, int caller) {
  ProxyFaults combined;
  const bool only_general = route.faults_.empty() || route.faults_.rbegin()->first == 0;
  const std::uint64_t caller_inode = only_general ? 0 : PeerSocketInode(caller);
  for (const auto& [process, faults] : route.faults_) {
    if (process != 0 && !OwnsSocket(process, caller_inode)) {
      continue;
    }
    combined.cut_to_target_ |= faults.cut_to_target_;
    combined.cut_from_target_ |= faults.cut_from_target_;
    combined.refuse_ |= faults.refuse_;
    combined.delay_ms_ = std::max(combined.delay_ms_, faults.delay_ms_);
    combined.bytes_per_second_from_target_ =
        std::max(combined.bytes_per_second_from_target_, faults.bytes_per_second_from_target_);
    combined.reset_after_bytes_ = std::max(combined.reset_after_bytes_, faults.reset_after_bytes_);
  }
  return combined;
}

ProxyFaults FaultsOf(const ProxyConnection& connection) {
  ProxyFaults faults = EffectiveFaults(*connection.route_, connection.to_target_.from_);
  faults.cut_to_target_ |= connection.silent_to_target_;
  faults.cut_from_target_ |= connection.silent_from_target_;
  return faults;
}

// Returns true when the stream failed and the connection has to be reset.
bool ReadStream(ProxyStream& stream, bool cut, std::int64_t delay_ms, std::uint64_t* count) {
  std::array<char, kReadBytes> buffer;
  const ssize_t size = read(stream.from_, buffer.data(), buffer.size());
  const bool failed = size < 0 && errno != EAGAIN && errno != EINTR;
  if (failed && !cut) {
    return true;
  }
  if (size < 0 && !failed) {
    return false;
  }
  if (size <= 0) {
    // A cut also withholds the end or the reset of a connection from the other side.
    stream.ended_ = true;
    stream.discarded_ |= cut;
    return false;
  }
  if (cut) {
    stream.discarded_ = true;
    return false;
  }
  stream.queue_.push_back({std::string(buffer.data(), static_cast<std::size_t>(size)),
                           BootClock::now() + milliseconds(delay_ms)});
  stream.queued_bytes_ += static_cast<std::size_t>(size);
  if (count != nullptr) {
    *count += static_cast<std::uint64_t>(size);
  }
  return false;
}

// Delays what was read last to the limited rate.
void LimitRate(ProxyStream& stream, std::uint64_t bytes_per_second) {
  if (bytes_per_second == 0 || stream.queue_.empty()) {
    return;
  }
  ProxyStream::Chunk& chunk = stream.queue_.back();
  const double seconds =
      static_cast<double>(chunk.bytes_.size()) / static_cast<double>(bytes_per_second);
  chunk.due_ =
      std::max(stream.free_at_, chunk.due_) +
      std::chrono::duration_cast<BootTime::duration>(std::chrono::duration<double>(seconds));
  stream.free_at_ = chunk.due_;
}

// Drops bytes read beyond the limit. A short answer would otherwise arrive complete before the
// reset.
void DropBytesBeyond(ProxyStream& stream, std::uint64_t count, std::uint64_t limit) {
  if (limit == 0 || count <= limit || stream.queue_.empty()) {
    return;
  }
  std::string& bytes = stream.queue_.back().bytes_;
  const std::size_t excess = std::min<std::size_t>(bytes.size(), count - limit);
  bytes.resize(bytes.size() - excess);
  stream.queued_bytes_ -= excess;
  if (bytes.empty()) {
    stream.queue_.pop_back();
  }
}

bool IsDue(const ProxyStream& stream) {
  return !stream.queue_.empty() && stream.queue_.front().due_ <= BootClock::now();
}

// Returns true when the stream failed and the connection has to be reset.
bool WriteStream(ProxyStream& stream) {
  while (IsDue(stream)) {
    std::string& bytes = stream.queue_.front().bytes_;
    const ssize_t size = send(stream.to_, bytes.data(), bytes.size(), MSG_NOSIGNAL);
    if (size < 0) {
      return errno != EAGAIN && errno != EINTR;
    }
    stream.queued_bytes_ -= static_cast<std::size_t>(size);
    if (static_cast<std::size_t>(size) < bytes.size()) {
      bytes.erase(0, static_cast<std::size_t>(size));
      return false;
    }
    stream.queue_.pop_front();
  }
  if (stream.ended_ && !stream.discarded_ && !stream.shut_down_ && stream.queue_.empty()) {
    stream.shut_down_ = true;
    shutdown(stream.to_, SHUT_WR);
  }
  return false;
}

unsigned RequiredReadiness(const ProxyStream& incoming, const ProxyStream& outgoing) {
  unsigned interest = 0;
  if (!incoming.ended_ && incoming.queued_bytes_ < kMaxQueuedBytes) {
    interest |= kRead;
  }
  if (IsDue(outgoing)) {
    interest |= kWrite;
  }
  return interest;
}

void RelayReady(Proxy& proxy, ProxyConnection& connection, int descriptor, unsigned ready);

void WatchSide(Proxy& proxy, ProxyConnection& connection, int descriptor, unsigned interest) {
  if (interest == 0) {
    proxy.loop_.Unwatch(descriptor);
    return;
  }
  (void)proxy.loop_.Watch(descriptor, interest, [&proxy, &connection, descriptor](unsigned ready) {
    RelayReady(proxy, connection, descriptor, ready);
  });
}

void StartDelayTimer(Proxy& proxy, ProxyConnection& connection) {
  proxy.loop_.CancelTimer(connection.timer_);
  connection.timer_ = 0;
  const BootTime now = BootClock::now();
  std::vector<BootTime> due;
  for (const ProxyStream* stream : {&connection.to_target_, &connection.from_target_}) {
    if (!stream->queue_.empty() && stream->queue_.front().due_ > now) {
      due.push_back(stream->queue_.front().due_);
    }
  }
  if (due.empty()) {
    return;
  }
  const BootTime earliest = *std::min_element(due.begin(), due.end());
  connection.timer_ =
      proxy.loop_.StartTimer(std::chrono::ceil<milliseconds>(earliest - now),
                             [&proxy, &connection] { RelayReady(proxy, connection, -1, 0); });
}

// Reads and writes what `ready` and the faults allow, closes the connection when it has failed or
// both directions have ended, and otherwise watches for the next event.
void RelayReady(Proxy& proxy, ProxyConnection& connection, int descriptor, unsigned ready) {
  ProxyStream& to_target = connection.to_target_;
  ProxyStream& from_target = connection.from_target_;
  const ProxyFaults& faults = connection.faults_;
  bool failed = false;
  if (descriptor == to_target.to_ && (ready & kWrite) != 0) {
    connection.connecting_ = false;
  }
  if (descriptor == to_target.from_ && (ready & kRead) != 0) {
    failed |= ReadStream(to_target, faults.cut_to_target_, faults.delay_ms_, nullptr);
  }
  if (descriptor == from_target.from_ && (ready & kRead) != 0) {
    failed |= ReadStream(from_target, faults.cut_from_target_, faults.delay_ms_,
                         &connection.bytes_from_target_);
    LimitRate(from_target, faults.bytes_per_second_from_target_);
    DropBytesBeyond(from_target, connection.bytes_from_target_, faults.reset_after_bytes_);
  }
  if (!connection.connecting_) {
    failed |= WriteStream(to_target) || WriteStream(from_target);
  }
  const std::uint64_t limit = faults.reset_after_bytes_;
  failed |= limit > 0 && connection.bytes_from_target_ >= limit && from_target.queue_.empty();
  const bool both_closed = to_target.ended_ && from_target.ended_;
  if (failed || (to_target.shut_down_ && from_target.shut_down_) ||
      (both_closed && to_target.discarded_ && from_target.discarded_)) {
    CloseConnection(proxy, connection, failed);
    return;
  }
  WatchSide(proxy, connection, to_target.from_, RequiredReadiness(to_target, from_target));
  WatchSide(proxy, connection, to_target.to_,
            connection.connecting_ ? kWrite : RequiredReadiness(from_target, to_target));
  StartDelayTimer(proxy, connection);
}

void Accept(Proxy& proxy, const ProxyRoute& route) {
  const int caller = accept4(route.listener_, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
  if (caller < 0) {
    return;
  }
  const ProxyFaults faults = EffectiveFaults(route, caller);
  const int target = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  const sockaddr_in address = SocketAddress(route.target_host_, route.target_port_);
  const bool failed =
      connect(target, reinterpret_cast<const sockaddr*>(&address), sizeof(address)) != 0 &&
      errno != EINPROGRESS;
  if (faults.refuse_ || failed) {
    ResetOnClose(caller);
    close(caller);
    close(target);
    return;
  }
  auto connection = std::make_unique<ProxyConnection>();
  ProxyConnection& reference = *connection;
  connection->route_ = &route;
  connection->faults_ = faults;
  connection->to_target_.from_ = connection->from_target_.to_ = caller;
  connection->to_target_.to_ = connection->from_target_.from_ = target;
  proxy.connections_.emplace(&reference, std::move(connection));
  RelayReady(proxy, reference, -1, 0);
}

}  // namespace

Result<void> OpenRoute(Proxy& proxy, ProxyRoute& route) {
  route.listener_ = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  const int on = 1;
  setsockopt(route.listener_, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
  const sockaddr_in address = SocketAddress("127.0.0.1", route.listen_port_);
  if (bind(route.listener_, reinterpret_cast<const sockaddr*>(&address), sizeof(address)) != 0 ||
      listen(route.listener_, kBacklog) != 0) {
    return MakeError({errno, std::generic_category()}, "listen", route.name_,
                     std::to_string(route.listen_port_));
  }
  return proxy.loop_.Watch(route.listener_, kRead,
                           [&proxy, &route](unsigned /*ready*/) { Accept(proxy, route); });
}

void UpdateConnectionFaults(Proxy& proxy, const ProxyRoute& route) {
  std::vector<ProxyConnection*> connections;
  for (const auto& [pointer, connection] : proxy.connections_) {
    if (connection->route_ == &route) {
      connections.push_back(pointer);
    }
  }
  for (ProxyConnection* connection : connections) {
    const ProxyStream& to_target = connection->to_target_;
    const ProxyStream& from_target = connection->from_target_;
    connection->faults_ = FaultsOf(*connection);
    connection->bytes_from_target_ = 0;
    if ((to_target.discarded_ && !connection->faults_.cut_to_target_) ||
        (from_target.discarded_ && !connection->faults_.cut_from_target_)) {
      CloseConnection(proxy, *connection, true);
    }
  }
}

void SilenceConnections(Proxy& proxy, const ProxyRoute& route, bool to_target, bool from_target) {
  for (const auto& [pointer, connection] : proxy.connections_) {
    if (connection->route_ == &route) {
      connection->silent_to_target_ |= to_target;
      connection->silent_from_target_ |= from_target;
      connection->faults_ = FaultsOf(*connection);
    }
  }
}

}  // namespace sassafrasbay::stand_ins

#pragma once

#include <sys/types.h>

#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <string>

#include "LibCore/clock.h"
#include "LibCore/error.h"
#include "LibTransport/reactor_loop.h"

namespace sassafrasbay::stand_ins {

struct ProxyFaults {
  bool cut_to_target_ = false;    ///< Discards bytes to the target.
  bool cut_from_target_ = false;  ///< Discards bytes from the target.
  bool refuse_ = false;           ///< Resets new connections.
  std::int64_t delay_ms_ = 0;     ///< Delay of the bytes in each direction.
  /// Rate of the bytes from the target on each connection; 0 for no limit.
  std::uint64_t bytes_per_second_from_target_ = 0;
  /// Resets a connection after this many bytes from the target, counted from the last change of the
  /// route's faults; 0 turns this off.
  std::uint64_t reset_after_bytes_ = 0;
};

/// A listening port, its target, and its faults by connecting process. The faults of process 0
/// apply to the connections of every process.
struct ProxyRoute {
  std::string name_;
  std::uint16_t listen_port_ = 0;
  std::string target_host_ = "127.0.0.1";
  std::uint16_t target_port_ = 0;
  int listener_ = -1;
  std::map<pid_t, ProxyFaults> faults_;
};

/// One direction of a connection.
struct ProxyStream {
  struct Chunk {
    std::string bytes_;
    BootTime due_;
  };
  int from_ = -1;
  int to_ = -1;
  std::deque<Chunk> queue_;
  BootTime free_at_{};  ///< When a stream of limited rate has passed on what it has read.
  std::size_t queued_bytes_ = 0;
  bool ended_ = false;      ///< The sender has closed its side.
  bool shut_down_ = false;  ///< The end of the stream was passed on to the receiver.
  bool discarded_ = false;  ///< Bytes were discarded, so the connection is reset after the cut.
};

struct ProxyConnection {
  const ProxyRoute* route_ = nullptr;
  ProxyFaults faults_;
  bool silent_to_target_ = false;  ///< Discards bytes to the target for good.
  bool silent_from_target_ = false;
  ProxyStream to_target_;
  ProxyStream from_target_;
  std::uint64_t bytes_from_target_ = 0;
  bool connecting_ = true;
  ReactorLoop::TimerId timer_ = 0;
};

struct Proxy {
  explicit Proxy(ReactorLoop& loop) : loop_(loop) {}
  ReactorLoop& loop_;
  std::map<std::string, ProxyRoute, std::less<>> routes_;
  std::map<ProxyConnection*, std::unique_ptr<ProxyConnection>> connections_;
};

/// Starts accepting connections on a route. Errors: the system's error for the listening socket.
Result<void> OpenRoute(Proxy& proxy, ProxyRoute& route);

/// Applies changed faults of a route to its open connections. A connection that lost bytes is reset
/// when its cut ends.
void UpdateConnectionFaults(Proxy& proxy, const ProxyRoute& route);

/// Makes the present connections of a route silent for good, in one or both directions. Neither
/// side sees an end, and later connections aren't affected.
void SilenceConnections(Proxy& proxy, const ProxyRoute& route, bool to_target, bool from_target);

}  // namespace sassafrasbay::stand_ins

#pragma once

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <sys/time.h>
#include <unistd.h>

#include <boost/test/unit_test.hpp>
#include <functional>
#include <string>
#include <string_view>
#include <thread>

#include "LibTransport/reactor_loop.h"
#include "LibTransport/tcp_socket.h"

namespace sassafrasbay {

/// Blocking loopback socket for the remote side of a test. Reads time out after 5 s.
class LoopbackSocket {
 public:
  explicit LoopbackSocket(int descriptor) : descriptor_(descriptor) {
    const timeval timeout{5, 0};
    setsockopt(descriptor_, SOL_SOCKET, SO_RCVTIMEO, &timeout, sizeof(timeout));
  }
  ~LoopbackSocket() { Close(); }
  LoopbackSocket(const LoopbackSocket&) = delete;
  LoopbackSocket& operator=(const LoopbackSocket&) = delete;

  static int ConnectTo(std::uint16_t port) {
    const int descriptor = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(port);
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    const int status = connect(descriptor, reinterpret_cast<sockaddr*>(&address), sizeof(address));
    BOOST_REQUIRE(status == 0);
    SetNoDelay(descriptor);
    return descriptor;
  }

  /// Accepts a connection of a non-blocking listening socket, waiting about 5 s; -1 when none
  /// arrives.
  static int AcceptFrom(int listener) {
    for (int attempt = 0; attempt < 5000; ++attempt) {
      const int descriptor = accept4(listener, nullptr, nullptr, SOCK_CLOEXEC);
      if (descriptor >= 0) {
        return descriptor;
      }
      std::this_thread::sleep_for(milliseconds(1));
    }
    return -1;
  }

  bool Send(std::string_view bytes) const {
    while (!bytes.empty()) {
      const ssize_t count = send(descriptor_, bytes.data(), bytes.size(), MSG_NOSIGNAL);
      if (count <= 0) {
        return false;
      }
      bytes.remove_prefix(static_cast<std::size_t>(count));
    }
    return true;
  }

  /// Reads until the received text contains `mark`, the peer closes, or a read times out.
  std::string ReadUntil(std::string_view mark) const {
    std::string text;
    char buffer[4096];
    while (text.find(mark) == std::string::npos) {
      const ssize_t count = recv(descriptor_, buffer, sizeof(buffer), 0);
      if (count <= 0) {
        break;
      }
      text.append(buffer, static_cast<std::size_t>(count));
    }
    return text;
  }

  /// Discards received bytes until the peer closes. False when a read times out first.
  bool IsClosedByPeer() const {
    char buffer[4096];
    ssize_t count = 1;
    while (count > 0) {
      count = recv(descriptor_, buffer, sizeof(buffer), 0);
    }
    return count == 0 || errno == ECONNRESET;
  }

  void Close() {
    if (descriptor_ >= 0) {
      close(descriptor_);
      descriptor_ = -1;
    }
  }

 private:
  int descriptor_;
};

/// Runs the loop on this thread until `peer` has returned on a second thread. Fails after 20 s.
inline void RunWithPeer(ReactorLoop& loop, const std::function<void()>& peer) {
  bool timed_out = false;
  const ReactorLoop::TimerId watchdog = loop.StartTimer(milliseconds(20000), [&] {
    timed_out = true;
    loop.Stop();
  });
  std::thread thread([&] {
    peer();
    loop.Stop();
  });
  loop.Run();
  loop.CancelTimer(watchdog);
  thread.join();
  BOOST_TEST(!timed_out);
}

/// Runs the loop on this thread until Stop is called. Fails after 20 s.
inline void RunUntilStopped(ReactorLoop& loop) {
  bool timed_out = false;
  const ReactorLoop::TimerId watchdog = loop.StartTimer(milliseconds(20000), [&] {
    timed_out = true;
    loop.Stop();
  });
  loop.Run();
  loop.CancelTimer(watchdog);
  BOOST_TEST(!timed_out);
}

}  // namespace sassafrasbay

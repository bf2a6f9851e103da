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

/// Blocking socket on loopback for the far side of a test; reads give up after 5 s.
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

  /// The next connection of a listening socket, waiting up to 5 s; -1 when none came.
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

  /// Reads until the text read ends with or contains `mark`, or the other side closes.
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

  /// True when the other side closes within 5 s; anything it sends before is dropped.
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

/// Runs the loop on this thread until `peer`, on a second thread, has returned. Fails after 20 s.
inline void RunWithPeer(ReactorLoop& loop, const std::function<void()>& peer) {
  bool expired = false;
  const ReactorLoop::TimerId watchdog = loop.StartTimer(milliseconds(20000), [&] {
    expired = true;
    loop.Stop();
  });
  std::thread thread([&] {
    peer();
    loop.Stop();
  });
  loop.Run();
  loop.CancelTimer(watchdog);
  thread.join();
  BOOST_TEST(!expired);
}

/// Runs the loop on this thread until it is stopped. Fails after 20 s.
inline void RunUntilStopped(ReactorLoop& loop) {
  bool expired = false;
  const ReactorLoop::TimerId watchdog = loop.StartTimer(milliseconds(20000), [&] {
    expired = true;
    loop.Stop();
  });
  loop.Run();
  loop.CancelTimer(watchdog);
  BOOST_TEST(!expired);
}

}  // namespace sassafrasbay

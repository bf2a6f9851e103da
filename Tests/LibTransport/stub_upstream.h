#pragma once

#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "LibTransport/reactor_loop.h"
#include "LibTransport/tcp_socket.h"

namespace sassafrasbay {

/// An upstream on plain sockets that answers requests with preset bytes. Requests are told by a
/// header whose name ends in "Id". Counts the requests over
/// all connections.
class StubUpstream {
 public:
  explicit StubUpstream(ReactorLoop& loop, const std::string& host = "127.0.0.1",
                        std::uint16_t port = 0)
      : loop_(loop), host_(host) {
    listener_ = OpenListenSocket(host, port).value();
    static_cast<void>(loop_.Watch(listener_, static_cast<unsigned>(Readiness::kRead),
                                  [this](unsigned) { Accept(); }));
  }
  ~StubUpstream() {
    loop_.Unwatch(listener_);
    close(listener_);
    for (const int socket : sockets_) {
      loop_.Unwatch(socket);
      close(socket);
    }
  }
  StubUpstream(const StubUpstream&) = delete;
  StubUpstream& operator=(const StubUpstream&) = delete;

  std::string Address() const { return host_ + ":" + std::to_string(BoundPort(listener_)); }

  /// Returns the bytes to send for a request, numbered from 1. An empty optional closes the
  /// connection.
  std::function<std::optional<std::string>(int number, const std::string& id)> answer_;
  bool close_after_answer_ = false;
  /// Bytes sent every millisecond after an answer until the client closes the connection.
  std::size_t endless_bytes_ = 0;
  std::string endless_text_;  ///< Sent in place of these, if not empty.
  std::function<bool()> is_endless_ = [] { return true; };
  int requests_ = 0;
  int connections_ = 0;

 private:
  void Accept() {
    const int socket = accept4(listener_, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
    if (socket < 0) {
      return;
    }
    ++connections_;
    sockets_.push_back(socket);
    static_cast<void>(loop_.Watch(socket, static_cast<unsigned>(Readiness::kRead),
                                  [this, socket](unsigned) { Read(socket); }));
  }

  void Read(int socket) {
    char buffer[4096];
    const ssize_t count = recv(socket, buffer, sizeof(buffer), 0);
    if (count <= 0) {
      Close(socket);
      return;
    }
    ++requests_;
    const std::string text(buffer, static_cast<std::size_t>(count));
    const std::size_t start = text.find("Id: ") + 4;
    const auto bytes = answer_(requests_, text.substr(start, text.find("\r\n", start) - start));
    if (bytes) {
      send(socket, bytes->data(), bytes->size(), MSG_NOSIGNAL);
    }
    if (!bytes || close_after_answer_) {
      Close(socket);
    } else if ((endless_bytes_ > 0 || !endless_text_.empty()) && is_endless_()) {
      SendEndlessly(socket);
    }
  }

  void SendEndlessly(int socket) {
    loop_.StartTimer(milliseconds(1), [this, socket] {
      if (!is_endless_() || std::find(sockets_.begin(), sockets_.end(), socket) == sockets_.end()) {
        return;
      }
      const std::string bytes =
          endless_text_.empty() ? std::string(endless_bytes_, 'x') : endless_text_;
      send(socket, bytes.data(), bytes.size(), MSG_NOSIGNAL | MSG_DONTWAIT);
      SendEndlessly(socket);
    });
  }

  void Close(int socket) {
    loop_.Unwatch(socket);
    close(socket);
    std::erase(sockets_, socket);
  }

  ReactorLoop& loop_;
  std::string host_;
  int listener_ = -1;
  std::vector<int> sockets_;
};

}  // namespace sassafrasbay

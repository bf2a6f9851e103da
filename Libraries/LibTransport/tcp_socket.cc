#include "LibTransport/tcp_socket.h"

#include <netdb.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cerrno>
#include <string>

namespace sassafrasbay {
namespace {

// Sized for the burst of connections when another node or an upstream restarts.
constexpr int kListenBacklog = 1024;

constexpr std::string_view kConnectStep = "connect to peer";

Result<int> BindAndListen(const addrinfo& address, std::string_view peer) {
  const int descriptor =
      socket(address.ai_family, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, IPPROTO_TCP);
  if (descriptor < 0) {
    return SystemError(errno, "open listening socket", peer);
  }
  const int enable = 1;
  setsockopt(descriptor, SOL_SOCKET, SO_REUSEADDR, &enable, sizeof(enable));
  if (bind(descriptor, address.ai_addr, address.ai_addrlen) != 0 ||
      listen(descriptor, kListenBacklog) != 0) {
    const int error_number = errno;
    close(descriptor);
    return SystemError(error_number, "listen", peer);
  }
  return descriptor;
}

Result<int> BeginConnect(const addrinfo& address, std::string_view peer) {
  const int descriptor =
      socket(address.ai_family, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, IPPROTO_TCP);
  if (descriptor < 0) {
    return SystemError(errno, kConnectStep, peer);
  }
  if (connect(descriptor, address.ai_addr, address.ai_addrlen) != 0 && errno != EINPROGRESS) {
    const int error_number = errno;
    close(descriptor);
    return SystemError(error_number, kConnectStep, peer);
  }
  return descriptor;
}

}  // namespace

Result<int> OpenListenSocket(std::string_view host, std::uint16_t port) {
  const std::string host_text(host);
  const std::string port_text = std::to_string(port);
  const std::string peer = host_text + ":" + port_text;
  addrinfo hints{};
  hints.ai_flags = AI_NUMERICHOST | AI_NUMERICSERV | AI_PASSIVE;
  hints.ai_socktype = SOCK_STREAM;
  addrinfo* addresses = nullptr;
  const int status = getaddrinfo(host_text.c_str(), port_text.c_str(), &hints, &addresses);
  if (status != 0) {
    return MakeError(Errc::kInvalidArgument, "listen", peer, gai_strerror(status));
  }
  Result<int> descriptor = BindAndListen(*addresses, peer);
  freeaddrinfo(addresses);
  return descriptor;
}

Result<int> OpenConnectingSocket(std::string_view address) {
  const std::size_t colon = address.rfind(':');
  if (colon == std::string_view::npos) {
    return MakeError(Errc::kInvalidArgument, kConnectStep, address,
                     "address has no port, expected host:port");
  }
  std::string host(address.substr(0, colon));
  const std::string port(address.substr(colon + 1));
  if (host.size() > 2 && host.front() == '[' && host.back() == ']') {
    host = host.substr(1, host.size() - 2);
  }
  addrinfo hints{};
  hints.ai_flags = AI_NUMERICHOST | AI_NUMERICSERV;
  hints.ai_socktype = SOCK_STREAM;
  addrinfo* addresses = nullptr;
  const int status = getaddrinfo(host.c_str(), port.c_str(), &hints, &addresses);
  if (status != 0) {
    return MakeError(Errc::kInvalidArgument, kConnectStep, address, gai_strerror(status));
  }
  Result<int> descriptor = BeginConnect(*addresses, address);
  freeaddrinfo(addresses);
  return descriptor;
}

std::uint16_t BoundPort(int socket) {
  sockaddr_storage address{};
  socklen_t length = sizeof(address);
  if (getsockname(socket, reinterpret_cast<sockaddr*>(&address), &length) != 0) {
    return 0;
  }
  if (address.ss_family == AF_INET6) {
    return ntohs(reinterpret_cast<const sockaddr_in6&>(address).sin6_port);
  }
  return ntohs(reinterpret_cast<const sockaddr_in&>(address).sin_port);
}

void SetNoDelay(int socket) {
  const int enable = 1;
  setsockopt(socket, IPPROTO_TCP, TCP_NODELAY, &enable, sizeof(enable));
}

void ResetOnClose(int socket) {
  const linger reset{1, 0};
  setsockopt(socket, SOL_SOCKET, SO_LINGER, &reset, sizeof(reset));
}

Error SystemError(int error_number, std::string_view operation, std::string_view peer) {
  return MakeError(std::error_code(error_number, std::generic_category()), operation, peer, {});
}

}  // namespace sassafrasbay

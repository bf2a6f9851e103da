#include "harness/support.h"

#include <netinet/in.h>
#include <sys/socket.h>
#include <sys/un.h>
#include <unistd.h>

#include <cstddef>
#include <cstdio>
#include <cstdlib>
#include <random>
#include <thread>

#include "StandIns/blocking_client.h"

namespace sassafrasbay::harness {
namespace {

constexpr std::uint16_t kMinPort = 10000;
constexpr std::uint16_t kMaxPort =
    19999;  // The proxies of the soak's fleets have those from 20000.
constexpr milliseconds kPollInterval{20};

bool CanListen(std::uint16_t port) {
  const int descriptor = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(port);
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  const bool free =
      bind(descriptor, reinterpret_cast<const sockaddr*>(&address), sizeof(address)) == 0;
  close(descriptor);
  return free;
}

// Keeps other test programs from choosing the port before a stand-in listens on it or while that is
// restarted. The name is an abstract one, which ends with this process.
bool Reserve(std::uint16_t port) {
  const std::string name = "sassafrasbay-test-port-" + std::to_string(port);
  sockaddr_un address{};
  address.sun_family = AF_UNIX;
  name.copy(address.sun_path + 1, sizeof(address.sun_path) - 1);
  const int descriptor = socket(AF_UNIX, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const bool reserved =
      bind(descriptor, reinterpret_cast<const sockaddr*>(&address),
           static_cast<socklen_t>(offsetof(sockaddr_un, sun_path) + 1 + name.size())) == 0;
  if (!reserved) {
    close(descriptor);
  }
  return reserved;
}

}  // namespace

std::uint16_t FreePort() {
  static std::mt19937 random(std::random_device{}());
  std::uniform_int_distribution<std::uint16_t> ports(kMinPort, kMaxPort);
  while (true) {
    const std::uint16_t port = ports(random);
    if (Reserve(port) && CanListen(port)) {
      return port;
    }
  }
}

std::string LocalUrl(std::uint16_t port) { return "http://" + LocalAddress(port); }

std::string LocalAddress(std::uint16_t port) { return "127.0.0.1:" + std::to_string(port); }

bool WaitUntil(const std::function<bool()>& condition, milliseconds timeout) {
  const BootTime end = BootClock::now() + timeout;
  while (!condition()) {
    if (BootClock::now() >= end) {
      return false;
    }
    std::this_thread::sleep_for(kPollInterval);
  }
  return true;
}

Result<HttpResponse> Call(std::uint16_t port, const HttpRequest& request, milliseconds timeout) {
  return stand_ins::CallBlocking(LocalUrl(port), request, timeout);
}

int CallStatus(std::uint16_t port, std::string_view method, std::string_view path,
               std::string_view body) {
  const auto response = Call(port, {std::string(method), std::string(path), {}, std::string(body)});
  return response ? response.value().status_ : 0;
}

nlohmann::json GetJson(std::uint16_t port, std::string_view path) {
  const auto response = Call(port, {"GET", std::string(path), {}, {}});
  const bool answered = response && response.value().status_ == 200;
  return nlohmann::json::parse(answered ? response.value().body_ : "", nullptr, false);
}

TemporaryDirectory::TemporaryDirectory() {
  std::string name = (std::filesystem::temp_directory_path() / "sassafrasbay-XXXXXX").string();
  if (mkdtemp(name.data()) == nullptr) {
    std::perror("mkdtemp");
    std::abort();
  }
  path_ = name;
}

TemporaryDirectory::~TemporaryDirectory() {
  if (std::getenv("SASSAFRASBAY_KEEP") != nullptr) {
    std::fprintf(stderr, "kept the temporary directory %s\n", path_.c_str());
    return;
  }
  std::error_code ignored;
  std::filesystem::remove_all(path_, ignored);
}

}  // namespace sassafrasbay::harness

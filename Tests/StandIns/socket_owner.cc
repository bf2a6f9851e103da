#include "StandIns/socket_owner.h"

#include <netinet/in.h>
#include <sys/socket.h>

#include <filesystem>
#include <fstream>
#include <sstream>
#include <string>

namespace sassafrasbay::stand_ins {
namespace {

// An address as /proc/net/tcp writes it: the address in the byte order of the machine, the port in
// usual order, both in hexadecimal.
std::string ToProcText(const sockaddr_in& address) {
  constexpr int kTextBytes = 16;
  char text[kTextBytes];
  std::snprintf(text, sizeof(text), "%08X:%04X", address.sin_addr.s_addr, ntohs(address.sin_port));
  return text;
}

}  // namespace

std::uint64_t PeerSocketInode(int descriptor) {
  sockaddr_in local{};
  sockaddr_in peer{};
  socklen_t size = sizeof(local);
  getsockname(descriptor, reinterpret_cast<sockaddr*>(&local), &size);
  size = sizeof(peer);
  if (getpeername(descriptor, reinterpret_cast<sockaddr*>(&peer), &size) != 0) {
    return 0;
  }
  std::ifstream table("/proc/net/tcp");
  std::string line;
  while (std::getline(table, line)) {
    std::istringstream fields(line);
    std::string number;
    std::string from;
    std::string to;
    std::string skipped;
    std::uint64_t inode = 0;
    fields >> number >> from >> to;
    if (from != ToProcText(peer) || to != ToProcText(local)) {
      continue;
    }
    // State, queues, timer, retransmits, user and timeout come before the inode.
    for (int field = 0; field < 6; ++field) {
      fields >> skipped;
    }
    fields >> inode;
    return inode;
  }
  return 0;
}

bool OwnsSocket(pid_t process, std::uint64_t inode) {
  const std::string wanted = "socket:[" + std::to_string(inode) + "]";
  std::error_code error;
  const std::filesystem::path directory = "/proc/" + std::to_string(process) + "/fd";
  for (std::filesystem::directory_iterator entry(directory, error), end; !error && entry != end;
       entry.increment(error)) {
    std::error_code gone;
    if (std::filesystem::read_symlink(entry->path(), gone) == wanted) {
      return true;
    }
  }
  return false;
}

}  // namespace sassafrasbay::stand_ins

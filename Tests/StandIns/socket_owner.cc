#include "StandIns/socket_owner.h"

#include <linux/inet_diag.h>
#include <linux/netlink.h>
#include <linux/sock_diag.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <filesystem>
#include <string>

namespace sassafrasbay::stand_ins {
namespace {

struct DiagnosisRequest {
  nlmsghdr header_;
  inet_diag_req_v2 body_;
};

struct DiagnosisReply {
  nlmsghdr header_;
  inet_diag_msg body_;
};

DiagnosisRequest MakeRequest(const sockaddr_in& from, const sockaddr_in& to) {
  DiagnosisRequest request{};
  request.header_.nlmsg_len = sizeof(request);
  request.header_.nlmsg_type = SOCK_DIAG_BY_FAMILY;
  request.header_.nlmsg_flags = NLM_F_REQUEST;
  request.body_.sdiag_family = AF_INET;
  request.body_.sdiag_protocol = IPPROTO_TCP;
  request.body_.idiag_states = ~0U;
  request.body_.id.idiag_sport = from.sin_port;
  request.body_.id.idiag_dport = to.sin_port;
  request.body_.id.idiag_src[0] = from.sin_addr.s_addr;
  request.body_.id.idiag_dst[0] = to.sin_addr.s_addr;
  request.body_.id.idiag_cookie[0] = INET_DIAG_NOCOOKIE;
  request.body_.id.idiag_cookie[1] = INET_DIAG_NOCOOKIE;
  return request;
}

}  // namespace

// Uses sock_diag, which looks up one socket by its addresses. A search of /proc/net/tcp takes tens
// of milliseconds with thousands of connections in TIME_WAIT and would stall all routes of the
// proxy.
std::uint64_t PeerSocketInode(int descriptor) {
  sockaddr_in local{};
  sockaddr_in peer{};
  socklen_t size = sizeof(local);
  getsockname(descriptor, reinterpret_cast<sockaddr*>(&local), &size);
  size = sizeof(peer);
  if (getpeername(descriptor, reinterpret_cast<sockaddr*>(&peer), &size) != 0) {
    return 0;
  }
  const int diagnosis = socket(AF_NETLINK, SOCK_DGRAM | SOCK_CLOEXEC, NETLINK_SOCK_DIAG);
  const DiagnosisRequest request = MakeRequest(peer, local);
  DiagnosisReply reply{};
  const bool found = send(diagnosis, &request, sizeof(request), 0) == sizeof(request) &&
                     recv(diagnosis, &reply, sizeof(reply), 0) >= ssize_t{sizeof(reply)} &&
                     reply.header_.nlmsg_type == SOCK_DIAG_BY_FAMILY;
  close(diagnosis);
  return found ? reply.body_.idiag_inode : 0;
}

bool OwnsSocket(pid_t process, std::uint64_t inode) {
  const std::string link_target = "socket:[" + std::to_string(inode) + "]";
  std::error_code error;
  const std::filesystem::path directory = "/proc/" + std::to_string(process) + "/fd";
  for (std::filesystem::directory_iterator entry(directory, error), end; !error && entry != end;
       entry.increment(error)) {
    std::error_code gone;
    if (std::filesystem::read_symlink(entry->path(), gone) == link_target) {
      return true;
    }
  }
  return false;
}

}  // namespace sassafrasbay::stand_ins

#pragma once

#include <sys/types.h>

#include <cstdint>

namespace sassafrasbay::stand_ins {

/// Inode of the other end of an accepted loopback connection, 0 when it is closed.
std::uint64_t PeerSocketInode(int descriptor);

/// True when the process has the socket open. Lets one route fail for some callers only.
bool OwnsSocket(pid_t process, std::uint64_t inode);

}  // namespace sassafrasbay::stand_ins

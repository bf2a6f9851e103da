#pragma once

#include <sys/types.h>

#include <cstdint>

namespace sassafrasbay::stand_ins {

/// Inode of the peer's socket of an accepted loopback connection; 0 when that socket is closed.
std::uint64_t PeerSocketInode(int descriptor);

/// Whether the process has the socket open. Used to limit a route's faults to some callers.
bool OwnsSocket(pid_t process, std::uint64_t inode);

}  // namespace sassafrasbay::stand_ins

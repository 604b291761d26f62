#pragma once
/// Tells which process holds the other end of a loopback connection, by the kernel's socket
/// diagnostics and the descriptors of the process.

#include <sys/types.h>

#include <cstdint>
#include <optional>
#include <set>

#include "common/error.hpp"

namespace planktray::soak {

/// IPv4 addresses and ports of one connection, in network byte order, seen from the searched end.
struct ConnectionEnds {
  std::uint32_t local_address = 0;
  std::uint16_t local_port = 0;
  std::uint32_t remote_address = 0;
  std::uint16_t remote_port = 0;
};

using SocketInode = std::uint32_t;

class SocketOwner {
 public:
  SocketOwner();
  ~SocketOwner();
  SocketOwner(const SocketOwner&) = delete;
  SocketOwner& operator=(const SocketOwner&) = delete;

  /// @return kIo if the kernel offers no socket diagnostics.
  common::Result<void> check() const;
  /// Returns the inode of the socket; nothing if there is no such connection any more.
  std::optional<SocketInode> inode_of(const ConnectionEnds& ends) const;
  /// Returns the inodes of all sockets of a process.
  static std::set<SocketInode> inodes_of(pid_t process);

 private:
  int diagnostics_;  ///< netlink socket; negative: not available
};

}  // namespace planktray::soak

#include "soak/socket_owner.hpp"

#include <dirent.h>
#include <linux/inet_diag.h>
#include <linux/netlink.h>
#include <linux/sock_diag.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <charconv>
#include <cstring>
#include <string>
#include <string_view>

namespace planktray::soak {
namespace {

struct DiagnosticsRequest {
  nlmsghdr header{};
  inet_diag_req_v2 request{};
};

}  // namespace

SocketOwner::SocketOwner()
    : diagnostics_(socket(AF_NETLINK, SOCK_DGRAM | SOCK_CLOEXEC, NETLINK_SOCK_DIAG)) {}

SocketOwner::~SocketOwner() {
  if (diagnostics_ >= 0) {
    close(diagnostics_);
  }
}

common::Result<void> SocketOwner::check() const {
  if (diagnostics_ < 0) {
    return common::fail(common::ErrorCode::kIo, "open socket diagnostics", "kernel",
                        "not available");
  }
  return {};
}

std::optional<SocketInode> SocketOwner::inode_of(const ConnectionEnds& ends) const {
  constexpr std::uint32_t kAllStates = ~0U;
  DiagnosticsRequest query;
  query.header.nlmsg_len = sizeof(query);
  query.header.nlmsg_type = SOCK_DIAG_BY_FAMILY;
  query.header.nlmsg_flags = NLM_F_REQUEST;
  query.request.sdiag_family = AF_INET;
  query.request.sdiag_protocol = IPPROTO_TCP;
  query.request.idiag_states = kAllStates;
  query.request.id.idiag_sport = ends.local_port;
  query.request.id.idiag_dport = ends.remote_port;
  query.request.id.idiag_src[0] = ends.local_address;
  query.request.id.idiag_dst[0] = ends.remote_address;
  query.request.id.idiag_cookie[0] = INET_DIAG_NOCOOKIE;
  query.request.id.idiag_cookie[1] = INET_DIAG_NOCOOKIE;
  alignas(nlmsghdr) std::array<char, 8192> buffer{};
  if (send(diagnostics_, &query, sizeof(query), 0) < 0) {
    return std::nullopt;
  }
  const ssize_t length = recv(diagnostics_, buffer.data(), buffer.size(), 0);
  nlmsghdr header{};
  inet_diag_msg message{};
  if (length < static_cast<ssize_t>(NLMSG_HDRLEN + sizeof(message))) {
    return std::nullopt;
  }
  std::memcpy(&header, buffer.data(), sizeof(header));
  if (header.nlmsg_type != SOCK_DIAG_BY_FAMILY) {
    return std::nullopt;
  }
  std::memcpy(&message, buffer.data() + NLMSG_HDRLEN, sizeof(message));
  return message.idiag_inode;
}

std::set<SocketInode> SocketOwner::inodes_of(pid_t process) {
  // Plain calls: this runs for each connection while processes are cut off.
  constexpr std::string_view kPrefix = "socket:[";
  std::set<SocketInode> inodes;
  DIR* folder = opendir(("/proc/" + std::to_string(process) + "/fd").c_str());
  if (folder == nullptr) {
    return inodes;  // the process has ended
  }
  std::array<char, 64> target{};
  for (const dirent* entry = readdir(folder); entry != nullptr; entry = readdir(folder)) {
    const ssize_t length = readlinkat(dirfd(folder), entry->d_name, target.data(), target.size());
    const std::string_view text(target.data(), length > 0 ? static_cast<std::size_t>(length) : 0);
    SocketInode inode = 0;
    if (text.starts_with(kPrefix)) {
      std::from_chars(text.data() + kPrefix.size(), text.data() + text.size(), inode);
      inodes.insert(inode);
    }
  }
  closedir(folder);
  return inodes;
}

}  // namespace planktray::soak

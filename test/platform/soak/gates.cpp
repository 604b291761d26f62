#include "soak/gates.hpp"

#include <glib-unix.h>
#include <netinet/in.h>
#include <sys/socket.h>

#include <algorithm>
#include <optional>
#include <utility>

#include "transport/event_loop.hpp"

namespace planktray::soak {
namespace {

using transport::StreamEnd;
using transport::TcpStream;

constexpr int kBacklog = 512;

/// Returns the ends of an accepted connection as its client sees them.
std::optional<ConnectionEnds> client_ends(GSocket* socket) {
  sockaddr_in client{};
  sockaddr_in server{};
  socklen_t length = sizeof(client);
  const int fd = g_socket_get_fd(socket);
  if (getpeername(fd, reinterpret_cast<sockaddr*>(&client), &length) != 0) {  // NOLINT: API
    return std::nullopt;
  }
  length = sizeof(server);
  if (getsockname(fd, reinterpret_cast<sockaddr*>(&server), &length) != 0) {  // NOLINT: API
    return std::nullopt;
  }
  return ConnectionEnds{client.sin_addr.s_addr, client.sin_port, server.sin_addr.s_addr,
                        server.sin_port};
}

}  // namespace

Gates::~Gates() {
  for (const auto& gate : gates_) {
    g_source_remove(gate->source);
    g_object_unref(gate->listener);
  }
  const auto links = std::exchange(links_, {});
  for (const auto& [id, link] : links) {
    link.outer->close();
    link.inner->close();
  }
}

common::Result<void> Gates::open(const std::string& address, const std::string& inner) {
  if (auto checked = owners_.check(); !checked) {
    return checked;
  }
  const auto endpoint = transport::parse_endpoint(address);
  if (!endpoint.has_value()) {
    return tl::unexpected(endpoint.error());
  }
  auto gate = std::make_unique<Gate>();
  gate->owner = this;
  gate->inner = inner;
  gate->listener =
      g_socket_new(G_SOCKET_FAMILY_IPV4, G_SOCKET_TYPE_STREAM, G_SOCKET_PROTOCOL_TCP, nullptr);
  GSocketAddress* local =
      g_inet_socket_address_new_from_string(endpoint->host.c_str(), endpoint->port);
  g_socket_set_listen_backlog(gate->listener, kBacklog);
  g_socket_set_blocking(gate->listener, FALSE);
  const bool listens = g_socket_bind(gate->listener, local, TRUE, nullptr) != FALSE &&
                       g_socket_listen(gate->listener, nullptr) != FALSE;
  g_object_unref(local);
  if (!listens) {
    g_object_unref(gate->listener);
    return common::fail(common::ErrorCode::kIo, "listen", address, "the address is in use");
  }
  gate->source = g_unix_fd_add(g_socket_get_fd(gate->listener), G_IO_IN, on_incoming, gate.get());
  gates_.push_back(std::move(gate));
  return {};
}

void Gates::cut(pid_t process, GateCut kind) {
  cuts_[process] = kind;
  if (kind != GateCut::kAll) {
    return;
  }
  const std::set<SocketInode> inodes = SocketOwner::inodes_of(process);
  std::vector<std::uint64_t> lost;
  for (const auto& [id, link] : links_) {
    const auto inode = owners_.inode_of(link.ends);
    if (inode.has_value() && inodes.contains(*inode)) {
      lost.push_back(id);
    }
  }
  for (const std::uint64_t id : lost) {
    reset(id);
  }
}

gboolean Gates::on_incoming(gint /*fd*/, GIOCondition /*condition*/, gpointer gate) {
  auto* raw = static_cast<Gate*>(gate);
  raw->owner->accept(*raw);
  return G_SOURCE_CONTINUE;
}

void Gates::accept(Gate& gate) {
  GSocket* socket = g_socket_accept(gate.listener, nullptr, nullptr);
  if (socket == nullptr) {
    return;
  }
  const auto ends = client_ends(socket);
  const auto outer = TcpStream::adopt(socket, common::Duration(0));
  g_object_unref(socket);
  auto inner = TcpStream::connect(gate.inner, common::Duration(0));
  if (!ends.has_value() || is_cut(*ends) || !inner.has_value()) {
    return outer->abort();
  }
  const std::uint64_t id = next_id_++;
  links_[id] = {outer, *inner, *ends};
  start(id);
}

void Gates::start(std::uint64_t id) {
  const Link link = links_.at(id);
  for (const bool is_outer : {false, true}) {
    TcpStream::Handlers handlers;
    handlers.on_data = [this, id, is_outer](std::string_view bytes) { pass(id, bytes, is_outer); };
    handlers.on_end = [this, id, is_outer](StreamEnd how) { end(id, how, is_outer); };
    (is_outer ? link.outer : link.inner)->start(std::move(handlers));
  }
}

void Gates::pass(std::uint64_t id, std::string_view bytes, bool is_outer) {
  const auto found = links_.find(id);
  if (found != links_.end()) {
    const auto to = is_outer ? found->second.inner : found->second.outer;
    to->write(bytes);
  }
}

void Gates::end(std::uint64_t id, StreamEnd how, bool from_outer) {
  const auto found = links_.find(id);
  if (found == links_.end()) {
    return;
  }
  const Link link = found->second;
  links_.erase(found);
  const auto& other = from_outer ? link.inner : link.outer;
  if (how == StreamEnd::kReset) {
    other->abort();
  } else if (other->is_writing()) {
    other->finish_writing();
  } else {
    other->close();
  }
  (from_outer ? link.outer : link.inner)->close();
}

void Gates::reset(std::uint64_t id) {
  const auto found = links_.find(id);
  if (found == links_.end()) {
    return;
  }
  const Link link = found->second;
  links_.erase(found);
  link.outer->abort();
  link.inner->abort();
}

bool Gates::is_cut(const ConnectionEnds& ends) const {
  if (cuts_.empty()) {
    return false;
  }
  const auto inode = owners_.inode_of(ends);
  return inode.has_value() && std::any_of(cuts_.begin(), cuts_.end(), [inode](const auto& item) {
           return SocketOwner::inodes_of(item.first).contains(*inode);
         });
}

}  // namespace planktray::soak

#pragma once
/// Listens at the addresses of the targets, passes bytes on to them, and cuts off single processes:
/// their connections are reset while all others pass.
///
/// All processes connect from the same loopback address; SocketOwner tells whose connection it is.

#include <gio/gio.h>
#include <sys/types.h>

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "common/error.hpp"
#include "soak/socket_owner.hpp"
#include "transport/tcp_stream.hpp"

namespace planktray::soak {

enum class GateCut {
  kAll,  ///< open connections are reset, and new ones as soon as they are accepted
  kNew,  ///< open connections live on; new ones are reset as soon as they are accepted
};

class Gates {
 public:
  Gates() = default;
  ~Gates();
  Gates(const Gates&) = delete;
  Gates& operator=(const Gates&) = delete;

  /// Passes connections to `address` on to `inner`.
  common::Result<void> open(const std::string& address, const std::string& inner);
  void cut(pid_t process, GateCut kind);
  void mend_all() { cuts_.clear(); }

 private:
  struct Gate {
    Gates* owner = nullptr;
    std::string inner;
    GSocket* listener = nullptr;
    guint source = 0;
  };
  /// The router's and the target's stream of one connection.
  struct Link {
    std::shared_ptr<transport::TcpStream> outer;
    std::shared_ptr<transport::TcpStream> inner;
    ConnectionEnds ends;  ///< as the router sees them
  };

  static gboolean on_incoming(gint fd, GIOCondition condition, gpointer gate);
  void accept(Gate& gate);
  void start(std::uint64_t id);
  void pass(std::uint64_t id, std::string_view bytes, bool is_outer);
  void end(std::uint64_t id, transport::StreamEnd how, bool from_outer);
  void reset(std::uint64_t id);
  bool is_cut(const ConnectionEnds& ends) const;

  SocketOwner owners_;
  std::vector<std::unique_ptr<Gate>> gates_;
  std::map<std::uint64_t, Link> links_;
  std::map<pid_t, GateCut> cuts_;
  std::uint64_t next_id_ = 1;
};

}  // namespace planktray::soak

#pragma once
/// A router of a simulated world that follows the controllers as the router process does: hellos,
/// polls, the search for the leader and table updates. It serves no callers.

#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "router/core/router_core.hpp"
#include "sim/environment.hpp"

namespace planktray::sim {

class TableRouter {
 public:
  /// Sends a hello to the controller at `address`.
  using HelloSender =
      std::function<void(TableRouter& from, const std::string& address, routing::RouterHello)>;

  TableRouter(Environment& environment, HostId host, router::RouterOptions options,
              std::vector<std::string> seeds, HelloSender send_hello);

  void start();
  void kill();

  void receive(const routing::TableUpdate& update, const std::string& from);
  void receive(const routing::ControllerList& list);

  Host& host() { return environment_.network.host(host_); }
  HostId host_id() const { return host_; }
  const std::string& name() const { return options_.name.value; }
  bool is_up() const { return core_.has_value(); }
  /// Call only while is_up().
  const router::RouterCore& core() const { return *core_; }

 private:
  void tick();
  void flush();

  Environment& environment_;
  HostId host_;
  router::RouterOptions options_;
  std::vector<std::string> seeds_;  ///< the controllers that it knows at its start
  HelloSender send_hello_;
  std::optional<router::RouterCore> core_;
};

}  // namespace planktray::sim

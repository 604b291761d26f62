#pragma once
/// The routers that relay requests for others, and which of them each router is told.
///
/// Every router is told a few peers ahead of need, so that it can relay while the leader changes:
/// first those that reach all services, a part of them in its own zone, the rest drawn by a hash of
/// both names, so that the load of routers without a path spreads over all others.

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "common/ids.hpp"
#include "routing/table_messages.hpp"

namespace planktray::controller {

class RelayDirectory {
 public:
  void clear();
  void on_hello(const routing::RouterHello& hello);
  void remove(const common::RouterName& router);
  /// Returns the peers of a router; the same list until the routers or what they reach change.
  const std::vector<routing::RelayPeer>& peers_of(const common::RouterName& router);
  /// Returns true if the router has another list than peers_of().
  bool is_outdated(const common::RouterName& router);

 private:
  struct Router {
    routing::RelayPeer self;          ///< no address: it takes no relayed requests
    std::uint64_t digest_stated = 0;  ///< of the list that it has
    std::vector<routing::RelayPeer> peers;
    std::uint64_t peers_digest = 0;
    std::uint64_t made_at = 0;  ///< generation of `peers`; 0: not made yet
  };

  /// Returns the router with a list that is up to date.
  Router& with_peers(const common::RouterName& name);
  void make_peers(const common::RouterName& name, Router& router) const;

  std::map<common::RouterName, Router> routers_;
  std::uint64_t generation_ = 1;  ///< of the routers and what they reach
};

}  // namespace planktray::controller

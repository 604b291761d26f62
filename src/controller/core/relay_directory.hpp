#pragma once
/// The routers that relay requests for others, and which of them each router is told.
///
/// Every router is told a few peers ahead of need, so that it can relay while the leader changes:
/// first those that reach all services, a part of them in its own zone, the rest from all zones.
/// Peers are found on rings of hashes (consistent hashing), so that the load of routers without a
/// path spreads over all others, a router that joins or leaves changes the lists of a few others,
/// and making a list takes time logarithmic in the number of routers.

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
  std::vector<routing::RelayPeer> peers_of(const common::RouterName& router) const;
  /// Returns true if the router has another list than peers_of().
  bool is_outdated(const common::RouterName& router) const;

 private:
  struct Router {
    routing::RelayPeer self;          ///< no address: it takes no relayed requests
    std::uint64_t digest_stated = 0;  ///< of the list that it has
  };
  using Routers = std::map<common::RouterName, Router>;
  /// Routers by the hashes of their names; each has several places.
  using Ring = std::map<std::uint64_t, Routers::const_iterator>;

  /// Adds the router to the rings that it belongs to, or removes it from them.
  void place(Routers::const_iterator router);
  void withdraw(Routers::const_iterator router);
  /// Appends peers from the ring until the list has `size` elements or all routers are in it.
  static void append_peers(const Ring& ring, Routers::const_iterator router, std::size_t size,
                           std::vector<Routers::const_iterator>& peers);

  Routers routers_;
  Ring reaching_all_;
  std::map<common::ZoneName, Ring> reaching_all_by_zone_;
  Ring lacking_some_;  ///< routers that cannot reach some service
};

}  // namespace planktray::controller

#pragma once
/// Divides the requests of a route among its parts by weight. Each route has a position between 0
/// and 1 that advances by a fixed irrational step for each request; the part whose share of the
/// interval contains it is chosen. The positions are evenly spread whatever the weights are, so a
/// change of the weights applies from the next request on, and a part without a weight is never
/// chosen. A random start spreads the first requests of many routers over the parts.

#include <map>
#include <optional>
#include <string>

#include "common/random.hpp"
#include "config/route_configuration.hpp"

namespace planktray::routing {

class TrafficSplits {
 public:
  /// Returns the index of the part for the next request of the route; nullopt if no part has a
  /// weight.
  std::optional<std::size_t> choose(const config::Route& route, common::RandomEngine& random);
  /// Forgets the routes for which `is_known(name)` is false.
  template <typename IsKnown>
  void keep_only(const IsKnown& is_known) {
    std::erase_if(positions_, [&](const auto& item) { return !is_known(item.first); });
  }
  /// Number of routes with a position.
  std::size_t size() const { return positions_.size(); }

 private:
  std::map<std::string, double> positions_;  ///< in [0, 1), by route name
};

}  // namespace planktray::routing

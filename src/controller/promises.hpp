#pragma once
/// Compares the times that a deployment promises its users with the worst that the settings and the
/// size of the fleet allow. Such a comparison shows on the first day what otherwise only a change
/// of leader in a large fleet shows.

#include <cstddef>
#include <string>
#include <vector>

#include "controller/core/controller_core.hpp"
#include "routing/leader_search.hpp"

namespace planktray::controller {

/// Promised times; 0: nothing is promised.
struct PromisedTimes {
  Duration in_force{0};      ///< an acknowledged configuration holds at every router
  Duration leaving{0};       ///< a back end whose leaving is acknowledged gets nothing more
  Duration longest_hold{0};  ///< no grant may hold longer

  /// The shorter time for a change to reach all routers; 0: none is promised.
  Duration shortest_change() const;
};

struct Promise {
  std::string name;
  Duration promised{0};
  Duration worst{0};   ///< that the settings allow
  std::string reason;  ///< what the worst is made of

  bool holds() const { return promised.count() == 0 || worst <= promised; }
};

/// The longest interval between hellos with which what a new leader acknowledges reaches routers
/// that nobody has told of it within `promised`.
Duration longest_hello_interval(Duration promised, Duration shortest_election,
                                const routing::LeaderSearchOptions& search);

/// All promises, as the settings keep them with this many routers.
std::vector<Promise> check_promises(const PromisedTimes& promised, const ControllerOptions& options,
                                    std::size_t routers);

}  // namespace planktray::controller

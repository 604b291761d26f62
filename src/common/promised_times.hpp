#pragma once
/// What a deployment promises its operators, as controllers and routers are told alike.

#include <algorithm>

#include "common/time.hpp"

namespace planktray::common {

/// Promised times; 0: nothing is promised.
struct PromisedTimes {
  Duration in_force{0};      ///< an acknowledged configuration holds at every router
  Duration leaving{0};       ///< a back end whose leaving is acknowledged gets nothing more
  Duration longest_hold{0};  ///< no grant may hold longer
  /// Back ends of a zone whose evacuation is acknowledged get nothing more.
  Duration evacuation{0};

  /// The shorter time for a change to reach all routers; 0: none is promised.
  Duration shortest_change() const {
    const bool has_both = in_force.count() > 0 && leaving.count() > 0;
    return has_both ? std::min(in_force, leaving) : std::max(in_force, leaving);
  }
};

}  // namespace planktray::common

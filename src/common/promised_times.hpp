#pragma once
/// Time limits that a deployment guarantees to operators. Controllers and routers use the same
/// settings.

#include <algorithm>

#include "common/time.hpp"

namespace planktray::common {

/// Guaranteed time limits; 0: no guarantee.
struct PromisedTimes {
  Duration in_force{0};      ///< until an acknowledged configuration applies at every router
  Duration leaving{0};       ///< until a back end gets no requests after its acknowledged departure
  Duration longest_hold{0};  ///< upper limit of a grant's duration
  /// Until the back ends of a zone get no requests after its acknowledged evacuation.
  Duration evacuation{0};

  /// Shortest guaranteed time for a change to reach all routers; 0: no guarantee.
  Duration shortest_change() const {
    const bool has_both = in_force.count() > 0 && leaving.count() > 0;
    return has_both ? std::min(in_force, leaving) : std::max(in_force, leaving);
  }
};

}  // namespace planktray::common

#pragma once
/// How long a request takes from the choice of its back end until it is there, as one sum. What is
/// left of a promise about back ends that leave is the oldest table to choose by.

#include <algorithm>

#include "common/time.hpp"

namespace planktray::router {

/// The longest that each part takes, and what keeps it so.
struct ArrivalTime {
  common::Duration connection{0};  ///< a new one is given up after this time
  common::Duration settling{0};    ///< of a new connection, before what may not be repeated
  /// The router's main loop takes part twice: to connect and to write. Turns have a budget.
  common::Duration turns{0};
  /// From the system of this machine to the back end; assumed, as nothing here bounds it.
  common::Duration way = std::chrono::milliseconds(200);

  common::Duration total() const { return connection + settling + turns + way; }

  /// The oldest table that keeps a promise of this time; 0 where nothing is promised.
  common::Duration oldest_table(common::Duration promised) const {
    // With less, every lost question to a controller would stop a router's requests.
    constexpr common::Duration kShortest = std::chrono::milliseconds(500);
    return promised.count() == 0 ? promised : std::max(promised - total(), kShortest);
  }

  /// For how long requests may still be sent after this router has learnt of a change that stops
  /// them, at most `wanted`: what is left of the promise beside the oldest table and the way.
  common::Duration grace(common::Duration promised, common::Duration oldest,
                         common::Duration wanted) const {
    const common::Duration left = std::max(promised - oldest - total(), common::Duration(0));
    return promised.count() == 0 ? wanted : std::min(left, wanted);
  }
};

}  // namespace planktray::router

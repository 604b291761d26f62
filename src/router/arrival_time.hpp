#pragma once
/// Upper bound of the time from the choice of a request's back end until the request arrives there.
/// A promised time minus this bound is the maximum age of the table that the choice may use.

#include <algorithm>

#include "common/time.hpp"

namespace planktray::router {

/// Upper bounds of the steps on the way from the router to the back end.
struct ArrivalTime {
  common::Duration connection{0};  ///< the connect timeout
  /// Time that a new connection has to be up before non-repeatable requests are written on it.
  common::Duration settling{0};
  /// Turns of the router's main loop, one to connect and one to write; turns have a time budget.
  common::Duration loop_turns{0};
  /// From the operating system of this machine to the back end; an assumption, as nothing in the
  /// router bounds it.
  common::Duration network_latency = std::chrono::milliseconds(200);

  common::Duration total() const { return connection + settling + loop_turns + network_latency; }

  /// The maximum age of a table that keeps the promised time; 0 if nothing is promised.
  common::Duration maximum_table_age(common::Duration promised) const {
    // With a lower limit, each lost confirmation request to a controller would stop all requests.
    constexpr common::Duration kShortest = std::chrono::milliseconds(500);
    return promised.count() == 0 ? promised : std::max(promised - total(), kShortest);
  }

  /// How long requests may still be sent after this router has received a change that stops them:
  /// the promised time minus the maximum table age and total(), at most `wanted`.
  common::Duration grace_period(common::Duration promised, common::Duration oldest,
                                common::Duration wanted) const {
    const common::Duration left = std::max(promised - oldest - total(), common::Duration(0));
    return promised.count() == 0 ? wanted : std::min(left, wanted);
  }
};

}  // namespace planktray::router

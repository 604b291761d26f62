#pragma once
/// Timing of a router's search for the leader after hellos stay unanswered. The timeouts are
/// independent of the fleet size. A timeout of two hello intervals, which grow with the fleet, left
/// 281 routers with stale tables for 4.5 s.

#include <chrono>
#include <cstddef>

#include "common/time.hpp"

namespace planktray::routing {

struct LeaderSearchOptions {
  /// When the leader has not answered a hello within this time, the router asks other controllers
  /// which leader they follow. One turn of an overloaded leader's event loop can take 0.6 s;
  /// queries go to other controllers and do not add to the leader's load.
  common::Duration answer_timeout = std::chrono::milliseconds(500);
  /// Queries are repeated after this time, which doubles up to `max_query_interval`.
  common::Duration query_interval = std::chrono::milliseconds(250);
  common::Duration max_query_interval = std::chrono::milliseconds(1000);
  /// Number of controllers asked per query.
  std::size_t queried_controllers = 3;
  /// After the announcement of a new leader, each router sends its hello after a random delay up to
  /// this time, so that routers, which all need the newly committed changes, do not send at once.
  common::Duration announcement_spread = std::chrono::milliseconds(200);

  /// Longest time from the first unanswered hello to the hello at the new leader, if a controller
  /// that knows the new leader answers by the second query.
  common::Duration longest() const { return answer_timeout + query_interval + announcement_spread; }
};

}  // namespace planktray::routing

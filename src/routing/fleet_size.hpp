#pragma once
/// How many routers share what is promised for all of them together: retry budgets, rates of
/// targets, connections.
///
/// Invariant: the figure is never below the largest that was heard within `memory`. A leader that
/// has just been elected knows only the routers that have said hello to it so far, and a router
/// that restarts is not counted for a while: parts worked out from such a count would add up to
/// more than the whole.

#include <algorithm>
#include <cstdint>
#include <deque>

#include "common/time.hpp"

namespace planktray::routing {

class FleetSize {
 public:
  /// @param memory longer than it takes all routers to say hello to a new leader.
  explicit FleetSize(common::Duration memory) : memory_(memory) {}

  /// A leader counts so many routers.
  void on_count(common::TimePoint now, std::uint32_t routers) {
    while (!heard_.empty() && heard_.back().routers <= routers) {
      heard_.pop_back();
    }
    heard_.push_back({now, routers});
    while (heard_.size() > 1 && now - heard_.front().at > memory_) {
      heard_.pop_front();
    }
  }
  /// 1 where nothing was heard.
  std::uint32_t largest() const { return heard_.empty() ? 1 : heard_.front().routers; }

 private:
  struct Heard {
    common::TimePoint at;
    std::uint32_t routers = 1;
  };

  common::Duration memory_;
  std::deque<Heard> heard_;  ///< figures fall from the front to the back
};

}  // namespace planktray::routing

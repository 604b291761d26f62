#pragma once
/// Number of routers among which fleet-wide limits are divided: retry budgets, request rates of
/// targets, connections.
///
/// Invariant: the count is never below the largest count that was received within `memory`. A newly
/// elected leader counts only the routers that have sent it a hello so far, and a restarting router
/// is temporarily not counted. Shares computed from such a count would add up to more than the
/// limit.

#include <algorithm>
#include <cstdint>
#include <deque>

#include "common/time.hpp"

namespace planktray::routing {

class FleetSize {
 public:
  /// @param memory longer than all routers together need to send a hello to a new leader.
  explicit FleetSize(common::Duration memory) : memory_(memory) {}

  /// Records the number of routers that a leader counts.
  void on_count(common::TimePoint now, std::uint32_t routers) {
    while (!counts_.empty() && counts_.back().routers <= routers) {
      counts_.pop_back();
    }
    counts_.push_back({now, routers});
    while (counts_.size() > 1 && now - counts_.front().at > memory_) {
      counts_.pop_front();
    }
  }
  /// Largest count within the memory; 1 before the first count.
  std::uint32_t largest() const { return counts_.empty() ? 1 : counts_.front().routers; }

 private:
  struct Count {
    common::TimePoint at;
    std::uint32_t routers = 1;
  };

  common::Duration memory_;
  std::deque<Count> counts_;  ///< in decreasing order of `routers`
};

}  // namespace planktray::routing

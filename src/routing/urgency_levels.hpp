#pragma once
/// Which urgencies compete for the targets of one service, by the requests that came of late. Room
/// is kept for routes that are in use, not for all that are declared.

#include <cstddef>
#include <cstdint>
#include <map>

#include "common/time.hpp"

namespace planktray::routing {

class UrgencyLevels {
 public:
  /// A request of a route with this priority and objective (0: none stated) came.
  void note(common::TimePoint now, std::uint32_t priority, common::Duration objective) {
    if (objective.count() == 0 || (levels_.size() >= kMaximum && !levels_.contains(priority))) {
      return;
    }
    Level& level = levels_[priority];
    const bool is_shortest = objective <= level.objective || now >= level.until;
    level.objective = is_shortest ? objective : level.objective;
    level.until = is_shortest ? now + kMemory : level.until;
  }
  /// The shortest objective of requests that are more urgent than `priority`; 0: there are none.
  common::Duration more_urgent(common::TimePoint now, std::uint32_t priority) const {
    common::Duration shortest{0};
    for (const auto& [rank, level] : levels_) {
      if (rank < priority && now < level.until &&
          (shortest.count() == 0 || level.objective < shortest)) {
        shortest = level.objective;
      }
    }
    return shortest;
  }

 private:
  /// A route that had no request for so long is not in use at this router.
  static constexpr common::Duration kMemory = std::chrono::seconds(5);
  /// More ranks than operators tell apart; bounds what a configuration can make a router keep.
  static constexpr std::size_t kMaximum = 16;

  struct Level {
    common::Duration objective{0};
    common::TimePoint until;
  };
  std::map<std::uint32_t, Level> levels_;
};

}  // namespace planktray::routing

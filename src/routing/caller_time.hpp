#pragma once
/// What callers of one route had to spend when they came. Callers state how long they will still
/// wait; who was refused before, here or at another router, states less than a first try does. So a
/// router knows who returns, and how much of the objective is gone, without a word from others.

#include <algorithm>
#include <utility>

#include "common/time.hpp"

namespace planktray::routing {

class CallerTime {
 public:
  /// A request came that states `stated`. @return what it has used before: 0 for a first try.
  common::Duration used(common::TimePoint now, common::Duration stated) {
    if (now >= window_end_) {
      previous_ = now < window_end_ + kWindow ? longest_ : common::Duration(0);
      longest_ = common::Duration(0);
      window_end_ = now + kWindow;
    }
    longest_ = std::max(longest_, stated);
    const common::Duration usual = std::max(longest_, previous_);
    const common::Duration used = usual - stated;
    return used > usual / kLeastPart ? used : common::Duration(0);
  }

 private:
  /// Long enough that some first try is among the requests of a route that is in use.
  static constexpr common::Duration kWindow = std::chrono::seconds(5);
  /// Less than this fraction (1 / value) of the usual time is no sign of an earlier try: callers
  /// measure their time on the way.
  static constexpr int kLeastPart = 20;

  common::Duration longest_{0};
  common::Duration previous_{0};
  common::TimePoint window_end_;
};

}  // namespace planktray::routing

#pragma once
/// Starting a node again once its planned stop is done.

#include "sim/scheduler.hpp"

namespace planktray::sim {

/// A planned stop under way is looked at this often.
inline constexpr Duration kStopPoll = std::chrono::milliseconds(200);

/// Starts the node after `delay`, or as soon after it as its planned stop is done. Does nothing
/// where it runs again by then.
template <typename Node>
void start_when_stopped(Scheduler& scheduler, Node* node, Duration delay) {
  scheduler.after(delay, [&scheduler, node] {
    if (node->is_up() && node->is_stopping()) {
      return start_when_stopped(scheduler, node, kStopPoll);
    }
    if (!node->is_up()) {
      node->start();
    }
  });
}

}  // namespace planktray::sim

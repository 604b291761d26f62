#pragma once
/// What is to happen later in a simulated world that advances in steps of time.

#include <functional>
#include <map>
#include <utility>

#include "common/time.hpp"

namespace planktray::sim {

/// Events in the order of their times, those of one time in the order in which they were added.
class EventQueue {
 public:
  using Event = std::function<void()>;

  void add(common::TimePoint when, Event event) { events_.emplace(when, std::move(event)); }
  /// Runs all that are due, among them those that are added meanwhile.
  void run_due(common::TimePoint now) {
    while (!events_.empty() && events_.begin()->first <= now) {
      const Event event = std::move(events_.begin()->second);
      events_.erase(events_.begin());
      event();
    }
  }

 private:
  std::multimap<common::TimePoint, Event> events_;
};

}  // namespace planktray::sim

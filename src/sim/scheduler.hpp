#pragma once
/// Virtual time: a queue of actions in the order of (time, insertion). Everything that happens in a
/// simulated run happens in one of its actions.

#include <cstdint>
#include <functional>
#include <tuple>
#include <utility>
#include <vector>

#include "common/time.hpp"

namespace planktray::sim {

using common::Duration;
using common::TimePoint;
using Action = std::function<void()>;

class Scheduler {
 public:
  TimePoint now() const { return now_; }
  void at(TimePoint time, Action action);
  void after(Duration delay, Action action) { at(now_ + delay, std::move(action)); }
  /// Runs every action due up to and including `end`, then stands at `end`.
  void run_until(TimePoint end);
  std::uint64_t executed() const { return executed_; }
  /// Digest of the times and order of all actions so far.
  std::uint64_t digest() const { return digest_; }

 private:
  struct Item {
    TimePoint time;
    std::uint64_t sequence;
    Action action;
  };
  static bool later(const Item& left, const Item& right) {
    return std::tie(left.time, left.sequence) > std::tie(right.time, right.sequence);
  }

  TimePoint now_{};
  std::uint64_t sequence_ = 0;
  std::uint64_t executed_ = 0;
  std::uint64_t digest_ = 0;
  std::vector<Item> heap_;
};

}  // namespace planktray::sim

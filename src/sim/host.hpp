#pragma once
/// One simulated machine: it may be dead, or stopped for a while, and its clock runs at its own
/// rate from its own start. Clocks run on while the machine is stopped, as CLOCK_BOOTTIME does.

#include <cstdint>
#include <utility>
#include <vector>

#include "sim/scheduler.hpp"

namespace planktray::sim {

/// Number of a machine within one run.
using HostId = std::size_t;

class Host {
 public:
  explicit Host(Scheduler& scheduler) : scheduler_(&scheduler) {}

  bool is_alive() const { return alive_; }
  /// Grows with every start; what an earlier life began is not carried on.
  std::uint64_t generation() const { return generation_; }

  void start() {
    alive_ = true;
    paused_ = false;
    ++generation_;
  }
  void kill() {
    alive_ = false;
    paused_ = false;
    ++generation_;
    backlog_.clear();
  }
  void pause() { paused_ = alive_; }
  void resume() {
    if (!paused_) {
      return;
    }
    paused_ = false;
    std::vector<Action> backlog = std::exchange(backlog_, {});
    for (Action& action : backlog) {
      deliver(std::move(action));
    }
  }

  /// Something arrives from outside: dropped where dead, kept while stopped.
  void deliver(Action action) {
    if (!alive_) {
      return;
    }
    if (paused_) {
      backlog_.push_back(std::move(action));
      return;
    }
    action();
  }
  /// Runs in this life of the machine only.
  void after(Duration delay, Action action) {
    scheduler_->after(delay, [this, generation = generation_, action = std::move(action)] {
      if (generation == generation_) {
        deliver(action);
      }
    });
  }

  /// @param rate how fast its clock runs; 1 is exact.
  void set_clock(Duration offset, double rate) {
    offset_ = offset;
    rate_ = rate;
  }
  /// What the machine's own clock reads now.
  TimePoint clock() const {
    const auto elapsed = static_cast<double>(scheduler_->now().time_since_epoch().count());
    return TimePoint(offset_ + Duration(static_cast<Duration::rep>(elapsed * rate_)));
  }
  /// The true time at which the machine's own clock reads `reading`.
  TimePoint true_time(TimePoint reading) const {
    const auto elapsed = static_cast<double>((reading.time_since_epoch() - offset_).count());
    return TimePoint(Duration(static_cast<Duration::rep>(elapsed / rate_)));
  }
  /// The clock restarts, as it does when the machine boots. Its rate stays.
  void restart_clock() {
    const auto elapsed = static_cast<double>(scheduler_->now().time_since_epoch().count());
    offset_ = -Duration(static_cast<Duration::rep>(elapsed * rate_));
  }

 private:
  Scheduler* scheduler_;
  bool alive_ = false;
  bool paused_ = false;
  std::uint64_t generation_ = 0;
  Duration offset_{0};
  double rate_ = 1.0;
  std::vector<Action> backlog_;
};

}  // namespace planktray::sim

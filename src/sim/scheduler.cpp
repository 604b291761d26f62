#include "sim/scheduler.hpp"

#include <algorithm>
#include <tuple>

namespace planktray::sim {

void Scheduler::at(TimePoint time, Action action) {
  heap_.push_back({std::max(time, now_), ++sequence_, std::move(action)});
  std::push_heap(heap_.begin(), heap_.end(), later);
}

void Scheduler::run_until(TimePoint end) {
  constexpr std::uint64_t kMultiplier = 0x9e3779b97f4a7c15ULL;
  while (!heap_.empty() && heap_.front().time <= end) {
    std::pop_heap(heap_.begin(), heap_.end(), later);
    const Item item = std::move(heap_.back());
    heap_.pop_back();
    now_ = item.time;
    ++executed_;
    const auto time = static_cast<std::uint64_t>(common::to_microseconds(item.time));
    digest_ = (digest_ ^ time ^ (item.sequence << 32U)) * kMultiplier;
    item.action();
  }
  now_ = end;
}

}  // namespace planktray::sim

#include "sim/network.hpp"

namespace planktray::sim {
namespace {

/// Jitter as a part of the delay.
constexpr std::uint64_t kJitterDivisor = 4;
/// A repeated message comes this much after the first at most.
constexpr std::uint64_t kMaximumRepeatUs = 300'000;

}  // namespace

Duration Network::travel_time(HostId from, HostId to) {
  const Duration base = delay_(from, to);
  const auto jitter = static_cast<std::uint64_t>(base.count()) / kJitterDivisor + 1;
  Duration total = base + Duration(common::uniform(random_, 0, jitter));
  if (faults_.late > 0 && common::chance(random_, faults_.late)) {
    total +=
        Duration(common::uniform(random_, 0, static_cast<std::uint64_t>(faults_.lateness.count())));
  }
  return total;
}

void Network::send_with(HostId from, HostId to, Action action, bool may_repeat) {
  if (is_cut(from, to)) {
    return;
  }
  Duration delay = travel_time(from, to);
  const bool repeated =
      may_repeat && faults_.duplicate > 0 && common::chance(random_, faults_.duplicate);
  if (repeated) {
    const Duration again = delay + Duration(common::uniform(random_, 0, kMaximumRepeatUs));
    scheduler_.after(again, [this, to, action] { hosts_[to].deliver(action); });
  }
  scheduler_.after(delay, [this, from, to, action = std::move(action)] {
    if (!is_cut(from, to)) {
      hosts_[to].deliver(action);
    }
  });
}

}  // namespace planktray::sim

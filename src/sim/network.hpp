#pragma once
/// The network between simulated machines: delays, cuts in one or both directions, and messages
/// that come late, twice or out of order.

#include <deque>
#include <functional>
#include <set>
#include <utility>

#include "common/random.hpp"
#include "sim/host.hpp"

namespace planktray::sim {

/// How the network misbehaves at present.
struct NetworkFaults {
  double late = 0;       ///< share of messages that are late
  Duration lateness{0};  ///< by up to this much
  double duplicate = 0;  ///< share of messages that arrive twice
};

class Network {
 public:
  Network(Scheduler& scheduler, common::RandomEngine& random)
      : scheduler_(scheduler), random_(random) {}

  HostId add_host() {
    hosts_.emplace_back(scheduler_);
    return hosts_.size() - 1;
  }
  Host& host(HostId id) { return hosts_[id]; }
  std::size_t size() const { return hosts_.size(); }
  /// One-way delay between two machines, without jitter.
  void set_delay(std::function<Duration(HostId, HostId)> delay) { delay_ = std::move(delay); }

  void cut(HostId from, HostId to) { cuts_.insert({from, to}); }
  void mend(HostId from, HostId to) { cuts_.erase({from, to}); }
  void mend_all() { cuts_.clear(); }
  bool is_cut(HostId from, HostId to) const { return cuts_.contains({from, to}); }
  NetworkFaults& faults() { return faults_; }

  /// A message; `action` runs at the receiver, perhaps late, twice or never.
  void send(HostId from, HostId to, Action action) { send_with(from, to, std::move(action), true); }
  /// A segment of an open connection: may be late, but arrives once at most.
  void send_once(HostId from, HostId to, Action action) {
    send_with(from, to, std::move(action), false);
  }

 private:
  void send_with(HostId from, HostId to, Action action, bool may_repeat);
  Duration travel_time(HostId from, HostId to);

  Scheduler& scheduler_;
  common::RandomEngine& random_;
  std::deque<Host> hosts_;
  std::function<Duration(HostId, HostId)> delay_;
  std::set<std::pair<HostId, HostId>> cuts_;
  NetworkFaults faults_;
};

}  // namespace planktray::sim

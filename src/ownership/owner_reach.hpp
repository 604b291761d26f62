#pragma once
/// Tracks unreachable owners of keys and their retry backoff.
///
/// Invariant: at most one order at a time goes to an unreachable owner, with exponential backoff.
/// If each range retried on its own every 200 ms, 72 crashed owners would cause 1,300 failed orders
/// per second, which took a third of a leader's time.

#include <algorithm>
#include <cstddef>
#include <map>

#include "common/ids.hpp"
#include "common/time.hpp"

namespace planktray::ownership {

struct ReachOptions {
  /// The first backoff.
  common::Duration retry_interval = std::chrono::milliseconds(200);
  /// Limit of the exponential backoff. A heartbeat of the owner ends a backoff early.
  common::Duration max_retry_interval = std::chrono::milliseconds(1600);
  /// Probes in flight: each blocks until its connection attempt times out, and takes up capacity
  /// for orders to reachable owners.
  std::size_t max_probes_in_flight = 6;
};

/// Decides when orders may be sent to unreachable owners. An order to such an owner is a probe.
class OwnerReach {
 public:
  explicit OwnerReach(ReachOptions options) : options_(options) {}

  /// Returns true if an order may be sent to the owner now. For an unreachable owner, the caller
  /// has to send that order: no other is allowed until its end is noted or the longest backoff is
  /// over.
  bool may_send(common::TimePoint now, common::BackendId owner);
  /// Returns the earliest time of the next order to the owner.
  common::TimePoint next_send(common::BackendId owner) const;
  /// Notes that an order is sent. @return true if it is a probe of an unreachable owner.
  bool note_sent(common::BackendId owner);
  /// Notes that a probe has ended, with any outcome.
  void note_probe_ended() { --probes_in_flight_; }
  /// Notes that an order sent at `sent` has not reached the owner.
  void note_unreachable(common::TimePoint now, common::BackendId owner, common::TimePoint sent);
  /// Notes a reply of the owner. @return true if it was unreachable before.
  bool note_answer(common::BackendId owner) { return unreachable_.erase(owner) > 0; }
  /// Notes another sign that the owner is alive, which ends its backoff. @return true if the owner
  /// was unreachable.
  bool note_alive(common::TimePoint now, common::BackendId owner);
  bool has_unreachable() const { return !unreachable_.empty(); }
  void clear();
  /// Drops the owners for which `is_removed` returns true.
  template <typename IsRemoved>
  void forget(const IsRemoved& is_removed) {
    std::erase_if(unreachable_, [&](const auto& item) { return is_removed(item.first); });
  }

 private:
  struct Unreachable {
    common::TimePoint since;  ///< failures of orders sent before do not extend the backoff
    common::TimePoint next_send;
    common::Duration backoff{0};
  };

  ReachOptions options_;
  std::map<common::BackendId, Unreachable> unreachable_;
  std::size_t probes_in_flight_ = 0;
};

}  // namespace planktray::ownership

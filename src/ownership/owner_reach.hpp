#pragma once
/// Which owners of keys are out of reach, and when each may be tried again.
///
/// Invariant: to an owner to which nothing could be sent, one order goes out at a time, after waits
/// that double. Without, each of its ranges asked every 200 ms: with 72 owners crashed, 1,300
/// orders a second failed and took a third of a leader's time.

#include <algorithm>
#include <cstddef>
#include <map>

#include "common/ids.hpp"
#include "common/time.hpp"

namespace planktray::ownership {

struct ReachOptions {
  /// The first wait.
  common::Duration retry_interval = std::chrono::milliseconds(200);
  /// Waits double up to this; a heartbeat of the owner ends one early.
  common::Duration longest_retry_interval = std::chrono::milliseconds(1600);
  /// Tries under way at once: each waits until its connection is given up, and takes the place of
  /// an order to an owner that is there.
  std::size_t tries_under_way = 6;
};

class OwnerReach {
 public:
  explicit OwnerReach(ReachOptions options) : options_(options) {}

  /// True where an order may go to the owner now. One that is out of reach gets no other until the
  /// end of that order is noted, so the caller has to send it.
  bool may_try(common::TimePoint now, common::BackendId owner);
  /// Not before this may an order go to the owner.
  common::TimePoint next_try(common::BackendId owner) const;
  /// An order goes out. @return true where it is a try at an owner out of reach.
  bool note_sent(common::BackendId owner);
  /// A try has ended, however.
  void note_try_ended() { --tries_; }
  /// An order that was sent at `sent` has ended without reaching the owner.
  void note_unreached(common::TimePoint now, common::BackendId owner, common::TimePoint sent);
  /// The owner has answered. @return true where it was out of reach before.
  bool note_answer(common::BackendId owner) { return unreachable_.erase(owner) > 0; }
  /// The owner was heard of otherwise. @return true where it may be tried at once for that.
  bool note_alive(common::TimePoint now, common::BackendId owner);
  bool has_unreachable() const { return !unreachable_.empty(); }
  void clear();
  /// Forgets the owners for which `is_removed` holds.
  template <typename IsRemoved>
  void forget(const IsRemoved& is_removed) {
    std::erase_if(unreachable_, [&](const auto& item) { return is_removed(item.first); });
  }

 private:
  struct Unreachable {
    common::TimePoint since;  ///< orders that were sent before say nothing new
    common::TimePoint next_try;
    common::Duration wait{0};
  };

  ReachOptions options_;
  std::map<common::BackendId, Unreachable> unreachable_;
  std::size_t tries_ = 0;  ///< under way
};

}  // namespace planktray::ownership

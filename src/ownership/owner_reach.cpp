#include "ownership/owner_reach.hpp"

namespace planktray::ownership {

using common::BackendId;
using common::Duration;
using common::TimePoint;

bool OwnerReach::may_try(TimePoint now, BackendId owner) {
  const auto found = unreachable_.find(owner);
  if (found == unreachable_.end()) {
    return true;
  }
  if (now < found->second.next_try || tries_ >= options_.tries_under_way) {
    return false;
  }
  found->second.next_try = now + options_.longest_retry_interval;  // until its end says more
  return true;
}

TimePoint OwnerReach::next_try(BackendId owner) const {
  const auto found = unreachable_.find(owner);
  return found == unreachable_.end() ? TimePoint() : found->second.next_try;
}

bool OwnerReach::note_sent(BackendId owner) {
  const bool is_try = unreachable_.contains(owner);
  tries_ += is_try ? 1 : 0;
  return is_try;
}

void OwnerReach::note_unreached(TimePoint now, BackendId owner, TimePoint sent) {
  const auto found = unreachable_.find(owner);
  if (found == unreachable_.end()) {
    const Duration wait = options_.retry_interval;
    unreachable_[owner] = {now, now + wait, wait};
  } else if (sent >= found->second.since) {
    const Duration wait = std::min(2 * found->second.wait, options_.longest_retry_interval);
    found->second = {now, now + wait, wait};
  }
}

bool OwnerReach::note_alive(TimePoint now, BackendId owner) {
  const auto found = unreachable_.find(owner);
  if (found == unreachable_.end()) {
    return false;
  }
  found->second.next_try = std::min(found->second.next_try, now);
  return true;
}

void OwnerReach::clear() {
  unreachable_.clear();
  tries_ = 0;
}

}  // namespace planktray::ownership

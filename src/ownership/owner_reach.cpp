#include "ownership/owner_reach.hpp"

namespace planktray::ownership {

using common::BackendId;
using common::Duration;
using common::TimePoint;

bool OwnerReach::may_send(TimePoint now, BackendId owner) {
  const auto found = unreachable_.find(owner);
  if (found == unreachable_.end()) {
    return true;
  }
  if (now < found->second.next_send || probes_in_flight_ >= options_.max_probes_in_flight) {
    return false;
  }
  found->second.next_send = now + options_.max_retry_interval;  // unless the order ends earlier
  return true;
}

TimePoint OwnerReach::next_send(BackendId owner) const {
  const auto found = unreachable_.find(owner);
  return found == unreachable_.end() ? TimePoint() : found->second.next_send;
}

bool OwnerReach::note_sent(BackendId owner) {
  const bool is_probe = unreachable_.contains(owner);
  probes_in_flight_ += is_probe ? 1 : 0;
  return is_probe;
}

void OwnerReach::note_unreachable(TimePoint now, BackendId owner, TimePoint sent) {
  const auto found = unreachable_.find(owner);
  if (found == unreachable_.end()) {
    const Duration backoff = options_.retry_interval;
    unreachable_[owner] = {now, now + backoff, backoff};
  } else if (sent >= found->second.since) {
    const Duration backoff = std::min(2 * found->second.backoff, options_.max_retry_interval);
    found->second = {now, now + backoff, backoff};
  }
}

bool OwnerReach::note_alive(TimePoint now, BackendId owner) {
  const auto found = unreachable_.find(owner);
  if (found == unreachable_.end()) {
    return false;
  }
  found->second.next_send = std::min(found->second.next_send, now);
  return true;
}

void OwnerReach::clear() {
  unreachable_.clear();
  probes_in_flight_ = 0;
}

}  // namespace planktray::ownership

#include "controller/core/heartbeat_relay.hpp"

#include <algorithm>
#include <utility>

namespace planktray::controller {

std::optional<OperatorRequestId> HeartbeatRelay::add(TimePoint now, OperatorRequestId request,
                                                     Heartbeat heartbeat, TimePoint send_by,
                                                     TimePoint deadline) {
  const common::Incarnation incarnation = heartbeat.incarnation;
  const auto [found, is_first] = waiting_.try_emplace(incarnation);
  Waiting& waiting = found->second;
  if (!is_first && heartbeat.sequence < waiting.heartbeat.sequence) {
    return request;
  }
  std::optional<OperatorRequestId> superseded;
  if (!is_first) {
    superseded = waiting.request;
  }
  waiting = {request, std::move(heartbeat), now, deadline};
  if (std::find(unsent_.begin(), unsent_.end(), incarnation) == unsent_.end()) {
    unsent_.push_back(incarnation);
  }
  send_at_ = std::min(send_at_, send_by);
  next_deadline_ = std::min(next_deadline_, deadline);
  return superseded;
}

std::vector<Heartbeat> HeartbeatRelay::take_unsent(TimePoint now) {
  std::vector<Heartbeat> heartbeats;
  if (now < send_at_) {
    return heartbeats;
  }
  send_at_ = TimePoint::max();
  for (const common::Incarnation& incarnation : std::exchange(unsent_, {})) {
    const auto found = waiting_.find(incarnation);
    if (found != waiting_.end()) {
      heartbeats.push_back(found->second.heartbeat);
      heartbeats.back().waited = now - found->second.received;
    }
  }
  return heartbeats;
}

void HeartbeatRelay::resend(TimePoint now) {
  unsent_.clear();
  for (const auto& [incarnation, waiting] : waiting_) {
    unsent_.push_back(incarnation);
  }
  send_at_ = unsent_.empty() ? TimePoint::max() : now;
}

std::optional<OperatorRequestId> HeartbeatRelay::take_answered(
    const common::Incarnation& incarnation, std::uint64_t sequence) {
  const auto found = waiting_.find(incarnation);
  if (found == waiting_.end() || found->second.heartbeat.sequence != sequence) {
    return std::nullopt;
  }
  const OperatorRequestId request = found->second.request;
  waiting_.erase(found);
  return request;
}

std::vector<OperatorRequestId> HeartbeatRelay::take_expired(TimePoint now) {
  std::vector<OperatorRequestId> expired;
  if (now < next_deadline_) {
    return expired;
  }
  next_deadline_ = TimePoint::max();
  for (auto next = waiting_.begin(); next != waiting_.end();) {
    if (now >= next->second.deadline) {
      expired.push_back(next->second.request);
      next = waiting_.erase(next);
    } else {
      next_deadline_ = std::min(next_deadline_, next->second.deadline);
      ++next;
    }
  }
  return expired;
}

std::vector<HeartbeatRelay::Waiting> HeartbeatRelay::take_all(TimePoint now) {
  std::vector<Waiting> all;
  for (auto& [incarnation, waiting] : std::exchange(waiting_, {})) {
    waiting.heartbeat.waited = now - waiting.received;
    all.push_back(std::move(waiting));
  }
  unsent_.clear();
  send_at_ = TimePoint::max();
  next_deadline_ = TimePoint::max();
  return all;
}

TimePoint HeartbeatRelay::next_due() const { return std::min(send_at_, next_deadline_); }

}  // namespace planktray::controller

#include "controller/core/heartbeat_relay.hpp"

#include <algorithm>
#include <utility>

namespace planktray::controller {
namespace {

/// True where the replicated state has all that the heartbeat says.
bool has_all(const ownership::CellState& state, const membership::ForwardedHeartbeat& heartbeat) {
  if (state.has_departed(heartbeat.incarnation)) {
    return true;
  }
  const ownership::BackendRecord* known = state.find_incarnation(heartbeat.incarnation);
  return known != nullptr && !heartbeat.departs && (known->leaving || !heartbeat.draining);
}

}  // namespace

void HeartbeatRelay::forward(common::TimePoint now, OperatorRequestId request,
                             membership::ForwardedHeartbeat heartbeat) {
  news_.push_back(heartbeat);
  waiting_.push_back({request, std::move(heartbeat), now + options_.patience});
}

HeartbeatRelay::Ended HeartbeatRelay::collect(common::TimePoint now,
                                              const ownership::CellState& state) {
  Ended ended;
  const bool has_changed = state.applied() != looked_at_;
  looked_at_ = state.applied();
  std::erase_if(waiting_, [&](const Waiting& waiting) {
    if (has_changed && has_all(state, waiting.heartbeat)) {
      ended.committed.push_back(waiting.request);
      return true;
    }
    if (now >= waiting.until) {
      ended.given_up.push_back(waiting.request);
      return true;
    }
    return false;
  });
  return ended;
}

std::optional<membership::HeartbeatReport> HeartbeatRelay::take_report(
    common::TimePoint now, const common::CellName& cell) {
  const bool has_news = !news_.empty() && now >= next_news_;
  const bool has_heard = !heard_.empty() && now >= next_report_;
  if (!has_news && !has_heard) {
    return std::nullopt;
  }
  next_news_ = now + options_.news_interval;
  next_report_ = now + options_.report_interval;
  return membership::HeartbeatReport{cell, std::exchange(heard_, {}), std::exchange(news_, {})};
}

common::TimePoint HeartbeatRelay::next_due() const {
  common::TimePoint due = common::TimePoint::max();
  if (!heard_.empty()) {
    due = std::min(due, next_report_);
  }
  if (!news_.empty()) {
    due = std::min(due, next_news_);
  }
  for (const Waiting& waiting : waiting_) {
    due = std::min(due, waiting.until);
  }
  return due;
}

}  // namespace planktray::controller

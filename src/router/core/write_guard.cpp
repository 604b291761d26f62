#include "router/core/write_guard.hpp"

#include <algorithm>

namespace planktray::router {

std::string_view to_string(WriteVerdict verdict) {
  switch (verdict) {
    case WriteVerdict::kRecall:
      return "recalled";
    case WriteVerdict::kAbort:
      return "cut";
    case WriteVerdict::kHold:
      return "held";
    case WriteVerdict::kResume:
      return "resumed";
  }
  return "unknown";
}

void WriteGuard::add(TimePoint now, AttemptId attempt, BackendId backend, bool is_pinned,
                     const routing::TableFreshness& freshness) {
  attempts_[attempt] = {backend, is_pinned};
  const TimePoint until = last_write_time(backend, freshness).value_or(TimePoint::max());
  next_review_ = std::min(next_review_, std::max(until, now + options_.review_interval));
}

void WriteGuard::on_started(AttemptId attempt) {
  const auto found = attempts_.find(attempt);
  if (found != attempts_.end()) {
    found->second.has_started = true;
  }
}

std::vector<AttemptId> WriteGuard::unstarted_at(BackendId backend) const {
  std::vector<AttemptId> unstarted;
  for (const auto& [id, attempt] : attempts_) {
    if (attempt.backend == backend && !attempt.has_started) {
      unstarted.push_back(id);
    }
  }
  return unstarted;
}

void WriteGuard::on_leaving(BackendId backend, std::optional<TimePoint> known_until) {
  const TimePoint long_past{};
  close_times_.try_emplace(backend, known_until.value_or(long_past) + options_.departure_deadline);
}

std::optional<TimePoint> WriteGuard::closes_at(BackendId backend) const {
  const auto found = close_times_.find(backend);
  const bool is_open = options_.departure_deadline.count() == 0 || found == close_times_.end();
  return is_open ? std::nullopt : std::optional(found->second);
}

bool WriteGuard::has_attempts_at(BackendId backend) const {
  return std::any_of(attempts_.begin(), attempts_.end(),
                     [backend](const auto& item) { return item.second.backend == backend; });
}

std::optional<TimePoint> WriteGuard::last_write_time(
    BackendId backend, const routing::TableFreshness& freshness) const {
  if (options_.departure_deadline.count() == 0) {
    return std::nullopt;
  }
  const auto closes = closes_at(backend);
  const TimePoint arrive_until =
      closes.value_or(freshness.as_of().value_or(TimePoint()) + options_.departure_deadline);
  return arrive_until - options_.network_latency;
}

std::vector<WriteDecision> WriteGuard::review(TimePoint now,
                                              const routing::TableFreshness& freshness) {
  std::vector<WriteDecision> decisions;
  next_review_ = TimePoint::max();
  const bool is_out_of_contact = freshness.status(now) == routing::TableStatus::kOutOfContact;
  for (auto& [id, attempt] : attempts_) {
    const bool is_leaving = close_times_.contains(attempt.backend);
    const TimePoint until = last_write_time(attempt.backend, freshness).value_or(TimePoint::max());
    const bool is_in_time = now < until || (is_out_of_contact && !is_leaving);
    const bool can_move = is_leaving && !attempt.is_pinned;
    if (!attempt.has_started && (can_move || !is_in_time)) {
      decisions.push_back({id, WriteVerdict::kRecall});
      continue;
    }
    if (!is_in_time && is_leaving) {
      decisions.push_back({id, WriteVerdict::kAbort});
      continue;
    }
    if (attempt.is_held == is_in_time) {
      attempt.is_held = !is_in_time;
      decisions.push_back({id, is_in_time ? WriteVerdict::kResume : WriteVerdict::kHold});
    }
    next_review_ = std::min(next_review_, std::max(until, now + options_.review_interval));
  }
  return decisions;
}

}  // namespace planktray::router

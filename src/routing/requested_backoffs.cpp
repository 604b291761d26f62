#include "routing/requested_backoffs.hpp"

namespace planktray::routing {

bool RequestedBackoffs::on_requested(TimePoint now, BackendId id, Duration time,
                                     common::RandomEngine& random) {
  if (time.count() <= 0) {
    return false;
  }
  const bool is_news = !ends_at(now, id).has_value();
  const Duration believed = std::min(time, options_.longest);
  const Duration widest = std::min(std::chrono::duration_cast<Duration>(believed * options_.spread),
                                   options_.longest_spread);
  const auto spread = std::chrono::duration_cast<Duration>(widest * common::uniform_real(random));
  Backoff& backoff = backoffs_[id];
  backoff.end = std::max(backoff.end, now + believed + spread);
  backoff.trial_sent.reset();
  return is_news;
}

void RequestedBackoffs::on_sent(TimePoint now, BackendId id) {
  const auto found = backoffs_.find(id);
  if (found != backoffs_.end() && now >= found->second.end) {
    found->second.trial_sent = now;
  }
}

void RequestedBackoffs::on_answered(BackendId id, TimePoint sent) {
  const auto found = backoffs_.find(id);
  if (found != backoffs_.end() && sent >= found->second.end) {
    backoffs_.erase(found);
  }
}

void RequestedBackoffs::on_ended(BackendId id, TimePoint sent) {
  const auto found = backoffs_.find(id);
  if (found != backoffs_.end() && found->second.trial_sent == sent) {
    found->second.trial_sent.reset();
  }
}

std::optional<TimePoint> RequestedBackoffs::ends_at(TimePoint now, BackendId id) const {
  const auto found = backoffs_.find(id);
  const bool holds = found != backoffs_.end() && now < found->second.end;
  return holds ? std::optional(found->second.end) : std::nullopt;
}

bool RequestedBackoffs::is_on_trial(BackendId id) const {
  const auto found = backoffs_.find(id);
  return found != backoffs_.end() && found->second.trial_sent.has_value();
}

std::size_t RequestedBackoffs::count(TimePoint now) const {
  return static_cast<std::size_t>(
      std::count_if(backoffs_.begin(), backoffs_.end(),
                    [now](const auto& item) { return now < item.second.end; }));
}

}  // namespace planktray::routing

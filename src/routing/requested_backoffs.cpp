#include "routing/requested_backoffs.hpp"

namespace planktray::routing {

bool RequestedBackoffs::on_requested(TimePoint now, BackendId id, Duration time,
                                     common::RandomEngine& random) {
  if (time.count() <= 0) {
    return false;
  }
  const bool is_new = !ends_at(now, id).has_value();
  const Duration accepted = std::min(time, options_.longest);
  const Duration max_spread = std::min(
      std::chrono::duration_cast<Duration>(accepted * options_.spread), options_.longest_spread);
  const auto spread =
      std::chrono::duration_cast<Duration>(max_spread * common::uniform_real(random));
  Backoff& backoff = backoffs_[id];
  backoff.end = std::max(backoff.end, now + accepted + spread);
  backoff.trial_sent.reset();
  return is_new;
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
  const bool is_active = found != backoffs_.end() && now < found->second.end;
  return is_active ? std::optional(found->second.end) : std::nullopt;
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

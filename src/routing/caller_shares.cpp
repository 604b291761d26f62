#include "routing/caller_shares.hpp"

#include <algorithm>
#include <chrono>
#include <cmath>

namespace planktray::routing {

double CallerShares::faded(common::TimePoint now, const Asked& asked) const {
  const double half_lives = std::chrono::duration<double>(now - asked.at) /
                            std::chrono::duration<double>(options_.half_life);
  return asked.count * std::exp2(-half_lives);
}

bool CallerShares::note(common::TimePoint now, std::string_view caller) {
  if (callers_.size() >= options_.maximum_callers && !callers_.contains(std::string(caller))) {
    forget_least(now);
  }
  Asked& asked = callers_[std::string(caller)];
  asked = {faded(now, asked) + 1, now};
  all_ = {faded(now, all_) + 1, now};
  const double others = static_cast<double>(callers_.size()) - 1;
  if (asked.count <= options_.minimum || others < 1) {
    return false;
  }
  return asked.count > options_.factor * (all_.count - asked.count) / others;
}

void CallerShares::forget_least(common::TimePoint now) {
  const auto least = std::min_element(
      callers_.begin(), callers_.end(),
      [&](const auto& a, const auto& b) { return faded(now, a.second) < faded(now, b.second); });
  callers_.erase(least);
}

}  // namespace planktray::routing

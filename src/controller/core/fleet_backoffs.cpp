#include "controller/core/fleet_backoffs.hpp"

#include <algorithm>

namespace planktray::controller {

using common::BackendId;
using common::TimePoint;

void FleetBackoffs::begin_term() {
  routers_.clear();
  avoided_until_.clear();
}

void FleetBackoffs::take(TimePoint now, const routing::RouterHello& hello) {
  Router& router = routers_[hello.router];
  router.heard = now;
  router.ends.clear();
  for (const routing::BackoffReport& report : hello.backoffs) {
    router.ends[report.backend] = now + std::chrono::milliseconds(report.left_ms);
  }
  for (const routing::BackoffReport& report : hello.backoffs) {
    judge(now, report.backend);
  }
}

void FleetBackoffs::judge(TimePoint now, BackendId owner) {
  std::size_t heard = 0;
  std::size_t kept_away = 0;
  TimePoint last_end;
  for (const auto& [name, router] : routers_) {
    if (now - router.heard > options_.memory) {
      continue;
    }
    ++heard;
    const auto found = router.ends.find(owner);
    if (found != router.ends.end() && found->second >= now + options_.shortest) {
      ++kept_away;
      last_end = std::max(last_end, found->second);
    }
  }
  if (static_cast<double>(kept_away) >= options_.share * static_cast<double>(heard)) {
    TimePoint& until = avoided_until_[owner];
    until = std::max(until, last_end);
  }
}

bool FleetBackoffs::is_avoided(TimePoint now, BackendId owner) const {
  const auto found = avoided_until_.find(owner);
  return found != avoided_until_.end() && now < found->second;
}

void FleetBackoffs::expire(TimePoint now) {
  std::erase_if(avoided_until_, [now](const auto& item) { return now >= item.second; });
  std::erase_if(routers_,
                [&](const auto& item) { return now - item.second.heard > options_.memory; });
}

}  // namespace planktray::controller

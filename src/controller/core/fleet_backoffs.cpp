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
}

void FleetBackoffs::fold(TimePoint now) {
  std::erase_if(routers_,
                [&](const auto& item) { return now - item.second.heard > options_.memory; });
  std::erase_if(avoided_until_, [now](const auto& item) { return now >= item.second; });
  struct KeptAway {
    std::size_t routers = 0;
    TimePoint last_end;
  };
  std::map<BackendId, KeptAway> kept_away;
  for (const auto& [name, router] : routers_) {
    for (const auto& [owner, end] : router.ends) {
      if (end >= now + options_.shortest) {
        KeptAway& kept = kept_away[owner];
        ++kept.routers;
        kept.last_end = std::max(kept.last_end, end);
      }
    }
  }
  const double enough = options_.share * static_cast<double>(routers_.size());
  for (const auto& [owner, kept] : kept_away) {
    if (static_cast<double>(kept.routers) >= enough) {
      TimePoint& until = avoided_until_[owner];
      until = std::max(until, kept.last_end);
    }
  }
}

bool FleetBackoffs::is_avoided(TimePoint now, BackendId owner) const {
  const auto found = avoided_until_.find(owner);
  return found != avoided_until_.end() && now < found->second;
}

}  // namespace planktray::controller

#include "controller/core/fleet_backoffs.hpp"

#include <algorithm>

namespace planktray::controller {

using common::BackendId;
using common::TimePoint;

void FleetBackoffs::begin_term() {
  routers_.clear();
  avoided_until_.clear();
}

void FleetBackoffs::on_hello(TimePoint now, const routing::RouterHello& hello) {
  Router& router = routers_[hello.router];
  router.last_hello = now;
  router.backoff_ends.clear();
  for (const routing::BackoffReport& report : hello.backoffs) {
    router.backoff_ends[report.backend] = now + std::chrono::milliseconds(report.remaining_ms);
  }
}

void FleetBackoffs::update(TimePoint now) {
  std::erase_if(routers_,
                [&](const auto& item) { return now - item.second.last_hello > options_.memory; });
  std::erase_if(avoided_until_, [now](const auto& item) { return now >= item.second; });
  struct Backoff {
    std::size_t routers = 0;
    TimePoint last_end;
  };
  std::map<BackendId, Backoff> backoffs;
  for (const auto& [name, router] : routers_) {
    for (const auto& [owner, end] : router.backoff_ends) {
      if (end >= now + options_.minimum_remaining) {
        Backoff& backoff = backoffs[owner];
        ++backoff.routers;
        backoff.last_end = std::max(backoff.last_end, end);
      }
    }
  }
  const double required = options_.router_share * static_cast<double>(routers_.size());
  for (const auto& [owner, backoff] : backoffs) {
    if (static_cast<double>(backoff.routers) >= required) {
      TimePoint& until = avoided_until_[owner];
      until = std::max(until, backoff.last_end);
    }
  }
}

bool FleetBackoffs::is_avoided(TimePoint now, BackendId owner) const {
  const auto found = avoided_until_.find(owner);
  return found != avoided_until_.end() && now < found->second;
}

}  // namespace planktray::controller

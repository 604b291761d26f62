#include "controller/core/fleet_limits.hpp"

namespace planktray::controller {

void FleetLimits::add_reports(common::TimePoint now,
                              const std::vector<routing::LimitReport>& reports) {
  for (const routing::LimitReport& report : reports) {
    const common::Duration age(static_cast<common::Duration::rep>(report.age_us));
    const bool is_valid = age >= common::Duration(0) && age <= options_.memory &&
                          (!report.is_limited || report.per_second >= 0);
    if (!is_valid) {
      continue;
    }
    const common::TimePoint received = now - age;
    const auto [found, is_new] = limits_.try_emplace(report.backend);
    if (is_new || received >= found->second.received) {
      found->second = {report.is_limited ? std::optional(report.per_second) : std::nullopt,
                       received};
    }
  }
}

std::optional<double> FleetLimits::limit_of(common::BackendId backend) const {
  const auto found = limits_.find(backend);
  return found == limits_.end() ? std::nullopt : found->second.per_second;
}

FleetLimits::Published FleetLimits::published(const Admission& admission) const {
  Published published;
  for (const auto& [backend, limit] : limits_) {
    if (!limit.per_second.has_value()) {
      continue;
    }
    if (published.limits.size() >= options_.maximum_published) {
      published.is_complete = false;
      break;
    }
    const auto admitted = admission(backend, *limit.per_second);
    published.limits.push_back(
        {backend, *limit.per_second, admitted.has_value(), admitted.value_or(1)});
  }
  return published;
}

void FleetLimits::expire(common::TimePoint now,
                         const std::function<bool(common::BackendId)>& is_known) {
  std::erase_if(limits_, [&](const auto& item) {
    return now - item.second.received > options_.memory || !is_known(item.first);
  });
}

}  // namespace planktray::controller

#include "controller/core/fleet_limits.hpp"

namespace planktray::controller {

void FleetLimits::take(common::TimePoint now, const std::vector<routing::LimitReport>& reports) {
  for (const routing::LimitReport& report : reports) {
    const common::Duration age(static_cast<common::Duration::rep>(report.age_us));
    const bool is_sane = age >= common::Duration(0) && age <= options_.memory &&
                         (!report.is_limited || report.per_second >= 0);
    if (!is_sane) {
      continue;
    }
    const common::TimePoint at = now - age;
    const auto [found, is_new] = heard_.try_emplace(report.backend);
    if (is_new || at >= found->second.at) {
      found->second = {report.is_limited ? std::optional(report.per_second) : std::nullopt, at};
    }
  }
}

std::optional<double> FleetLimits::of(common::BackendId backend) const {
  const auto found = heard_.find(backend);
  return found == heard_.end() ? std::nullopt : found->second.per_second;
}

FleetLimits::Told FleetLimits::told(const Admission& admission) const {
  Told told;
  for (const auto& [backend, heard] : heard_) {
    if (!heard.per_second.has_value()) {
      continue;
    }
    if (told.limits.size() >= options_.most_told) {
      told.is_whole = false;
      break;
    }
    const auto part = admission(backend, *heard.per_second);
    told.limits.push_back({backend, *heard.per_second, part.has_value(), part.value_or(1)});
  }
  return told;
}

void FleetLimits::expire(common::TimePoint now,
                         const std::function<bool(common::BackendId)>& is_known) {
  std::erase_if(heard_, [&](const auto& item) {
    return now - item.second.at > options_.memory || !is_known(item.first);
  });
}

}  // namespace planktray::controller

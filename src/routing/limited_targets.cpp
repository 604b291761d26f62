#include "routing/limited_targets.hpp"

#include <algorithm>
#include <set>

namespace planktray::routing {

LimitedTargets::LimitedTargets(LimitedTargetsOptions options)
    : options_(options), equal_shares_(RateShareOptions{.share = 1.0}) {}

bool LimitedTargets::on_answer(common::TimePoint now, BackendId target, const AnswerLimit& stated) {
  const auto found = targets_.find(target);
  const bool is_known = found != targets_.end();
  if (!stated.is_stated || (!is_known && !stated.per_second.has_value())) {
    return false;
  }
  Target& entry = is_known ? found->second : targets_[target];
  const bool has_changed = entry.limit != stated.per_second;
  const bool is_lowered = stated.per_second.has_value() &&
                          (!entry.limit.has_value() || *stated.per_second < *entry.limit);
  if (is_lowered) {
    entry.admission_until = common::TimePoint();  // computed from a higher limit
  }
  if (has_changed) {
    entry.reported.reset();
  }
  entry.limit = stated.per_second;
  entry.stated = now;
  return has_changed;
}

void LimitedTargets::on_leader_list(common::TimePoint now, common::TimePoint asked_at,
                                    const std::vector<TargetLimit>& limits, bool is_complete) {
  std::set<BackendId> listed_ids;
  for (const TargetLimit& listed : limits) {
    listed_ids.insert(listed.backend);
    Target& target = targets_[listed.backend];
    if (is_ahead(target, asked_at) && target.limit != listed.per_second) {
      continue;
    }
    target.limit = listed.per_second;
    if (listed.has_admission) {
      target.admission = listed.admission;
      target.admission_until = now + options_.admission_lease;
      equal_shares_.forget(listed.backend);
    }
  }
  for (auto& [id, target] : targets_) {
    if (is_complete && reports_all_ && !listed_ids.contains(id) && !is_ahead(target, asked_at)) {
      target.limit.reset();
    }
  }
}

bool LimitedTargets::is_limited(BackendId target) const {
  const auto found = targets_.find(target);
  return options_.is_enabled && found != targets_.end() && found->second.limit.has_value();
}

double LimitedTargets::planned_rate(const Target& target) const {
  return std::max(options_.share * target.limit.value_or(0), options_.min_rate);
}

bool LimitedTargets::is_expired(common::TimePoint now, const Target& target) const {
  return !target.limit.has_value() &&
         (!target.stated.has_value() || now - *target.stated > options_.end_memory);
}

std::optional<bool> LimitedTargets::admits(common::TimePoint now, BackendId owner,
                                           common::RandomEngine& random) {
  if (!is_limited(owner)) {
    return true;
  }
  Target& target = targets_.at(owner);
  if (now >= target.admission_until) {
    target.admitted.reset();
    return std::nullopt;
  }
  return target.admitted.admits(target.admission, random);
}

bool LimitedTargets::has_share(common::TimePoint now, BackendId target, std::uint32_t routers,
                               common::RandomEngine& random) {
  return !is_limited(target) ||
         equal_shares_.allows(now, target, planned_rate(targets_.at(target)), routers, random);
}

void LimitedTargets::on_sent(common::TimePoint now, BackendId target, std::uint32_t routers) {
  if (is_limited(target) && now >= targets_.at(target).admission_until) {
    equal_shares_.on_sent(now, target, planned_rate(targets_.at(target)), routers);
  }
}

std::vector<LimitReport> LimitedTargets::reports(common::TimePoint now, std::size_t max_reports) {
  std::vector<LimitReport> reports;
  std::size_t total = 0;
  for (const bool takes_unreported : {true, false}) {  // limits that were not reported yet go first
    for (auto& [id, target] : targets_) {
      const bool is_unreported = !target.reported.has_value() || *target.reported == now;
      total += target.stated.has_value() && is_unreported == takes_unreported ? 1 : 0;
      if (target.stated.has_value() && is_unreported == takes_unreported &&
          reports.size() < max_reports) {
        const auto age = static_cast<std::uint64_t>((now - *target.stated).count());
        reports.push_back({id, target.limit.has_value(), target.limit.value_or(0), age});
        target.reported = target.reported.value_or(now);
      }
    }
  }
  reports_all_ = reports.size() >= total;
  return reports;
}

std::size_t LimitedTargets::count() const {
  return static_cast<std::size_t>(
      std::count_if(targets_.begin(), targets_.end(),
                    [](const auto& item) { return item.second.limit.has_value(); }));
}

}  // namespace planktray::routing

#include "routing/limited_targets.hpp"

#include <algorithm>
#include <set>

namespace planktray::routing {

LimitedTargets::LimitedTargets(LimitedTargetsOptions options)
    : options_(options), parts_(RateShareOptions{.share = 1.0}) {}

bool LimitedTargets::on_answer(common::TimePoint now, BackendId target, const AnswerLimit& word) {
  const auto found = targets_.find(target);
  const bool is_known = found != targets_.end();
  if (!word.is_stated || (!is_known && !word.per_second.has_value())) {
    return false;
  }
  Target& entry = is_known ? found->second : targets_[target];
  const bool is_news = entry.limit != word.per_second;
  const bool falls =
      word.per_second.has_value() && (!entry.limit.has_value() || *word.per_second < *entry.limit);
  if (falls) {
    entry.admission_until = common::TimePoint();  // worked out from a higher limit
  }
  if (is_news) {
    entry.reported.reset();
  }
  entry.limit = word.per_second;
  entry.heard = now;
  return is_news;
}

void LimitedTargets::on_leader_list(common::TimePoint now, common::TimePoint asked_at,
                                    const std::vector<TargetLimit>& limits, bool is_complete) {
  std::set<BackendId> listed;
  for (const TargetLimit& told : limits) {
    listed.insert(told.backend);
    Target& target = targets_[told.backend];
    if (is_ahead(target, asked_at) && target.limit != told.per_second) {
      continue;
    }
    target.limit = told.per_second;
    if (told.has_admission) {
      target.admission = told.admission;
      target.admission_until = now + options_.admission_lease;
      parts_.forget(told.backend);
    }
  }
  for (auto& [id, target] : targets_) {
    if (is_complete && reports_all_ && !listed.contains(id) && !is_ahead(target, asked_at)) {
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

bool LimitedTargets::is_spent(common::TimePoint now, const Target& target) const {
  return !target.limit.has_value() &&
         (!target.heard.has_value() || now - *target.heard > options_.end_memory);
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
         parts_.allows(now, target, planned_rate(targets_.at(target)), routers, random);
}

void LimitedTargets::on_sent(common::TimePoint now, BackendId target, std::uint32_t routers) {
  if (is_limited(target) && now >= targets_.at(target).admission_until) {
    parts_.on_sent(now, target, planned_rate(targets_.at(target)), routers);
  }
}

std::vector<LimitReport> LimitedTargets::reports(common::TimePoint now, std::size_t most) {
  std::vector<LimitReport> reports;
  std::size_t heard = 0;
  for (const bool news : {true, false}) {  // what the leader has not been told goes first
    for (auto& [id, target] : targets_) {
      const bool is_news = !target.reported.has_value() || *target.reported == now;
      heard += target.heard.has_value() && is_news == news ? 1 : 0;
      if (target.heard.has_value() && is_news == news && reports.size() < most) {
        const auto age = static_cast<std::uint64_t>((now - *target.heard).count());
        reports.push_back({id, target.limit.has_value(), target.limit.value_or(0), age});
        target.reported = target.reported.value_or(now);
      }
    }
  }
  reports_all_ = reports.size() >= heard;
  return reports;
}

std::size_t LimitedTargets::count() const {
  return static_cast<std::size_t>(
      std::count_if(targets_.begin(), targets_.end(),
                    [](const auto& item) { return item.second.limit.has_value(); }));
}

}  // namespace planktray::routing

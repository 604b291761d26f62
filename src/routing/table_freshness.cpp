#include "routing/table_freshness.hpp"

#include <algorithm>

namespace planktray::routing {

void TableFreshness::on_asked(common::TimePoint now) {
  if (!asked_since_.has_value()) {
    asked_since_ = now;
  }
}

void TableFreshness::on_woken(common::TimePoint now, common::TimePoint due) {
  if (now > due && now - due >= options_.stall) {
    asked_since_.reset();
  }
}

void TableFreshness::on_confirmed(common::TimePoint now, common::TimePoint as_of) {
  if (as_of <= now) {
    as_of_ = std::max(as_of_.value_or(as_of), as_of);
  }
}

TableStatus TableFreshness::status(common::TimePoint now, common::Duration extra) const {
  const auto table_age = age(now);
  const common::Duration max_age =
      std::max(options_.max_age - extra, std::min(options_.max_age, options_.shortest_max_age));
  const bool is_fresh = table_age.has_value() && *table_age <= max_age;
  if (options_.max_age.count() == 0 || is_fresh) {
    return TableStatus::kCurrent;
  }
  const bool lost_contact =
      asked_since_.has_value() && now - *asked_since_ >= options_.contact_timeout;
  return lost_contact ? TableStatus::kOutOfContact : TableStatus::kTooOld;
}

std::optional<common::Duration> TableFreshness::age(common::TimePoint now) const {
  return as_of_.has_value() ? std::optional(now - *as_of_) : std::nullopt;
}

bool TableFreshness::is_aging(common::TimePoint now) const {
  const auto table_age = age(now);
  return !table_age.has_value() || *table_age > options_.max_age / 2;
}

}  // namespace planktray::routing

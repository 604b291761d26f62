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

TableStanding TableFreshness::standing(common::TimePoint now, common::Duration extra) const {
  const auto table_age = age(now);
  const common::Duration oldest =
      std::max(options_.oldest - extra, std::min(options_.oldest, options_.shortest));
  const bool is_young = table_age.has_value() && *table_age <= oldest;
  if (options_.oldest.count() == 0 || is_young) {
    return TableStanding::kCurrent;
  }
  const bool lost_contact =
      asked_since_.has_value() && now - *asked_since_ >= options_.contact_timeout;
  return lost_contact ? TableStanding::kOutOfContact : TableStanding::kTooOld;
}

std::optional<common::Duration> TableFreshness::age(common::TimePoint now) const {
  return as_of_.has_value() ? std::optional(now - *as_of_) : std::nullopt;
}

bool TableFreshness::is_aging(common::TimePoint now) const {
  const auto table_age = age(now);
  return !table_age.has_value() || *table_age > options_.oldest / 2;
}

}  // namespace planktray::routing

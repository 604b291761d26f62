#include "routing/table_freshness.hpp"

#include <algorithm>

namespace planktray::routing {

void TableFreshness::on_confirmed(common::TimePoint as_of) {
  as_of_ = std::max(as_of_.value_or(as_of), as_of);
}

std::optional<common::Duration> TableFreshness::age(common::TimePoint now) const {
  return as_of_.has_value() ? std::optional(now - *as_of_) : std::nullopt;
}

}  // namespace planktray::routing

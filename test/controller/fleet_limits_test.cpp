/// The leader's view of the limits that routers report.

#include "controller/core/fleet_limits.hpp"

#include <doctest/doctest.h>

#include <limits>

namespace planktray::controller {
namespace {

using common::BackendId;
using std::chrono::milliseconds;

common::TimePoint at(std::int64_t value) { return common::from_microseconds(value * 1000); }

const BackendId kOwner{3};
const auto kNoAdmission = [](BackendId, double) { return std::optional<double>(); };

TEST_CASE("the newest report on a back end counts, in any order of arrival") {
  FleetLimits limits{FleetLimitsOptions()};
  limits.add_reports(at(1000), {{kOwner, true, 4.8, 100'000}});
  CHECK(limits.limit_of(kOwner) == 4.8);
  limits.add_reports(at(1100), {{kOwner, false, 0, 400'000}});  // older than the limit
  CHECK(limits.limit_of(kOwner) == 4.8);
  limits.add_reports(at(1200), {{kOwner, false, 0, 50'000}});
  CHECK_FALSE(limits.limit_of(kOwner).has_value());
  CHECK(limits.published(kNoAdmission).limits.empty());
  limits.add_reports(at(1300), {{kOwner, true, 2, 0}});
  REQUIRE(limits.published(kNoAdmission).limits.size() == 1);
  CHECK(limits.published(kNoAdmission).limits[0].per_second == 2);
  CHECK_FALSE(limits.published(kNoAdmission).limits[0].has_admission);
}

TEST_CASE("invalid reports are ignored, the others count") {
  FleetLimits limits{FleetLimitsOptions()};
  limits.add_reports(at(1000), {{BackendId(1), true, -3, 0},
                                {BackendId(2), true, 1, std::numeric_limits<std::uint64_t>::max()},
                                {BackendId(4), true, std::numeric_limits<double>::quiet_NaN(), 0},
                                {kOwner, true, 1, 0}});
  CHECK(limits.published(kNoAdmission).limits.size() == 1);
  CHECK(limits.limit_of(kOwner) == 1);
}

TEST_CASE("limits of removed back ends and old limits are removed") {
  FleetLimits limits{FleetLimitsOptions()};
  limits.add_reports(at(1000), {{kOwner, true, 1, 0}, {BackendId(4), true, 1, 0}});
  limits.expire(at(2000), [](BackendId id) { return id == kOwner; });
  CHECK(limits.limit_of(kOwner).has_value());
  CHECK_FALSE(limits.limit_of(BackendId(4)).has_value());
  limits.expire(at(30'000), [](BackendId) { return true; });
  CHECK(limits.empty());
}

TEST_CASE("more limits than an update may carry are cut, and marked as incomplete") {
  FleetLimits limits{{.maximum_published = 2}};
  limits.add_reports(at(0), {{BackendId(1), true, 1, 0}, {BackendId(2), true, 1, 0}});
  CHECK(limits.published(kNoAdmission).is_complete);
  limits.add_reports(at(0), {{kOwner, true, 1, 0}});
  const auto published = limits.published([](BackendId, double) { return std::optional(0.25); });
  CHECK_FALSE(published.is_complete);
  REQUIRE(published.limits.size() == 2);
  CHECK(published.limits[0].admission == 0.25);
}

}  // namespace
}  // namespace planktray::controller

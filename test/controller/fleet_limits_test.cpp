/// What the leader makes of the limits that routers report.

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

TEST_CASE("the newest word on a back end counts, whoever brings it first") {
  FleetLimits limits{FleetLimitsOptions()};
  limits.take(at(1000), {{kOwner, true, 4.8, 100'000}});
  CHECK(limits.of(kOwner) == 4.8);
  limits.take(at(1100), {{kOwner, false, 0, 400'000}});  // heard before the limit was
  CHECK(limits.of(kOwner) == 4.8);
  limits.take(at(1200), {{kOwner, false, 0, 50'000}});
  CHECK_FALSE(limits.of(kOwner).has_value());
  CHECK(limits.told(kNoAdmission).limits.empty());
  limits.take(at(1300), {{kOwner, true, 2, 0}});
  REQUIRE(limits.told(kNoAdmission).limits.size() == 1);
  CHECK(limits.told(kNoAdmission).limits[0].per_second == 2);
  CHECK_FALSE(limits.told(kNoAdmission).limits[0].has_admission);
}

TEST_CASE("damaged reports cost themselves alone") {
  FleetLimits limits{FleetLimitsOptions()};
  limits.take(at(1000), {{BackendId(1), true, -3, 0},
                         {BackendId(2), true, 1, std::numeric_limits<std::uint64_t>::max()},
                         {BackendId(4), true, std::numeric_limits<double>::quiet_NaN(), 0},
                         {kOwner, true, 1, 0}});
  CHECK(limits.told(kNoAdmission).limits.size() == 1);
  CHECK(limits.of(kOwner) == 1);
}

TEST_CASE("limits of back ends that are gone, or silent for long, are forgotten") {
  FleetLimits limits{FleetLimitsOptions()};
  limits.take(at(1000), {{kOwner, true, 1, 0}, {BackendId(4), true, 1, 0}});
  limits.expire(at(2000), [](BackendId id) { return id == kOwner; });
  CHECK(limits.of(kOwner).has_value());
  CHECK_FALSE(limits.of(BackendId(4)).has_value());
  limits.expire(at(30'000), [](BackendId) { return true; });
  CHECK(limits.empty());
}

TEST_CASE("more limits than an update bears are cut, and it says so") {
  FleetLimits limits{{.most_told = 2}};
  limits.take(at(0), {{BackendId(1), true, 1, 0}, {BackendId(2), true, 1, 0}});
  CHECK(limits.told(kNoAdmission).is_whole);
  limits.take(at(0), {{kOwner, true, 1, 0}});
  const auto told = limits.told([](BackendId, double) { return std::optional(0.25); });
  CHECK_FALSE(told.is_whole);
  REQUIRE(told.limits.size() == 2);
  CHECK(told.limits[0].admission == 0.25);
}

}  // namespace
}  // namespace planktray::controller

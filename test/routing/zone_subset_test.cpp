#include "routing/zone_subset.hpp"

#include <doctest/doctest.h>

#include <algorithm>
#include <map>
#include <set>

#include "routing/retry_window.hpp"

namespace planktray::routing {
namespace {

using common::BackendId;

std::vector<ZonedTarget> targets(std::size_t own, std::size_t others) {
  std::vector<ZonedTarget> all;
  for (std::size_t i = 1; i <= own + others; ++i) {
    all.push_back({BackendId(i), i <= own});
  }
  return all;
}

std::size_t count_own(const std::vector<BackendId>& subset, std::size_t own) {
  return static_cast<std::size_t>(
      std::count_if(subset.begin(), subset.end(), [&](BackendId id) { return id.value <= own; }));
}

TEST_CASE("all targets are used if there are few") {
  CHECK(choose_zone_subset(targets(5, 9), "r", {}).size() == 14);
  CHECK(choose_zone_subset(targets(20, 12), "r", {}).size() == 32);
  CHECK(choose_zone_subset({}, "r", {}).empty());
}

TEST_CASE("most targets are in the own zone, and other zones fill up a subset with too few") {
  const auto many = choose_zone_subset(targets(60, 300), "r", {});
  CHECK(many.size() == 32);
  CHECK(count_own(many, 60) == 20);
  const auto few = choose_zone_subset(targets(4, 300), "r", {});
  CHECK(few.size() == 32);
  CHECK(count_own(few, 4) == 4);
  const auto alone = choose_zone_subset(targets(100, 3), "r", {});
  CHECK(alone.size() == 32);
  CHECK(count_own(alone, 100) == 29);
}

TEST_CASE("the removal of a target changes one element of the subset") {
  auto all = targets(60, 300);
  const auto before = choose_zone_subset(all, "r", {});
  std::erase_if(all, [&](const ZonedTarget& target) { return target.backend == before.front(); });
  const auto after = choose_zone_subset(all, "r", {});
  const std::set<BackendId> had(before.begin(), before.end());
  CHECK(std::count_if(after.begin(), after.end(),
                      [&](BackendId id) { return !had.contains(id); }) == 1);
}

TEST_CASE("the routers of a zone together use its targets about evenly") {
  std::map<BackendId, int> uses;
  for (int router = 0; router < 47; ++router) {
    for (const BackendId id :
         choose_zone_subset(targets(56, 280), "router-" + std::to_string(router), {})) {
      ++uses[id];
    }
  }
  for (std::uint64_t id = 1; id <= 56; ++id) {
    CHECK(uses[BackendId(id)] >= 5);  // 16.8 on average
    CHECK(uses[BackendId(id)] <= 30);
  }
}

/// Guards against routers with 2.7 requests a second that spread them over 96 targets: each request
/// opened a connection, and no target's speed was known.
TEST_CASE("a subset is as small as the router's traffic allows") {
  const ZoneSubsetOptions options;
  const auto size = [&](std::uint32_t requests) {
    return scaled_to_traffic(options, requests).size();
  };
  CHECK(size(0) == 4);
  CHECK(size(6) == 4);
  CHECK(size(18) == 16);
  CHECK(size(40) == 32);
  CHECK(size(100'000) == 32);
  const ZoneSubsetOptions small = scaled_to_traffic(options, 6);
  CHECK(small.own_zone == 3);
  CHECK(small.other_zones == 1);
  const ZoneSubsetOptions whole = scaled_to_traffic(options, 1000);
  CHECK(whole.own_zone == options.own_zone);
  CHECK(whole.other_zones == options.other_zones);
}

TEST_CASE("requests in a window are extrapolated once a part of it has passed") {
  const auto at = [](std::int64_t value) { return common::from_microseconds(value * 1000); };
  RetryWindow window{RetryWindowOptions()};
  CHECK_FALSE(window.requests_per_window(at(0)).has_value());
  for (std::int64_t time = 1000; time < 4000; time += 500) {
    window.on_request(at(time));
  }
  CHECK_FALSE(window.requests_per_window(at(2000)).has_value());
  CHECK(window.requests_per_window(at(4000)) == 20);
  CHECK(window.requests_per_window(at(10'900)) == 6);
  CHECK(window.requests_per_window(at(40'000)) == 0);
}

}  // namespace
}  // namespace planktray::routing

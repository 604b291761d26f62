#include "routing/zone_subset.hpp"

#include <doctest/doctest.h>

#include <algorithm>
#include <map>
#include <set>

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

}  // namespace
}  // namespace planktray::routing

/// Requests on routes over many seeds, and with safeguards taken away.

#include "sim/route_world.hpp"

#include <doctest/doctest.h>

namespace planktray::sim {
namespace {

constexpr std::uint64_t kSeeds = 12;

/// The first seed with a violation, 0 where there is none.
std::uint64_t first_violation(RouteWorldOptions options) {
  for (options.seed = 1; options.seed <= kSeeds; ++options.seed) {
    const RouteWorldResult result = run_route_world(options);
    if (!result.violations.empty()) {
      MESSAGE("seed ", options.seed, ": ", result.violations.front());
      return options.seed;
    }
  }
  return 0;
}

TEST_CASE("repeats stay in the budget of the service that bears them and nothing runs twice") {
  CHECK(first_violation({}) == 0);
}

TEST_CASE("the runs of requests on routes hold what they are meant to try") {
  RouteWorldOptions options;
  options.seed = 5;  // a course with every kind of trouble
  const RouteWorldResult result = run_route_world(options);
  CHECK(result.answered > result.requests / 2);
  CHECK(result.repeats > 100);
  CHECK(result.misdirected > 20);
  CHECK(result.ended_owners > 10);
  CHECK(result.limited > 20);
  CHECK(result.crashing > 0);
  CHECK(result.crashes >= 9);
}

TEST_CASE("no proper request is refused as one that crashes its targets") {
  for (RouteWorldOptions options; options.seed <= kSeeds; ++options.seed) {
    CAPTURE(options.seed);
    CHECK(run_route_world(options).wrongly_refused == 0);
  }
}

TEST_CASE("a proper request that met crashing ones at three targets is not refused") {
  for (const std::uint64_t seed : {1691U, 1021U}) {
    CAPTURE(seed);
    RouteWorldOptions options;
    options.seed = seed;
    CHECK(run_route_world(options).wrongly_refused == 0);
  }
}

// Guards against a crashing request that goes on to more targets after three crashes in a row.
TEST_CASE("a request that crashes its targets is refused by all routers in touch") {
  RouteWorldOptions options;
  options.seed = 653;
  const RouteWorldResult result = run_route_world(options);
  CHECK(result.violations.empty());
}

TEST_CASE("each safeguard of requests on routes taken away is caught") {
  for (const RouteMutant& mutant : all_route_mutants()) {
    CAPTURE(mutant.name);
    RouteWorldOptions options;
    mutant.apply(options);
    CHECK(first_violation(options) > 0);
  }
}

}  // namespace
}  // namespace planktray::sim

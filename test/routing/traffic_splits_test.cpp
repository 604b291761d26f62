/// Guards against parts of a split route that get requests although their weight is 0.
///
/// The credits of a weighted round robin outlived a change of the route's weights, in units of the
/// old ones: after 900 to 100, a part whose weight had become 0 won up to 400 requests in a row at
/// each router, also if it was another service than before.

#include "routing/traffic_splits.hpp"

#include <doctest/doctest.h>

#include <algorithm>
#include <cmath>
#include <vector>

namespace planktray::routing {
namespace {

config::Route route_of(const std::vector<double>& weights) {
  config::Route route;
  route.name = std::string("route");
  for (const double weight : weights) {
    route.parts.push_back({common::ServiceName("s"), weight});
  }
  return route;
}

/// How many of `requests` requests each part gets.
std::vector<int> counts(TrafficSplits& splits, const config::Route& route, int requests,
                        common::RandomEngine& random) {
  std::vector<int> counts(route.parts.size(), 0);
  for (int i = 0; i < requests; ++i) {
    ++counts[splits.choose(route, random).value()];
  }
  return counts;
}

TEST_CASE("a change of weights applies from the next request on, however long the old ones held") {
  for (std::uint64_t seed = 1; seed <= 200; ++seed) {
    CAPTURE(seed);
    common::RandomEngine random(seed);
    TrafficSplits splits;
    (void)counts(splits, route_of({900, 100}), static_cast<int>(seed), random);
    CHECK(counts(splits, route_of({0, 1}), 500, random)[0] == 0);
    CHECK(counts(splits, route_of({0, 900, 100}), 500, random)[0] == 0);
    CHECK(counts(splits, route_of({1, 0, 0}), 500, random)[0] == 500);
  }
}

TEST_CASE("each part gets the share of its weight of a few hundred requests") {
  // Operators are promised shares within 0.2 in 200 requests; a router alone keeps to a tenth of
  // it.
  constexpr int kRequests = 200;
  constexpr double kTolerance = 0.02;
  common::RandomEngine random(1);
  for (int trial = 0; trial < 500; ++trial) {
    std::vector<double> weights(2 + common::uniform(random, 0, 3));
    double total = 0;
    for (double& weight : weights) {
      weight = static_cast<double>(common::uniform(random, 0, 20));
      total += weight;
    }
    if (total == 0) {
      continue;
    }
    TrafficSplits splits;
    const std::vector<int> got = counts(splits, route_of(weights), kRequests, random);
    for (std::size_t i = 0; i < weights.size(); ++i) {
      CHECK(std::abs(got[i] - kRequests * weights[i] / total) <= kRequests * kTolerance);
    }
  }
}

TEST_CASE("the first requests of many routers are spread over the parts") {
  constexpr int kRouters = 1000;
  int first = 0;
  for (int router = 0; router < kRouters; ++router) {
    common::RandomEngine random(static_cast<std::uint64_t>(router));
    TrafficSplits splits;
    first += splits.choose(route_of({75, 25}), random) == 0U ? 1 : 0;
  }
  // Four standard deviations of a binomial distribution.
  CHECK(std::abs(first - 750) <= 55);
}

TEST_CASE("a split without weights chooses no part, and routes that have gone are forgotten") {
  common::RandomEngine random(1);
  TrafficSplits splits;
  CHECK_FALSE(splits.choose(route_of({0, 0}), random).has_value());
  CHECK(splits.choose(route_of({0, 1}), random) == 1U);
  CHECK(splits.size() == 1);
  splits.keep_only([](const std::string& name) { return name != "route"; });
  CHECK(splits.size() == 0);
}

}  // namespace
}  // namespace planktray::routing

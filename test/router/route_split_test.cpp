/// Guards against requests that a router sends by the weights of a route's earlier definition: the
/// state of a split outlived the change, and a part of weight 0 got hundreds of requests in a row.

#include <doctest/doctest.h>

#include <string>

#include "route_fixture.hpp"

namespace planktray::router {
namespace {

/// A fixture with a second service, "other", with one back end.
struct SplitRouter : RouteFixture {
  static constexpr std::uint64_t kOther = 9;

  /// Sets the weights of the route's parts "service" and "other".
  void set_weights(std::int64_t now, double own, double other) {
    routing::TableDelta change;
    config::RoutedService service;
    service.name = common::ServiceName("other");
    change.routed_services = {{common::ServiceId(2), service}};
    change.backends = {backend(kOther)};
    change.backends.front().pool = common::PoolName("other");
    config::Route route;
    route.name = std::string("route");
    route.host = kHost;
    route.path_prefix = std::string("/");
    route.objective_ms = 1000;
    route.parts = {{common::ServiceName("service"), own}, {service.name, other}};
    change.routes = {route};
    change.routes_version = ++version_;
    update_table(now, change);
  }
  /// Sends requests and answers them. @return how many of them "other" got.
  int requests_to_other(std::int64_t now, int count) {
    int found = 0;
    for (int i = 0; i < count; ++i) {
      forwards.clear();
      send_request(now);
      REQUIRE(forwards.size() == 1);
      found += forwards.front().incarnation == backend(kOther).incarnation ? 1 : 0;
      end_attempt(now, forwards.front().attempt, {routing::AttemptEnd::kAnswered, {}});
    }
    return found;
  }

 private:
  std::uint64_t version_ = 1;
};

TEST_CASE("a part whose weight becomes 0 gets no request from the change on") {
  for (int before = 1; before <= 10; ++before) {
    CAPTURE(before);
    SplitRouter router;
    router.set_weights(1, 900, 100);
    (void)router.requests_to_other(2, before);
    router.set_weights(3, 0, 1);
    CHECK(router.requests_to_other(4, 500) == 500);
    router.set_weights(5, 1, 0);
    CHECK(router.requests_to_other(6, 500) == 0);
  }
}

}  // namespace
}  // namespace planktray::router

/// Guards against routers that decide with stale tables while they are connected to controllers.
///
/// With 281 routers and an overloaded leader, acknowledged routes were refused as unknown, and
/// requests reached leaving back ends, for longer than the promised 2.5 s after the
/// acknowledgement. Routers used their table whatever its age, also for final refusals ("no such
/// route"). The leader was overloaded while a service was rolled out: followers redirected every
/// heartbeat with an update to it, and its answers kept the later heartbeats of those back ends, so
/// it read 27 of 225 hellos per second. Each test covers one of these causes.

#include <doctest/doctest.h>

#include <array>

#include "fleet.hpp"

namespace planktray::controller {
namespace {

using testing::at;
using testing::Fleet;
using testing::kPromise;
using testing::kRouters;
using testing::milliseconds;

config::RoutedService service(const std::string& name) {
  config::RoutedService service;
  service.name = common::ServiceName(name);
  return service;
}

config::Route route(const std::string& name, const std::string& path, const std::string& to) {
  config::Route route;
  route.name = name;
  route.host = "example";
  route.path_prefix = path;
  route.timeout_ms = 1000;
  route.kind.repeatable = true;
  route.parts.push_back({common::ServiceName(to), 1.0});
  return route;
}

TEST_CASE(
    "changes are in force in time although the leader's messages reach routers seconds late") {
  Fleet fleet;
  fleet.run_for(milliseconds(3000));
  REQUIRE(fleet.leader().has_value());
  config::RouteChange first;
  first.version = 1;
  first.replaces_all = true;
  first.services = {service("s")};
  first.routes = {route("old", "/old/", "s")};
  fleet.change_routes(first);
  fleet.heartbeat("staying", 1, false);
  fleet.heartbeat("leaving", 1, false);
  fleet.run_for(milliseconds(5000));
  REQUIRE(fleet.ask_all("example", "/old/a").forwarded == kRouters);

  fleet.delay_routers_of(*fleet.leader(), milliseconds(4000));
  fleet.run_for(milliseconds(3000));
  config::RouteChange second;
  second.version = 2;
  second.base_version = 1;
  second.routes = {route("new", "/new/", "s")};
  fleet.change_routes(second);
  fleet.heartbeat("leaving", 2, true);
  fleet.run_for(milliseconds(20));
  REQUIRE(fleet.routes_version() == 2);
  REQUIRE(fleet.has_committed_leaving("leaving"));

  fleet.run_for(kPromise);
  const Fleet::Answers added = fleet.ask_all("example", "/new/a");
  CHECK(added.final == 0);
  CHECK(added.forwarded == kRouters);
  CHECK_FALSE(fleet.ask_all("example", "/old/a").instances.contains("leaving"));
}

/// A router with one route, and the messages of its controllers.
struct LateRouter {
  router::RouterCore core{options(), common::RandomEngine(1), at(0)};
  router::RequestHandle next_handle = 1;

  static router::RouterOptions options() {
    router::RouterOptions options;
    options.name = common::RouterName("r");
    options.table_lease = milliseconds(60'000);
    return options;
  }
  LateRouter() {
    core.set_seeds({"leader", "follower"});
    routing::TableUpdate update;
    update.term = common::Term(1);
    update.current_index = common::LogIndex(10);
    update.echo_clock_us = common::to_microseconds(at(0));
    update.as_of_clock_us = update.echo_clock_us;
    routing::TableDelta table;
    table.is_snapshot = true;
    table.to = common::LogIndex(10);
    table.routed_services.push_back({common::ServiceId(1), service("s")});
    table.routes = {route("old", "/old/", "s")};
    table.routes_version = 1;
    routing::BackendRoute backend;
    backend.id = common::BackendId(1);
    backend.address = "address";
    backend.incarnation = common::Incarnation("i");
    backend.pool = common::PoolName("s");
    backend.slots = 8;
    backend.self_registered = true;
    table.backends.push_back(backend);
    update.deltas = {table};
    core.on_table_update(at(1), update, "leader");
  }
  /// Advances the time. @param receives_list a follower sends a list of controllers with the leader
  ///   every 100 ms, but no table.
  void run(std::int64_t from, std::int64_t to, bool receives_list) {
    for (std::int64_t now = from; now <= to; now += 10) {
      core.tick(at(now));
      (void)core.take_output();
      if (receives_list && now % 100 == 0) {
        core.on_controller_list(at(now), {common::CellName(), {}, common::Term(1), "leader"});
      }
    }
  }
  router::RouterOutput ask(std::int64_t now, const std::string& path) {
    router::CallerRequest request;
    request.handle = next_handle++;
    request.method = "GET";
    request.timeout_ms = 1000;
    request.route = router::RouteCall{"example", path, std::nullopt};
    core.on_request(at(now), request);
    return core.take_output();
  }
};

TEST_CASE("a router that learns the leader but gets no table refuses requests as retryable") {
  LateRouter router;
  router.run(10, 3000, true);
  for (const std::string path : {"/old/a", "/new/a"}) {
    CAPTURE(path);
    const router::RouterOutput output = router.ask(3001, path);
    CHECK(output.forwards.empty());
    REQUIRE(output.answers.size() == 1);
    CHECK(output.answers[0].outcome == routing::Outcome::kNotRun);
    CHECK_FALSE(output.answers[0].can_never_run);
    CHECK(output.answers[0].retry_after.count() > 0);
  }
}

TEST_CASE(
    "a router without any controller serves by its last table and refuses no route as unknown") {
  LateRouter router;
  router.run(10, 6000, false);
  CHECK(router.ask(6001, "/old/a").forwards.size() == 1);
  const router::RouterOutput output = router.ask(6001, "/new/a");
  REQUIRE(output.answers.size() == 1);
  CHECK_FALSE(output.answers[0].can_never_run);
  CHECK(output.answers[0].retry_after.count() > 0);
}

}  // namespace
}  // namespace planktray::controller

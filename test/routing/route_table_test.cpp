/// Lookup of routes by host and path prefix.

#include "routing/route_table.hpp"

#include <doctest/doctest.h>

#include <set>
#include <string>
#include <unordered_map>

#include "common/random.hpp"
#include "routing/target_changes.hpp"

namespace planktray::routing {
namespace {

config::Route route(const std::string& name, const std::string& host, const std::string& prefix) {
  config::Route route;
  route.name = name;
  route.host = host;
  route.path_prefix = prefix;
  return route;
}

/// A table with these routes, each added by its own delta.
RouteTable table_of(const std::vector<config::Route>& routes) {
  RouteTable table;
  for (const config::Route& route : routes) {
    TableDelta delta;
    delta.routes = {route};
    table.install(delta, {});
  }
  return table;
}

std::string found(const RouteTable& table, const std::string& host, const std::string& path) {
  const config::Route* route = table.find(host, path);
  return route == nullptr ? "" : route->name;
}

TEST_CASE("the longest matching path prefix of the host applies") {
  const RouteTable table = table_of({route("root", "a", "/"), route("long", "a", "/x/y/"),
                                     route("short", "a", "/x/"), route("other", "b", "/x/y/z/")});
  CHECK(found(table, "a", "/x/y/z/1") == "long");
  CHECK(found(table, "A:80", "/x/y/") == "long");
  CHECK(found(table, "a", "/x/y") == "short");
  CHECK(found(table, "a", "/") == "root");
  CHECK(found(table, "b", "/x/y/z/1") == "other");
  CHECK(found(table, "b", "/x/y/1").empty());
  CHECK(found(table, "c", "/").empty());
  CHECK(found(table, "a", "").empty());
}

TEST_CASE("a moved or removed route no longer matches at its old host and prefix") {
  RouteTable table = table_of({route("one", "a", "/x/"), route("two", "a", "/y/")});
  TableDelta delta;
  delta.routes = {route("one", "b", "/x/")};
  delta.removed_routes = {"two"};
  table.install(delta, {});
  CHECK(found(table, "a", "/x/").empty());
  CHECK(found(table, "a", "/y/").empty());
  CHECK(found(table, "b", "/x/") == "one");
}

TEST_CASE("two routes with the same prefix, on hosts that differ only in case") {
  RouteTable table = table_of({route("one", "a", "/x/"), route("two", "A", "/x/")});
  CHECK(found(table, "a", "/x/") == "one");
  TableDelta delta;
  delta.removed_routes = {"one"};
  table.install(delta, {});
  CHECK(found(table, "a", "/x/") == "two");
}

TEST_CASE("each of thousands of routes on one host is found by its prefix") {
  constexpr int kRoutes = 5000;
  std::vector<config::Route> routes;
  routes.reserve(kRoutes);
  for (int i = 0; i < kRoutes; ++i) {
    routes.push_back(route("r" + std::to_string(i), "a", "/p" + std::to_string(i) + "/"));
  }
  TableDelta delta;
  delta.is_snapshot = true;
  delta.routes = routes;
  RouteTable table;
  table.install(delta, {});
  for (int i = 0; i < kRoutes; i += 7) {
    CHECK(found(table, "a", "/p" + std::to_string(i) + "/1") == "r" + std::to_string(i));
  }
}

BackendRoute target(std::uint64_t id, const std::string& service) {
  BackendRoute backend;
  backend.id = common::BackendId(id);
  backend.pool = common::PoolName(service);
  backend.self_registered = true;
  return backend;
}

/// Guards against work for all of 10,000 back ends with each change of one of them, which took a
/// router 5 ms of its 100 ms a second, twice a second.
TEST_CASE("targets after changes one by one are those of the whole table") {
  std::unordered_map<BackendId, BackendRoute> backends;
  RouteTable table;
  TableDelta services;
  services.is_snapshot = true;
  for (const std::uint64_t id : {1, 2}) {
    config::RoutedService service;
    service.name = common::ServiceName("s" + std::to_string(id));
    services.routed_services.push_back({common::ServiceId(id), service});
  }
  table.install(services, backends);
  common::RandomEngine random(1);
  for (int step = 0; step < 500; ++step) {
    TableDelta delta;
    const std::uint64_t id = common::uniform(random, 1, 60);
    if (common::chance(random, 0.4)) {
      delta.removed_backends = {common::BackendId(id)};
      backends.erase(common::BackendId(id));
    } else {
      delta.backends = {target(id, "s" + std::to_string(1 + id % 3))};  // s3 is no service
      backends[common::BackendId(id)] = delta.backends.front();
    }
    table.install(delta, backends);
    RouteTable whole;
    whole.install(services, backends);
    for (const std::uint64_t service : {1, 2}) {
      const auto* changed = table.find_service(common::ServiceId(service));
      const auto* expected = whole.find_service(common::ServiceId(service));
      REQUIRE(changed != nullptr);
      REQUIRE(expected != nullptr);
      CHECK(changed->targets == expected->targets);
    }
  }
}

TEST_CASE("the changes of an update are those of all its deltas") {
  TableUpdate update;
  CHECK(changes_in(update).empty());
  TableDelta range;
  range.ranges = {{common::ServiceId(1), 0, 9, common::BackendId(5)}};
  TableDelta registration;
  registration.backends = {target(7, "s1")};
  TableDelta others;
  others.warmth = {{common::BackendId(8), true}};
  others.removed_backends = {common::BackendId(9)};
  update.deltas = {range};
  CHECK(changes_in(update).empty());
  update.deltas = {range, registration, others};
  const TargetChanges changes = changes_in(update);
  CHECK_FALSE(changes.may_be_any);
  CHECK(changes.changed == std::set<BackendId>{common::BackendId(7), common::BackendId(8)});
  CHECK(changes.removed == std::set<BackendId>{common::BackendId(9)});
  TableDelta evacuation;
  evacuation.zones = {{common::ZoneName("a"), true}};
  update.deltas = {evacuation};
  CHECK(changes_in(update).may_be_any);
}

}  // namespace
}  // namespace planktray::routing

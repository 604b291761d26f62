/// Lookup of routes by host and path prefix.

#include "routing/route_table.hpp"

#include <doctest/doctest.h>

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

}  // namespace
}  // namespace planktray::routing

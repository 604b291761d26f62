/// Fleets whose routers are too many for the leader to send each of them every change: the routers
/// poll followers.
///
/// Guards against a leader whose work grows with routers times changes. With 985 routers and 10,000
/// back ends it spent its time on hellos and tables, lost its lead after 0.4 to 5 s, eleven times
/// in 26 s, and granted no keys.

#include <doctest/doctest.h>

#include "fleet.hpp"

namespace planktray::controller {
namespace {

using testing::Fleet;
using testing::kPromise;
using testing::kReplicas;
using testing::milliseconds;

constexpr std::size_t kManyRouters = 1000;

config::RouteChange change_to(std::uint64_t version, const std::string& path) {
  config::RouteChange change;
  change.version = version;
  change.base_version = version - 1;
  if (version == 1) {
    change.replaces_all = true;
    change.services.emplace_back();
    change.services.back().name = common::ServiceName("s");
  }
  config::Route route;
  route.name = path;
  route.host = "example";
  route.path_prefix = path;
  route.timeout_ms = 1000;
  route.kind.repeatable = true;
  route.parts.push_back({common::ServiceName("s"), 1.0});
  change.routes = {route};
  return change;
}

struct PollingFleet : Fleet {
  PollingFleet() : Fleet(kManyRouters) {
    run_for(milliseconds(12'000));
    REQUIRE(leader().has_value());
    change_routes(change_to(1, "/one/"));
    heartbeat("back-end", 1, false);
    run_for(milliseconds(3000));
    REQUIRE(ask_all("example", "/one/a").forwarded == kManyRouters);
  }
};

TEST_CASE("a leader of many routers sends answers to hellos and its followers send the changes") {
  PollingFleet fleet;
  const std::size_t leader = *fleet.leader();
  std::array<std::size_t, kReplicas> before{};
  for (std::size_t i = 0; i < kReplicas; ++i) {
    before[i] = fleet.tables_sent(i);
  }
  constexpr std::uint64_t kChanges = 50;
  for (std::uint64_t version = 2; version < 2 + kChanges; ++version) {
    fleet.change_routes(change_to(version, "/" + std::to_string(version) + "/"));
    fleet.run_for(milliseconds(100));
  }
  // In five seconds each router says hello four times at most, and polls ten times.
  CHECK(fleet.tables_sent(leader) - before[leader] <= 5 * kManyRouters);
  std::size_t by_followers = 0;
  for (std::size_t i = 0; i < kReplicas; ++i) {
    by_followers += i == leader ? 0 : fleet.tables_sent(i) - before[i];
  }
  CHECK(by_followers >= 8 * kManyRouters);
}

TEST_CASE("a change is in force in time at routers that poll") {
  PollingFleet fleet;
  fleet.change_routes(change_to(2, "/two/"));
  fleet.heartbeat("back-end", 2, true);
  fleet.run_for(milliseconds(20));
  REQUIRE(fleet.routes_version() == 2);
  fleet.run_for(kPromise);
  const Fleet::Answers answers = fleet.ask_all("example", "/two/a");
  CHECK(answers.final == 0);
  CHECK(answers.forwarded == 0);  // the only back end is leaving
  CHECK(fleet.routers_with_backend("back-end", true) == kManyRouters);
}

TEST_CASE("a change is in force in time at routers whose follower was cut off") {
  PollingFleet fleet;
  const std::size_t follower = (*fleet.leader() + 1) % kReplicas;
  fleet.cut(follower);
  fleet.run_for(milliseconds(1000));
  fleet.change_routes(change_to(2, "/two/"));
  fleet.run_for(milliseconds(20));
  REQUIRE(fleet.routes_version() == 2);
  fleet.run_for(kPromise);
  CHECK(fleet.ask_all("example", "/two/a").forwarded == kManyRouters);
}

TEST_CASE("a change by a new leader is in force in time at routers that poll") {
  PollingFleet fleet;
  fleet.cut(*fleet.leader());
  fleet.run_for(milliseconds(1500));
  REQUIRE(fleet.leader().has_value());
  fleet.change_routes(change_to(2, "/two/"));
  fleet.run_for(milliseconds(20));
  REQUIRE(fleet.routes_version() == 2);
  fleet.run_for(kPromise);
  CHECK(fleet.ask_all("example", "/two/a").forwarded == kManyRouters);
}

}  // namespace
}  // namespace planktray::controller

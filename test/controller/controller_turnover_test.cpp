/// Guards against routers that lose their cell after many replacements of controllers.
///
/// A router kept the first 24 addresses of controllers that it heard of for good. After 28 planned
/// replacements none of them was running: the router took itself to be out of contact and ran
/// requests by its last table without a limit in time.

#include <doctest/doctest.h>

#include "turnover.hpp"

namespace planktray::controller {
namespace {

using testing::Addresses;
using testing::milliseconds;
using testing::TurnoverCell;

/// The shortest time that deployments promise until a change of the routes is in force.
constexpr auto kConfigApply = milliseconds(2000);
/// The shortest time that deployments allow a new machine until it counts.
constexpr auto kCatchUp = milliseconds(4000);

config::RouteChange change_to(std::uint64_t version) {
  config::RouteChange change;
  change.version = version;
  change.base_version = version - 1;
  return change;
}

TEST_CASE("a router whose seeds ended long ago follows twenty replacements of the whole cell") {
  TurnoverCell cell;
  const Addresses seeds = {cell.running()[0], cell.running()[1], cell.running()[2]};
  router::RouterCore& router = cell.add_router(seeds);
  cell.run_for(milliseconds(1000));
  constexpr std::uint64_t kRounds = 50;
  for (std::uint64_t round = 1; round <= kRounds; ++round) {
    CAPTURE(round);
    REQUIRE(cell.replace_two(cell.running(), kCatchUp));
    cell.change_routes(change_to(round));
    CHECK(cell.run_until([&] { return router.table().routes().version() == round; }, kConfigApply));
    // The members, and the seeds as the way back.
    const std::size_t known = cell.running().size() + seeds.size();
    CHECK(cell.run_until([&] { return router.controllers().size() <= known; }, kConfigApply));
  }
  CHECK(router.freshness().status(cell.now()) == routing::TableStatus::kCurrent);
}

TEST_CASE("a newer list of controllers replaces the older one") {
  router::RouterCore core(router::RouterOptions(), common::RandomEngine(1),
                          common::from_microseconds(0));
  for (std::uint64_t i = 1; i <= 100; ++i) {
    routing::ControllerList list;
    list.index = common::LogIndex(i);
    list.addresses = {"c" + std::to_string(i), "c" + std::to_string(i + 1)};
    core.on_controller_list(common::from_microseconds(static_cast<std::int64_t>(i)), list);
  }
  CHECK(core.controllers() == Addresses{"c100", "c101"});
  routing::ControllerList older;
  older.index = common::LogIndex(50);
  older.addresses = {"c50"};
  core.on_controller_list(common::from_microseconds(200), older);
  CHECK(core.controllers() == Addresses{"c100", "c101"});
}

TEST_CASE("members of an entry that was never committed give way to the new leader's list") {
  routing::ControllerDirectory directory;
  routing::ControllerList from_follower;
  from_follower.term = common::Term(4);
  from_follower.index = common::LogIndex(100);
  from_follower.addresses = {"c1", "c2", "never"};
  from_follower.sender = "c1";
  REQUIRE(directory.update(from_follower));
  routing::ControllerList from_leader = from_follower;
  from_leader.term = common::Term(5);
  from_leader.index = common::LogIndex(90);
  from_leader.addresses = {"c1", "c2"};
  from_leader.sender = from_leader.leader = "c2";
  CHECK(directory.update(from_leader));
  CHECK(directory.all() == Addresses{"c1", "c2"});
}

TEST_CASE("seeds of the settings are the way back to a cell whose known members have all gone") {
  TurnoverCell cell;
  router::RouterCore& router = cell.add_router({"gone"});
  routing::ControllerList outdated;
  outdated.index = common::LogIndex(1);
  outdated.addresses = {"x1", "x2", "x3", "x4", "x5"};
  router.on_controller_list(cell.now(), outdated);
  cell.run_for(milliseconds(3000));
  REQUIRE(router.freshness().status(cell.now()) != routing::TableStatus::kCurrent);
  router.set_seeds({cell.followers().front()});
  CHECK(cell.run_until(
      [&] { return router.freshness().status(cell.now()) == routing::TableStatus::kCurrent; },
      kCatchUp));
}

/// Guards against a router that hears the leader only and so never learns of new controllers.
TEST_CASE("a leader names the members to a router that lacks them") {
  TurnoverCell cell;
  ControllerCore& leader = *cell.leader();
  routing::RouterHello hello;
  hello.router = common::RouterName("r");
  hello.clock_us = 1;
  hello.controllers_index = common::LogIndex(0);
  leader.on_router_hello(cell.now(), hello);
  ControllerOutput output = leader.take_output();
  REQUIRE(output.controllers.size() == 1);
  CHECK(output.controllers[0].list.addresses.size() == TurnoverCell::kVoters);
  hello.controllers_index = leader.raft().membership_index();
  leader.on_router_hello(cell.now(), hello);
  output = leader.take_output();
  CHECK(output.controllers.empty());
}

}  // namespace
}  // namespace planktray::controller

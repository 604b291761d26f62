/// Routing tables over many seeds, under each fault and all of them, and with each safeguard taken
/// away.

#include "sim/table_world.hpp"

#include <doctest/doctest.h>

namespace planktray::sim {
namespace {

constexpr std::uint64_t kSeeds = 12;
constexpr std::uint64_t kMutantSeeds = 60;

/// The first seed with a violation, 0 where there is none.
std::uint64_t first_violation(TableWorldOptions options, std::uint64_t seeds) {
  for (options.seed = 1; options.seed <= seeds; ++options.seed) {
    const TableWorldResult result = run_table_world(options);
    if (!result.violations.empty()) {
      MESSAGE("seed ", options.seed, ": ", result.violations.front());
      return options.seed;
    }
  }
  return 0;
}

// Guards against routers that take a table without acknowledged changes to be complete.
TEST_CASE("tables hold what was acknowledged before the time that routers are told") {
  TableWorldOptions options;
  options.faults = all_table_faults();
  CHECK(first_violation(options, kSeeds) == 0);
}

// Guards against a stated time that is too late after a long silence of a router with a slow clock.
TEST_CASE("tables of routers that were frozen hold what was acknowledged before the stated time") {
  TableWorldOptions options;
  options.faults = {TableFault::kFreezeRouter};
  CHECK(first_violation(options, 30) == 0);
}

// Guards against readings of a clock that has restarted with its machine.
TEST_CASE("tables hold what was acknowledged at seeds that have found a late time") {
  for (const std::uint64_t seed : {731U, 904U, 997U}) {
    CAPTURE(seed);
    TableWorldOptions options;
    options.seed = seed;
    options.faults = all_table_faults();
    CHECK(run_table_world(options).violations.empty());
  }
}

// Guards against a controller that goes on from another state after a snapshot that was damaged.
TEST_CASE("controllers have the same state after snapshots that were damaged on the way") {
  TableWorldOptions options;
  options.faults = {TableFault::kDamagedSnapshots, TableFault::kLostDisk,
                    TableFault::kKillController};
  CHECK(first_violation(options, 30) == 0);
}

TEST_CASE("tables hold what was acknowledged under each fault by itself") {
  for (const TableFault fault : all_table_faults()) {
    CAPTURE(static_cast<int>(fault));
    TableWorldOptions options;
    options.faults = {fault};
    CHECK(first_violation(options, 3) == 0);
  }
}

TEST_CASE("each safeguard of the tables taken away is caught") {
  for (const TableMutant mutant : all_table_mutants()) {
    CAPTURE(to_string(mutant));
    TableWorldOptions options;
    options.faults = {TableFault::kPowerLoss, TableFault::kStaggeredCut};
    options.mutant = mutant;
    CHECK(first_violation(options, kMutantSeeds) > 0);
  }
}

TEST_CASE("the runs of tables hold what they are meant to try") {
  TableWorldResult total;
  for (std::uint64_t seed = 1; seed <= 6; ++seed) {
    TableWorldOptions options;
    options.seed = seed;
    options.faults = all_table_faults();
    const TableWorldResult result = run_table_world(options);
    total.acknowledged += result.acknowledged;
    total.configurations += result.configurations;
    total.tables_compared += result.tables_compared;
    total.elections += result.elections;
    total.snapshots_to_routers += result.snapshots_to_routers;
    total.snapshots_to_controllers += result.snapshots_to_controllers;
    total.follower_updates += result.follower_updates;
  }
  MESSAGE(total.acknowledged, " acknowledged, ", total.configurations, " configurations, ",
          total.tables_compared, " tables, ", total.elections, " elections, ",
          total.snapshots_to_routers, " and ", total.snapshots_to_controllers, " snapshots, ",
          total.follower_updates, " updates of followers");
  CHECK(total.acknowledged > 300);
  CHECK(total.configurations > 100);
  CHECK(total.tables_compared > 1000);
  CHECK(total.elections > 10);
  CHECK(total.snapshots_to_routers > 50);
  CHECK(total.snapshots_to_controllers > 20);
  CHECK(total.follower_updates > 100);
}

}  // namespace
}  // namespace planktray::sim

/// The grant contract over many seeds, and with each of its safeguards taken away.

#include "sim/grant_world.hpp"

#include <doctest/doctest.h>

namespace planktray::sim {
namespace {

constexpr std::uint64_t kSeeds = 200;

/// The first seed with a violation, 0 where there is none.
std::uint64_t first_violation(GrantWorldOptions options, std::uint64_t seeds) {
  for (options.seed = 1; options.seed <= seeds; ++options.seed) {
    const GrantWorldResult result = run_grant_world(options);
    if (!result.violations.empty()) {
      MESSAGE("seed ", options.seed, ": ", result.violations.front());
      return options.seed;
    }
  }
  return 0;
}

TEST_CASE("keys have one holder, whatever befalls orders, holders and leaders") {
  CHECK(first_violation({}, kSeeds) == 0);
}

TEST_CASE("keys have one holder where all hear of them in the answers to their heartbeats") {
  GrantWorldOptions options;
  options.reporting_holders = options.holders;
  CHECK(first_violation(options, kSeeds) == 0);
}

TEST_CASE("a leader that ends before it has marked an order as in doubt") {
  // Seeds at which the holder took that order after its keys had passed on.
  GrantWorldOptions options;
  options.reporting_holders = 0;
  options.faults = {GrantFault::kLateOrders, GrantFault::kLostAnswers,   GrantFault::kCutHolders,
                    GrantFault::kSlowClocks, GrantFault::kLeaderChanges, GrantFault::kRestarts,
                    GrantFault::kRelays};
  for (const std::uint64_t seed : {271U, 517U, 1082U, 2879U, 2969U}) {
    CAPTURE(seed);
    options.seed = seed;
    CHECK(run_grant_world(options).violations.empty());
  }
}

TEST_CASE("the runs hold what they are meant to try") {
  const GrantWorldResult result = run_grant_world({});
  CHECK(result.grants_taken > 500);
  CHECK(result.taken_late > 20);
  CHECK(result.releases > 20);
  CHECK(result.owners_changed > 20);
  CHECK(result.leaders > 3);
  CHECK(result.registered_late > 3);
  CHECK(result.replaced > 0);
  CHECK(result.reports > 50);
  CHECK(result.late_heartbeats > 3);
  CHECK(result.relayed_again > 0);
  CHECK(result.answers_taken > 50);
  CHECK(result.reported_releases > 20);
}

TEST_CASE("each safeguard of the grant contract taken away is caught") {
  for (const GrantMutant& mutant : all_grant_mutants()) {
    CAPTURE(mutant.name);
    GrantWorldOptions options;
    mutant.apply(options);
    CHECK(first_violation(options, kSeeds) > 0);
  }
}

}  // namespace
}  // namespace planktray::sim

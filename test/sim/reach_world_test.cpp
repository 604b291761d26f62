/// What callers get of routers that cannot reach the back ends.

#include "sim/reach_world.hpp"

#include <doctest/doctest.h>

#include <array>
#include <numeric>

namespace planktray::sim {
namespace {

using common::Duration;
using std::chrono::milliseconds;

constexpr std::array<CutKind, 4> kKinds = {CutKind::kSilent, CutKind::kReset, CutKind::kRefused,
                                           CutKind::kHanging};
/// Callers of cut routers are served at the first try at least this often, relative to the others.
constexpr double kLeastShare = 2.0 / 3.0;

std::vector<std::size_t> first_routers(std::size_t count) {
  std::vector<std::size_t> routers(count);
  std::iota(routers.begin(), routers.end(), 0U);
  return routers;
}

ReachOptions with_cut(CutKind kind, std::vector<std::size_t> routers) {
  ReachOptions options;
  options.cuts = {{kind, milliseconds(4000), milliseconds(12'000), std::move(routers), {}}};
  return options;
}

void check_served(const ReachOptions& options) {
  CAPTURE(static_cast<int>(options.cuts.front().kind));
  CAPTURE(options.cuts.front().routers.size());
  CAPTURE(options.routers);
  CAPTURE(options.seed);
  const ReachResult result = run_reach_world(options);
  CHECK(result.violations.empty());
  CHECK(result.at_cut_routers.sent > 50);
  CHECK(result.elsewhere.share() > 0.95);
  CHECK(result.without_cut.share() > 0.95);
  CHECK(result.at_cut_routers.share() >= kLeastShare * result.elsewhere.share());
}

// Guards against routers that refuse what they cannot send themselves while others reach it.
TEST_CASE("callers of routers that reach no back end are served at the first try") {
  for (const CutKind kind : kKinds) {
    check_served(with_cut(kind, first_routers(8)));
    check_served(with_cut(kind, {0, 3, 6, 9}));  // one zone
    check_served(with_cut(kind, first_routers(10)));
  }
}

TEST_CASE("of two routers the one without a path is served by the other") {
  for (const CutKind kind : kKinds) {
    ReachOptions options = with_cut(kind, {0});
    options.routers = 2;
    check_served(options);
  }
}

TEST_CASE("the loss of a path to one service leaves the others alone") {
  for (const CutKind kind : kKinds) {
    ReachOptions options = with_cut(kind, first_routers(8));
    options.cuts.front().services = {1};
    check_served(options);
  }
}

// Guards against requests that wait, or that routers without a path relay to each other.
TEST_CASE("routers that all lose the path refuse at once and relay nothing twice") {
  for (const CutKind kind : {CutKind::kSilent, CutKind::kReset}) {
    CAPTURE(static_cast<int>(kind));
    const ReachResult result = run_reach_world(with_cut(kind, first_routers(11)));
    CHECK(result.violations.empty());
    CHECK(result.at_cut_routers.served == 0);
    CHECK(result.at_cut_routers.refused == result.at_cut_routers.sent);
    CHECK(result.at_cut_routers.time_to_refusal <
          milliseconds(1) * static_cast<std::int64_t>(result.at_cut_routers.refused));
    CHECK(result.relayed_twice == 0);
    CHECK(result.without_cut.share() > 0.95);
  }
}

TEST_CASE("routers without relays are no peers and fare as before beside those that have them") {
  ReachOptions options = with_cut(CutKind::kReset, {0, 1, 2, 3, 4});
  options.without_relays = {4, 5, 6, 7, 8, 9};  // only the last one is a peer
  const ReachResult result = run_reach_world(options);
  CHECK(result.violations.empty());
  CHECK(result.elsewhere.share() > 0.95);
  // Four of five cut routers have the one peer; the fifth cannot relay.
  CHECK(result.at_cut_routers.share() > 0.7);
}

TEST_CASE("relays go on while the leader is gone") {
  for (const CutKind kind : kKinds) {
    ReachOptions options = with_cut(kind, {0, 3, 6, 9});
    options.leader_gone_from = milliseconds(3000);
    options.leader_back_at = milliseconds(13'000);
    check_served(options);
  }
}

TEST_CASE("an ended back end costs few connections and hides no other") {
  ReachOptions options;
  options.ended_backends = {1, 15, 22};
  options.length = milliseconds(10'000);
  const ReachResult result = run_reach_world(options);
  CHECK(result.violations.empty());
  CHECK(result.without_cut.share() > 0.9);  // one owner of 14 has ended
  CHECK(result.relayed < result.without_cut.sent / 10);
}

/// Routers that are killed, suspended and stopped by turns, beside cuts that overlap.
ReachOptions overlapping(std::uint64_t seed) {
  common::RandomEngine random(seed);
  const auto between = [&random](std::uint64_t low_ms, std::uint64_t high_ms) {
    return milliseconds(common::uniform(random, low_ms, high_ms));
  };
  ReachOptions options;
  options.seed = seed;
  options.length = milliseconds(24'000);
  for (int i = 0; i < 3; ++i) {
    PathCut cut;
    cut.kind = kKinds[common::uniform(random, 0, kKinds.size() - 1)];
    cut.begin = between(2000, 12'000);
    cut.end = cut.begin + between(4000, 9000);
    for (std::size_t router = 0; router < 8; ++router) {
      if (common::chance(random, 0.4)) {
        cut.routers.push_back(router);
      }
    }
    options.cuts.push_back(cut);
  }
  Duration end = milliseconds(3000);
  while (end < milliseconds(18'000)) {
    RouterOutage outage;
    outage.kind = static_cast<OutageKind>(common::uniform(random, 0, 2));
    outage.router = common::uniform(random, 0, options.routers - 1);
    outage.begin = end + between(200, 1500);
    outage.end = outage.begin + between(3000, 4500);
    end = outage.end;
    options.outages.push_back(outage);
  }
  if (common::chance(random, 0.5)) {
    options.leader_gone_from = between(4000, 12'000);
    options.leader_back_at = options.leader_gone_from + between(500, 3000);
  }
  return options;
}

TEST_CASE("cuts that overlap with stops of routers break no promise and leave most tries served") {
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    CAPTURE(seed);
    const ReachResult result = run_reach_world(overlapping(seed));
    CHECK(result.violations.empty());
    if (!result.violations.empty()) {
      MESSAGE(result.violations.front());
    }
    CHECK(result.at_cut_routers.share() >= kLeastShare * result.elsewhere.share());
  }
}

TEST_CASE("without cuts all first tries are served") {
  ReachOptions options;
  options.length = milliseconds(6000);
  const ReachResult result = run_reach_world(options);
  CHECK(result.violations.empty());
  CHECK(result.without_cut.sent > 1500);
  CHECK(result.without_cut.share() > 0.99);
}

}  // namespace
}  // namespace planktray::sim

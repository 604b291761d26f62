/// What callers get of routers that cannot reach the back ends.

#include "sim/reach_world.hpp"

#include <doctest/doctest.h>

#include <numeric>

namespace planktray::sim {
namespace {

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

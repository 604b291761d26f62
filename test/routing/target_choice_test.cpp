#include "routing/target_choice.hpp"

#include <doctest/doctest.h>

#include <map>

#include "routing/retry_budget.hpp"

namespace planktray::routing {
namespace {

std::vector<common::BackendId> targets(std::uint64_t count) {
  std::vector<common::BackendId> all;
  for (std::uint64_t i = 1; i <= count; ++i) {
    all.emplace_back(i);
  }
  return all;
}

TEST_CASE("the deterministic aperture gives every target the same share, summed over all routers") {
  for (const std::uint32_t routers : {3U, 7U, 100U}) {
    std::map<common::BackendId, double> share;
    for (std::uint32_t rank = 0; rank < routers; ++rank) {
      const SubsetInput input{SubsetPolicy::kDeterministicAperture, rank, routers, 5, 0};
      const auto subset = choose_subset(targets(23), input);
      double total = 0;
      for (const WeightedTarget& target : subset) {
        total += target.weight;
      }
      for (const WeightedTarget& target : subset) {
        share[target.backend] += target.weight / total;
      }
    }
    CHECK(share.size() == 23);
    for (const auto& [backend, sum] : share) {
      CHECK(sum == doctest::Approx(static_cast<double>(routers) / 23).epsilon(0.02));
    }
  }
}

TEST_CASE("the target with fewer requests in flight is chosen") {
  common::RandomEngine random(1);
  const std::vector<Candidate> two = {{common::BackendId(1), 9, 1.0},
                                      {common::BackendId(2), 0, 1.0}};
  for (int i = 0; i < 20; ++i) {
    CHECK(choose_target(two, ChoicePolicy::kLeastOutstanding, 0, random) == 1);
  }
}

}  // namespace
}  // namespace planktray::routing

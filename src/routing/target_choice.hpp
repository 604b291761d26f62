#pragma once
/// Choice of targets for services without keys: the subset of targets that a router uses, and the
/// target of this subset that gets a request.

#include <cstdint>
#include <vector>

#include "common/ids.hpp"
#include "common/random.hpp"

namespace planktray::routing {

enum class SubsetPolicy : std::uint8_t {
  kFullMesh,               ///< every router uses every target
  kRandomSubset,           ///< each router draws its own random subset
  kDeterministicAperture,  ///< contiguous ranges of a ring (Oanta and Anderson, "Aperture")
};

enum class ChoicePolicy : std::uint8_t {
  kPowerOfTwoChoices,  ///< the less loaded of two random targets (Mitzenmacher, 2001)
  kLeastOutstanding,   ///< the least loaded of all
  kRoundRobin,
};

/// A target with the share of its capacity that this router may use.
struct WeightedTarget {
  common::BackendId backend;
  double weight = 1.0;
};

struct SubsetInput {
  SubsetPolicy policy = SubsetPolicy::kFullMesh;
  std::uint32_t router_rank = 0;
  std::uint32_t router_count = 1;
  /// Minimum number of targets that a router should use.
  std::uint32_t minimum_targets = 1;
  /// Seed of random subsets, different for each router.
  std::uint64_t seed = 0;
};

/// Returns the targets that one router uses. The order of `targets` must be the same on every
/// router.
std::vector<WeightedTarget> choose_subset(const std::vector<common::BackendId>& targets,
                                          const SubsetInput& input);

/// A target that may be chosen, with the load that the router has observed.
struct Candidate {
  common::BackendId backend;
  std::uint32_t outstanding = 0;
  double weight = 1.0;  ///< subset share times warm-up factor, in (0, 1]
};

/// Chooses one of `candidates`, which must not be empty. @param turn request counter, for round
/// robin. @return its position.
std::size_t choose_target(const std::vector<Candidate>& candidates, ChoicePolicy policy,
                          std::uint64_t turn, common::RandomEngine& random);

}  // namespace planktray::routing

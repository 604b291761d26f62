#pragma once
/// Choice of a target for services without keys: which subset of targets a router uses, and which
/// of these takes a request.

#include <cstdint>
#include <vector>

#include "common/ids.hpp"
#include "common/random.hpp"

namespace planktray::routing {

enum class SubsetPolicy : std::uint8_t {
  kFullMesh,               ///< every router uses every target
  kRandomSubset,           ///< each router draws its own
  kDeterministicAperture,  ///< contiguous ranges of a ring (Oanta and Anderson, "Aperture")
};

enum class ChoicePolicy : std::uint8_t {
  kPowerOfTwoChoices,  ///< the less loaded of two drawn (Mitzenmacher, 2001)
  kLeastOutstanding,   ///< the least loaded of all
  kRoundRobin,
};

/// One target with the share of it that this router may use.
struct WeightedTarget {
  common::BackendId backend;
  double weight = 1.0;
};

struct SubsetInput {
  SubsetPolicy policy = SubsetPolicy::kFullMesh;
  std::uint32_t router_rank = 0;
  std::uint32_t router_count = 1;
  /// Targets that a router should use at least.
  std::uint32_t minimum_targets = 1;
  /// Seed of random subsets, different in each router.
  std::uint64_t seed = 0;
};

/// The targets one router uses. The order of `targets` must be the same on every router.
std::vector<WeightedTarget> choose_subset(const std::vector<common::BackendId>& targets,
                                          const SubsetInput& input);

/// What the router itself sees of one target.
struct Candidate {
  common::BackendId backend;
  std::uint32_t outstanding = 0;
  double weight = 1.0;  ///< subset share times warm-up, in (0, 1]
};

/// Picks one of `candidates`. @param turn counts requests, for round robin.
/// @return its position; `candidates` must not be empty.
std::size_t choose_target(const std::vector<Candidate>& candidates, ChoicePolicy policy,
                          std::uint64_t turn, common::RandomEngine& random);

}  // namespace planktray::routing

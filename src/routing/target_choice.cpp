#include "routing/target_choice.hpp"

#include <algorithm>
#include <cmath>

namespace planktray::routing {
namespace {

std::vector<WeightedTarget> random_subset(std::vector<common::BackendId> targets,
                                          const SubsetInput& input) {
  common::RandomEngine random(input.seed);
  std::vector<WeightedTarget> subset;
  while (!targets.empty() && subset.size() < input.minimum_targets) {
    const auto drawn = static_cast<std::ptrdiff_t>(common::uniform(random, 0, targets.size() - 1));
    subset.push_back({targets[static_cast<std::size_t>(drawn)], 1.0});
    targets.erase(targets.begin() + drawn);
  }
  return subset;
}

/// The ring of targets is [0, 1); router i of n owns [i/n, (i+1)/n), widened in whole multiples of
/// 1/n until it covers at least `minimum_targets`, so that all routers together cover the ring
/// evenly.
std::vector<WeightedTarget> deterministic_aperture(const std::vector<common::BackendId>& targets,
                                                   const SubsetInput& input) {
  const double count = static_cast<double>(targets.size());
  const double unit = 1.0 / std::max<std::uint32_t>(1, input.router_count);
  const double wanted = std::min(1.0, input.minimum_targets / count);
  const double width = std::min(1.0, std::ceil(wanted / unit) * unit);
  const double begin = input.router_rank * unit * count;
  const double end = begin + width * count;
  std::vector<WeightedTarget> subset;
  constexpr double kSmallestShare = 1e-6;
  for (double slot = std::floor(begin); slot < end; slot += 1.0) {
    const double share = std::min(end, slot + 1.0) - std::max(begin, slot);
    if (share > kSmallestShare) {
      subset.push_back({targets[static_cast<std::size_t>(slot) % targets.size()], share});
    }
  }
  return subset;
}

double relative_load(const Candidate& candidate) {
  return (candidate.outstanding + 1.0) / candidate.weight;
}

std::size_t draw_weighted(const std::vector<Candidate>& candidates, common::RandomEngine& random) {
  double total = 0;
  for (const Candidate& candidate : candidates) {
    total += candidate.weight;
  }
  double point = common::uniform_real(random) * total;
  for (std::size_t i = 0; i + 1 < candidates.size(); ++i) {
    point -= candidates[i].weight;
    if (point < 0) {
      return i;
    }
  }
  return candidates.size() - 1;
}

}  // namespace

std::vector<WeightedTarget> choose_subset(const std::vector<common::BackendId>& targets,
                                          const SubsetInput& input) {
  const bool all_wanted = input.minimum_targets >= targets.size();
  if (input.policy == SubsetPolicy::kRandomSubset && !all_wanted) {
    return random_subset(targets, input);
  }
  if (input.policy == SubsetPolicy::kDeterministicAperture && !all_wanted) {
    return deterministic_aperture(targets, input);
  }
  std::vector<WeightedTarget> subset;
  subset.reserve(targets.size());
  for (const common::BackendId id : targets) {
    subset.push_back({id, 1.0});
  }
  return subset;
}

std::size_t choose_target(const std::vector<Candidate>& candidates, ChoicePolicy policy,
                          std::uint64_t turn, common::RandomEngine& random) {
  if (policy == ChoicePolicy::kRoundRobin) {
    return turn % candidates.size();
  }
  if (policy == ChoicePolicy::kLeastOutstanding) {
    const auto best = std::min_element(
        candidates.begin(), candidates.end(),
        [](const auto& a, const auto& b) { return relative_load(a) < relative_load(b); });
    return static_cast<std::size_t>(best - candidates.begin());
  }
  const std::size_t first = draw_weighted(candidates, random);
  std::size_t second = draw_weighted(candidates, random);
  if (second == first) {
    second = (first + 1) % candidates.size();
  }
  return relative_load(candidates[first]) <= relative_load(candidates[second]) ? first : second;
}

}  // namespace planktray::routing

#include "routing/zone_subset.hpp"

#include <algorithm>
#include <bit>
#include <utility>

#include "common/hash.hpp"

namespace planktray::routing {
namespace {

/// The targets by ascending rank.
std::vector<common::BackendId> in_order_of_rank(
    std::vector<std::pair<std::uint64_t, common::BackendId>> ranked) {
  std::sort(ranked.begin(), ranked.end());
  std::vector<common::BackendId> targets;
  targets.reserve(ranked.size());
  for (const auto& [rank, backend] : ranked) {
    targets.push_back(backend);
  }
  return targets;
}

}  // namespace

ZoneSubsetOptions scaled_to_traffic(const ZoneSubsetOptions& options, std::uint32_t requests) {
  const std::size_t wanted = std::max<std::size_t>(1, requests / options.requests_per_target);
  const std::size_t size = std::clamp(std::bit_ceil(wanted), options.minimum_size, options.size());
  ZoneSubsetOptions scaled = options;
  scaled.other_zones = options.other_zones * size / options.size();
  scaled.own_zone = size - scaled.other_zones;
  return scaled;
}

std::vector<common::BackendId> choose_zone_subset(const std::vector<ZonedTarget>& targets,
                                                  const std::string& router,
                                                  const ZoneSubsetOptions& options) {
  std::vector<std::pair<std::uint64_t, common::BackendId>> ranked_own;
  std::vector<std::pair<std::uint64_t, common::BackendId>> ranked_others;
  for (const ZonedTarget& target : targets) {
    const std::uint64_t rank = common::hash_bytes(router, target.backend.value);
    (target.is_in_own_zone ? ranked_own : ranked_others).emplace_back(rank, target.backend);
  }
  std::vector<common::BackendId> subset = in_order_of_rank(std::move(ranked_own));
  const std::vector<common::BackendId> others = in_order_of_rank(std::move(ranked_others));
  const std::size_t wanted_others =
      std::max(options.other_zones, options.size() - std::min(options.size(), subset.size()));
  const std::size_t taken_others = std::min(others.size(), wanted_others);
  subset.resize(std::min(subset.size(), options.size() - std::min(options.size(), taken_others)));
  subset.insert(subset.end(), others.begin(),
                others.begin() + static_cast<std::ptrdiff_t>(taken_others));
  return subset;
}

}  // namespace planktray::routing

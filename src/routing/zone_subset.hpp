#pragma once
/// The subset of targets that one router uses when a service without keys has many targets. Each
/// target of a subset gets requests often enough to keep its load known and its connection open.
/// The subset is chosen by rendezvous hashing, so that adding or removing a target changes little.

#include <cstdint>
#include <string>
#include <vector>

#include "common/ids.hpp"

namespace planktray::routing {

struct ZoneSubsetOptions {
  /// Targets in the router's own zone. A router of the largest deployment has up to 11 requests of
  /// one service in flight (18 per second, up to 0.6 s each); this is about twice as many.
  std::size_t own_zone = 20;
  /// Targets in other zones, used when those of the own zone are full.
  std::size_t other_zones = 12;

  /// Requests in a window of the retry budget, 10 s, that each target of a subset should get:
  /// targets close connections that are idle for so long.
  std::uint32_t requests_per_target = 2;
  std::size_t minimum_size = 4;

  std::size_t size() const { return own_zone + other_zones; }
};

/// Returns the options for a router with this many requests of the service in a window of time: as
/// few targets as get `requests_per_target` each, at least `minimum_size`, in steps of a factor of
/// two.
/// A router with few requests opens a connection for each of them, and learns no target's speed,
/// unless they go to few targets.
ZoneSubsetOptions scaled_to_traffic(const ZoneSubsetOptions& options, std::uint32_t requests);

struct ZonedTarget {
  common::BackendId backend;
  bool is_in_own_zone = false;
  bool operator==(const ZonedTarget&) const = default;
};

/// @param router name of the router, which seeds the choice so that routers use different subsets.
/// @return all targets if there are no more than `options.size()`. If the own zone, or the other
/// zones together, have too few targets, the rest of the subset comes from the other side.
std::vector<common::BackendId> choose_zone_subset(const std::vector<ZonedTarget>& targets,
                                                  const std::string& router,
                                                  const ZoneSubsetOptions& options);

}  // namespace planktray::routing

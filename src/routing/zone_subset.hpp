#pragma once
/// The part of a service's targets that one router works with, where a service without keys has
/// many: each of them is then met often enough for its load to be known and for its connection to
/// be in use again. Drawn by rendezvous hashing, so that a target that comes or goes changes
/// little.

#include <cstdint>
#include <string>
#include <vector>

#include "common/ids.hpp"

namespace planktray::routing {

struct ZoneSubsetOptions {
  /// Targets in the router's own zone. Twice the slots that a router of the largest deployment
  /// fills at once in one service (18 requests a second, up to 0.6 s each).
  std::size_t own_zone = 20;
  /// Targets elsewhere, for when those are full.
  std::size_t other_zones = 12;

  std::size_t size() const { return own_zone + other_zones; }
};

struct ZonedTarget {
  common::BackendId backend;
  bool is_in_own_zone = false;
  bool operator==(const ZonedTarget&) const = default;
};

/// @param router its name: each router draws another subset.
/// @return all targets where there are no more than a subset has. Where a zone has too few, the
/// others make up for it.
std::vector<common::BackendId> choose_zone_subset(const std::vector<ZonedTarget>& targets,
                                                  const std::string& router,
                                                  const ZoneSubsetOptions& options);

}  // namespace planktray::routing

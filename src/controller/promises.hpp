#pragma once
/// Compares the times that a deployment promises its users with the worst case that the settings
/// and the number of routers allow. The check reports a violation at start, rather than at the
/// first leader change in a large fleet.

#include <cstddef>
#include <string>
#include <vector>

#include "common/promised_times.hpp"
#include "controller/core/controller_core.hpp"
#include "routing/leader_search.hpp"

namespace planktray::controller {

using common::PromisedTimes;

struct Promise {
  std::string name;
  Duration promised{0};
  Duration worst_case{0};  ///< longest time that the settings allow
  std::string reason;      ///< the terms of the worst case

  bool holds() const { return promised.count() == 0 || worst_case <= promised; }
};

/// Returns the longest hello interval with which changes acknowledged by a new leader reach routers
/// that have not been informed of this leader within `promised`.
Duration longest_hello_interval(Duration promised, Duration shortest_election,
                                const routing::LeaderSearchOptions& search);

/// Evaluates all promises for these settings and this number of routers.
std::vector<Promise> check_promises(const PromisedTimes& promised, const ControllerOptions& options,
                                    std::size_t routers);

}  // namespace planktray::controller

#pragma once
/// Compares the times that a deployment promises its users with the worst that the settings and the
/// size of the fleet allow. Such a comparison shows on the first day what otherwise only a change
/// of leader in a large fleet shows.

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
  Duration worst_case{0};  ///< that the settings allow
  std::string reason;      ///< what the worst is made of

  bool holds() const { return promised.count() == 0 || worst_case <= promised; }
};

/// The longest interval between hellos with which what a new leader acknowledges reaches routers
/// that nobody has told of it within `promised`.
Duration longest_hello_interval(Duration promised, Duration shortest_election,
                                const routing::LeaderSearchOptions& search);

/// All promises, as the settings keep them with this many routers.
std::vector<Promise> check_promises(const PromisedTimes& promised, const ControllerOptions& options,
                                    std::size_t routers);

}  // namespace planktray::controller

#pragma once
/// What many routers together send to a back end that names a limit, by the ways of sharing it.

#include <cstdint>
#include <vector>

namespace planktray::bench {

struct LimitRun {
  std::uint32_t routers = 1;
  double limit = 0;         ///< requests a second
  double demand = 0;        ///< requests a second, of all routers together
  bool admission = false;   ///< by the leader's word; else by equal parts
  double used = 0;          ///< requests sent a second
  double refused = 0;       ///< part of the demand
  std::uint32_t most = 0;   ///< in any 4 s
  double most_allowed = 0;  ///< 1.5 times the limit and 5 in 4 s
};

/// Runs each way at several sizes for `seconds` of simulated time.
std::vector<LimitRun> measure_limits(std::uint32_t seconds);

}  // namespace planktray::bench

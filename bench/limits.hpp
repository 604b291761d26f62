#pragma once
/// Rate that many routers together send to a back end with a rate limit, per sharing strategy.

#include <cstdint>
#include <vector>

namespace planktray::bench {

struct LimitRun {
  std::uint32_t routers = 1;
  double limit = 0;         ///< requests per second
  double demand = 0;        ///< requests per second of all routers together
  bool admission = false;   ///< admission fraction from the leader; otherwise equal shares
  double used = 0;          ///< requests sent per second
  double refused = 0;       ///< fraction of the demand
  std::uint32_t most = 0;   ///< maximum in any 4 s
  double most_allowed = 0;  ///< in 4 s: 1.5 times the limit, plus 5
};

/// Runs each strategy at several sizes for `seconds` of simulated time.
std::vector<LimitRun> measure_limits(std::uint32_t seconds);

}  // namespace planktray::bench

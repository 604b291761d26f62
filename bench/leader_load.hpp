#pragma once
/// Cost of a leader's decisions for back ends with fenced grants: holders acknowledge every order
/// immediately, routers report the load of busy keys, and the set of busy keys changes.

#include <cstdint>

namespace planktray::bench {

struct LeaderLoad {
  std::uint32_t holders = 99;  ///< back ends of a service sharded by key
  std::uint32_t others = 132;  ///< back ends of other services
  std::uint32_t routers = 74;
  std::uint32_t requests = 1200;  ///< keyed requests per second, half of them for 200 busy keys
  std::uint32_t seconds = 20;     ///< measured, after a warm-up of equal length
  std::uint32_t replaced = 0;     ///< back ends per second that restart as a new incarnation
};

struct LeaderCost {
  /// Processor time per second for decisions and table encoding, without transport.
  double core_share = 0;
  double orders = 0;         ///< per second
  double tables = 0;         ///< per second, to all routers
  double table_bytes = 0;    ///< per second
  double ticks = 0;          ///< timer wake-ups per second
  double entries = 0;        ///< log entries per second
  std::uint64_t ranges = 0;  ///< at the end of the run
};

LeaderCost measure_leader(const LeaderLoad& load);

}  // namespace planktray::bench

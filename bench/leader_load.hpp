#pragma once
/// What a leader's decisions cost where back ends hold fenced grants: holders that answer every
/// order at once, routers that report the load of busy keys, and busy keys that change.

#include <cstdint>

namespace planktray::bench {

struct LeaderLoad {
  std::uint32_t holders = 99;  ///< back ends of a service divided by key
  std::uint32_t others = 132;  ///< back ends of other services
  std::uint32_t routers = 74;
  std::uint32_t requests = 1200;  ///< keyed requests a second, half of them for 200 busy keys
  std::uint32_t seconds = 20;     ///< measured, after as many for warming up
  std::uint32_t replaced = 0;     ///< back ends a second that end and come back as others
};

struct LeaderCost {
  /// Processor time a second of its decisions and of encoding tables, without any transport.
  double core_share = 0;
  double orders = 0;         ///< a second
  double tables = 0;         ///< a second, to all routers
  double table_bytes = 0;    ///< a second
  double ticks = 0;          ///< wake-ups by time alone, a second
  double entries = 0;        ///< of the log, a second
  std::uint64_t ranges = 0;  ///< at the end
};

LeaderCost measure_leader(const LeaderLoad& load);

}  // namespace planktray::bench

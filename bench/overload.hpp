#pragma once
/// What callers get of a service whose demand is above its room, by the ways of bounding queues.

#include <cstdint>

namespace planktray::bench {

struct OverloadSize {
  std::uint32_t routers = 12;
  std::uint32_t backends = 24;
  double demand = 1.5;  ///< relative to what the back ends can answer
  double skew = 1.0;    ///< requests at half of the owners relative to the other half
  std::uint32_t seconds = 12;
};

/// Prints a line for each way, with and without keys.
void print_overload(const OverloadSize& size);

}  // namespace planktray::bench

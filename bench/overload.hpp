#pragma once
/// Service that callers receive under demand above capacity, per queue-bounding strategy.

#include <cstdint>

namespace planktray::bench {

struct OverloadSize {
  std::uint32_t routers = 12;
  std::uint32_t backends = 24;
  double demand = 1.5;  ///< relative to the capacity of the back ends
  double skew = 1.0;    ///< requests at half of the owners relative to the other half
  std::uint32_t seconds = 12;
};

/// Prints a line for each strategy, with and without keys.
void print_overload(const OverloadSize& size);

}  // namespace planktray::bench

#pragma once
/// Slopes of state, processor time and bytes against size, for docs/CAPACITY.md.

#include <string>
#include <vector>

namespace planktray::bench {

struct Slope {
  std::string name;
  std::string size;  ///< cell or log group size of the measurement
  double value = 0;
  std::string unit;
};

std::vector<Slope> measure_slopes();

}  // namespace planktray::bench

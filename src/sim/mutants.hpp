#pragma once
/// Mutants: runs with one safeguard taken away. Each must be caught by the check of the promise
/// that the safeguard stands for, or the check proves nothing.

#include <cstdint>
#include <set>
#include <string>
#include <vector>

#include "sim/run.hpp"

namespace planktray::sim {

struct Mutant {
  std::string name;
  std::string safeguard;  ///< what was taken away, for readers
  void (*apply)(Safeguards&);
  std::set<Fault> faults;       ///< what makes the safeguard matter
  std::set<Promise> caught_by;  ///< any of these
};

const std::vector<Mutant>& all_mutants();

struct MutantVerdict {
  bool caught = false;
  std::uint64_t seed = 0;  ///< the first that caught it
  Violation violation;
};

/// Runs seeds from 1 until the mutant is caught.
/// @param base deployment and durations.
MutantVerdict hunt(const Mutant& mutant, const RunOptions& base, std::uint64_t maximum_seeds);

}  // namespace planktray::sim

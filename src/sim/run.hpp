#pragma once
/// One seeded run from start to verdict.

#include <string>
#include <vector>

#include "sim/checker.hpp"
#include "sim/faults.hpp"

namespace planktray::sim {

struct RunOptions {
  FleetOptions fleet;
  std::uint64_t seed = 1;
  std::set<Fault> faults;
  Safeguards safeguards;
  Duration warm_up = std::chrono::milliseconds(2500);
  Duration faulty = std::chrono::milliseconds(20'000);
  Duration recovery = std::chrono::milliseconds(12'000);
};

struct RunResult {
  std::uint64_t seed = 0;
  std::uint64_t trace_hash = 0;
  std::vector<Violation> violations;
  Measures measures;
  Duration simulated{0};
  std::uint64_t actions = 0;
  std::vector<Note> notes;
  History history;
};

RunResult run_once(const RunOptions& options);

}  // namespace planktray::sim

#pragma once
/// Clients of the soak test that do not behave: batches that send a part of a request to some
/// process and stay. With them, the processes have the limits of a small machine.

#include <cstdint>
#include <deque>
#include <memory>
#include <string>
#include <vector>

#include "common/random.hpp"
#include "crowd/crowd.hpp"
#include "soak/processes.hpp"

namespace planktray::soak {

class Crowds {
 public:
  /// @param clients of each batch; 0: there are none, and nothing is checked.
  Crowds(const Processes& processes, std::size_t clients, std::uint64_t seed);

  /// Returns the settings of the processes: limits, if there are such clients.
  static FleetSettings fleet_settings(std::size_t clients);
  /// Adds a batch if one is due; the oldest one leaves.
  void send(TimePoint now);
  void clear() { batches_.clear(); }
  /// Adds a violation for each process that has taken more memory than its machine has.
  void check_memory(std::vector<std::string>& violations) const;

 private:
  crowd::Script next_script();

  const Processes& processes_;
  std::size_t clients_;
  common::RandomEngine random_;
  TimePoint next_batch_;
  std::deque<std::unique_ptr<crowd::Crowd>> batches_;
};

}  // namespace planktray::soak

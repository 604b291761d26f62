#pragma once
/// The platform's list of machines. The list lags behind the actual machines, so a missing machine
/// is never taken as proof that the machine is dead.

#include <cstdint>
#include <map>
#include <string>

#include "common/ids.hpp"

namespace planktray::membership {

/// One machine as the platform lists it.
struct Machine {
  common::MachineName name;
  std::string address;  ///< "IP:port"
  common::ZoneName zone;
  common::PoolName pool;
  bool leaving = false;
};

/// A version of the list, by machine name.
struct MachineList {
  std::uint64_t version = 0;
  std::map<common::MachineName, Machine> machines;

  /// Adds the machine or replaces the one with the same name.
  void add(Machine machine);
  /// @return the machine, or nullptr.
  const Machine* find(const common::MachineName& name) const;
};

}  // namespace planktray::membership

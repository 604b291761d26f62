#pragma once
/// The platform's list of machines. It lags, and is never taken as proof that a machine is dead.

#include <cstdint>
#include <map>
#include <string>

#include "common/ids.hpp"

namespace planktray::membership {

struct Machine {
  common::MachineName name;
  std::string address;  ///< "IP:port"
  common::ZoneName zone;
  common::PoolName pool;
  bool leaving = false;
};

struct MachineList {
  std::uint64_t version = 0;
  std::map<common::MachineName, Machine> machines;

  void add(Machine machine);
  /// @return the machine, or nullptr.
  const Machine* find(const common::MachineName& name) const;
};

}  // namespace planktray::membership

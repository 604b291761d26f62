#include "membership/machine_list.hpp"

#include <utility>

namespace planktray::membership {

void MachineList::add(Machine machine) {
  const common::MachineName name = machine.name;
  machines[name] = std::move(machine);
}

const Machine* MachineList::find(const common::MachineName& name) const {
  const auto found = machines.find(name);
  return found == machines.end() ? nullptr : &found->second;
}

}  // namespace planktray::membership

#pragma once
/// How nodes of a run find each other, as addresses do for processes.

#include <string>
#include <vector>

#include "common/ids.hpp"
#include "membership/machine_list.hpp"
#include "sim/host.hpp"

namespace planktray::sim {

class ControllerNode;
class RouterNode;
class BackendNode;

class Directory {
 public:
  Directory() = default;
  Directory(const Directory&) = delete;
  Directory& operator=(const Directory&) = delete;
  virtual ~Directory() = default;

  virtual std::vector<ControllerNode*> controllers() = 0;
  virtual std::vector<RouterNode*> routers() = 0;
  virtual std::vector<BackendNode*> backends() = 0;
  /// @return nullptr where nobody has that address or name.
  virtual ControllerNode* find_controller(common::ReplicaId replica) = 0;
  virtual RouterNode* find_router(const common::RouterName& name) = 0;
  virtual BackendNode* find_backend(const std::string& address) = 0;
  /// The platform's list as it answers now: it may lag or lie.
  virtual membership::MachineList machine_list() = 0;
};

}  // namespace planktray::sim

#pragma once
/// A whole deployment under virtual time: controllers, routers, back ends, the platform's list,
/// callers and operators.

#include <deque>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "sim/backend_node.hpp"
#include "sim/callers.hpp"
#include "sim/controller_node.hpp"
#include "sim/deployment.hpp"
#include "sim/directory.hpp"
#include "sim/environment.hpp"
#include "sim/operators.hpp"
#include "sim/router_node.hpp"

namespace planktray::sim {

/// How the platform's list misbehaves at present.
struct MachineListFaults {
  Duration lag{0};
  double missing = 0;  ///< share of machines left out
  double leaving = 0;  ///< share of live machines called leaving
};

struct FleetOptions {
  Deployment deployment;
  CallerOptions callers;
  OperatorOptions operators;
  ownership::PlannerOptions planner;
  routing::SubsetPolicy subset = routing::SubsetPolicy::kDeterministicAperture;
  routing::ChoicePolicy choice = routing::ChoicePolicy::kPowerOfTwoChoices;
  std::uint64_t snapshot_entries = 64;
};

class Fleet : public Directory {
 public:
  Fleet(Environment& environment, FleetOptions options);

  /// Starts every process and creates the cell.
  void start();

  std::vector<ControllerNode*> controllers() override { return controller_list_; }
  std::vector<RouterNode*> routers() override { return router_list_; }
  std::vector<BackendNode*> backends() override { return backend_list_; }
  ControllerNode* find_controller(common::ReplicaId replica) override;
  RouterNode* find_router(const common::RouterName& name) override;
  BackendNode* find_backend(const std::string& address) override;
  membership::MachineList machine_list() override;

  ControllerNode* leader();
  /// True where a leader says that the loss of any one replica loses nothing.
  bool is_fully_replicated();
  void set_leaving(const common::MachineName& machine, bool leaving);
  MachineListFaults& list_faults() { return list_faults_; }
  Callers& callers() { return *callers_; }
  Operators& operators() { return *operators_; }
  const FleetOptions& options() const { return options_; }
  Environment& environment() { return environment_; }
  /// What does not serve yet; empty where everything does.
  std::string missing();

 private:
  void add_nodes();
  void add_backends(const ServiceSize& service);
  void observe();
  Duration delay(HostId from, HostId to) const;
  HostId add_host(const std::string& zone);
  std::string zone_of(std::size_t number) const;

  Environment& environment_;
  FleetOptions options_;
  std::vector<std::string> host_zones_;  ///< empty: callers and operators
  std::deque<ControllerNode> controller_nodes_;
  std::deque<RouterNode> router_nodes_;
  std::deque<BackendNode> backend_nodes_;
  std::vector<ControllerNode*> controller_list_;
  std::vector<RouterNode*> router_list_;
  std::vector<BackendNode*> backend_list_;
  std::map<std::string, BackendNode*> backends_by_address_;
  std::map<common::RouterName, RouterNode*> routers_by_name_;
  std::vector<std::pair<TimePoint, membership::MachineList>> lists_;  ///< newest last
  MachineListFaults list_faults_;
  std::unique_ptr<Callers> callers_;
  std::unique_ptr<Operators> operators_;
};

}  // namespace planktray::sim

#include "sim/fleet.hpp"

#include <algorithm>

namespace planktray::sim {
namespace {

constexpr const char* kCell = "cell-1";
/// Holdings and served revisions are looked at this often besides every change.
constexpr Duration kObserveInterval = std::chrono::milliseconds(10);

}  // namespace

Fleet::Fleet(Environment& environment, FleetOptions options)
    : environment_(environment), options_(std::move(options)) {
  environment_.network.set_delay([this](HostId from, HostId to) { return delay(from, to); });
  add_nodes();
}

HostId Fleet::add_host(const std::string& zone) {
  host_zones_.push_back(zone);
  return environment_.network.add_host();
}

std::string Fleet::zone_of(std::size_t number) const {
  const auto& zones = options_.deployment.zones;
  return zones[number % zones.size()];
}

Duration Fleet::delay(HostId from, HostId to) const {
  const std::string& left = host_zones_[from];
  const std::string& right = host_zones_[to];
  if (left.empty() || right.empty()) {
    return options_.deployment.caller_delay;
  }
  return left == right ? options_.deployment.local_delay : options_.deployment.zone_delay;
}

void Fleet::add_nodes() {
  const Deployment& deployment = options_.deployment;
  const Safeguards& safeguards = environment_.safeguards;
  for (std::uint32_t i = 0; i < deployment.controllers; ++i) {
    controller::ControllerOptions controller;
    controller.cell = common::CellName(kCell);
    controller.name = "controller-" + std::to_string(i + 1);
    controller.peer_address = controller.name;
    controller.operator_address = controller.name;
    controller.planner = options_.planner;
    controller.snapshot_entries = options_.snapshot_entries;
    controller.raft.refuse_early_votes = safeguards.voters_refuse_early;
    controller.lease.wait_after_election = safeguards.leaders_wait;
    controller_nodes_.emplace_back(environment_, *this, add_host(zone_of(i)), controller);
    controller_list_.push_back(&controller_nodes_.back());
  }
  for (std::uint32_t i = 0; i < deployment.routers; ++i) {
    router::RouterOptions router;
    router.cell = common::CellName(kCell);
    router.name = common::RouterName("router-" + std::to_string(i + 1));
    router.address = router.name.value;
    router.zone = common::ZoneName(zone_of(i));
    router.subset = options_.subset;
    router.choice = options_.choice;
    router_nodes_.emplace_back(environment_, *this, add_host(router.zone.value), router,
                               deployment.connect_time);
    router_list_.push_back(&router_nodes_.back());
    routers_by_name_[router.name] = router_list_.back();
  }
  for (const ServiceSize& service : deployment.services) {
    add_backends(service);
  }
  callers_ = std::make_unique<Callers>(environment_, *this, add_host(""), options_.deployment,
                                       options_.callers);
  operators_ = std::make_unique<Operators>(environment_, *this, add_host(""), options_.deployment,
                                           options_.operators);
}

void Fleet::add_backends(const ServiceSize& service) {
  environment_.measures.set_targets(service.name, service.targets);
  for (std::uint32_t i = 0; i < service.targets; ++i) {
    BackendSettings settings;
    settings.machine = common::MachineName(service.name + "-" + std::to_string(i + 1));
    settings.address = settings.machine.value;
    settings.zone = common::ZoneName(zone_of(i));
    settings.pool = common::PoolName(service.name);
    settings.service = service.name;
    settings.slots = service.slots;
    settings.service_time = service.service_time;
    backend_nodes_.emplace_back(environment_, *this, add_host(settings.zone.value), settings);
    backend_list_.push_back(&backend_nodes_.back());
    backends_by_address_[settings.address] = backend_list_.back();
  }
}

void Fleet::start() {
  membership::MachineList list;
  list.version = 1;
  for (BackendNode* backend : backend_list_) {
    const BackendSettings& settings = backend->settings();
    list.add({settings.machine, settings.address, settings.zone, settings.pool, false});
    backend->start();
  }
  lists_ = {{environment_.now(), list}};
  for (HostId id = 0; id < host_zones_.size(); ++id) {
    if (host_zones_[id].empty()) {
      environment_.network.host(id).start();
    }
  }
  consensus::Membership membership;
  for (ControllerNode* controller : controller_list_) {
    controller->start();
    membership.members.push_back(controller->as_member());
  }
  for (ControllerNode* controller : controller_list_) {
    controller->create_cell(membership);
  }
  for (RouterNode* router : router_list_) {
    router->start();
  }
  callers_->start();
  operators_->start();
  observe();
}

void Fleet::observe() {
  for (BackendNode* backend : backend_list_) {
    backend->observe_holdings(GapCause::kLapse);
  }
  for (RouterNode* router : router_list_) {
    router->observe_service();
  }
  environment_.scheduler.after(kObserveInterval, [this] { observe(); });
}

ControllerNode* Fleet::find_controller(common::ReplicaId replica) {
  for (ControllerNode* controller : controller_list_) {
    if (controller->is_up() && controller->replica() == replica) {
      return controller;
    }
  }
  return nullptr;
}

RouterNode* Fleet::find_router(const common::RouterName& name) {
  const auto found = routers_by_name_.find(name);
  return found == routers_by_name_.end() ? nullptr : found->second;
}

BackendNode* Fleet::find_backend(const std::string& address) {
  const auto found = backends_by_address_.find(address);
  return found == backends_by_address_.end() ? nullptr : found->second;
}

membership::MachineList Fleet::machine_list() {
  const TimePoint wanted = environment_.now() - list_faults_.lag;
  membership::MachineList list = lists_.front().second;
  for (const auto& [time, known] : lists_) {
    if (time <= wanted) {
      list = known;
    }
  }
  std::erase_if(list.machines, [this](const auto& /*machine*/) {
    return list_faults_.missing > 0 &&
           common::chance(environment_.fault_random, list_faults_.missing);
  });
  for (auto& [name, machine] : list.machines) {
    machine.leaving =
        machine.leaving || (list_faults_.leaving > 0 &&
                            common::chance(environment_.fault_random, list_faults_.leaving));
  }
  return list;
}

void Fleet::set_leaving(const common::MachineName& machine, bool leaving) {
  membership::MachineList list = lists_.back().second;
  ++list.version;
  list.machines.at(machine).leaving = leaving;
  lists_.emplace_back(environment_.now(), std::move(list));
}

ControllerNode* Fleet::leader() {
  for (ControllerNode* controller : controller_list_) {
    if (controller->is_leading()) {
      return controller;
    }
  }
  return nullptr;
}

bool Fleet::is_fully_replicated() {
  ControllerNode* present = leader();
  const auto& controllers = controller_list_;
  const bool all_up = std::all_of(controllers.begin(), controllers.end(),
                                  [](ControllerNode* node) { return node->is_up(); });
  return all_up && present != nullptr &&
         present->core().raft().membership().members.size() == controllers.size() &&
         present->core().is_fully_replicated(present->host().clock());
}

std::string Fleet::missing() {
  if (leader() == nullptr) {
    return "no controller leads";
  }
  if (!is_fully_replicated()) {
    return "the log is not fully replicated";
  }
  for (RouterNode* router : router_list_) {
    if (!router->is_serving()) {
      return router->name().value + " does not serve";
    }
  }
  for (const ServiceSize& service : options_.deployment.services) {
    if (!service.keyed) {
      continue;
    }
    for (std::uint32_t i = 0; i < options_.deployment.shards; ++i) {
      const std::string shard = shard_name(
          {common::TenantName(options_.deployment.tenant), common::ServiceName(service.name)},
          common::ShardNumber(i));
      const bool held =
          std::any_of(backend_list_.begin(), backend_list_.end(),
                      [&](const BackendNode* backend) { return backend->holds(shard); });
      if (!held) {
        return "nobody holds " + shard;
      }
    }
  }
  return "";
}

}  // namespace planktray::sim

#include "sim/deployment.hpp"

namespace planktray::sim {
namespace {

using std::chrono::microseconds;
using std::chrono::milliseconds;

Deployment zilina() {
  Deployment deployment;
  deployment.tenant = "zilina";
  deployment.template_name = "pallet-network";
  deployment.zones = {"hala-a", "hala-b", "hala-c"};
  deployment.zone_delay = milliseconds(1);
  deployment.caller_delay = milliseconds(1);
  deployment.balance = {1.05, 0.02, 10, 30'000};
  deployment.services = {{"sledovanie", true, 14, 2, 130, milliseconds(4), milliseconds(2000), 0.5},
                         {"objednavky", false, 7, 2, 130, milliseconds(6), milliseconds(3000), 0.2},
                         {"terminy", false, 12, 2, 130, milliseconds(4), milliseconds(2000), 0.3}};
  return deployment;
}

Deployment canelones() {
  Deployment deployment;
  deployment.tenant = "canelones";
  deployment.template_name = "harvest-log";
  deployment.zones = {"las-piedras", "progreso", "juanico"};
  deployment.zone_delay = microseconds(500);
  deployment.caller_delay = milliseconds(3);
  deployment.balance = {1.05, 0.02, 8, 60'000};
  deployment.services = {{"tallies", true, 14, 3, 50, milliseconds(4), milliseconds(3000), 0.5},
                         {"bascula", false, 6, 3, 50, milliseconds(6), milliseconds(3000), 0.3},
                         {"archivo", false, 13, 3, 50, milliseconds(20), milliseconds(10000), 0.2}};
  return deployment;
}

}  // namespace

common::Result<Deployment> find_deployment(const std::string& name) {
  if (name == "zilina") {
    return zilina();
  }
  if (name == "canelones") {
    return canelones();
  }
  return common::fail(common::ErrorCode::kNotFound, "find deployment", "",
                      "no deployment \"" + name + "\"; there are zilina and canelones");
}

config::Template make_template(const Deployment& deployment) {
  config::Template result;
  result.name = common::TemplateName(deployment.template_name);
  for (const ServiceSize& size : deployment.services) {
    config::ServiceTemplate service;
    service.name = common::ServiceName(size.name);
    service.pool = common::PoolName(size.name);
    service.keyed = size.keyed;
    if (size.keyed) {
      service.shards = deployment.shards;
      service.hash_seed = 11;
    }
    service.maximum_targets = 1000;
    service.slots = size.slots;
    service.connections = size.connections;
    service.repeatable_methods = {"GET", "HEAD"};
    service.default_timeout_ms = static_cast<std::uint32_t>(size.timeout.count() / 1000);
    service.balance = deployment.balance;
    result.services.push_back(std::move(service));
  }
  return result;
}

config::Tenant make_tenant(const Deployment& deployment) {
  config::Tenant tenant;
  tenant.name = common::TenantName(deployment.tenant);
  tenant.template_name = common::TemplateName(deployment.template_name);
  for (const std::string& zone : deployment.zones) {
    tenant.zones.emplace_back(zone);
  }
  for (const ServiceSize& size : deployment.services) {
    tenant.targets[common::ServiceName(size.name)] = size.targets;
  }
  return tenant;
}

}  // namespace planktray::sim

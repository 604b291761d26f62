#pragma once
/// Sizes of a simulated deployment: zones, delays, machines, and the declarations served.

#include <string>
#include <vector>

#include "common/error.hpp"
#include "common/time.hpp"
#include "config/declaration.hpp"

namespace planktray::sim {

using common::Duration;

/// One service and the machines behind it.
struct ServiceSize {
  std::string name;
  bool keyed = false;
  std::uint32_t targets = 1;
  std::uint32_t slots = 1;
  std::uint32_t connections = 1;
  Duration service_time{0};  ///< mean time that a request takes
  Duration timeout{0};
  double request_share = 0;  ///< share of the callers' requests
};

struct Deployment {
  std::string tenant;
  std::string template_name;
  std::vector<std::string> zones;
  Duration zone_delay{0};       ///< one way, between zones
  Duration caller_delay{0};     ///< one way, from callers to routers
  Duration local_delay{100};    ///< one way, within a zone
  Duration connect_time{1000};  ///< what a back end takes to accept a connection
  std::uint32_t controllers = 3;
  std::uint32_t routers = 3;
  std::uint32_t shards = 128;
  config::BalancePolicy balance;
  std::vector<ServiceSize> services;
};

/// @return "zilina" or "canelones" at today's sizes, or kNotFound.
common::Result<Deployment> find_deployment(const std::string& name);
config::Template make_template(const Deployment& deployment);
config::Tenant make_tenant(const Deployment& deployment);

}  // namespace planktray::sim

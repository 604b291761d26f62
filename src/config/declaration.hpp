#pragma once
/// Templates and tenants: the declarations that operators keep in version control.
/// A template describes services once; a tenant adds zones and target counts.

#include <chrono>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "common/error.hpp"
#include "common/ids.hpp"

namespace planktray::config {

/// Thresholds and limits for rebalancing one service.
struct BalancePolicy {
  /// Load of a target, as a multiple of the mean, up to which no shard moves away; at least 1.
  double max_imbalance = 1.05;
  /// A move must lower the highest target load by at least this fraction of the mean.
  double minimum_gain = 0.02;
  /// Maximum shard moves per minute for balancing.
  std::uint32_t moves_per_minute = 10;
  /// Minimum time between two moves of the same shard.
  std::uint32_t minimum_stay_ms = 30'000;
  MSGPACK_DEFINE_MAP(max_imbalance, minimum_gain, moves_per_minute, minimum_stay_ms)
  auto operator<=>(const BalancePolicy&) const = default;
};

/// One service of a template.
struct ServiceTemplate {
  common::ServiceName name;
  common::PoolName pool;                        ///< group of machines that provides the targets
  bool keyed = false;                           ///< partitioned by key, with one owner per shard
  std::uint32_t shards = 0;                     ///< fixed number of shards; keyed services only
  std::uint64_t hash_seed = 0;                  ///< seed of the key hash; keyed services only
  std::uint32_t minimum_targets = 1;            ///< lower limit of a tenant's target count
  std::uint32_t maximum_targets = 1000;         ///< upper limit of a tenant's target count
  std::uint32_t slots = 1;                      ///< concurrent requests per target
  std::uint32_t connections = 1;                ///< connections that a target accepts
  std::vector<std::string> repeatable_methods;  ///< may run more than once; all others at most once
  std::uint32_t default_timeout_ms = 2'000;     ///< deadline for requests that state none
  std::uint32_t queue_limit = 256;              ///< requests that a router holds for this service
  BalancePolicy balance;
  MSGPACK_DEFINE_MAP(name, pool, keyed, shards, hash_seed, minimum_targets, maximum_targets, slots,
                     connections, repeatable_methods, default_timeout_ms, queue_limit, balance)
  auto operator<=>(const ServiceTemplate&) const = default;
};

/// A named set of services that tenants refer to.
struct Template {
  common::TemplateName name;
  std::vector<ServiceTemplate> services;
  MSGPACK_DEFINE_MAP(name, services)
};

/// A tenant's template, zones and target count per service.
struct Tenant {
  common::TenantName name;
  common::TemplateName template_name;
  std::vector<common::ZoneName> zones;  ///< zones allowed for targets; empty: any zone
  std::map<common::ServiceName, std::uint32_t> targets;
  MSGPACK_DEFINE_MAP(name, template_name, zones, targets)
};

/// One service of a tenant: the template's parameters with the tenant's zones and target count.
struct ServiceConfig {
  common::ServiceKey key;
  ServiceTemplate parameters;
  std::vector<common::ZoneName> zones;
  std::uint32_t targets = 0;
  MSGPACK_DEFINE_MAP(key, parameters, zones, targets)
};

/// Limits that every declaration is checked against.
inline constexpr std::uint32_t kMaxShardsPerService = 262'144;
inline constexpr std::uint32_t kMaxTargets = 10'000;
inline constexpr std::uint32_t kMaxTimeoutMs = 600'000;
inline constexpr std::size_t kMaxNameLength = 63;

/// True for names of lower-case letters, digits and inner hyphens, at most kMaxNameLength long.
bool is_valid_name(const std::string& name);

/// Parses a template from JSON text. Unknown fields are rejected.
/// @return kInvalid with the name of the field in `Error::message`.
common::Result<Template> parse_template(const std::string& json);
/// Parses a tenant from JSON text. Errors as for parse_template().
common::Result<Tenant> parse_tenant(const std::string& json);
/// Serializes a declaration as JSON text that parse_template() or parse_tenant() accepts.
std::string to_json(const Template& declaration);
std::string to_json(const Tenant& declaration);

/// Expands a tenant into its services.
/// @return kInvalid if the tenant uses a service that the template lacks, or a target count outside
///   the limits of the service.
common::Result<std::vector<ServiceConfig>> expand(const Template& declaration,
                                                  const Tenant& tenant);

}  // namespace planktray::config

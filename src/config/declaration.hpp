#pragma once
/// Templates and tenants: the declarations operators keep in version control.
/// A template describes services once; a tenant fills in places and target counts.

#include <chrono>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "common/error.hpp"
#include "common/ids.hpp"

namespace planktray::config {

/// Weights and limits of rebalancing one service.
struct BalancePolicy {
  /// A target may carry this many times the mean load before a shard moves; at least 1.
  double max_imbalance = 1.05;
  /// A move must lower the highest target load by at least this fraction of the mean.
  double minimum_gain = 0.02;
  /// Shard moves a minute that balancing may spend.
  std::uint32_t moves_per_minute = 10;
  /// A shard that has moved stays at least this long.
  std::uint32_t minimum_stay_ms = 30'000;
  MSGPACK_DEFINE_MAP(max_imbalance, minimum_gain, moves_per_minute, minimum_stay_ms)
  auto operator<=>(const BalancePolicy&) const = default;
};

/// One service of a template.
struct ServiceTemplate {
  common::ServiceName name;
  common::PoolName pool;                        ///< group of machines that targets come from
  bool keyed = false;                           ///< divided by key: one owner for each shard
  std::uint32_t shards = 0;                     ///< fixed number of shards; keyed only
  std::uint64_t hash_seed = 0;                  ///< seed of the key hash; keyed only
  std::uint32_t minimum_targets = 1;            ///< a tenant must ask for at least this many
  std::uint32_t maximum_targets = 1000;         ///< and at most this many
  std::uint32_t slots = 1;                      ///< requests a target runs at once
  std::uint32_t connections = 1;                ///< connections a target accepts
  std::vector<std::string> repeatable_methods;  ///< may run more than once; all others may not
  std::uint32_t default_timeout_ms = 2'000;     ///< deadline where the caller names none
  std::uint32_t queue_limit = 256;              ///< requests a router holds for this service
  BalancePolicy balance;
  MSGPACK_DEFINE_MAP(name, pool, keyed, shards, hash_seed, minimum_targets, maximum_targets, slots,
                     connections, repeatable_methods, default_timeout_ms, queue_limit, balance)
  auto operator<=>(const ServiceTemplate&) const = default;
};

struct Template {
  common::TemplateName name;
  std::vector<ServiceTemplate> services;
  MSGPACK_DEFINE_MAP(name, services)
};

struct Tenant {
  common::TenantName name;
  common::TemplateName template_name;
  std::vector<common::ZoneName> zones;  ///< places targets may be in; empty: any
  std::map<common::ServiceName, std::uint32_t> targets;
  MSGPACK_DEFINE_MAP(name, template_name, zones, targets)
};

/// A tenant's service after expansion.
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

/// Parses a template from JSON text. Errors name the field in `Error::message`; unknown fields are
/// refused.
common::Result<Template> parse_template(const std::string& json);
/// Parses a tenant from JSON text; as above.
common::Result<Tenant> parse_tenant(const std::string& json);
/// JSON text that the parsers read back.
std::string to_json(const Template& declaration);
std::string to_json(const Tenant& declaration);

/// Makes the services of a tenant. Fails with kInvalid where the tenant does not fit the template.
common::Result<std::vector<ServiceConfig>> expand(const Template& declaration,
                                                  const Tenant& tenant);

}  // namespace planktray::config

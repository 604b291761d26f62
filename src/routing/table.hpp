#pragma once
/// The routing table of one router, built from snapshots and deltas.
///
/// Invariant: the index of the table only grows, so what is in force here never reverts.

#include <cstdint>
#include <map>
#include <set>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "routing/route_table.hpp"
#include "routing/table_messages.hpp"

namespace planktray::routing {

struct ShardSlot {
  BackendId owner;
  Epoch epoch;
  bool moving = false;
};

struct TableService {
  ServiceRoute route;
  std::vector<ShardSlot> shards;
};

/// The shard a key belongs to: xxHash of the key under the template's seed, modulo the count.
ShardNumber shard_of_key(std::string_view key, const config::ServiceTemplate& parameters);

class RoutingTable {
 public:
  /// Installs an update that leads on from what is held.
  /// @return true where something was installed; false for late, repeated or gapped updates.
  bool apply(const TableUpdate& update);

  LogIndex index() const { return index_; }
  /// @return the service, or nullptr.
  const TableService* find_service(const common::ServiceKey& key) const;
  const TableService* find_service(ServiceId id) const;
  const BackendRoute* find_backend(BackendId id) const;
  const std::unordered_map<BackendId, BackendRoute>& backends() const { return backends_; }
  /// True where the tenant is or was declared.
  const std::map<common::TenantName, common::Revision>& tenants() const { return tenants_; }
  const RouteTable& routes() const { return routes_; }
  /// Zones whose back ends are to get nothing.
  const std::set<common::ZoneName>& evacuated_zones() const { return evacuated_zones_; }
  bool is_evacuated(const BackendRoute& backend) const {
    return evacuated_zones_.contains(backend.zone);
  }

 private:
  struct KeyHash {
    std::size_t operator()(const common::ServiceKey& key) const noexcept;
  };

  void install(const TableDelta& delta);
  void put_service(const ServiceRoute& route);
  void install_zone(const ZoneRoute& zone);

  LogIndex index_;
  std::unordered_map<BackendId, BackendRoute> backends_;
  std::unordered_map<ServiceId, TableService> services_;
  std::unordered_map<common::ServiceKey, ServiceId, KeyHash> service_ids_;
  std::map<common::TenantName, common::Revision> tenants_;
  RouteTable routes_;
  std::set<common::ZoneName> evacuated_zones_;
};

}  // namespace planktray::routing

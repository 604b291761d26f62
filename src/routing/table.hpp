#pragma once
/// The routing table of one router, built from snapshots and deltas.
///
/// Invariant: the index of the table only increases, so an applied change is never reverted.

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

/// The shard of a key: xxHash of the key with the template's seed, modulo the number of shards.
ShardNumber shard_of_key(std::string_view key, const config::ServiceTemplate& parameters);

class RoutingTable {
 public:
  /// Applies an update that starts at or before the current index and ends after it.
  /// @return true if the update was applied, false if it is late, repeated or leaves a gap.
  bool apply(const TableUpdate& update);

  LogIndex index() const { return index_; }
  /// @return the service, or nullptr.
  const TableService* find_service(const common::ServiceKey& key) const;
  const TableService* find_service(ServiceId id) const;
  const BackendRoute* find_backend(BackendId id) const;
  const std::unordered_map<BackendId, BackendRoute>& backends() const { return backends_; }
  /// Revision of each tenant that is or was declared.
  const std::map<common::TenantName, common::Revision>& tenants() const { return tenants_; }
  const RouteTable& routes() const { return routes_; }
  /// @return the service of the route configuration that the back end belongs to, or nullptr.
  const RoutedTableService* routed_service_of(const BackendRoute& backend) const {
    return routes_.find_service(common::ServiceName(backend.pool.value));
  }
  /// Zones whose back ends get no requests.
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

#include "routing/table.hpp"

#include <string>

#include "common/hash.hpp"

namespace planktray::routing {

bool TableDelta::empty() const {
  return backends.empty() && removed_backends.empty() && services.empty() &&
         removed_services.empty() && shards.empty() && tenants.empty() && routes.empty() &&
         removed_routes.empty() && routed_services.empty() && removed_routed_services.empty() &&
         ranges.empty() && limits.empty() && routes_version == 0 && zones.empty() && warmth.empty();
}

std::uint64_t digest_of(const std::vector<RelayPeer>& peers) {
  constexpr std::uint64_t kSeed = 0;
  return peers.empty() ? 0 : common::hash_bytes(common::encode(peers), kSeed);
}

ShardNumber shard_of_key(std::string_view key, const config::ServiceTemplate& parameters) {
  return ShardNumber(static_cast<std::uint32_t>(common::hash_bytes(key, parameters.hash_seed) %
                                                parameters.shards));
}

std::size_t RoutingTable::KeyHash::operator()(const common::ServiceKey& key) const noexcept {
  const std::hash<std::string> hash;
  return hash(key.tenant.value) * 31 + hash(key.service.value);
}

bool RoutingTable::apply(const TableUpdate& update) {
  if (update.current_index <= index_ || update.base_index > index_) {
    return false;
  }
  for (const TableDelta& delta : update.deltas) {
    if (delta.to > index_) {
      install(delta);
    }
  }
  index_ = update.current_index;
  return true;
}

void RoutingTable::install(const TableDelta& delta) {
  if (delta.is_snapshot) {
    backends_.clear();
    services_.clear();
    service_ids_.clear();
    tenants_.clear();
    evacuated_zones_.clear();
  }
  for (const BackendRoute& backend : delta.backends) {
    backends_[backend.id] = backend;
  }
  for (const ServiceId id : delta.removed_services) {
    const auto found = services_.find(id);
    if (found != services_.end()) {
      service_ids_.erase(found->second.route.config.key);
      services_.erase(found);
    }
  }
  for (const ServiceRoute& service : delta.services) {
    put_service(service);
  }
  for (const ShardRoute& shard : delta.shards) {
    const auto found = services_.find(shard.service);
    if (found != services_.end() && shard.shard.value < found->second.shards.size()) {
      found->second.shards[shard.shard.value] = {shard.owner, shard.epoch, shard.moving};
    }
  }
  for (const BackendId id : delta.removed_backends) {
    backends_.erase(id);
  }
  for (const ZoneRoute& zone : delta.zones) {
    install_zone(zone);
  }
  for (const WarmthRoute& warmth : delta.warmth) {
    const auto found = backends_.find(warmth.backend);
    if (found != backends_.end()) {
      found->second.cold = warmth.cold;
    }
  }
  for (const TenantRevision& tenant : delta.tenants) {
    tenants_[tenant.tenant] = tenant.revision;
  }
  routes_.install(delta, backends_);
}

void RoutingTable::install_zone(const ZoneRoute& zone) {
  if (zone.evacuated) {
    evacuated_zones_.insert(zone.zone);
    return;
  }
  if (evacuated_zones_.erase(zone.zone) == 0) {
    return;
  }
  for (auto& [id, backend] : backends_) {
    backend.cold = backend.cold || (backend.self_registered && backend.zone == zone.zone);
  }
}

void RoutingTable::put_service(const ServiceRoute& route) {
  TableService& service = services_[route.id];
  service.route = route;
  const auto& parameters = route.config.parameters;
  service.shards.resize(parameters.keyed ? parameters.shards : 0);
  service_ids_[route.config.key] = route.id;
}

const TableService* RoutingTable::find_service(const common::ServiceKey& key) const {
  const auto found = service_ids_.find(key);
  return found == service_ids_.end() ? nullptr : find_service(found->second);
}

const TableService* RoutingTable::find_service(ServiceId id) const {
  const auto found = services_.find(id);
  return found == services_.end() ? nullptr : &found->second;
}

const BackendRoute* RoutingTable::find_backend(BackendId id) const {
  const auto found = backends_.find(id);
  return found == backends_.end() ? nullptr : &found->second;
}

}  // namespace planktray::routing

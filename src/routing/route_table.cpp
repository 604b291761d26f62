#include "routing/route_table.hpp"

#include <algorithm>
#include <cctype>
#include <iterator>

namespace planktray::routing {
namespace {

/// The host in lower case and without a port, for comparison.
std::string normalized_host(std::string_view host) {
  const auto colon = host.rfind(':');
  std::string normalized(host.substr(0, colon));
  std::transform(normalized.begin(), normalized.end(), normalized.begin(),
                 [](unsigned char letter) { return static_cast<char>(std::tolower(letter)); });
  return normalized;
}

}  // namespace

void KeyOwners::split_at(std::uint32_t first) {
  auto found = ranges_.upper_bound(first);
  if (found == ranges_.begin()) {
    return;
  }
  found = std::prev(found);
  if (found->first < first && found->second.last >= first) {
    ranges_[first] = found->second;
    found->second.last = first - 1;
  }
}

void KeyOwners::put(std::uint32_t first, std::uint32_t last, BackendId owner) {
  split_at(first);
  if (last + 1 < config::kKeyCount) {
    split_at(last + 1);
  }
  ranges_.erase(ranges_.lower_bound(first), ranges_.upper_bound(last));
  ranges_[first] = {last, owner};
}

BackendId KeyOwners::owner_of(std::uint32_t key) const {
  const auto found = ranges_.upper_bound(key);
  if (found == ranges_.begin()) {
    return BackendId();
  }
  const auto& [first, range] = *std::prev(found);
  return key <= range.last ? range.owner : BackendId();
}

void RouteTable::install(const TableDelta& delta,
                         const std::unordered_map<BackendId, BackendRoute>& backends) {
  if (delta.is_snapshot) {
    *this = RouteTable();
  }
  for (const std::string& name : delta.removed_routes) {
    remove_route(name);
  }
  for (const config::Route& route : delta.routes) {
    remove_route(route.name);
    put_route(route);
  }
  for (const ServiceId id : delta.removed_routed_services) {
    const auto found = services_.find(id);
    if (found != services_.end()) {
      service_ids_.erase(found->second.route.config.name.value);
      services_.erase(found);
      owners_.erase(id);
    }
  }
  for (const RoutedServiceRoute& service : delta.routed_services) {
    services_[service.id].route = service;
    service_ids_[service.config.name.value] = service.id;
  }
  for (const KeyRangeRoute& range : delta.ranges) {
    if (services_.contains(range.service)) {
      owners_[range.service].put(range.first, range.last, range.owner);
    }
  }
  if (!delta.limits.empty()) {
    limits_ = delta.limits.front();
  }
  version_ = std::max(version_, delta.routes_version);
  if (delta.is_snapshot || !delta.routed_services.empty()) {
    update_targets(backends);
  } else {
    update_changed_targets(delta);
  }
  const bool routes_changed = delta.is_snapshot || !delta.routes.empty() ||
                              !delta.removed_routes.empty() || !delta.routed_services.empty();
  if (routes_changed) {
    update_shortest_objectives();
  }
}

void RouteTable::update_shortest_objectives() {
  for (auto& [id, service] : services_) {
    service.shortest_objective.reset();
  }
  for (const auto& [name, route] : routes_) {
    const std::uint32_t deadline_ms =
        route.objective_ms > 0 ? route.objective_ms : route.timeout_ms;
    if (deadline_ms == 0) {
      continue;
    }
    const common::Duration deadline = std::chrono::milliseconds(deadline_ms);
    for (const config::RoutePart& part : route.parts) {
      const auto service = service_ids_.find(part.service.value);
      if (service != service_ids_.end()) {
        auto& shortest = services_.at(service->second).shortest_objective;
        shortest = std::min(shortest.value_or(deadline), deadline);
      }
    }
  }
}

void RouteTable::remove_route(const std::string& name) {
  const auto found = routes_.find(name);
  if (found == routes_.end()) {
    return;
  }
  const auto host = by_host_.find(normalized_host(found->second.host));
  const auto prefix = host->second.find(found->second.path_prefix);
  prefix->second.erase(name);
  if (prefix->second.empty()) {
    host->second.erase(prefix);
  }
  if (host->second.empty()) {
    by_host_.erase(host);
  }
  routes_.erase(found);
}

void RouteTable::put_route(const config::Route& route) {
  routes_[route.name] = route;
  by_host_[normalized_host(route.host)][route.path_prefix].insert(route.name);
}

void RouteTable::update_targets(const std::unordered_map<BackendId, BackendRoute>& backends) {
  for (auto& [id, service] : services_) {
    service.targets.clear();
  }
  for (const auto& [id, backend] : backends) {
    const auto service = service_ids_.find(backend.pool.value);
    if (backend.self_registered && service != service_ids_.end()) {
      services_.at(service->second).targets.push_back(id);
    }
  }
  for (auto& [id, service] : services_) {
    std::sort(service.targets.begin(), service.targets.end());
  }
}

void RouteTable::update_changed_targets(const TableDelta& delta) {
  for (const BackendRoute& backend : delta.backends) {
    const auto service = service_ids_.find(backend.pool.value);
    if (!backend.self_registered || service == service_ids_.end()) {
      continue;
    }
    std::vector<BackendId>& targets = services_.at(service->second).targets;
    const auto place = std::lower_bound(targets.begin(), targets.end(), backend.id);
    if (place == targets.end() || *place != backend.id) {
      targets.insert(place, backend.id);
    }
  }
  for (const BackendId removed : delta.removed_backends) {
    for (auto& [id, service] : services_) {
      const auto place = std::lower_bound(service.targets.begin(), service.targets.end(), removed);
      if (place != service.targets.end() && *place == removed) {
        service.targets.erase(place);
      }
    }
  }
}

const config::Route* RouteTable::find(std::string_view host, std::string_view path) const {
  const auto prefixes = by_host_.find(normalized_host(host));
  if (prefixes == by_host_.end()) {
    return nullptr;
  }
  // Prefixes end with a slash, so the candidates are the substrings of the path up to each slash,
  // longest first.
  for (auto slash = path.rfind('/'); slash != std::string_view::npos;
       slash = slash == 0 ? std::string_view::npos : path.rfind('/', slash - 1)) {
    const auto found = prefixes->second.find(path.substr(0, slash + 1));
    if (found != prefixes->second.end()) {
      return &routes_.at(*found->second.begin());
    }
  }
  return nullptr;
}

const RoutedTableService* RouteTable::find_service(const common::ServiceName& name) const {
  const auto found = service_ids_.find(name.value);
  return found == service_ids_.end() ? nullptr : &services_.at(found->second);
}

const RoutedTableService* RouteTable::find_service(ServiceId id) const {
  const auto found = services_.find(id);
  return found == services_.end() ? nullptr : &found->second;
}

BackendId RouteTable::owner_of(ServiceId service, std::uint32_t key) const {
  const auto found = owners_.find(service);
  return found == owners_.end() ? BackendId() : found->second.owner_of(key);
}

}  // namespace planktray::routing

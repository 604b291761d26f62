#include "ownership/owner_limit.hpp"

#include <algorithm>

namespace planktray::ownership {
namespace {

/// Returns the owners of the service's keys, and the next owners of keys that are moving.
std::set<BackendId> owners_of(const RoutedServiceRecord& service) {
  std::set<BackendId> owners;
  for (const auto& [first, range] : service.ranges.records()) {
    owners.insert(range.moving ? range.move_to : range.owner);
  }
  return owners;
}

}  // namespace

OwnerLimit::OwnerLimit(const CellState& state, std::size_t maximum,
                       const Eligibility& is_eligible) {
  if (state.backends().size() <= maximum) {
    return;
  }
  for (const auto& [id, service] : state.routed_services()) {
    if (!service.retired && !service.ranges.records().empty()) {
      services_[common::PoolName(service.config.name.value)];
    }
  }
  std::size_t targets = 0;
  for (const auto& [id, backend] : state.backends()) {
    const auto service = services_.find(backend.pool);
    if (service != services_.end() && is_eligible(backend)) {
      service->second.eligible.push_back(id);
      ++targets;
    }
  }
  if (targets <= maximum) {
    services_.clear();
    return;
  }
  for (const auto& [id, record] : state.routed_services()) {
    const auto service = services_.find(common::PoolName(record.config.name.value));
    if (service != services_.end()) {
      service->second.maximum =
          std::max<std::size_t>(1, maximum * service->second.eligible.size() / targets);
      admit(service->second, owners_of(record));
    }
  }
}

void OwnerLimit::admit(Service& service, const std::set<BackendId>& owners) {
  for (const BackendId id : service.eligible) {
    if (owners.contains(id)) {
      service.admitted.insert(id);
    }
  }
  for (auto next = service.eligible.rbegin();
       next != service.eligible.rend() && service.admitted.size() < service.maximum; ++next) {
    service.admitted.insert(*next);
  }
}

bool OwnerLimit::admits(const BackendRecord& backend) const {
  const auto service = services_.find(backend.pool);
  return service == services_.end() || service->second.admitted.contains(backend.id);
}

bool OwnerLimit::is_reached(const common::PoolName& service) const {
  return services_.contains(service);
}

}  // namespace planktray::ownership

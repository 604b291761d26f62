/// The route configuration in CellState, and the key ranges of its services.

#include <iterator>
#include <utility>

#include "ownership/cell_state.hpp"

namespace planktray::ownership {
namespace {

/// Departed incarnations that are remembered, so that a late heartbeat does not register them
/// again.
constexpr std::size_t kRememberedDepartures = 4096;

/// Routers do not need the source document.
config::Route without_document(config::Route route) {
  route.document.clear();
  return route;
}

routing::RoutedServiceRoute service_route_of(const RoutedServiceRecord& record) {
  routing::RoutedServiceRoute route{record.id, record.config};
  route.config.document.clear();
  return route;
}

routing::KeyRangeRoute range_route(ServiceId service, const RangeRecord& record) {
  const BackendId owner = record.moving ? BackendId() : record.owner;
  return {service, record.keys.first, record.keys.last, owner};
}

config::RequestLimits without_document(config::RequestLimits limits) {
  limits.document.clear();
  return limits;
}

}  // namespace

const RoutedServiceRecord* CellState::find_routed_service(const std::string& name) const {
  const auto found = routed_ids_.find(name);
  return found == routed_ids_.end() ? nullptr : &routed_services_.at(found->second);
}

const RangeRecord* CellState::find_range(ServiceId service, const KeyRange& keys,
                                         Epoch fence) const {
  const auto found = routed_services_.find(service);
  if (found == routed_services_.end() || found->second.ranges.records().empty()) {
    return nullptr;
  }
  const RangeRecord& record = found->second.ranges.record_of(keys.first);
  return record.keys == keys && record.fence == fence ? &record : nullptr;
}

const BackendRecord* CellState::find_incarnation(const common::Incarnation& incarnation) const {
  const auto found = incarnations_.find(incarnation);
  return found == incarnations_.end() ? nullptr : find_backend(found->second);
}

void CellState::insert_backend(BackendRecord record) {
  incarnations_[record.incarnation] = record.id;
  backends_by_address_.emplace(record.address, record.id);
  note_address_use(record.address);
  backends_[record.id] = std::move(record);
}

bool CellState::erase_backend(BackendId id) {
  const auto found = backends_.find(id);
  if (found == backends_.end()) {
    return false;
  }
  const auto incarnation = incarnations_.find(found->second.incarnation);
  if (incarnation != incarnations_.end() && incarnation->second == id) {
    incarnations_.erase(incarnation);
  }
  const bool has_left = found->second.leaving && found->second.has_fenced_grants();
  if (found->second.ended || has_left) {
    // A late heartbeat must not register it again.
    remember_departure(found->second.incarnation);
  }
  backends_by_address_.erase({found->second.address, id});
  note_address_use(found->second.address);
  backends_.erase(found);
  return true;
}

void CellState::note_address_use(const std::string& address) {
  const auto first = backends_by_address_.lower_bound({address, BackendId()});
  const bool is_used = first != backends_by_address_.end() && first->first == address;
  const auto second = is_used ? std::next(first) : first;
  if (is_used && second != backends_by_address_.end() && second->first == address) {
    shared_addresses_.insert(address);
  } else {
    shared_addresses_.erase(address);
  }
}

bool CellState::has_departed(const common::Incarnation& incarnation) const {
  return departed_set_.contains(incarnation);
}

void CellState::remember_departure(const common::Incarnation& incarnation) {
  if (!departed_set_.insert(incarnation).second) {
    return;
  }
  departed_.push_back(incarnation);
  if (departed_.size() > kRememberedDepartures) {
    departed_set_.erase(departed_.front());
    departed_.pop_front();
  }
}

std::vector<BackendId> CellState::candidates_at(const std::string& address) const {
  std::vector<BackendId> candidates;
  for (auto next = backends_by_address_.lower_bound({address, BackendId()});
       next != backends_by_address_.end() && next->first == address; ++next) {
    const BackendRecord& backend = backends_.at(next->second);
    if (backend.has_fenced_grants() && !backend.ended) {
      candidates.push_back(backend.id);
    }
  }
  return candidates;
}

void CellState::apply_command(LogIndex index, const ChangeRoutes& command, ApplyResult& result) {
  const config::RouteChange& change = command.change;
  ChangeAnswer answer;
  answer.index = index;
  answer.revision = common::Revision(routes_.version);
  const auto accepted = taken_changes_.find(change.version);
  if (accepted != taken_changes_.end() && accepted->second == change.digest) {
    result.answer = answer;  // a resend of an accepted change
    return;
  }
  if (change.base_version != routes_.version) {
    answer.status = static_cast<std::uint8_t>(ChangeStatus::kConflict);
    answer.message = "the current version is " + std::to_string(routes_.version);
    result.answer = answer;
    return;
  }
  auto next = config::apply_change(routes_, change);
  if (!next.has_value()) {
    answer.status = static_cast<std::uint8_t>(ChangeStatus::kInvalid);
    answer.message = next.error().message;
    result.answer = answer;
    return;
  }
  taken_changes_[change.version] = change.digest;
  adopt_routes(index, std::move(*next), result);
  answer.revision = common::Revision(routes_.version);
  result.answer = answer;
}

void CellState::adopt_routes(LogIndex index, config::RouteConfiguration next, ApplyResult& result) {
  routing::TableDelta& delta = result.delta;
  for (const auto& [name, route] : routes_.routes) {
    if (!next.routes.contains(name)) {
      delta.removed_routes.push_back(name);
    }
  }
  for (const auto& [name, route] : next.routes) {
    const auto current = routes_.routes.find(name);
    if (current == routes_.routes.end() || current->second != route) {
      delta.routes.push_back(without_document(route));
    }
  }
  for (const auto& [name, service] : next.services) {
    put_routed_service(index, service, result);
  }
  for (auto& [id, record] : routed_services_) {
    if (!next.services.contains(record.config.name.value) && !record.retired) {
      record.retired = true;
      delta.removed_routed_services.push_back(id);
    }
  }
  if (next.limits != routes_.limits) {
    delta.limits.push_back(without_document(next.limits));
  }
  delta.routes_version = next.version;
  routes_ = std::move(next);
}

void CellState::put_routed_service(LogIndex index, const config::RoutedService& service,
                                   ApplyResult& result) {
  ServiceId& id = routed_ids_[service.name.value];
  const bool is_new = id.value == 0;
  if (is_new) {
    id = ServiceId(next_service_++);
  }
  RoutedServiceRecord& record = routed_services_[id];
  const bool reappears = is_new || record.retired;
  const bool changed = record.config != service;
  if (!reappears && !changed) {
    return;
  }
  record.id = id;
  record.config = service;
  record.retired = false;
  if (service.keyed && record.ranges.records().empty()) {
    record.ranges = KeyRangeMap(Epoch(index.value));
  }
  result.delta.routed_services.push_back(service_route_of(record));
  for (const auto& [first, range] : record.ranges.records()) {
    result.delta.ranges.push_back(range_route(id, range));
  }
}

void CellState::apply_command(LogIndex index, const ApplyRangePlan& plan, ApplyResult& result) {
  for (const RangeMove& move : plan.moves) {
    const auto service = routed_services_.find(move.service);
    if (service != routed_services_.end() &&
        service->second.ranges.begin_move(index, move.keys, move.expected_fence, move.to)) {
      result.delta.ranges.push_back({move.service, move.keys.first, move.keys.last, BackendId()});
    }
  }
  for (const RangeAssignment& assignment : plan.assignments) {
    const auto service = routed_services_.find(assignment.service);
    const bool owner_known = assignment.owner.value == 0 || backends_.contains(assignment.owner);
    if (service != routed_services_.end() && owner_known &&
        service->second.ranges.assign(index, assignment.keys, assignment.expected_fence,
                                      assignment.owner, assignment.handover)) {
      result.delta.ranges.push_back(
          {assignment.service, assignment.keys.first, assignment.keys.last, assignment.owner});
    }
  }
  for (const RangeJoin& join : plan.joins) {
    const auto service = routed_services_.find(join.service);
    if (service != routed_services_.end()) {
      service->second.ranges.join(index, join.keys, join.owner);  // routers see the same owner
    }
  }
  for (const BackendId id : plan.removed) {
    if (!owns_keys(id) && erase_backend(id)) {
      result.delta.removed_backends.push_back(id);
    }
  }
}

bool CellState::owns_keys(BackendId id) const {
  for (const auto& [service_id, service] : routed_services_) {
    for (const auto& [first, range] : service.ranges.records()) {
      if (range.owner == id) {
        return true;
      }
    }
  }
  return false;
}

void CellState::add_routes_snapshot(routing::TableDelta& table) const {
  for (const auto& [name, route] : routes_.routes) {
    table.routes.push_back(without_document(route));
  }
  for (const auto& [id, service] : routed_services_) {
    if (service.retired) {
      continue;
    }
    table.routed_services.push_back(service_route_of(service));
    for (const auto& [first, range] : service.ranges.records()) {
      table.ranges.push_back(range_route(id, range));
    }
  }
  table.limits.push_back(without_document(routes_.limits));
  table.routes_version = routes_.version;
}

}  // namespace planktray::ownership

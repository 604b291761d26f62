#include "ownership/cell_state.hpp"

#include <algorithm>
#include <array>
#include <charconv>
#include <utility>

#include "common/hash.hpp"

namespace planktray::ownership {
namespace {

constexpr std::uint64_t kDigestSeed = 0x6772616e74;

/// Encoded form of the whole state. The names of its fields are part of the stored format.
struct SnapshotForm {
  LogIndex applied;
  std::map<std::string, DeclarationRecord> templates;
  std::map<std::string, DeclarationRecord> tenants;
  std::vector<std::pair<common::ChangeId, ChangeAnswer>> answers;
  std::vector<BackendRecord> backends;
  std::vector<common::MachineName> drained;
  std::vector<ServiceRecord> services;
  std::uint64_t next_service = 1;
  config::RouteConfiguration routes;
  std::map<std::uint64_t, std::uint64_t> taken_changes;
  std::vector<RoutedServiceRecord> routed_services;
  std::vector<common::Incarnation> departed;
  GrantTerms grant_terms;
  std::vector<common::ZoneName> evacuated_zones;
  MSGPACK_DEFINE_MAP(applied, templates, tenants, answers, backends, drained, services,
                     next_service, routes, taken_changes, routed_services, departed, grant_terms,
                     evacuated_zones)
};

std::string digest_of(const std::vector<Grant>& grants) {
  std::string bytes;
  for (const Grant& grant : grants) {
    bytes += grant.service.tenant.value + "/" + grant.service.service.value + "/" +
             std::to_string(grant.first.value) + "-" + std::to_string(grant.last.value) + "@" +
             std::to_string(grant.epoch.value) + ";";
  }
  std::array<char, 17> text{};
  const auto end = std::to_chars(text.data(), text.data() + text.size(),
                                 common::hash_bytes(bytes, kDigestSeed), 16);
  return std::string(text.data(), end.ptr);
}

}  // namespace

ApplyResult CellState::apply(LogIndex index, const Command& command) {
  ApplyResult result;
  result.delta.from = applied_;
  result.delta.to = index;
  std::visit([&](const auto& alternative) { apply_command(index, alternative, result); },
             command.value);
  applied_ = index;
  // Reports of back ends about themselves change no owner. Under churn they are most of the log.
  const bool is_backend_report = std::holds_alternative<RegisterBackend>(command.value) ||
                                 std::holds_alternative<MarkLeaving>(command.value) ||
                                 std::holds_alternative<SetWarmth>(command.value);
  if (!is_backend_report) {
    ownership_changed_ = index;
  }
  return result;
}

// ---------------------------------------------------------------- back ends

const BackendRecord* CellState::find_backend(BackendId id) const {
  const auto found = backends_.find(id);
  return found == backends_.end() ? nullptr : &found->second;
}

const ServiceRecord* CellState::find_service(const common::ServiceKey& key) const {
  const auto found = service_ids_.find(key);
  return found == service_ids_.end() ? nullptr : &services_.at(found->second);
}

bool CellState::is_draining(const BackendRecord& backend) const {
  return backend.leaving || drained_.contains(backend.machine);
}

void CellState::apply_command(LogIndex index, const RegisterBackend& command, ApplyResult& result) {
  const BackendRecord* known = find_incarnation(command.incarnation);
  if (known != nullptr && known->machine == command.machine) {
    // An earlier registration was still in flight when this one was proposed.
    if (command.leaving && !known->leaving) {
      apply_command(index, MarkLeaving{known->id, true}, result);
    }
    return;
  }
  if (has_departed(command.incarnation)) {
    return;
  }
  BackendRecord record;
  record.id = BackendId(index.value);
  record.machine = command.machine;
  record.address = command.address;
  record.zone = command.zone;
  record.pool = command.pool;
  record.incarnation = command.incarnation;
  record.grants_index = index;
  record.contract = command.contract;
  record.slots = command.slots;
  record.cold = command.cold;
  record.leaving = command.leaving;
  result.delta.backends.push_back(backend_route(record));
  insert_backend(std::move(record));
}

void CellState::apply_command(LogIndex /*index*/, const DrainMachine& command,
                              ApplyResult& result) {
  if (command.draining) {
    drained_.insert(command.machine);
  } else {
    drained_.erase(command.machine);
  }
  for (const auto& [id, backend] : backends_) {
    if (backend.machine == command.machine) {
      result.delta.backends.push_back(backend_route(backend));
    }
  }
}

void CellState::apply_command(LogIndex /*index*/, const MarkLeaving& command, ApplyResult& result) {
  if (command.departed && !command.incarnation.value.empty()) {
    remember_departure(command.incarnation);
  }
  // Its registration may have been in flight when it deregistered.
  const BackendRecord* named = find_incarnation(command.incarnation);
  const auto found = backends_.find(named == nullptr ? command.backend : named->id);
  if (found == backends_.end()) {
    return;
  }
  BackendRecord& backend = found->second;
  backend.leaving = command.leaving;
  backend.ended = backend.ended || command.ended;
  if (command.departed) {
    backend.departed = true;
    remember_departure(backend.incarnation);
  }
  result.delta.backends.push_back(backend_route(backend));
}

void CellState::apply_command(LogIndex /*index*/, const SetGrantTerms& command,
                              ApplyResult& /*result*/) {
  grant_terms_ = command.terms;
}

void CellState::apply_command(LogIndex /*index*/, const EvacuateZone& command,
                              ApplyResult& result) {
  const bool changed = command.evacuated ? evacuated_zones_.insert(command.zone).second
                                         : evacuated_zones_.erase(command.zone) > 0;
  if (!changed) {
    return;
  }
  result.delta.zones.push_back({command.zone, command.evacuated});
  if (command.evacuated) {
    return;
  }
  for (auto& [id, backend] : backends_) {
    // Routers derive the same from the change of the zone.
    backend.cold = backend.cold || (backend.has_fenced_grants() && backend.zone == command.zone);
  }
}

void CellState::apply_command(LogIndex /*index*/, const SetWarmth& command, ApplyResult& result) {
  for (const BackendId id : command.cooled) {
    set_warmth(id, true, result);
  }
  for (const BackendId id : command.warmed) {
    set_warmth(id, false, result);
  }
}

void CellState::set_warmth(BackendId id, bool cold, ApplyResult& result) {
  const auto found = backends_.find(id);
  if (found != backends_.end() && found->second.cold != cold) {
    found->second.cold = cold;
    result.delta.warmth.push_back({id, cold});
  }
}

void CellState::apply_command(LogIndex index, const ApplyPlan& plan, ApplyResult& result) {
  for (const BackendId id : plan.lost) {
    lose_backend(index, id, result);
  }
  for (const TargetSet& set : plan.targets) {
    const auto service = services_.find(set.service);
    if (service == services_.end() || service->second.retired) {
      continue;
    }
    service->second.targets.clear();
    std::copy_if(set.targets.begin(), set.targets.end(),
                 std::back_inserter(service->second.targets),
                 [this](BackendId id) { return backends_.contains(id); });
    result.delta.services.push_back(service_route(service->second));
  }
  for (const ShardAssignment& assignment : plan.assignments) {
    assign(index, assignment, result);
  }
  for (const MoveIntent& move : plan.moves) {
    begin_move(move, result);
  }
}

void CellState::lose_backend(LogIndex index, BackendId id, ApplyResult& result) {
  const auto found = backends_.find(id);
  if (found == backends_.end()) {
    return;
  }
  const std::set<common::ShardRef> shards = found->second.shards;
  std::set<ServiceId> retired;
  for (const common::ShardRef& ref : shards) {
    ShardRecord& record = *mutable_shard(ref);
    set_owner(index, ref, record, BackendId());
    if (services_.at(ref.service).retired) {
      retired.insert(ref.service);
    } else {
      result.delta.shards.push_back(shard_route(ref.service, ref.shard, record));
    }
  }
  for (auto& [service_id, service] : services_) {
    if (std::erase(service.targets, id) > 0) {
      result.delta.services.push_back(service_route(service));
    }
  }
  erase_backend(id);
  result.delta.removed_backends.push_back(id);
  for (const ServiceId service : retired) {
    erase_if_released(service);
  }
}

const ShardRecord* CellState::find_shard(const common::ShardRef& ref) const {
  const auto found = services_.find(ref.service);
  if (found == services_.end() || ref.shard.value >= found->second.shards.size()) {
    return nullptr;
  }
  return &found->second.shards[ref.shard.value];
}

ShardRecord* CellState::mutable_shard(const common::ShardRef& ref) {
  return const_cast<ShardRecord*>(find_shard(ref));
}

void CellState::set_owner(LogIndex index, common::ShardRef ref, ShardRecord& record,
                          BackendId owner) {
  const auto before = backends_.find(record.owner);
  if (before != backends_.end()) {
    before->second.shards.erase(ref);
    before->second.grants_index = index;
  }
  const auto after = backends_.find(owner);
  if (after != backends_.end()) {
    after->second.shards.insert(ref);
    after->second.grants_index = index;
  }
  moving_.erase(ref);
  record.owner = owner;
  record.moving = false;
  record.move_to = BackendId();
}

void CellState::assign(LogIndex index, const ShardAssignment& assignment, ApplyResult& result) {
  ShardRecord* record = mutable_shard({assignment.service, assignment.shard});
  const bool owner_known = assignment.owner.value == 0 || backends_.contains(assignment.owner);
  if (record == nullptr || record->epoch != assignment.expected_epoch || !owner_known) {
    return;
  }
  set_owner(index, {assignment.service, assignment.shard}, *record, assignment.owner);
  record->epoch = Epoch(index.value);
  if (!services_.at(assignment.service).retired) {
    result.delta.shards.push_back(shard_route(assignment.service, assignment.shard, *record));
  }
  erase_if_released(assignment.service);
}

void CellState::begin_move(const MoveIntent& move, ApplyResult& result) {
  ShardRecord* record = mutable_shard({move.service, move.shard});
  if (record == nullptr || record->epoch != move.expected_epoch || record->moving ||
      record->owner.value == 0) {
    return;
  }
  moving_.insert({move.service, move.shard});
  record->moving = true;
  record->move_to = move.to;
  if (!services_.at(move.service).retired) {
    result.delta.shards.push_back(shard_route(move.service, move.shard, *record));
  }
}

GrantSet CellState::grants_of(BackendId id) const {
  GrantSet set;
  const BackendRecord* backend = find_backend(id);
  if (backend == nullptr) {
    return set;
  }
  set.index = backend->grants_index;
  for (const common::ShardRef& ref : backend->shards) {
    const ServiceRecord& service = services_.at(ref.service);
    const Epoch epoch = service.shards[ref.shard.value].epoch;
    const bool continues = !set.grants.empty() && set.grants.back().service == service.config.key &&
                           set.grants.back().epoch == epoch &&
                           set.grants.back().last.value + 1 == ref.shard.value;
    if (continues) {
      set.grants.back().last = ref.shard;
    } else {
      set.grants.push_back({service.config.key, ref.shard, ref.shard, epoch});
    }
  }
  set.digest = digest_of(set.grants);
  return set;
}

// ---------------------------------------------------------------- routing table and snapshot

routing::BackendRoute CellState::backend_route(const BackendRecord& backend) const {
  return {backend.id,          backend.machine,
          backend.address,     backend.zone,
          backend.incarnation, is_draining(backend),
          backend.pool,        backend.slots,
          backend.cold,        backend.has_fenced_grants(),
          backend.ended};
}

routing::ServiceRoute CellState::service_route(const ServiceRecord& service) {
  return {service.id, service.config, service.targets};
}

routing::ShardRoute CellState::shard_route(ServiceId service, ShardNumber shard,
                                           const ShardRecord& record) {
  return {service, shard, record.owner, record.epoch, record.moving};
}

routing::TableDelta CellState::table_snapshot() const {
  routing::TableDelta table;
  table.is_snapshot = true;
  table.to = applied_;
  for (const auto& [id, backend] : backends_) {
    table.backends.push_back(backend_route(backend));
  }
  for (const common::ZoneName& zone : evacuated_zones_) {
    table.zones.push_back({zone, true});
  }
  for (const auto& [id, service] : services_) {
    if (service.retired) {
      continue;
    }
    table.services.push_back(service_route(service));
    for (std::uint32_t i = 0; i < service.shards.size(); ++i) {
      table.shards.push_back(shard_route(id, ShardNumber(i), service.shards[i]));
    }
  }
  for (const auto& [name, record] : tenants_) {
    table.tenants.push_back({common::TenantName(name), record.revision});
  }
  add_routes_snapshot(table);
  return table;
}

std::string CellState::encode_snapshot() const {
  SnapshotForm form;
  form.applied = applied_;
  form.templates = templates_;
  form.tenants = tenants_;
  for (const common::ChangeId& id : answer_order_) {
    form.answers.emplace_back(id, answers_.at(id));
  }
  for (const auto& [id, backend] : backends_) {
    form.backends.push_back(backend);
  }
  form.drained.assign(drained_.begin(), drained_.end());
  for (const auto& [id, service] : services_) {
    form.services.push_back(service);
  }
  form.next_service = next_service_;
  form.routes = routes_;
  form.taken_changes = taken_changes_;
  for (const auto& [id, service] : routed_services_) {
    form.routed_services.push_back(service);
  }
  form.departed.assign(departed_.begin(), departed_.end());
  form.grant_terms = grant_terms_;
  form.evacuated_zones.assign(evacuated_zones_.begin(), evacuated_zones_.end());
  return common::encode(form);
}

common::Result<CellState> CellState::decode_snapshot(const std::string& bytes) {
  auto form = common::decode<SnapshotForm>(bytes, "read state snapshot", "");
  if (!form) {
    return tl::unexpected(form.error());
  }
  CellState state;
  state.applied_ = form->applied;
  state.ownership_changed_ = form->applied;
  state.templates_ = std::move(form->templates);
  state.tenants_ = std::move(form->tenants);
  for (auto& [id, answer] : form->answers) {
    state.remember_answer(id, answer);
  }
  for (BackendRecord& backend : form->backends) {
    state.insert_backend(std::move(backend));
  }
  state.drained_ = {form->drained.begin(), form->drained.end()};
  for (ServiceRecord& service : form->services) {
    for (std::uint32_t i = 0; i < service.shards.size(); ++i) {
      const auto owner = state.backends_.find(service.shards[i].owner);
      if (owner != state.backends_.end()) {
        owner->second.shards.insert({service.id, ShardNumber(i)});
      }
      if (service.shards[i].moving) {
        state.moving_.insert({service.id, ShardNumber(i)});
      }
    }
    state.service_ids_[service.config.key] = service.id;
    state.services_[service.id] = std::move(service);
  }
  state.next_service_ = form->next_service;
  state.grant_terms_ = form->grant_terms;
  state.evacuated_zones_ = {form->evacuated_zones.begin(), form->evacuated_zones.end()};
  state.routes_ = std::move(form->routes);
  state.taken_changes_ = std::move(form->taken_changes);
  for (RoutedServiceRecord& service : form->routed_services) {
    state.routed_ids_[service.config.name.value] = service.id;
    state.routed_services_[service.id] = std::move(service);
  }
  for (const common::Incarnation& incarnation : form->departed) {
    state.remember_departure(incarnation);
  }
  return state;
}

}  // namespace planktray::ownership

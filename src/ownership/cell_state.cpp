#include "ownership/cell_state.hpp"

#include <algorithm>
#include <array>
#include <charconv>
#include <utility>

#include "common/hash.hpp"

namespace planktray::ownership {
namespace {

/// Answers kept for resends: about two days at the design size of 4,600 changes a day.
constexpr std::size_t kRememberedAnswers = 10'000;
constexpr std::uint64_t kDigestSeed = 0x6772616e74;

/// Encoded form of the whole state.
struct SnapshotForm {
  LogIndex applied;
  std::map<std::string, DeclarationRecord> templates;
  std::map<std::string, DeclarationRecord> tenants;
  std::vector<std::pair<common::ChangeId, ChangeAnswer>> answers;
  std::vector<BackendRecord> backends;
  std::vector<common::MachineName> drained;
  std::vector<ServiceRecord> services;
  std::uint64_t next_service = 1;
  MSGPACK_DEFINE_MAP(applied, templates, tenants, answers, backends, drained, services,
                     next_service)
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

bool keeps_shards(const config::ServiceTemplate& before, const config::ServiceTemplate& after) {
  return before.keyed == after.keyed && before.shards == after.shards &&
         before.hash_seed == after.hash_seed;
}

}  // namespace

ApplyResult CellState::apply(LogIndex index, const Command& command) {
  ApplyResult result;
  result.delta.from = applied_;
  result.delta.to = index;
  std::visit([&](const auto& alternative) { apply_command(index, alternative, result); },
             command.value);
  applied_ = index;
  return result;
}

// ---------------------------------------------------------------- declarations

const std::map<std::string, DeclarationRecord>& CellState::declarations(
    DeclarationKind kind) const {
  return kind == DeclarationKind::kTemplate ? templates_ : tenants_;
}

void CellState::apply_command(LogIndex index, const ChangeDeclaration& change,
                              ApplyResult& result) {
  const auto earlier = answers_.find(change.change_id);
  if (earlier != answers_.end()) {
    result.answer = earlier->second;
    return;
  }
  const ChangeAnswer answer = judge(index, change);
  result.answer = answer;
  remember_answer(change.change_id, answer);
  if (answer.change_status() != ChangeStatus::kAccepted) {
    return;
  }
  const bool is_template = change.kind == static_cast<std::uint8_t>(DeclarationKind::kTemplate);
  DeclarationRecord& record = is_template ? templates_[change.name] : tenants_[change.name];
  record = {answer.revision, change.document.empty(), change.change_id, index, change.document};
  if (!is_template) {
    rebuild_tenant(index, change.name, result);
    return;
  }
  for (const auto& [name, tenant] : tenants_) {
    const auto parsed = config::parse_tenant(tenant.document);
    if (parsed.has_value() && parsed->template_name.value == change.name) {
      rebuild_tenant(index, name, result);
    }
  }
}

ChangeAnswer CellState::judge(LogIndex index, const ChangeDeclaration& change) const {
  ChangeAnswer answer;
  answer.index = index;
  const auto& records = declarations(static_cast<DeclarationKind>(change.kind));
  const auto found = records.find(change.name);
  const common::Revision present =
      found == records.end() ? common::Revision() : found->second.revision;
  if (change.replaces != present) {
    answer.status = static_cast<std::uint8_t>(ChangeStatus::kConflict);
    answer.revision = present;
    answer.winner = found == records.end() ? common::ChangeId() : found->second.change_id;
    answer.message = change.name + " is at revision " + std::to_string(present.value);
    return answer;
  }
  if (auto valid = validate(change); !valid) {
    answer.status = static_cast<std::uint8_t>(ChangeStatus::kInvalid);
    answer.revision = present;
    answer.message = valid.error().message;
    return answer;
  }
  answer.revision = common::Revision(present.value + 1);
  return answer;
}

common::Result<void> CellState::validate(const ChangeDeclaration& change) const {
  const auto invalid = [&](const std::string& message) {
    return common::fail(common::ErrorCode::kInvalid, "accept change", "", message);
  };
  const auto kind = static_cast<DeclarationKind>(change.kind);
  if (change.document.empty()) {
    const auto& records = declarations(kind);
    const auto found = records.find(change.name);
    if (found == records.end() || found->second.withdrawn) {
      return invalid(change.name + " does not exist");
    }
    if (kind == DeclarationKind::kTenant) {
      return {};
    }
    for (const auto& [name, tenant] : tenants_) {
      const auto parsed = config::parse_tenant(tenant.document);
      if (!tenant.withdrawn && parsed.has_value() && parsed->template_name.value == change.name) {
        return invalid("template " + change.name + " is used by tenant " + name);
      }
    }
    return {};
  }
  if (kind == DeclarationKind::kTemplate) {
    const auto parsed = config::parse_template(change.document);
    if (!parsed) {
      return tl::unexpected(parsed.error());
    }
    return parsed->name.value == change.name ? validate_template(*parsed)
                                             : invalid("template names another template");
  }
  const auto parsed = config::parse_tenant(change.document);
  if (!parsed) {
    return tl::unexpected(parsed.error());
  }
  if (parsed->name.value != change.name) {
    return invalid("tenant names another tenant");
  }
  const auto declaration = find_template(parsed->template_name.value);
  if (!declaration.has_value()) {
    return invalid("template " + parsed->template_name.value + " does not exist");
  }
  return validate_tenant(*parsed, *declaration);
}

common::Result<void> CellState::validate_template(const config::Template& declaration) const {
  for (const auto& [name, tenant] : tenants_) {
    const auto parsed = config::parse_tenant(tenant.document);
    if (!parsed.has_value() || parsed->template_name != declaration.name) {
      continue;
    }
    if (auto valid = validate_tenant(*parsed, declaration); !valid) {
      return common::fail(common::ErrorCode::kInvalid, "accept change", "",
                          "tenant " + name + ": " + valid.error().message);
    }
  }
  return {};
}

common::Result<void> CellState::validate_tenant(const config::Tenant& tenant,
                                                const config::Template& declaration) const {
  const auto services = config::expand(declaration, tenant);
  if (!services) {
    return tl::unexpected(services.error());
  }
  for (const config::ServiceConfig& service : *services) {
    const ServiceRecord* existing = find_service(service.key);
    if (existing != nullptr && !keeps_shards(existing->config.parameters, service.parameters)) {
      return common::fail(common::ErrorCode::kInvalid, "accept change", "",
                          "service " + service.key.service.value +
                              " cannot change keyed, shards or hash_seed while it exists");
    }
  }
  return {};
}

void CellState::remember_answer(const common::ChangeId& id, const ChangeAnswer& answer) {
  answers_[id] = answer;
  answer_order_.push_back(id);
  if (answer_order_.size() > kRememberedAnswers) {
    answers_.erase(answer_order_.front());
    answer_order_.pop_front();
  }
}

std::optional<config::Template> CellState::find_template(const std::string& name) const {
  const auto found = templates_.find(name);
  if (found == templates_.end() || found->second.withdrawn) {
    return std::nullopt;
  }
  auto parsed = config::parse_template(found->second.document);
  return parsed.has_value() ? std::optional(std::move(*parsed)) : std::nullopt;
}

void CellState::rebuild_tenant(LogIndex index, const std::string& name, ApplyResult& result) {
  const DeclarationRecord& record = tenants_.at(name);
  result.delta.tenants.push_back({common::TenantName(name), record.revision});
  std::set<common::ServiceKey> wanted;
  const auto tenant = config::parse_tenant(record.document);
  if (!record.withdrawn && tenant.has_value()) {
    const auto declaration = find_template(tenant->template_name.value);
    if (!declaration.has_value()) {
      return;
    }
    const auto services = config::expand(*declaration, *tenant);
    for (const config::ServiceConfig& service : services.value()) {
      wanted.insert(service.key);
      put_service(index, service, result);
    }
  }
  std::vector<ServiceId> surplus;
  for (const auto& [id, service] : services_) {
    if (service.config.key.tenant.value == name && !wanted.contains(service.config.key)) {
      surplus.push_back(id);
    }
  }
  for (const ServiceId id : surplus) {
    retire_service(services_.at(id), result);
    erase_if_released(id);
  }
}

void CellState::put_service(LogIndex index, const config::ServiceConfig& service,
                            ApplyResult& result) {
  auto& id = service_ids_[service.key];
  const bool is_new = id.value == 0;
  if (is_new) {
    id = ServiceId(next_service_++);
    ServiceRecord record;
    record.id = id;
    record.shards.resize(service.parameters.keyed ? service.parameters.shards : 0);
    for (ShardRecord& shard : record.shards) {
      shard.epoch = Epoch(index.value);
    }
    services_[id] = std::move(record);
  }
  ServiceRecord& record = services_.at(id);
  const bool reappears = is_new || record.retired;
  record.config = service;
  record.retired = false;
  result.delta.services.push_back(service_route(record));
  for (std::uint32_t i = 0; reappears && i < record.shards.size(); ++i) {
    result.delta.shards.push_back(shard_route(id, ShardNumber(i), record.shards[i]));
  }
}

void CellState::retire_service(ServiceRecord& service, ApplyResult& result) {
  if (!service.retired) {
    service.retired = true;
    service.targets.clear();
    result.delta.removed_services.push_back(service.id);
  }
}

void CellState::erase_if_released(ServiceId id) {
  const auto found = services_.find(id);
  if (found == services_.end() || !found->second.retired) {
    return;
  }
  const auto& shards = found->second.shards;
  const bool released = std::all_of(shards.begin(), shards.end(),
                                    [](const auto& shard) { return shard.owner.value == 0; });
  if (released) {
    service_ids_.erase(found->second.config.key);
    services_.erase(found);
  }
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
  for (const auto& [id, backend] : backends_) {
    if (backend.machine == command.machine && backend.incarnation == command.incarnation) {
      return;
    }
  }
  BackendRecord record;
  record.id = BackendId(index.value);
  record.machine = command.machine;
  record.address = command.address;
  record.zone = command.zone;
  record.pool = command.pool;
  record.incarnation = command.incarnation;
  record.grants_index = index;
  result.delta.backends.push_back(backend_route(record));
  backends_[record.id] = std::move(record);
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
  const auto found = backends_.find(command.backend);
  if (found != backends_.end()) {
    found->second.leaving = command.leaving;
    result.delta.backends.push_back(backend_route(found->second));
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
  backends_.erase(id);
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
  return {backend.id,   backend.machine,     backend.address,
          backend.zone, backend.incarnation, is_draining(backend)};
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
  return common::encode(form);
}

common::Result<CellState> CellState::decode_snapshot(const std::string& bytes) {
  auto form = common::decode<SnapshotForm>(bytes, "read state snapshot", "");
  if (!form) {
    return tl::unexpected(form.error());
  }
  CellState state;
  state.applied_ = form->applied;
  state.templates_ = std::move(form->templates);
  state.tenants_ = std::move(form->tenants);
  for (auto& [id, answer] : form->answers) {
    state.remember_answer(id, answer);
  }
  for (BackendRecord& backend : form->backends) {
    state.backends_[backend.id] = std::move(backend);
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
  return state;
}

}  // namespace planktray::ownership

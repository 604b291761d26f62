/// Declarations of CellState: evaluating changes, remembering results, expanding tenants to
/// services.

#include <algorithm>
#include <utility>

#include "ownership/cell_state.hpp"

namespace planktray::ownership {
namespace {

/// Results kept for resends: about two days at the design limit of 4,600 changes per day.
constexpr std::size_t kRememberedAnswers = 10'000;

bool has_same_sharding(const config::ServiceTemplate& before,
                       const config::ServiceTemplate& after) {
  return before.keyed == after.keyed && before.shards == after.shards &&
         before.hash_seed == after.hash_seed;
}

}  // namespace

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
  const ChangeAnswer answer = evaluate_change(index, change);
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

ChangeAnswer CellState::evaluate_change(LogIndex index, const ChangeDeclaration& change) const {
  ChangeAnswer answer;
  answer.index = index;
  const auto& records = declarations(static_cast<DeclarationKind>(change.kind));
  const auto found = records.find(change.name);
  const common::Revision current =
      found == records.end() ? common::Revision() : found->second.revision;
  if (change.replaces != current) {
    answer.status = static_cast<std::uint8_t>(ChangeStatus::kConflict);
    answer.revision = current;
    answer.winner = found == records.end() ? common::ChangeId() : found->second.change_id;
    answer.message = change.name + " is at revision " + std::to_string(current.value);
    return answer;
  }
  if (auto valid = validate(change); !valid) {
    answer.status = static_cast<std::uint8_t>(ChangeStatus::kInvalid);
    answer.revision = current;
    answer.message = valid.error().message;
    return answer;
  }
  answer.revision = common::Revision(current.value + 1);
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
                                             : invalid("the document names another template");
  }
  const auto parsed = config::parse_tenant(change.document);
  if (!parsed) {
    return tl::unexpected(parsed.error());
  }
  if (parsed->name.value != change.name) {
    return invalid("the document names another tenant");
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
    if (existing != nullptr &&
        !has_same_sharding(existing->config.parameters, service.parameters)) {
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

}  // namespace planktray::ownership

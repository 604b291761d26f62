#include "cell_fixture.hpp"

#include "measure.hpp"

namespace planktray::bench {
namespace {

using common::LogIndex;
using ownership::ApplyPlan;
using ownership::CellState;
using ownership::ChangeDeclaration;
using ownership::DeclarationKind;

ChangeDeclaration change(DeclarationKind kind, const std::string& name,
                         const std::string& document) {
  return {static_cast<std::uint8_t>(kind), name, common::Revision(0),
          common::ChangeId("change-" + name), document};
}

config::Template make_template(std::uint32_t shards) {
  config::ServiceTemplate service;
  service.name = common::ServiceName("keyed");
  service.pool = common::PoolName("hollow");
  service.keyed = true;
  service.shards = shards;
  service.maximum_targets = config::kMaxTargets;
  service.repeatable_methods = {"GET"};
  return {common::TemplateName("large"), {service}};
}

}  // namespace

CellState make_cell(const CellSize& size, CellCost& cost) {
  CellState state;
  std::uint64_t index = 0;
  const auto apply = [&](const ownership::Command& command) {
    state.apply(LogIndex(++index), command);
  };
  const Meter backends;
  for (std::uint32_t i = 1; i <= size.backends; ++i) {
    const std::string name = "machine-" + std::to_string(i);
    apply(ownership::RegisterBackend{common::MachineName(name), "127.0.0.1:" + std::to_string(i),
                                     common::ZoneName("zone-" + std::to_string(i % 23)),
                                     common::PoolName("hollow"), common::Incarnation(name + "#1")});
  }
  cost.register_us = backends.microseconds() / size.backends;
  cost.backend_bytes = backends.bytes() / size.backends;
  config::Tenant tenant;
  tenant.name = common::TenantName("tenant");
  tenant.template_name = common::TemplateName("large");
  tenant.targets[common::ServiceName("keyed")] = size.backends;
  const Meter shards;
  apply(change(DeclarationKind::kTemplate, "large", config::to_json(make_template(size.shards))));
  apply(change(DeclarationKind::kTenant, "tenant", config::to_json(tenant)));
  const ownership::ServiceRecord& service = state.services().begin()->second;
  ApplyPlan plan;
  std::vector<common::BackendId> targets;
  for (const auto& [id, backend] : state.backends()) {
    targets.push_back(id);
  }
  plan.targets.push_back({service.id, targets});
  for (std::uint32_t i = 0; i < size.shards; ++i) {
    plan.assignments.push_back(
        {service.id, common::ShardNumber(i), service.shards[i].epoch, targets[i % targets.size()]});
  }
  const Meter assign;
  apply(plan);
  cost.assign_us = assign.microseconds() / size.shards;
  plan = ApplyPlan();
  cost.shard_bytes = shards.bytes() / size.shards;
  return state;
}

}  // namespace planktray::bench

#include "sim/operators.hpp"

#include <memory>

#include "sim/backend_node.hpp"

namespace planktray::sim {
namespace {

using ownership::ChangeAnswer;
using ownership::ChangeStatus;
using ownership::DeclarationKind;

constexpr Duration kAnswerTimeout = std::chrono::milliseconds(400);
constexpr int kMaximumTries = 40;
constexpr Duration kInForcePoll = std::chrono::milliseconds(20);
constexpr int kMaximumPolls = 1500;
/// Tenant that takes many changes, so that the callers' own tenant stays as it is.
constexpr const char* kManyChangesTenant = "archive";

std::string label_of(DeclarationKind kind, const std::string& name) {
  return (kind == DeclarationKind::kTemplate ? "template/" : "tenant/") + name;
}

bool is_tenant(const ownership::ChangeDeclaration& change) {
  return static_cast<DeclarationKind>(change.kind) == DeclarationKind::kTenant;
}

ChangeVerdict verdict_of(const ChangeAnswer& answer) {
  switch (answer.change_status()) {
    case ChangeStatus::kAccepted:
      return ChangeVerdict::kAccepted;
    case ChangeStatus::kConflict:
      return ChangeVerdict::kConflict;
    case ChangeStatus::kInvalid:
      break;
  }
  return ChangeVerdict::kInvalid;
}

}  // namespace

Operators::Operators(Environment& environment, Directory& directory, HostId host,
                     const Deployment& deployment, OperatorOptions options)
    : environment_(environment),
      directory_(directory),
      host_(host),
      deployment_(deployment),
      options_(options),
      random_(environment.random()) {}

void Operators::start() {
  running_ = true;
  send_change(DeclarationKind::kTemplate, deployment_.template_name, 0,
              config::to_json(make_template(deployment_)), false);
}

ControllerNode* Operators::pick_controller() {
  // An operator's tool asks the controllers in turn until one that leads answers.
  const auto controllers = directory_.controllers();
  for (ControllerNode* controller : controllers) {
    if (controller->is_leading() && common::chance(random_, 0.8)) {
      return controller;
    }
  }
  return controllers[common::uniform(random_, 0, controllers.size() - 1)];
}

std::string Operators::tenant_document(std::uint32_t variant) const {
  // Variants differ in the targets of the last service, so that tables change but keys need not.
  config::Tenant tenant = make_tenant(deployment_);
  const ServiceSize& last = deployment_.services.back();
  tenant.targets[common::ServiceName(last.name)] = last.targets - variant % 2;
  return config::to_json(tenant);
}

void Operators::round() {
  if (!running_) {
    return;
  }
  environment_.scheduler.after(options_.interval, [this] { round(); });
  race();
}

void Operators::race() {
  const std::string label = label_of(DeclarationKind::kTenant, deployment_.tenant);
  read(label, DeclarationKind::kTenant, deployment_.tenant, [this](std::uint64_t revision) {
    for (std::uint32_t i = 0; i < options_.racing; ++i) {
      send_change(DeclarationKind::kTenant, deployment_.tenant, revision, tenant_document(i),
                  false);
    }
  });
}

void Operators::read(const std::string& label, DeclarationKind kind, const std::string& name,
                     std::function<void(std::uint64_t)> then) {
  ControllerNode* controller = pick_controller();
  const TimePoint sent = environment_.now();
  const HostId remote = controller->host_id();
  environment_.network.send_once(
      host_, remote, [this, controller, remote, label, kind, name, sent, then = std::move(then)] {
        controller->read([this, controller, remote, label, kind, name, sent,
                          then](const common::Result<void>& confirmed) {
          if (!confirmed.has_value()) {
            return;
          }
          const auto& records = controller->core().state().declarations(kind);
          const auto found = records.find(name);
          const std::uint64_t revision = found == records.end() ? 0 : found->second.revision.value;
          const std::string change = found == records.end() ? "" : found->second.change_id.value;
          environment_.network.send_once(
              remote, host_, [this, label, sent, revision, change, then] {
                ++reads_answered_;
                environment_.observe(DeclarationRead{label, sent, revision, change});
                then(revision);
              });
        });
      });
}

void Operators::send_change(DeclarationKind kind, const std::string& name, std::uint64_t replaces,
                            const std::string& document, bool then_again) {
  auto attempt = std::make_shared<Attempt>();
  attempt->change = {static_cast<std::uint8_t>(kind), name, common::Revision(replaces),
                     common::ChangeId("c" + std::to_string(next_change_++)), document};
  attempt->label = label_of(kind, name);
  attempt->first_sent = environment_.now();
  attempt->then_again = then_again;
  environment_.observe(ChangeSent{attempt->change.change_id.value, attempt->label, replaces});
  try_change(attempt);
}

void Operators::try_change(const AttemptPointer& attempt) {
  if (attempt->settled || attempt->tries >= kMaximumTries) {
    return;
  }
  ++attempt->tries;
  ControllerNode* controller = pick_controller();
  const HostId remote = controller->host_id();
  environment_.network.send(host_, remote, [this, controller, remote, attempt] {
    controller->change(
        attempt->change, [this, remote, attempt](const common::Result<ChangeAnswer>& answer) {
          if (!answer.has_value() || common::chance(random_, options_.lost_answers)) {
            return;
          }
          environment_.network.send(remote, host_,
                                    [this, attempt, told = *answer] { settle(attempt, told); });
        });
  });
  environment_.scheduler.after(kAnswerTimeout, [this, attempt] { try_change(attempt); });
}

void Operators::settle(const AttemptPointer& attempt, const ChangeAnswer& answer) {
  environment_.observe(ChangeTold{attempt->change.change_id.value, attempt->label,
                                  verdict_of(answer), answer.revision.value});
  if (std::exchange(attempt->settled, true)) {
    return;
  }
  if (attempt->then_again) {
    next_of_many();
  }
  const bool accepted = answer.change_status() == ChangeStatus::kAccepted;
  if (accepted && !set_up_) {
    if (is_tenant(attempt->change)) {
      set_up_ = true;
      environment_.scheduler.after(options_.interval, [this] { round(); });
    } else {
      send_change(DeclarationKind::kTenant, deployment_.tenant, 0, tenant_document(0), false);
    }
  }
  if (accepted && is_tenant(attempt->change) && !attempt->then_again) {
    wait_in_force(attempt, answer, 0);
  }
}

void Operators::wait_in_force(const AttemptPointer& attempt, const ChangeAnswer& answer,
                              int tries) {
  if (tries >= kMaximumPolls) {
    return;
  }
  ControllerNode* controller = pick_controller();
  const HostId remote = controller->host_id();
  auto settled = std::make_shared<bool>(false);
  environment_.network.send_once(
      host_, remote, [this, controller, remote, attempt, answer, settled] {
        controller->read([this, controller, remote, attempt, answer,
                          settled](const common::Result<void>& confirmed) {
          const auto& core = controller->core();
          const auto index = core.distributor().in_force(controller->host().clock(), core.state());
          if (!confirmed.has_value() || !index.has_value() || *index < answer.index) {
            return;
          }
          environment_.network.send_once(remote, host_, [this, attempt, answer, settled] {
            if (!std::exchange(*settled, true)) {
              environment_.observe(InForceTold{attempt->label, answer.revision.value});
              environment_.measures.on_change_in_force(environment_.now() - attempt->first_sent);
            }
          });
        });
      });
  environment_.scheduler.after(kInForcePoll, [this, attempt, answer, tries, settled] {
    if (!*settled) {
      wait_in_force(attempt, answer, tries + 1);
    }
  });
}

void Operators::make_many_changes(std::uint32_t count) {
  const bool idle = many_left_ == 0;
  many_left_ += count;
  if (idle) {
    next_of_many();
  }
}

void Operators::next_of_many() {
  if (many_left_ == 0) {
    return;
  }
  --many_left_;
  read(label_of(DeclarationKind::kTenant, kManyChangesTenant), DeclarationKind::kTenant,
       kManyChangesTenant, [this](std::uint64_t revision) {
         config::Tenant tenant = make_tenant(deployment_);
         tenant.name = common::TenantName(kManyChangesTenant);
         for (auto& [service, targets] : tenant.targets) {
           targets = 1 + static_cast<std::uint32_t>(revision % 2);
         }
         send_change(DeclarationKind::kTenant, kManyChangesTenant, revision,
                     config::to_json(tenant), true);
       });
}

void Operators::drain_machine(const common::MachineName& machine, bool draining) {
  ControllerNode* controller = pick_controller();
  const HostId remote = controller->host_id();
  if (draining) {
    draining_.insert(machine);
  } else {
    draining_.erase(machine);
    environment_.observe(LeavingEnded{machine.value});
  }
  environment_.network.send_once(host_, remote, [this, controller, remote, machine, draining] {
    controller->drain({machine, draining}, [this, remote, machine,
                                            draining](const common::Result<common::LogIndex>& at) {
      if (at.has_value() && draining) {
        environment_.network.send_once(remote, host_, [this, machine] {
          if (draining_.contains(machine)) {
            environment_.observe(LeavingBegan{machine.value});
          }
        });
      }
    });
  });
}

void Operators::move_some_shard() {
  ControllerNode* controller = pick_controller();
  const ServiceSize& service = deployment_.services.front();
  const common::ServiceKey key{common::TenantName(deployment_.tenant),
                               common::ServiceName(service.name)};
  const common::ShardNumber shard(
      static_cast<std::uint32_t>(common::uniform(random_, 0, deployment_.shards - 1)));
  const common::MachineName to(service.name + "-" +
                               std::to_string(common::uniform(random_, 1, service.targets)));
  environment_.network.send_once(host_, controller->host_id(), [controller, key, shard, to] {
    controller->move(key, shard, to, [](const common::Result<common::LogIndex>& /*index*/) {});
  });
}

void Operators::read_all() {
  read(label_of(DeclarationKind::kTemplate, deployment_.template_name), DeclarationKind::kTemplate,
       deployment_.template_name, [](std::uint64_t /*revision*/) {});
  read(label_of(DeclarationKind::kTenant, deployment_.tenant), DeclarationKind::kTenant,
       deployment_.tenant, [](std::uint64_t /*revision*/) {});
  read(label_of(DeclarationKind::kTenant, kManyChangesTenant), DeclarationKind::kTenant,
       kManyChangesTenant, [](std::uint64_t /*revision*/) {});
}

}  // namespace planktray::sim

/// TableWorld: operators that change routes, and back ends that come and leave.

#include <set>
#include <utility>

#include "sim/table_world_impl.hpp"

namespace planktray::sim {
namespace {

using std::chrono::milliseconds;

constexpr std::size_t kServices = 5;
constexpr std::size_t kAddresses = 40;
constexpr std::size_t kMaxTargets = 30;
/// An operator's or back end's call without an answer is repeated at another controller.
constexpr Duration kCallTimeout = milliseconds(500);
constexpr int kMaxCalls = 6;

std::string service_name(std::size_t i) { return "service-" + std::to_string(i); }

}  // namespace

void TableWorld::call(ControllerNode* node, const Call& action, int calls) {
  auto is_done = std::make_shared<bool>(false);
  environment_.network.send_once(client_, node->host_id(), [this, node, action, is_done] {
    node->input([&](controller::ControllerCore& core, TimePoint now) {
      const auto request = core.new_request();
      calls_[{node, node->host().generation(), request}] = is_done;
      action(core, now, request);
    });
  });
  if (calls < kMaxCalls) {
    after(kCallTimeout, [this, action, calls, is_done] {
      if (!*is_done) {
        call(&any_controller(), action, calls + 1);
      }
    });
  }
}

void TableWorld::complete(ControllerNode& node, const controller::Completion& completion) {
  const auto request =
      std::visit([](const auto& alternative) { return alternative.request; }, completion);
  const auto found = calls_.find({&node, node.host().generation(), request});
  if (found == calls_.end()) {
    return;
  }
  const std::shared_ptr<bool> is_done = found->second;
  calls_.erase(found);
  if (const auto* change = std::get_if<controller::ChangeCompleted>(&completion)) {
    *is_done = change->answer.has_value();
    const bool is_accepted =
        *is_done && change->answer->change_status() == ownership::ChangeStatus::kAccepted;
    if (is_accepted) {
      ++result_.configurations;
      audit_.on_acknowledged(environment_.now(), change->answer->index);
    }
  } else if (const auto* command = std::get_if<controller::CommandCompleted>(&completion)) {
    *is_done = command->index.has_value();
    if (*is_done) {
      audit_.on_acknowledged(environment_.now(), *command->index);
    }
  }
}

void TableWorld::change_routes() {
  after(between(60, 500), [this] { change_routes(); });
  ControllerNode* node = leader();
  if (node == nullptr) {
    return;
  }
  const config::RouteChange change = make_change(node->core().state().routes());
  call(node, [change](auto& core, TimePoint now, auto request) {
    core.change_routes(now, request, change);
  });
  if (pick(20) == 0) {
    const ownership::EvacuateZone evacuation{table_zone(pick(kTableZones)), pick(2) == 0};
    call(node, [evacuation](auto& core, TimePoint now, auto request) {
      core.evacuate_zone(now, request, evacuation);
    });
  }
}

config::RouteChange TableWorld::make_change(const config::RouteConfiguration& current) {
  config::RouteChange change;
  change.base_version = current.version;
  change.version = current.version + common::uniform(random_, 1, 4);
  change.digest = random_();
  change.replaces_all = current.version == 0 || pick(8) == 0;
  for (std::size_t i = 0; change.replaces_all && i < kServices; ++i) {
    change.services.push_back(make_service(i));
  }
  const std::size_t routes =
      change.replaces_all ? kTableRoutes / 2 : common::uniform(random_, 1, 2);
  std::set<std::size_t> chosen;
  while (chosen.size() < routes) {
    chosen.insert(pick(kTableRoutes));
  }
  for (const std::size_t i : chosen) {
    if (!change.replaces_all && pick(3) == 0) {
      change.removed_routes.push_back(table_route(i).name);
    } else {
      change.routes.push_back(make_route(i));
    }
  }
  if (!change.replaces_all && pick(4) == 0) {
    change.services.push_back(make_service(pick(kServices)));
  }
  return change;
}

config::Route TableWorld::make_route(std::size_t i) {
  config::Route route = table_route(i);
  route.timeout_ms = static_cast<std::uint32_t>(common::uniform(random_, 500, 3000));
  route.parts.push_back({common::ServiceName(service_name(pick(kServices))), 1.0});
  return route;
}

config::RoutedService TableWorld::make_service(std::size_t i) {
  config::RoutedService service;
  service.name = common::ServiceName(service_name(i));
  service.keyed = i < 2;
  service.connections = static_cast<std::uint32_t>(common::uniform(random_, 10, 100));
  return service;
}

void TableWorld::change_targets() {
  after(between(20, 200), [this] { change_targets(); });
  const bool is_new = targets_.size() < kMaxTargets && (targets_.empty() || pick(2) == 0);
  if (is_new) {
    targets_.push_back(make_target());
  }
  controller::Heartbeat& heartbeat = is_new ? targets_.back() : targets_[pick(targets_.size())];
  ++heartbeat.sequence;
  heartbeat.draining = heartbeat.draining || (!is_new && pick(4) == 0);
  const bool departs = heartbeat.draining && pick(3) == 0;
  call(&any_controller(), [heartbeat, departs](auto& core, TimePoint now, auto request) {
    if (departs) {
      core.deregister(now, request, heartbeat.incarnation);
    } else {
      core.heartbeat(now, request, heartbeat);
    }
  });
  if (departs) {
    std::erase_if(targets_, [name = heartbeat.incarnation](const auto& target) {
      return target.incarnation == name;
    });
  }
}

controller::Heartbeat TableWorld::make_target() {
  controller::Heartbeat heartbeat;
  heartbeat.incarnation = common::Incarnation("instance-" + std::to_string(++next_target_));
  heartbeat.address = "10.0.0." + std::to_string(pick(kAddresses)) + ":80";
  heartbeat.service = service_name(pick(kServices));
  heartbeat.zone = table_zone(pick(kTableZones));
  heartbeat.cold_ms = pick(3) == 0 ? 300 : 0;
  return heartbeat;
}

}  // namespace planktray::sim

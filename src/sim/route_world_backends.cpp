/// RouteWorld: back ends, what the leader knows of them, and their ends.

#include "sim/route_world_impl.hpp"

namespace planktray::sim::route_world {

Process& RouteWorld::start_process(std::size_t service, const std::string& address) {
  Process& process = at_address_[address];
  process = Process();
  process.id = BackendId(++last_backend_);
  process.incarnation = Incarnation("i-" + std::to_string(last_backend_));
  process.address = address;
  process.service = service;
  return process;
}

routing::BackendRoute RouteWorld::route_of(const Process& process) {
  routing::BackendRoute route;
  route.id = process.id;
  route.incarnation = process.incarnation;
  route.address = process.address;
  route.zone = common::ZoneName("z");
  route.pool = common::PoolName(kNames[process.service]);
  route.slots = kSlots;
  route.self_registered = true;
  return route;
}

routing::TableDelta RouteWorld::first_table() {
  routing::TableDelta table;
  table.is_snapshot = true;
  for (std::size_t service = 0; service < kServices; ++service) {
    config::RoutedService config;
    config.name = common::ServiceName(kNames[service]);
    config.keyed = service == kKeyed;
    table.routed_services.push_back({service_id(service), config});
    config::Route route;
    route.name = kNames[service];
    route.host = kNames[service];
    route.path_prefix = "/";
    route.kind.repeatable = service != kSmall;
    route.timeout_ms = 1200;
    route.objective_ms = 500;
    route.maximum_attempts = 2;
    route.parts = {{config.name, 1}};
    table.routes.push_back(route);
  }
  for (const auto& [address, process] : at_address_) {
    table.backends.push_back(route_of(process));
    known_[process.id] = process;
  }
  for (std::uint32_t range = 0; range < kRanges; ++range) {
    table.ranges.push_back(give(range, free_owner()));
  }
  table.routes_version = 1;
  return table;
}

BackendId RouteWorld::free_owner() {
  std::vector<BackendId> candidates;
  for (const auto& [id, process] : known_) {
    const auto present = at_address_.find(process.address);
    const bool runs = present != at_address_.end() && present->second.id == id;
    if (process.service == kKeyed && runs) {
      candidates.push_back(id);
    }
  }
  return candidates.empty() ? BackendId() : candidates[uniform(candidates.size())];
}

routing::KeyRangeRoute RouteWorld::give(std::uint32_t range, BackendId owner) {
  owners_[range] = owner;
  const auto known = known_.find(owner);
  if (known != known_.end()) {
    at_address_.at(known->second.address).granted = now_ + between(1, 40);
  }
  return {service_id(kKeyed), range * kRangeKeys, (range + 1) * kRangeKeys - 1, owner};
}

void RouteWorld::publish(routing::TableDelta delta) {
  delta.to = LogIndex(deltas_.size() + 2);
  delta.from = deltas_.empty() ? LogIndex() : deltas_.back().to;
  deltas_.push_back(std::move(delta));
}

void RouteWorld::drop_owner(BackendId id) {
  const auto known = known_.find(id);
  if (known == known_.end()) {
    return;
  }
  routing::TableDelta delta;
  routing::BackendRoute route = route_of(known->second);
  route.ended = true;
  delta.backends = {route};
  known_.erase(known);
  for (std::uint32_t range = 0; range < kRanges; ++range) {
    if (owners_[range] == id) {
      delta.ranges.push_back(give(range, free_owner()));
    }
  }
  publish(std::move(delta));
}

void RouteWorld::register_process(const std::string& address, BackendId id) {
  const auto found = at_address_.find(address);
  if (found == at_address_.end() || found->second.id != id) {
    return;
  }
  std::vector<BackendId> replaced;
  for (const auto& [other, process] : known_) {
    if (process.address == address) {
      replaced.push_back(other);
    }
  }
  for (const BackendId other : replaced) {
    drop_owner(other);
  }
  known_[id] = found->second;
  routing::TableDelta delta;
  delta.backends = {route_of(found->second)};
  publish(std::move(delta));
}

void RouteWorld::end_owners() {
  std::vector<std::string> addresses;
  for (const auto& [address, process] : at_address_) {
    if (process.service == kKeyed && common::chance(random_, 0.35)) {
      addresses.push_back(address);
    }
  }
  for (const std::string& address : addresses) {
    ++result_.ended_owners;
    const BackendId ended = at_address_.at(address).id;
    at_address_.erase(address);
    after(kHold, [this, ended] { drop_owner(ended); });
    after(kReuseAfter, [this, address] {
      const BackendId id = start_process(kSmall, address).id;
      after(between(100, 4500), [this, address, id] { register_process(address, id); });
    });
    const std::string fresh = new_address();
    const BackendId id = start_process(kKeyed, fresh).id;
    after(between(200, 1500), [this, fresh, id] { register_process(fresh, id); });
  }
}

void RouteWorld::name_limits() {
  if (now_ < next_limits_ || !has(RouteFault::kLimits)) {
    return;
  }
  next_limits_ = now_ + milliseconds(common::uniform(limit_random_, 4000, 9000));
  constexpr std::array<double, 5> kLimits = {0, 0.5, 1, 4.8, 20};
  for (auto& [address, process] : at_address_) {
    if (process.limit.has_value() || !common::chance(limit_random_, 0.1)) {
      continue;
    }
    process.limit = kLimits[common::uniform(limit_random_, 0, kLimits.size() - 1)];
    limits_.on_named(process.id, process.limit);
    const Duration length = milliseconds(common::uniform(limit_random_, 5000, 15'000));
    after(length, [this, address = address, id = process.id] {
      const auto found = at_address_.find(address);
      limits_.on_named(id, std::nullopt);
      if (found != at_address_.end() && found->second.id == id) {
        found->second.limit.reset();
      }
    });
  }
}

void RouteWorld::crash(std::size_t place, const Forward& forward, std::uint64_t digest) {
  const std::string address = forward.address;
  const Process ended = at_address_.at(address);
  ++result_.crashes;
  crash_audit_.on_crash(now_, digest);
  std::vector<Running> lost = std::exchange(running_[ended.id], {});
  lost.push_back({place, nodes_[place].life, forward.attempt, digest});
  for (const Running& running : lost) {
    AttemptResult result;
    result.end = AttemptEnd::kBroken;
    result.connection_ended = true;
    result.digest = running.digest;
    reply({}, running.place, running.life, running.attempt, result);
  }
  at_address_.erase(address);
  after(kBackAfter, [this, address, service = ended.service] {
    if (at_address_.contains(address)) {
      return;  // another service has the address
    }
    const BackendId id = start_process(service, address).id;
    after(milliseconds(common::uniform(crash_random_, 100, 800)),
          [this, address, id] { register_process(address, id); });
  });
}

}  // namespace planktray::sim::route_world

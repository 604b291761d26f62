/// Owners of keys that have asked routers to back off, as the leader learns from hellos.

#include "controller/core/fleet_backoffs.hpp"

#include <doctest/doctest.h>

#include <set>
#include <string>
#include <utility>
#include <vector>

#include "controller/core/range_controller.hpp"

namespace planktray::controller {
namespace {

using common::BackendId;
using std::chrono::milliseconds;

TimePoint at(std::int64_t value) { return common::from_microseconds(value * 1000); }

routing::RouterHello hello_of(std::size_t router, std::vector<routing::BackoffReport> backoffs) {
  routing::RouterHello hello;
  hello.router = common::RouterName("r" + std::to_string(router));
  hello.backoffs = std::move(backoffs);
  return hello;
}

constexpr std::size_t kRouters = 6;
const BackendId kOwner(2);

TEST_CASE("an owner is avoided once half of the routers back off from it, until the backoffs end") {
  FleetBackoffs backoffs{FleetBackoffsOptions{}};
  for (std::size_t router = 0; router < kRouters; ++router) {
    backoffs.on_hello(at(0), hello_of(router, {}));
  }
  backoffs.on_hello(at(100), hello_of(0, {{kOwner, 3000}}));
  backoffs.on_hello(at(100), hello_of(1, {{kOwner, 3000}}));
  backoffs.update(at(100));
  CHECK_FALSE(backoffs.is_avoided(at(100), kOwner));
  backoffs.on_hello(at(200), hello_of(2, {{kOwner, 3000}}));
  backoffs.update(at(200));
  CHECK(backoffs.is_avoided(at(200), kOwner));
  CHECK_FALSE(backoffs.is_avoided(at(200), BackendId(1)));
  CHECK(backoffs.is_avoided(at(3199), kOwner));
  CHECK_FALSE(backoffs.is_avoided(at(3200), kOwner));
  backoffs.update(at(3200));
  CHECK(backoffs.empty());
}

TEST_CASE("short backoffs and those of few routers move no keys") {
  FleetBackoffs backoffs{FleetBackoffsOptions{}};
  for (std::size_t router = 0; router < kRouters; ++router) {
    backoffs.on_hello(at(0), hello_of(router, {{kOwner, 1000}}));
  }
  backoffs.update(at(0));
  CHECK_FALSE(backoffs.is_avoided(at(0), kOwner));
  backoffs.on_hello(at(100), hello_of(0, {{kOwner, 9000}}));
  backoffs.update(at(100));
  CHECK_FALSE(backoffs.is_avoided(at(100), kOwner));
}

TEST_CASE("routers without recent hellos are not counted") {
  FleetBackoffs backoffs{FleetBackoffsOptions{}};
  for (std::size_t router = 0; router < kRouters; ++router) {
    backoffs.on_hello(at(0), hello_of(router, {}));
  }
  backoffs.on_hello(at(5000), hello_of(0, {{kOwner, 3000}}));
  backoffs.update(at(5000));
  CHECK(backoffs.is_avoided(at(5000), kOwner));
}

TEST_CASE("a new leader has no backoffs until routers report them") {
  FleetBackoffs backoffs{FleetBackoffsOptions{}};
  backoffs.on_hello(at(0), hello_of(0, {{kOwner, 3000}}));
  backoffs.update(at(0));
  CHECK(backoffs.is_avoided(at(0), kOwner));
  backoffs.begin_term();
  backoffs.update(at(0));
  CHECK_FALSE(backoffs.is_avoided(at(0), kOwner));
}

/// A keyed service with four owners, and the leader's RangeController.
struct Owners {
  static constexpr std::uint64_t kOwners = 4;
  ownership::CellState state;
  RangeController ranges{RangeOptions{}};
  std::uint64_t index = 0;
  common::ServiceId service;
  std::vector<BackendId> owners;

  Owners() {
    config::RouteChange change;
    change.version = 1;
    change.replaces_all = true;
    config::RoutedService keyed;
    keyed.name = common::ServiceName("ledger");
    keyed.keyed = true;
    change.services.push_back(keyed);
    apply(ownership::ChangeRoutes{change});
    service = state.routed_services().begin()->first;
    ownership::ApplyRangePlan plan;
    for (std::uint64_t i = 0; i < kOwners; ++i) {
      ownership::RegisterBackend registration;
      registration.machine = common::MachineName("m" + std::to_string(i));
      registration.address = registration.machine.value + ":1";
      registration.pool = common::PoolName("ledger");
      registration.incarnation = common::Incarnation(registration.machine.value);
      registration.contract = static_cast<std::uint8_t>(ownership::OwnershipContract::kFencedGrant);
      apply(registration);
      owners.emplace_back(index);
      const auto first = static_cast<std::uint32_t>(i * config::kKeyCount / kOwners);
      const auto last = static_cast<std::uint32_t>((i + 1) * config::kKeyCount / kOwners - 1);
      const auto fence = state.routed_services().at(service).ranges.record_of(first).fence;
      plan.assignments.push_back({service, {first, last}, fence, owners.back(), ""});
    }
    apply(plan);
    ranges.begin_term(at(0), state, common::LogIndex());
    for (const auto& [id, backend] : state.backends()) {
      ranges.record_heartbeat(at(0), backend.incarnation, 1, milliseconds(0));
    }
  }

  void apply(const ownership::Command& command) { state.apply(common::LogIndex(++index), command); }
  /// The owners whose keys the next plan moves.
  std::set<BackendId> moved(std::int64_t now) {
    std::set<BackendId> from;
    for (const ownership::RangeMove& move : ranges.plan(at(now), state).moves) {
      from.insert(state.routed_services().at(service).ranges.record_of(move.keys.first).owner);
    }
    return from;
  }
};

// Guards against keys that are not served for as long as their owner is backed off from.
TEST_CASE("the keys of an owner that routers back off from move to other owners") {
  Owners world;
  CHECK(world.moved(350).empty());
  world.ranges.record_loads(at(400), hello_of(0, {{world.owners[1], 3000}}));
  CHECK(world.moved(700) == std::set<BackendId>{world.owners[1]});
}

TEST_CASE("if routers back off from most owners, their keys stay") {
  Owners world;
  world.ranges.record_loads(
      at(400),
      hello_of(0, {{world.owners[0], 3000}, {world.owners[1], 3000}, {world.owners[2], 3000}}));
  CHECK(world.moved(700).empty());
}

}  // namespace
}  // namespace planktray::controller

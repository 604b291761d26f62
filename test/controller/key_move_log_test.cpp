/// Log events for keys that move.

#include "controller/core/key_move_log.hpp"

#include <doctest/doctest.h>

#include <string>

namespace planktray::controller {
namespace {

using common::BackendId;
using std::chrono::milliseconds;

common::TimePoint at(std::int64_t value) { return common::from_microseconds(value * 1000); }

constexpr ownership::KeyRange kAll;
constexpr ownership::KeyRange kLower{0, 999};

/// A keyed service with two back ends, the first of which owns all keys.
struct Keys {
  ownership::CellState state;
  KeyMoveLog log;
  std::uint64_t index = 0;
  common::ServiceId service;
  BackendId first;
  BackendId second;

  Keys() {
    config::RouteChange change;
    change.version = 1;
    change.replaces_all = true;
    config::RoutedService keyed;
    keyed.name = common::ServiceName("ledger");
    keyed.keyed = true;
    change.services.push_back(keyed);
    state.apply(common::LogIndex(++index), ownership::ChangeRoutes{change});
    service = state.routed_services().begin()->first;
    first = add_backend("first");
    second = add_backend("second");
    assign(0, kAll, first);
    (void)log.take_assigned();
  }
  BackendId add_backend(const std::string& name) {
    ownership::RegisterBackend registration;
    registration.machine = common::MachineName(name);
    registration.address = name + ":1";
    registration.pool = common::PoolName("ledger");
    registration.incarnation = common::Incarnation(name);
    registration.contract = static_cast<std::uint8_t>(ownership::OwnershipContract::kFencedGrant);
    state.apply(common::LogIndex(++index), registration);
    return BackendId(index);
  }
  common::Epoch fence(std::uint32_t key) const {
    return state.routed_services().at(service).ranges.record_of(key).fence;
  }
  void apply(std::int64_t now, const ownership::ApplyRangePlan& plan, bool is_degraded = false) {
    state.apply(common::LogIndex(++index), ownership::Command(plan));
    log.on_applied(at(now), state, common::LogIndex(index), plan,
                   [is_degraded](const ownership::BackendRecord&) { return is_degraded; });
  }
  void move(std::int64_t now, const ownership::KeyRange& keys, common::Epoch expected_fence,
            bool is_degraded = false) {
    ownership::ApplyRangePlan plan;
    plan.moves.push_back({service, keys, expected_fence, second});
    apply(now, plan, is_degraded);
  }
  void assign(std::int64_t now, const ownership::KeyRange& keys, BackendId owner) {
    ownership::ApplyRangePlan plan;
    plan.assignments.push_back({service, keys, fence(keys.first), owner, ""});
    apply(now, plan);
  }
};

TEST_CASE(
    "a move is logged with its owners and cause, and its end with the time without an owner") {
  Keys keys;
  keys.move(100, kLower, keys.fence(0));
  const auto moving = keys.log.take_moving();
  REQUIRE(moving.size() == 1);
  CHECK(moving[0].service.value == "ledger");
  CHECK(moving[0].keys == kLower);
  CHECK(moving[0].from.value == "first");
  CHECK(moving[0].to.value == "second");
  CHECK(moving[0].cause == MoveCause::kBalance);
  keys.assign(830, kLower, keys.second);
  const auto assigned = keys.log.take_assigned();
  REQUIRE(assigned.size() == 1);
  CHECK(assigned[0].to.value == "second");
  CHECK(assigned[0].without_owner == milliseconds(730));
}

TEST_CASE("keys that move together and get owners separately are tracked separately") {
  Keys keys;
  keys.move(0, kAll, keys.fence(0));
  keys.assign(400, kLower, keys.second);
  keys.assign(900, {1000, config::kKeyCount - 1}, keys.second);
  const auto assigned = keys.log.take_assigned();
  REQUIRE(assigned.size() == 2);
  CHECK(assigned[0].without_owner == milliseconds(400));
  CHECK(assigned[1].without_owner == milliseconds(900));
}

TEST_CASE("the cause of a move is derived from the state of the owner") {
  Keys degraded;
  degraded.move(0, kLower, degraded.fence(0), true);
  CHECK(degraded.log.take_moving().at(0).cause == MoveCause::kDegraded);
  Keys leaving;
  leaving.state.apply(common::LogIndex(++leaving.index),
                      ownership::MarkLeaving{leaving.first, true});
  leaving.move(0, kLower, leaving.fence(0), true);
  CHECK(leaving.log.take_moving().at(0).cause == MoveCause::kLeaving);
}

TEST_CASE("moves that the state ignored and gaps begun under a former leader are not logged") {
  Keys keys;
  keys.move(0, kLower, common::Epoch(999));
  CHECK(keys.log.take_moving().empty());
  keys.move(0, kLower, keys.fence(0));
  keys.log.begin_term();
  keys.assign(500, kLower, keys.second);
  const auto assigned = keys.log.take_assigned();
  REQUIRE(assigned.size() == 1);
  CHECK_FALSE(assigned[0].without_owner.has_value());
}

}  // namespace
}  // namespace planktray::controller

/// What the leader's log says of keys that move.

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

/// A keyed service; the first of two back ends owns all keys.
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
  void apply(std::int64_t now, const ownership::ApplyRangePlan& plan, bool is_spared = false) {
    state.apply(common::LogIndex(++index), ownership::Command(plan));
    log.on_applied(at(now), state, common::LogIndex(index), plan,
                   [is_spared](const ownership::BackendRecord&) { return is_spared; });
  }
  void move(std::int64_t now, const ownership::KeyRange& keys, common::Epoch under,
            bool is_spared = false) {
    ownership::ApplyRangePlan plan;
    plan.moves.push_back({service, keys, under, second});
    apply(now, plan, is_spared);
  }
  void assign(std::int64_t now, const ownership::KeyRange& keys, BackendId owner) {
    ownership::ApplyRangePlan plan;
    plan.assignments.push_back({service, keys, fence(keys.first), owner, ""});
    apply(now, plan);
  }
};

TEST_CASE("a move is told with its owners and its cause, and its end with the time between") {
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
  const auto given = keys.log.take_assigned();
  REQUIRE(given.size() == 1);
  CHECK(given[0].to.value == "second");
  CHECK(given[0].without_owner == milliseconds(730));
}

TEST_CASE("keys that moved together and get owners apart are each followed to their end") {
  Keys keys;
  keys.move(0, kAll, keys.fence(0));
  keys.assign(400, kLower, keys.second);
  keys.assign(900, {1000, config::kKeyCount - 1}, keys.second);
  const auto given = keys.log.take_assigned();
  REQUIRE(given.size() == 2);
  CHECK(given[0].without_owner == milliseconds(400));
  CHECK(given[1].without_owner == milliseconds(900));
}

TEST_CASE("why an owner gives up its keys is told by what is known of it") {
  Keys spared;
  spared.move(0, kLower, spared.fence(0), true);
  CHECK(spared.log.take_moving().at(0).cause == MoveCause::kSpared);
  Keys leaving;
  leaving.state.apply(common::LogIndex(++leaving.index),
                      ownership::MarkLeaving{leaving.first, true});
  leaving.move(0, kLower, leaving.fence(0), true);
  CHECK(leaving.log.take_moving().at(0).cause == MoveCause::kLeaving);
}

TEST_CASE("a move that the state ignored is not told, nor a gap that this leader did not see") {
  Keys keys;
  keys.move(0, kLower, common::Epoch(999));
  CHECK(keys.log.take_moving().empty());
  keys.move(0, kLower, keys.fence(0));
  keys.log.begin_term();
  keys.assign(500, kLower, keys.second);
  const auto given = keys.log.take_assigned();
  REQUIRE(given.size() == 1);
  CHECK_FALSE(given[0].without_owner.has_value());
}

}  // namespace
}  // namespace planktray::controller

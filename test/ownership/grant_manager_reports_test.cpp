/// Tests of grants that are sent in the responses to heartbeats.

#include <doctest/doctest.h>

#include "ownership/grant_manager.hpp"

namespace planktray::ownership {
namespace {

using std::chrono::milliseconds;

TimePoint at(std::int64_t value) { return common::from_microseconds(value * 1000); }

constexpr KeyRange kAll;
constexpr KeyRange kLow{0, 999};
/// Time in ms by which all grants of earlier leaders have expired.
constexpr std::int64_t kSettled = 3000;

/// One keyed service with two back ends; x owns all keys.
struct Fixture {
  CellState state;
  GrantOptions options;
  GrantManager manager{options};
  std::uint64_t index = 0;
  ServiceId service;
  BackendId x;
  BackendId y;

  Fixture() {
    config::RouteChange change;
    change.version = 1;
    change.replaces_all = true;
    config::RoutedService keyed;
    keyed.name = common::ServiceName("album");
    keyed.keyed = true;
    change.services.push_back(keyed);
    apply(ChangeRoutes{change});
    service = state.routed_services().begin()->first;
    x = add_backend("x");
    y = add_backend("y");
    assign(kAll, x, "");
    manager.begin_term(at(0), state);
  }

  void apply(const Command& command) { state.apply(LogIndex(++index), command); }
  BackendId add_backend(const std::string& name) {
    RegisterBackend registration;
    registration.machine = common::MachineName(name);
    registration.address = name + ":1";
    registration.pool = common::PoolName("album");
    registration.incarnation = common::Incarnation(name);
    registration.contract = static_cast<std::uint8_t>(OwnershipContract::kReportedGrant);
    apply(registration);
    return BackendId(index);
  }
  const RangeRecord& record(std::uint32_t key = 0) const {
    return state.routed_services().at(service).ranges.record_of(key);
  }
  void assign(const KeyRange& keys, BackendId owner, const std::string& handover) {
    ApplyRangePlan plan;
    plan.assignments.push_back({service, keys, record(keys.first).fence, owner, handover});
    apply(plan);
  }
  void begin_move(const KeyRange& keys) {
    ApplyRangePlan plan;
    plan.moves.push_back({service, keys, record(keys.first).fence, y});
    apply(plan);
  }
  void report(std::int64_t time, BackendId backend, const HoldingsReport& holdings) {
    manager.on_holdings_report(at(time), state, backend, holdings);
  }
  GrantedHoldings answer(std::int64_t time, BackendId backend) {
    return manager.answer_heartbeat(at(time), at(time), state, backend);
  }
  /// Reports that x holds all keys, and returns the response.
  GrantedHoldings heartbeat_with_all_keys(std::int64_t time) {
    report(time, x, {{{kAll, record().fence}}, {}});
    return answer(time, x);
  }
  GrantManager::Availability may_assign(std::int64_t time, std::uint32_t key = 0) const {
    return manager.may_assign(at(time), state, service, record(key));
  }
};

TEST_CASE("a response lists all grants of a back end, and no orders are sent to it") {
  Fixture cell;
  const GrantedHoldings answer = cell.heartbeat_with_all_keys(10);
  REQUIRE(answer.ranges.size() == 1);
  CHECK(answer.ranges[0].keys == kAll);
  CHECK(answer.ranges[0].fence == cell.record().fence);
  CHECK(answer.hold_time == cell.options.reported_hold_time);
  CHECK(cell.answer(11, cell.y).ranges.empty());
  std::vector<GrantOrder> grants;
  std::vector<ReleaseOrder> releases;
  cell.manager.collect(at(20), cell.state, grants, releases);
  CHECK(grants.empty());
  CHECK(releases.empty());
}

TEST_CASE("keys pass on with their handover once a heartbeat no longer lists them") {
  Fixture cell;
  cell.heartbeat_with_all_keys(kSettled);
  cell.begin_move(kLow);
  const Epoch fence = cell.record(5000).fence;
  CHECK(cell.manager.holders_to_notify(at(kSettled + 1)).empty());
  cell.report(kSettled + 20, cell.x, {{{kAll, fence}}, {}});
  CHECK(cell.manager.holders_to_notify(at(kSettled + 40)) == std::set<BackendId>{cell.x});
  const GrantedHoldings answer = cell.answer(kSettled + 40, cell.x);
  REQUIRE(answer.ranges.size() == 1);
  CHECK(answer.ranges[0].keys == KeyRange{1000, kAll.last});
  CHECK_FALSE(cell.may_assign(kSettled + 50).free);
  // Requests for these keys are still running, then they have ended.
  cell.report(kSettled + 60, cell.x, {{{kAll, fence}}, {}});
  CHECK_FALSE(cell.may_assign(kSettled + 61).free);
  cell.report(kSettled + 90, cell.x, {{{{1000, kAll.last}, fence}}, {{kLow, "handover"}}});
  CHECK(cell.may_assign(kSettled + 91).free);
  CHECK(cell.may_assign(kSettled + 91).handover == "handover");
  cell.assign(kLow, cell.y, "handover");
  const GrantedHoldings granted = cell.answer(kSettled + 100, cell.y);
  REQUIRE(granted.ranges.size() == 1);
  CHECK(granted.ranges[0].handover == "handover");
}

TEST_CASE("if the report of a release is lost, the next heartbeat without the keys frees them") {
  Fixture cell;
  cell.heartbeat_with_all_keys(kSettled);
  cell.begin_move(kAll);
  cell.answer(kSettled + 40, cell.x);
  cell.report(kSettled + 900, cell.x, {});
  CHECK(cell.may_assign(kSettled + 901).free);
  CHECK(cell.may_assign(kSettled + 901).handover.empty());
}

TEST_CASE("an unresponsive holder loses its keys when its hold time has expired") {
  Fixture cell;
  cell.heartbeat_with_all_keys(kSettled);
  cell.begin_move(kAll);
  CHECK_FALSE(cell.may_assign(kSettled + 2610).free);
  CHECK_FALSE(cell.may_assign(kSettled + 2690).free);  // its clock may be slow
  CHECK(cell.may_assign(kSettled + 2700).free);
}

TEST_CASE("the hold time counts from the arrival of the heartbeat, even if its response is late") {
  Fixture cell;
  cell.report(kSettled, cell.x, {{{kAll, cell.record().fence}}, {}});
  cell.manager.answer_heartbeat(at(kSettled + 500), at(kSettled), cell.state, cell.x);
  cell.begin_move(kAll);
  CHECK(cell.may_assign(kSettled + 2700).free);
}

TEST_CASE("heartbeats prove nothing about the responses of an earlier leader") {
  Fixture cell;
  cell.begin_move(kAll);
  cell.report(100, cell.x, {});
  CHECK_FALSE(cell.may_assign(101).free);
  cell.report(kSettled, cell.x, {});
  CHECK(cell.may_assign(kSettled + 1).free);
}

TEST_CASE("keys that no response has granted yet are free immediately") {
  Fixture cell;
  cell.heartbeat_with_all_keys(kSettled);
  cell.begin_move(kAll);
  cell.answer(kSettled + 40, cell.x);
  cell.report(kSettled + 50, cell.x, {});
  cell.assign(kAll, cell.y, "");
  CHECK(cell.manager.withdrawals(at(kSettled + 60), cell.state).empty());
  cell.begin_move(kAll);
  cell.answer(kSettled + 70, cell.x);
  CHECK_FALSE(cell.manager.holders_to_notify(at(kSettled + 80)).contains(cell.y));
  CHECK(cell.may_assign(kSettled + 80).free);
}

TEST_CASE("keys that are known to be free are not granted again while they have no new owner") {
  Fixture cell;
  cell.heartbeat_with_all_keys(kSettled);
  cell.begin_move(kAll);
  // The response to the previous heartbeat was lost: this heartbeat lists no keys.
  cell.report(kSettled + 1, cell.x, {});
  CHECK(cell.may_assign(kSettled + 2).free);
  CHECK(cell.answer(kSettled + 3, cell.x).ranges.empty());
}

TEST_CASE("keys whose grant the owner ignores are withdrawn") {
  Fixture cell;
  std::int64_t time = 100;
  for (std::uint32_t i = 0; i <= cell.options.max_ignored_answers; ++i, time += 870) {
    CHECK(cell.manager.withdrawals(at(time), cell.state).empty());
    cell.report(time, cell.x, {});
    cell.answer(time, cell.x);
  }
  cell.report(time, cell.x, {});
  CHECK(cell.manager.withdrawals(at(time), cell.state).size() == 1);
}

TEST_CASE("a new incarnation at the address frees the keys of its predecessor") {
  Fixture cell;
  cell.heartbeat_with_all_keys(kSettled);
  cell.begin_move(kAll);
  RegisterBackend registration;
  registration.machine = common::MachineName("x2");
  registration.address = "x:1";
  registration.pool = common::PoolName("album");
  registration.incarnation = common::Incarnation("x2");
  registration.contract = static_cast<std::uint8_t>(OwnershipContract::kReportedGrant);
  cell.apply(registration);
  CHECK(cell.may_assign(kSettled + 10).free);
}

}  // namespace
}  // namespace planktray::ownership

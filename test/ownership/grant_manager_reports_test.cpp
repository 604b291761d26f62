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
    manager.begin_term(at(0), state, LogIndex());
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
  Fixture fixture;
  const GrantedHoldings answer = fixture.heartbeat_with_all_keys(10);
  REQUIRE(answer.ranges.size() == 1);
  CHECK(answer.ranges[0].keys == kAll);
  CHECK(answer.ranges[0].fence == fixture.record().fence);
  CHECK(answer.hold_time == fixture.options.reported_hold_time);
  CHECK(fixture.answer(11, fixture.y).ranges.empty());
  std::vector<GrantOrder> grants;
  std::vector<ReleaseOrder> releases;
  fixture.manager.collect(at(20), fixture.state, grants, releases);
  CHECK(grants.empty());
  CHECK(releases.empty());
}

TEST_CASE("keys pass on with their handover once a heartbeat no longer lists them") {
  Fixture fixture;
  fixture.heartbeat_with_all_keys(kSettled);
  fixture.begin_move(kLow);
  const Epoch fence = fixture.record(5000).fence;
  CHECK(fixture.manager.holders_to_notify(at(kSettled + 1)).empty());
  fixture.report(kSettled + 20, fixture.x, {{{kAll, fence}}, {}});
  CHECK(fixture.manager.holders_to_notify(at(kSettled + 40)) == std::set<BackendId>{fixture.x});
  const GrantedHoldings answer = fixture.answer(kSettled + 40, fixture.x);
  REQUIRE(answer.ranges.size() == 1);
  CHECK(answer.ranges[0].keys == KeyRange{1000, kAll.last});
  CHECK_FALSE(fixture.may_assign(kSettled + 50).free);
  // Requests for these keys are still running, then they have ended.
  fixture.report(kSettled + 60, fixture.x, {{{kAll, fence}}, {}});
  CHECK_FALSE(fixture.may_assign(kSettled + 61).free);
  fixture.report(kSettled + 90, fixture.x, {{{{1000, kAll.last}, fence}}, {{kLow, "handover"}}});
  CHECK(fixture.may_assign(kSettled + 91).free);
  CHECK(fixture.may_assign(kSettled + 91).handover == "handover");
  fixture.assign(kLow, fixture.y, "handover");
  const GrantedHoldings granted = fixture.answer(kSettled + 100, fixture.y);
  REQUIRE(granted.ranges.size() == 1);
  CHECK(granted.ranges[0].handover == "handover");
}

TEST_CASE("if the report of a release is lost, the next heartbeat without the keys frees them") {
  Fixture fixture;
  fixture.heartbeat_with_all_keys(kSettled);
  fixture.begin_move(kAll);
  fixture.answer(kSettled + 40, fixture.x);
  fixture.report(kSettled + 900, fixture.x, {});
  CHECK(fixture.may_assign(kSettled + 901).free);
  CHECK(fixture.may_assign(kSettled + 901).handover.empty());
}

TEST_CASE("an unresponsive holder loses its keys when its hold time has expired") {
  Fixture fixture;
  fixture.heartbeat_with_all_keys(kSettled);
  fixture.begin_move(kAll);
  CHECK_FALSE(fixture.may_assign(kSettled + 2610).free);
  CHECK_FALSE(fixture.may_assign(kSettled + 2690).free);  // its clock may be slow
  CHECK(fixture.may_assign(kSettled + 2700).free);
}

TEST_CASE("the hold time counts from the arrival of the heartbeat, even if its response is late") {
  Fixture fixture;
  fixture.report(kSettled, fixture.x, {{{kAll, fixture.record().fence}}, {}});
  fixture.manager.answer_heartbeat(at(kSettled + 500), at(kSettled), fixture.state, fixture.x);
  fixture.begin_move(kAll);
  CHECK(fixture.may_assign(kSettled + 2700).free);
}

TEST_CASE("heartbeats prove nothing about the responses of an earlier leader") {
  Fixture fixture;
  fixture.begin_move(kAll);
  fixture.report(100, fixture.x, {});
  CHECK_FALSE(fixture.may_assign(101).free);
  fixture.report(kSettled, fixture.x, {});
  CHECK(fixture.may_assign(kSettled + 1).free);
}

TEST_CASE("keys that no response has granted yet are free immediately") {
  Fixture fixture;
  fixture.heartbeat_with_all_keys(kSettled);
  fixture.begin_move(kAll);
  fixture.answer(kSettled + 40, fixture.x);
  fixture.report(kSettled + 50, fixture.x, {});
  fixture.assign(kAll, fixture.y, "");
  CHECK(fixture.manager.withdrawals(at(kSettled + 60), fixture.state).empty());
  fixture.begin_move(kAll);
  fixture.answer(kSettled + 70, fixture.x);
  CHECK_FALSE(fixture.manager.holders_to_notify(at(kSettled + 80)).contains(fixture.y));
  CHECK(fixture.may_assign(kSettled + 80).free);
}

TEST_CASE("keys that are known to be free are not granted again while they have no new owner") {
  Fixture fixture;
  fixture.heartbeat_with_all_keys(kSettled);
  fixture.begin_move(kAll);
  // The response to the previous heartbeat was lost: this heartbeat lists no keys.
  fixture.report(kSettled + 1, fixture.x, {});
  CHECK(fixture.may_assign(kSettled + 2).free);
  CHECK(fixture.answer(kSettled + 3, fixture.x).ranges.empty());
}

TEST_CASE("keys whose grant the owner ignores are withdrawn") {
  Fixture fixture;
  std::int64_t time = 100;
  for (std::uint32_t i = 0; i <= fixture.options.max_ignored_answers; ++i, time += 870) {
    CHECK(fixture.manager.withdrawals(at(time), fixture.state).empty());
    fixture.report(time, fixture.x, {});
    fixture.answer(time, fixture.x);
  }
  fixture.report(time, fixture.x, {});
  CHECK(fixture.manager.withdrawals(at(time), fixture.state).size() == 1);
}

// Guards against keys that are free because another back end was registered with their owner's
// address: its heartbeat may be late, and the owner running.
TEST_CASE("an owner's keys are free once it is known to have ended, not when another registers") {
  Fixture fixture;
  fixture.heartbeat_with_all_keys(kSettled);
  fixture.begin_move(kAll);
  RegisterBackend registration;
  registration.machine = common::MachineName("x2");
  registration.address = "x:1";
  registration.pool = common::PoolName("album");
  registration.incarnation = common::Incarnation("x2");
  registration.contract = static_cast<std::uint8_t>(OwnershipContract::kReportedGrant);
  fixture.apply(registration);
  CHECK_FALSE(fixture.may_assign(kSettled + 10).free);
  ownership::MarkLeaving ending;
  ending.backend = fixture.x;
  ending.ended = true;
  fixture.apply(ending);
  CHECK(fixture.may_assign(kSettled + 20).free);
}

}  // namespace
}  // namespace planktray::ownership

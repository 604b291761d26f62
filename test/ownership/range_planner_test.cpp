#include "ownership/range_planner.hpp"

#include <doctest/doctest.h>

#include <map>
#include <set>

namespace planktray::ownership {
namespace {

common::TimePoint at(std::int64_t value) { return common::from_microseconds(value * 1000); }

/// A keyed service with targets, the loads reported by routers, and a planner.
struct Fixture {
  CellState state;
  KeyLoads loads{std::chrono::milliseconds(800)};
  RangePlanner planner{RangePlannerOptions()};
  std::map<BackendId, double> capacities;
  std::set<BackendId> ineligible;
  std::set<BackendId> unnotifiable;
  std::map<BackendId, double> max_loads;  ///< maximum requests per second by target
  std::vector<BackendId> targets;
  std::uint64_t index = 0;
  ServiceId service;
  std::int64_t time = 0;

  explicit Fixture(int count) {
    config::RouteChange change;
    change.version = 1;
    change.replaces_all = true;
    config::RoutedService keyed;
    keyed.name = common::ServiceName("ledger");
    keyed.keyed = true;
    change.services.push_back(keyed);
    apply(ChangeRoutes{change});
    service = state.routed_services().begin()->first;
    for (int i = 0; i < count; ++i) {
      add_target(1.0);
    }
  }

  void apply(const Command& command) { state.apply(LogIndex(++index), command); }
  BackendId add_target(double capacity) {
    const std::string name = "t" + std::to_string(index);
    RegisterBackend registration;
    registration.machine = common::MachineName(name);
    registration.address = name + ":1";
    registration.pool = common::PoolName("ledger");
    registration.incarnation = common::Incarnation(name);
    registration.contract = static_cast<std::uint8_t>(OwnershipContract::kFencedGrant);
    apply(registration);
    targets.emplace_back(index);
    capacities[targets.back()] = capacity;
    return targets.back();
  }
  void assign(const KeyRange& keys, BackendId owner) {
    const Epoch fence = state.routed_services().at(service).ranges.record_of(keys.first).fence;
    ApplyRangePlan plan;
    plan.assignments.push_back({service, keys, fence, owner, ""});
    apply(plan);
  }
  ApplyRangePlan plan(bool balance, bool join = false) const {
    RangePlannerInput input{state, loads, {}, {}, {}, {}, balance, join};
    input.must_drain = [](const BackendRecord& backend) { return backend.leaving; };
    input.is_eligible = [&](const BackendRecord& backend) {
      return !backend.leaving && !ineligible.contains(backend.id);
    };
    input.capacity = [&](const BackendRecord& backend) { return capacities.at(backend.id); };
    input.may_assign = [&](ServiceId, const RangeRecord&) {
      return GrantManager::Availability{true, ""};
    };
    input.can_notify = [&](BackendId id) { return !unnotifiable.contains(id); };
    input.max_load = [&](const BackendRecord& backend) {
      const auto found = max_loads.find(backend.id);
      return found == max_loads.end() ? std::nullopt : std::optional(found->second);
    };
    return planner.plan(input);
  }
  /// Plans and applies until nothing changes, as if every release were accepted immediately.
  void settle(bool balance, int rounds = 20) {
    for (int i = 0; i < rounds; ++i) {
      const ApplyRangePlan next = plan(balance);
      if (next.empty()) {
        return;
      }
      apply(next);
    }
  }
  /// Reports this number of requests for each key of a range.
  void report(std::uint32_t first, std::uint32_t last, std::uint32_t requests) {
    for (std::uint32_t key = first; key <= last; ++key) {
      loads.add({{service, key, requests}});
    }
  }
  void fold() {
    time += 1000;
    loads.fold(at(time));
  }
  double load_of(BackendId target) const {
    double sum = 0;
    for (const auto& [first, range] : ranges()) {
      sum += range.owner == target ? loads.rate(service, range.keys) : 0;
    }
    return sum;
  }
  std::uint64_t keys_of(BackendId target) const {
    std::uint64_t sum = 0;
    for (const auto& [first, range] : ranges()) {
      sum += range.owner == target ? range.keys.size() : 0;
    }
    return sum;
  }
  const std::map<std::uint32_t, RangeRecord>& ranges() const {
    return state.routed_services().at(service).ranges.records();
  }
};

TEST_CASE("the first owners get one range each, of even sizes") {
  Fixture fixture(14);
  fixture.settle(false);
  CHECK(fixture.ranges().size() == 14);
  for (const BackendId target : fixture.targets) {
    CHECK(fixture.keys_of(target) >= config::kKeyCount / 15);
  }
}

TEST_CASE("faster targets get more keys") {
  Fixture fixture(2);
  const BackendId fast = fixture.add_target(2.0);
  fixture.settle(false);
  CHECK(fixture.keys_of(fast) > 1.8 * static_cast<double>(fixture.keys_of(fixture.targets[0])));
}

TEST_CASE("a leaving owner is drained, and nothing else moves") {
  Fixture fixture(5);
  fixture.settle(false);
  fixture.apply(MarkLeaving{fixture.targets[2], true, false});
  const ApplyRangePlan plan = fixture.plan(false);
  REQUIRE_FALSE(plan.moves.empty());
  std::uint64_t moved = 0;
  for (const RangeMove& move : plan.moves) {
    CHECK(fixture.ranges().at(plan.moves.front().keys.first).owner == fixture.targets[2]);
    CHECK(move.to != fixture.targets[2]);
    moved += move.keys.size();
  }
  CHECK(moved == fixture.keys_of(fixture.targets[2]));
}

TEST_CASE("even load moves nothing") {
  Fixture fixture(4);
  fixture.settle(false);
  for (std::uint32_t key = 0; key < config::kKeyCount; key += 64) {
    fixture.report(key, key, 1);
  }
  fixture.fold();
  CHECK(fixture.plan(true).empty());
}

// Guards against moves that react to noise: when a leader has just started to observe loads, each
// key has at most one request. Moves for these would leave dozens of keys without an owner for a
// while.
TEST_CASE("keys with one request each are not moved") {
  Fixture fixture(8);
  fixture.settle(false);
  const std::map<std::uint32_t, RangeRecord> before = fixture.ranges();
  const KeyRange first = before.begin()->second.keys;
  for (std::uint32_t i = 0; i < 3; ++i) {
    fixture.report(first.first + 100 * i, first.first + 100 * i, 1);
  }
  fixture.time += 300;
  fixture.loads.fold(at(fixture.time));
  CHECK(fixture.plan(true).moves.empty());
  fixture.report(first.first, first.first + 99, 2);
  fixture.fold();
  CHECK_FALSE(fixture.plan(true).moves.empty());
}

TEST_CASE("a dense cluster of busy keys is spread by moving few keys") {
  Fixture fixture(10);
  fixture.settle(false);
  for (int i = 0; i < 5; ++i) {
    fixture.report(1000, 1199, 2);
    fixture.fold();
  }
  std::uint64_t moved = 0;
  for (int i = 0; i < 10; ++i) {
    const ApplyRangePlan plan = fixture.plan(true);
    for (const RangeMove& move : plan.moves) {
      moved += move.keys.size();
    }
    fixture.apply(plan);
    fixture.settle(false);
  }
  const double mean = fixture.loads.rate(fixture.service, KeyRange()) / 10;
  for (const BackendId target : fixture.targets) {
    CHECK(fixture.load_of(target) < 1.7 * mean);
  }
  CHECK(moved < config::kKeyCount / 20);
}

TEST_CASE("a key with more load than a target's share gets the fastest target exclusively") {
  Fixture fixture(6);
  const BackendId fast = fixture.add_target(2.0);
  fixture.settle(false);
  for (int i = 0; i < 4; ++i) {
    fixture.report(30'000, 30'000, 60);
    for (std::uint32_t key = 0; key < config::kKeyCount; key += 1000) {
      fixture.report(key, key, 1);
    }
    fixture.fold();
  }
  fixture.apply(fixture.plan(true));
  fixture.settle(false);
  CHECK(fixture.state.routed_services().at(fixture.service).ranges.record_of(30'000).owner == fast);
  CHECK(fixture.keys_of(fast) == 1);
}

TEST_CASE("a burst above all smoothed load does not cause a plan of single keys") {
  Fixture fixture(14);
  fixture.settle(false);
  fixture.report(5, 5, 400);
  fixture.time += 50;
  fixture.loads.fold(at(fixture.time + 50));
  const ApplyRangePlan plan = fixture.plan(true);
  CHECK(plan.moves.size() < 60);
}

TEST_CASE("a target without keys is given keys") {
  Fixture fixture(4);
  fixture.settle(false);
  const BackendId empty = fixture.add_target(1.0);
  for (int i = 0; i < 5; ++i) {
    for (std::uint32_t key = 0; key < config::kKeyCount; key += 32) {
      fixture.report(key, key, 1);
    }
    fixture.fold();
  }
  fixture.apply(fixture.plan(true));
  fixture.settle(false);
  CHECK(fixture.keys_of(empty) > config::kKeyCount / 12);
}

TEST_CASE("without an eligible target nothing is planned") {
  Fixture fixture(2);
  fixture.ineligible = {fixture.targets[0], fixture.targets[1]};
  CHECK(fixture.plan(true).empty());
}

TEST_CASE("adjacent ranges of one owner are joined, those of two owners and moving ones are not") {
  Fixture fixture(2);
  const BackendId x = fixture.targets[0];
  const BackendId y = fixture.targets[1];
  fixture.assign({0, 999}, x);
  fixture.assign({1000, 1999}, x);
  fixture.assign({2000, 2999}, y);
  fixture.assign({3000, 3999}, x);
  fixture.assign({4000, config::kKeyCount - 1}, x);
  CHECK(fixture.plan(false, false).joins.empty());
  const auto joins = fixture.plan(false, true).joins;
  REQUIRE(joins.size() == 2);
  CHECK(joins[0].keys == KeyRange{0, 1999});
  CHECK(joins[0].owner == x);
  CHECK(joins[1].keys == KeyRange{3000, config::kKeyCount - 1});

  ApplyRangePlan move;
  const Epoch fence = fixture.ranges().at(1000).fence;
  move.moves.push_back({fixture.service, {1000, 1999}, fence, y});
  fixture.apply(move);
  for (const RangeJoin& join : fixture.plan(false, true).joins) {
    CHECK_FALSE(join.keys.overlaps({0, 1999}));
  }
}

TEST_CASE("idle keys between two ranges of one owner move to that owner, busy ones stay") {
  Fixture fixture(2);
  const BackendId x = fixture.targets[0];
  const BackendId y = fixture.targets[1];
  fixture.assign({0, 29'999}, x);
  fixture.assign({30'000, config::kKeyCount - 1}, y);
  fixture.assign({1000, 1009}, y);
  fixture.assign({2000, 2009}, y);
  for (int i = 0; i < 5; ++i) {
    fixture.report(2000, 2009, 5);  // busy
    fixture.report(10'000, 10'049, 1);
    fixture.report(40'000, 40'099, 1);
    fixture.fold();
  }
  const ApplyRangePlan plan = fixture.plan(false, true);
  REQUIRE(plan.moves.size() == 1);
  CHECK(plan.moves[0].keys == KeyRange{1000, 1009});
  CHECK(plan.moves[0].to == x);
  for (const RangeJoin& join : plan.joins) {
    CHECK_FALSE(join.keys.overlaps({0, 1999}));
  }
}

TEST_CASE("balancing splits no ranges above the limit per target") {
  Fixture fixture(6);
  fixture.settle(false);
  for (std::uint32_t turn = 0; turn < 30; ++turn) {
    const std::uint32_t first = turn * 2000;
    for (int i = 0; i < 4; ++i) {
      fixture.report(first, first + 40, 10);
      fixture.fold();
    }
    fixture.settle(true);
  }
  CHECK(fixture.ranges().size() <= 6 * 4 + 2);
}

TEST_CASE(
    "balancing moves keys only off owners that can be notified, but leaving owners are drained") {
  Fixture fixture(4);
  fixture.settle(false);
  const BackendId owner = fixture.ranges().begin()->second.owner;
  const std::uint32_t first = fixture.ranges().begin()->first;
  for (int i = 0; i < 10; ++i) {
    fixture.report(first, first + 40, 30);
    fixture.fold();
  }
  fixture.unnotifiable = {owner};
  for (const RangeMove& move : fixture.plan(true).moves) {
    CHECK(fixture.state.routed_services()
              .at(fixture.service)
              .ranges.record_of(move.keys.first)
              .owner != owner);
  }
  fixture.apply(MarkLeaving{owner, true, false});
  CHECK_FALSE(fixture.plan(false).moves.empty());
  fixture.apply(MarkLeaving{owner, false, false});
  fixture.unnotifiable.clear();
  CHECK_FALSE(fixture.plan(true).moves.empty());
}

/// Assigns a quarter of the keys to each of four owners, with evenly distributed load.
void assign_evenly(Fixture& fixture, std::uint32_t requests) {
  constexpr std::uint32_t kQuarter = config::kKeyCount / 4;
  for (std::uint32_t i = 0; i < 4; ++i) {
    fixture.assign({i * kQuarter, (i + 1) * kQuarter - 1}, fixture.targets[i]);
  }
  for (int second = 0; second < 5; ++second) {
    for (std::uint32_t key = 0; key < config::kKeyCount; key += 512) {
      fixture.report(key, key, requests);
    }
    fixture.fold();
  }
}

TEST_CASE("an owner with a maximum load keeps keys with about that load") {
  Fixture fixture(4);
  assign_evenly(fixture, 1);  // 32 requests per second each
  fixture.max_loads[fixture.targets[0]] = 2;
  fixture.settle(true);
  CHECK(fixture.load_of(fixture.targets[0]) <= 2.5);
  CHECK(fixture.load_of(fixture.targets[0]) > 0);  // it still gets some requests
  for (std::size_t i = 1; i < 4; ++i) {
    CHECK(fixture.load_of(fixture.targets[i]) < 1.4 * 128 / 3);
  }
}

TEST_CASE("a maximum load below that of one key does not prevent balancing of other targets") {
  Fixture fixture(4);
  assign_evenly(fixture, 1);
  for (int second = 0; second < 5; ++second) {
    fixture.report(3, 3, 6);  // at the target with a maximum load
    fixture.report(40'000, 40'000, 1);
    for (std::uint32_t key = 49'152; key < config::kKeyCount; key += 512) {
      fixture.report(key, key, 4);  // the last target is overloaded
    }
    fixture.fold();
  }
  fixture.max_loads[fixture.targets[0]] = 1;
  fixture.settle(true);
  CHECK(fixture.load_of(fixture.targets[0]) <= 6.5);
  CHECK(fixture.load_of(fixture.targets[3]) < 100);
}

TEST_CASE("if all owners have a maximum load, all keep keys") {
  Fixture fixture(4);
  assign_evenly(fixture, 1);
  for (const BackendId target : fixture.targets) {
    fixture.max_loads[target] = 3;
  }
  fixture.settle(true);
  for (const BackendId target : fixture.targets) {
    CHECK(fixture.load_of(target) == doctest::Approx(32).epsilon(0.45));
  }
}

TEST_CASE("demand is not too low shortly after clear() and follows a jump immediately") {
  KeyLoads loads(std::chrono::milliseconds(3000));
  const ServiceId service(1);
  loads.clear(at(0));
  CHECK(loads.demand(service, KeyRange()) == 0);
  const auto fold = [&](std::int64_t time, std::uint32_t requests) {
    loads.add({{service, 7, requests}});
    loads.fold(at(time));
  };
  fold(500, 5);
  fold(1000, 5);
  CHECK(loads.observed_time() == std::chrono::milliseconds(1000));
  CHECK(loads.demand(service, KeyRange()) == doctest::Approx(10).epsilon(0.15));
  fold(1300, 30);
  CHECK(loads.demand(service, KeyRange()) == doctest::Approx(100).epsilon(0.01));
  CHECK(loads.demand(service, KeyRange{8, 9}) == 0);
}

}  // namespace
}  // namespace planktray::ownership

#include "ownership/range_planner.hpp"

#include <doctest/doctest.h>

#include <algorithm>
#include <iterator>
#include <map>
#include <set>

namespace planktray::ownership {
namespace {

common::TimePoint at(std::int64_t value) { return common::from_microseconds(value * 1000); }

/// A keyed service with some targets, what routers reported of it, and a planner.
struct Fixture {
  CellState state;
  KeyLoads loads{std::chrono::milliseconds(800)};
  RangePlanner planner{RangePlannerOptions()};
  std::map<BackendId, double> capacities;
  std::set<BackendId> ineligible;
  std::set<BackendId> out_of_hearing;
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
    return planner.plan(planner_input(balance, join));
  }
  RangePlannerInput planner_input(bool balance, bool join) const {
    RangePlannerInput input{state, loads, {}, {}, {}, {}, balance, join};
    input.must_be_emptied = [](const BackendRecord& backend) { return backend.leaving; };
    input.is_eligible = [&](const BackendRecord& backend) {
      return !backend.leaving && !ineligible.contains(backend.id);
    };
    input.capacity = [&](const BackendRecord& backend) { return capacities.at(backend.id); };
    input.may_assign = [&](ServiceId, const RangeRecord&) {
      return GrantManager::Verdict{true, ""};
    };
    input.can_be_told = [&](BackendId id) { return !out_of_hearing.contains(id); };
    return input;
  }
  /// Plans and applies, as if every release were answered at once, until nothing changes.
  void settle(bool balance, int rounds = 20) {
    for (int i = 0; i < rounds; ++i) {
      const ApplyRangePlan next = plan(balance);
      if (next.empty()) {
        return;
      }
      apply(next);
    }
  }
  /// `rate` requests a second for each of these keys, seen for as long as is needed to settle.
  void report(std::uint32_t first, std::uint32_t last, std::uint32_t rate) {
    for (std::uint32_t key = first; key <= last; ++key) {
      loads.add({{service, key, rate}});
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

TEST_CASE("the first owners get even parts, one range each") {
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

TEST_CASE("a leaving owner is emptied, and nothing else moves") {
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

TEST_CASE("a dense cluster of busy keys is spread, and few keys move") {
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

TEST_CASE("a key busier than a target's share gets the fastest target for itself") {
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

TEST_CASE("a burst that exceeds all smoothed load makes no plan of single keys") {
  Fixture fixture(14);
  fixture.settle(false);
  fixture.report(5, 5, 400);
  fixture.time += 50;
  fixture.loads.fold(at(fixture.time + 50));
  const ApplyRangePlan plan = fixture.plan(true);
  CHECK(plan.moves.size() < 60);
}

TEST_CASE("a target that has lost everything is given keys again") {
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

TEST_CASE("neighbours of one owner are joined, those of two owners and moving ones are not") {
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

TEST_CASE("idle keys between two ranges of one owner go back to it, busy ones stay") {
  Fixture fixture(2);
  const BackendId x = fixture.targets[0];
  const BackendId y = fixture.targets[1];
  fixture.assign({0, 29'999}, x);
  fixture.assign({30'000, config::kKeyCount - 1}, y);
  fixture.assign({1000, 1009}, y);
  fixture.assign({2000, 2009}, y);
  for (int i = 0; i < 5; ++i) {
    fixture.report(2000, 2009, 5);  // busy now
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

TEST_CASE("balance splits no more ranges than targets can be renewed for") {
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

TEST_CASE("keys move for balance only from owners that can be told, but leaving ones are emptied") {
  Fixture cell(4);
  cell.settle(false);
  const BackendId owner = cell.ranges().begin()->second.owner;
  const std::uint32_t first = cell.ranges().begin()->first;
  for (int i = 0; i < 10; ++i) {
    cell.report(first, first + 40, 30);
    cell.fold();
  }
  cell.out_of_hearing = {owner};
  for (const RangeMove& move : cell.plan(true).moves) {
    CHECK(cell.state.routed_services().at(cell.service).ranges.record_of(move.keys.first).owner !=
          owner);
  }
  cell.apply(MarkLeaving{owner, true, false});
  CHECK_FALSE(cell.plan(false).moves.empty());
  cell.apply(MarkLeaving{owner, false, false});
  cell.out_of_hearing.clear();
  CHECK_FALSE(cell.plan(true).moves.empty());
}

/// A service of many targets in use, and keys of one of them that become hot.
struct Spell : Fixture {
  KeyRange hot_keys;

  Spell(int count, std::uint32_t keys, double rate) : Fixture(count) {
    settle(false);
    for (int i = 0; i < 5; ++i) {
      for (std::uint32_t key = 0; key < config::kKeyCount; key += 64) {
        report(key, key, 1);
      }
      fold();
    }
    const KeyRange whole = std::next(ranges().begin(), count / 2)->second.keys;
    hot_keys = {whole.first + 10, whole.first + 9 + keys};
    begin(rate);
  }
  void begin(double rate) {
    std::vector<KeyRate> rates;
    for (std::uint32_t key = hot_keys.first; key <= hot_keys.last; ++key) {
      rates.push_back({key, rate / hot_keys.size()});
    }
    loads.replace(service, hot_keys, rates);
  }
  ApplyRangePlan plan_hot() const {
    RangePlannerInput input = planner_input(false, false);
    input.hot.push_back({service, hot_keys});
    return planner.plan(input);
  }
  double heaviest() const {
    double most = 0;
    for (const BackendId target : targets) {
      most = std::max(most, load_of(target) / capacities.at(target));
    }
    return most;
  }
  double mean() const {
    return loads.rate(service, KeyRange()) / static_cast<double>(targets.size());
  }
};

TEST_CASE("hot keys are split over targets with room in one plan") {
  for (const std::uint32_t keys : {60U, 200U}) {
    Spell spell(232, keys, 400);
    const double before = spell.heaviest();
    const ApplyRangePlan plan = spell.plan_hot();
    CHECK(plan.moves.size() > 30);
    CHECK(plan.moves.size() <= RangePlannerOptions().concurrent_hot_moves);
    spell.apply(plan);
    spell.settle(false);
    CHECK(before > 50 * spell.mean());
    CHECK(spell.heaviest() < 3 * spell.mean());
    // Its owner keeps no more than others have.
    CHECK(spell.load_of(spell.targets[116]) < 3 * spell.mean());
  }
}

TEST_CASE("hot keys go to fast targets first") {
  Spell spell(40, 20, 30);
  for (std::size_t i = 0; i < 10; ++i) {
    spell.capacities[spell.targets[i]] = 2.0;
  }
  std::size_t to_fast = 0;
  const ApplyRangePlan plan = spell.plan_hot();
  REQUIRE_FALSE(plan.moves.empty());
  for (const RangeMove& move : plan.moves) {
    to_fast += spell.capacities.at(move.to) > 1.0 ? 1 : 0;
  }
  CHECK(to_fast == plan.moves.size());
}

TEST_CASE("keys that are hot, but not too many requests for their owner, stay where they are") {
  Spell spell(4, 60, 5);
  CHECK(spell.plan_hot().empty());
}

TEST_CASE("when a spell is over its keys stay where they are, and idle ones are joined in time") {
  Spell spell(232, 60, 400);
  spell.apply(spell.plan_hot());
  spell.settle(false);
  spell.begin(0);
  const ApplyRangePlan plan = spell.plan(true);
  for (const RangeMove& move : plan.moves) {
    CHECK_FALSE(move.keys.overlaps(spell.hot_keys));
  }
}

TEST_CASE("a target whose keys fit nowhere keeps no other from being relieved") {
  Fixture cell(8);
  cell.settle(false);
  const std::uint32_t single = std::next(cell.ranges().begin(), 1)->first;
  const std::uint32_t spread = std::next(cell.ranges().begin(), 5)->first;
  for (int i = 0; i < 20; ++i) {
    for (std::uint32_t key = 0; key < config::kKeyCount; key += 128) {
      cell.report(key, key, 2);
    }
    cell.report(single, single, 180);
    cell.report(spread, spread + 120, 1);
    cell.fold();
  }
  const BackendId heavy =
      cell.state.routed_services().at(cell.service).ranges.record_of(spread).owner;
  const ApplyRangePlan plan = cell.plan(true);
  const bool is_relieved =
      std::any_of(plan.moves.begin(), plan.moves.end(), [&](const RangeMove& move) {
        return cell.state.routed_services()
                   .at(cell.service)
                   .ranges.record_of(move.keys.first)
                   .owner == heavy;
      });
  CHECK(is_relieved);
}

}  // namespace
}  // namespace planktray::ownership

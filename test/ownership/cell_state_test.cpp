#include "ownership/cell_state.hpp"

#include <doctest/doctest.h>

#include "routing/table.hpp"

namespace planktray::ownership {
namespace {

const std::string kTemplate =
    R"({"template":"t","service":[{"name":"s","pool":"p","keyed":true,"shards":4,"hash_seed":1,
        "slots":1,"connections":1,"repeatable_methods":["GET"]}]})";
const std::string kTenant = R"({"tenant":"a","template":"t","zones":[],"targets":{"s":1}})";

struct Fixture {
  CellState state;
  std::uint64_t index = 0;

  ApplyResult apply(const Command& command) { return state.apply(LogIndex(++index), command); }

  ChangeAnswer change(DeclarationKind kind, const std::string& name, std::uint64_t replaces,
                      const std::string& id, const std::string& document) {
    return *apply(ChangeDeclaration{static_cast<std::uint8_t>(kind), name,
                                    common::Revision(replaces), common::ChangeId(id), document})
                .answer;
  }

  Fixture() {
    CHECK(change(DeclarationKind::kTemplate, "t", 0, "c1", kTemplate).change_status() ==
          ChangeStatus::kAccepted);
    CHECK(change(DeclarationKind::kTenant, "a", 0, "c2", kTenant).change_status() ==
          ChangeStatus::kAccepted);
  }
};

TEST_CASE("the change committed first wins, and the other gets a conflict that names it") {
  Fixture fixture;
  const auto first = fixture.change(DeclarationKind::kTenant, "a", 1, "c3", kTenant);
  const auto second = fixture.change(DeclarationKind::kTenant, "a", 1, "c4", kTenant);
  CHECK(first.revision == common::Revision(2));
  CHECK(second.change_status() == ChangeStatus::kConflict);
  CHECK(second.winner == common::ChangeId("c3"));
  CHECK(second.revision == common::Revision(2));
}

TEST_CASE("a resend gets the result of the first change, even after a snapshot") {
  Fixture fixture;
  const auto first = fixture.change(DeclarationKind::kTenant, "a", 1, "c3", kTenant);
  auto restored = CellState::decode_snapshot(fixture.state.encode_snapshot());
  REQUIRE(restored.has_value());
  fixture.state = std::move(*restored);
  const auto again = fixture.change(DeclarationKind::kTenant, "a", 1, "c3", kTenant);
  CHECK(again.change_status() == ChangeStatus::kAccepted);
  CHECK(again.revision == first.revision);
  CHECK(again.index == first.index);
}

TEST_CASE("revisions of a withdrawn tenant are never reused") {
  Fixture fixture;
  CHECK(fixture.change(DeclarationKind::kTenant, "a", 1, "c3", "").revision == common::Revision(2));
  CHECK(fixture.change(DeclarationKind::kTenant, "a", 0, "c4", kTenant).change_status() ==
        ChangeStatus::kConflict);
  CHECK(fixture.change(DeclarationKind::kTenant, "a", 2, "c5", kTenant).revision ==
        common::Revision(3));
}

TEST_CASE("an invalid declaration changes nothing") {
  Fixture fixture;
  const auto answer = fixture.change(DeclarationKind::kTenant, "a", 1, "c3", R"({"tenant":"a"})");
  CHECK(answer.change_status() == ChangeStatus::kInvalid);
  CHECK_FALSE(answer.message.empty());
  CHECK(fixture.state.declarations(DeclarationKind::kTenant).at("a").revision ==
        common::Revision(1));
}

TEST_CASE("an assignment has its entry's index as epoch, and an outdated one is ignored") {
  Fixture fixture;
  fixture.apply(RegisterBackend{common::MachineName("m"), "x", common::ZoneName("z"),
                                common::PoolName("p"), common::Incarnation("i")});
  const common::BackendId backend(fixture.index);
  const common::ServiceId service = fixture.state.services().begin()->first;
  ApplyPlan plan;
  plan.targets = {{service, {backend}}};
  const Epoch first = fixture.state.find_shard({service, ShardNumber(0)})->epoch;
  plan.assignments = {{service, ShardNumber(0), first, backend}};
  fixture.apply(plan);
  const Epoch epoch(fixture.index);
  CHECK(fixture.state.find_shard({service, ShardNumber(0)})->epoch == epoch);
  fixture.apply(plan);  // expects the first epoch, which is outdated
  CHECK(fixture.state.find_shard({service, ShardNumber(0)})->epoch == epoch);
  const GrantSet grants = fixture.state.grants_of(backend);
  REQUIRE(grants.grants.size() == 1);
  CHECK(grants.grants[0].epoch == epoch);
}

TEST_CASE("a decoded snapshot is the same state") {
  Fixture fixture;
  const std::string bytes = fixture.state.encode_snapshot();
  const auto restored = CellState::decode_snapshot(bytes);
  REQUIRE(restored.has_value());
  CHECK(restored->encode_snapshot() == bytes);
  CHECK(restored->applied() == fixture.state.applied());
  CHECK_FALSE(CellState::decode_snapshot(bytes.substr(0, bytes.size() / 2)).has_value());
}

// Guards against an order of registrations that is taken for the order of the processes' lives.
TEST_CASE("a registration ends no other back end, and an ended one is not registered again") {
  Fixture fixture;
  const auto register_at = [&](const std::string& incarnation) {
    RegisterBackend registration;
    registration.machine = common::MachineName(incarnation);
    registration.address = "10.0.0.1:80";
    registration.pool = common::PoolName("album");
    registration.incarnation = common::Incarnation(incarnation);
    registration.contract = static_cast<std::uint8_t>(OwnershipContract::kFencedGrant);
    fixture.apply(registration);
  };
  register_at("first");
  register_at("second");
  const BackendRecord* first = fixture.state.find_incarnation(common::Incarnation("first"));
  REQUIRE(first != nullptr);
  CHECK_FALSE(first->ended);
  CHECK(fixture.state.candidates_at("10.0.0.1:80").size() == 2);
  CHECK(fixture.state.is_shared_address("10.0.0.1:80"));
  MarkLeaving ending;
  ending.backend = first->id;
  ending.ended = true;
  fixture.apply(ending);
  CHECK(first->ended);
  CHECK(fixture.state.candidates_at("10.0.0.1:80").size() == 1);
  ApplyRangePlan plan;
  plan.removed.push_back(first->id);
  fixture.apply(plan);
  auto restored = CellState::decode_snapshot(fixture.state.encode_snapshot());
  REQUIRE(restored.has_value());
  fixture.state = std::move(*restored);
  CHECK_FALSE(fixture.state.is_shared_address("10.0.0.1:80"));
  register_at("first");  // a network partition has delayed its heartbeat
  CHECK(fixture.state.find_incarnation(common::Incarnation("first")) == nullptr);
  const BackendRecord* second = fixture.state.find_incarnation(common::Incarnation("second"));
  REQUIRE(second != nullptr);
  CHECK_FALSE(second->ended);
}

/// Registers a back end with fenced grants in a zone.
BackendId register_in(Fixture& fixture, const std::string& name, const std::string& zone,
                      bool cold = false) {
  RegisterBackend registration;
  registration.machine = common::MachineName(name);
  registration.address = name + ":80";
  registration.zone = common::ZoneName(zone);
  registration.pool = common::PoolName("album");
  registration.incarnation = common::Incarnation(name);
  registration.contract = static_cast<std::uint8_t>(OwnershipContract::kFencedGrant);
  registration.cold = cold;
  fixture.apply(registration);
  return BackendId(fixture.index);
}

/// A router's table that applies every delta.
struct RouterTable {
  routing::RoutingTable table;

  void apply(const routing::TableDelta& delta) {
    routing::TableUpdate update;
    update.base_index = delta.from;
    update.current_index = delta.to;
    update.deltas = {delta};
    table.apply(update);
  }
};

TEST_CASE("an evacuation lasts until it is ended, across repeated commands and snapshots") {
  Fixture fixture;
  const common::ZoneName zone("north");
  const BackendId id = register_in(fixture, "a", "north");
  CHECK(fixture.apply(EvacuateZone{zone, true}).delta.zones.size() == 1);
  CHECK(fixture.apply(EvacuateZone{zone, true}).delta.empty());  // the same command again
  auto restored = CellState::decode_snapshot(fixture.state.encode_snapshot());
  REQUIRE(restored.has_value());
  fixture.state = std::move(*restored);
  CHECK(fixture.state.is_evacuated(*fixture.state.find_backend(id)));
  const routing::TableDelta snapshot = fixture.state.table_snapshot();
  REQUIRE(snapshot.zones.size() == 1);
  CHECK(snapshot.zones[0].evacuated);
  CHECK(fixture.apply(EvacuateZone{zone, false}).delta.zones.size() == 1);
  CHECK_FALSE(fixture.state.is_evacuated(*fixture.state.find_backend(id)));
  CHECK(fixture.state.table_snapshot().zones.empty());
  CHECK(fixture.apply(EvacuateZone{zone, false}).delta.empty());
}

TEST_CASE(
    "back ends are cold after the evacuation of their zone, in the state and in router tables") {
  Fixture fixture;
  RouterTable router;
  const BackendId inside = register_in(fixture, "a", "north");
  const BackendId outside = register_in(fixture, "b", "south");
  router.apply(fixture.state.table_snapshot());
  for (const bool evacuated : {true, false}) {
    router.apply(fixture.apply(EvacuateZone{common::ZoneName("north"), evacuated}).delta);
    CHECK(router.table.is_evacuated(*router.table.find_backend(inside)) == evacuated);
    CHECK_FALSE(router.table.is_evacuated(*router.table.find_backend(outside)));
  }
  CHECK(fixture.state.find_backend(inside)->cold);
  CHECK(router.table.find_backend(inside)->cold);
  CHECK_FALSE(fixture.state.find_backend(outside)->cold);
  CHECK_FALSE(router.table.find_backend(outside)->cold);
  const ApplyResult warmed = fixture.apply(SetWarmth{{outside}, {inside}});
  CHECK(warmed.delta.backends.empty());  // warmth entries only, not whole routes
  router.apply(warmed.delta);
  CHECK_FALSE(router.table.find_backend(inside)->cold);
  CHECK(router.table.find_backend(outside)->cold);
}

TEST_CASE("a back end that registers as cold is cold in the table from the start") {
  Fixture fixture;
  RouterTable router;
  router.apply(fixture.state.table_snapshot());
  const BackendId id = register_in(fixture, "a", "north", true);
  router.apply(fixture.state.table_snapshot());
  CHECK(fixture.state.find_backend(id)->cold);
  CHECK(router.table.find_backend(id)->cold);
}

}  // namespace
}  // namespace planktray::ownership

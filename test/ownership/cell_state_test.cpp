#include "ownership/cell_state.hpp"

#include <doctest/doctest.h>

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

TEST_CASE("first to commit wins, and the other sees the winner") {
  Fixture fixture;
  const auto first = fixture.change(DeclarationKind::kTenant, "a", 1, "c3", kTenant);
  const auto second = fixture.change(DeclarationKind::kTenant, "a", 1, "c4", kTenant);
  CHECK(first.revision == common::Revision(2));
  CHECK(second.change_status() == ChangeStatus::kConflict);
  CHECK(second.winner == common::ChangeId("c3"));
  CHECK(second.revision == common::Revision(2));
}

TEST_CASE("a resend gets the first answer, also after a snapshot") {
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

TEST_CASE("revisions of a withdrawn tenant are never used again") {
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
  fixture.apply(plan);  // expects the first epoch, which is gone
  CHECK(fixture.state.find_shard({service, ShardNumber(0)})->epoch == epoch);
  const GrantSet grants = fixture.state.grants_of(backend);
  REQUIRE(grants.grants.size() == 1);
  CHECK(grants.grants[0].epoch == epoch);
}

TEST_CASE("a snapshot is the same state") {
  Fixture fixture;
  const std::string bytes = fixture.state.encode_snapshot();
  const auto restored = CellState::decode_snapshot(bytes);
  REQUIRE(restored.has_value());
  CHECK(restored->encode_snapshot() == bytes);
  CHECK(restored->applied() == fixture.state.applied());
  CHECK_FALSE(CellState::decode_snapshot(bytes.substr(0, bytes.size() / 2)).has_value());
}

TEST_CASE("a late heartbeat of a back end that has ended does not end the one after it") {
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
  CHECK(first->ended);
  ApplyRangePlan plan;
  plan.removed.push_back(first->id);
  fixture.apply(plan);
  auto restored = CellState::decode_snapshot(fixture.state.encode_snapshot());
  REQUIRE(restored.has_value());
  fixture.state = std::move(*restored);
  register_at("first");  // its heartbeat was held up by a cut
  CHECK(fixture.state.find_incarnation(common::Incarnation("first")) == nullptr);
  const BackendRecord* second = fixture.state.find_incarnation(common::Incarnation("second"));
  REQUIRE(second != nullptr);
  CHECK_FALSE(second->ended);
}

}  // namespace
}  // namespace planktray::ownership

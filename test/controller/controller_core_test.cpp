/// ControllerCore in a cell of three replicas.

#include "controller/core/controller_core.hpp"

#include <doctest/doctest.h>

#include <array>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "cell.hpp"

namespace planktray::controller {
namespace {

constexpr std::size_t kReplicas = testing::kCellReplicas;

using testing::Cell;

TimePoint at(std::int64_t value) { return testing::at_ms(value); }

/// The record of the back end "instance" in a replica's committed state; nullptr where there is
/// none.
const ownership::BackendRecord* committed_record(const Cell& cell, std::size_t replica) {
  return cell.replicas[replica]->state().find_incarnation(common::Incarnation("instance"));
}

TEST_CASE("a follower accepts heartbeats and acknowledges updates once they are committed") {
  Cell cell;
  const std::size_t follower = cell.follower();
  const std::uint64_t at_leader = cell.replicas[cell.leader()]->counters().heartbeats;
  CHECK(cell.heartbeat(follower, 1, false));  // registers the back end
  REQUIRE(committed_record(cell, follower) != nullptr);
  CHECK(cell.heartbeat(follower, 2, false));
  CHECK(cell.heartbeat(follower, 3, true));
  CHECK(committed_record(cell, follower)->leaving);
  CHECK(committed_record(cell, cell.leader())->leaving);
  CHECK(cell.heartbeat(follower, 4, true));
  CHECK(cell.replicas[cell.leader()]->counters().heartbeats == at_leader);
}

TEST_CASE("a follower that cannot reach the leader acknowledges no update") {
  Cell cell;
  const std::size_t follower = cell.follower();
  CHECK(cell.heartbeat(follower, 1, false));
  cell.cut[follower] = true;
  CHECK_FALSE(cell.heartbeat(follower, 2, true, 2000));
  CHECK_FALSE(committed_record(cell, follower)->leaving);
  bool has_failed = false;
  for (const Completion& completion : cell.completions) {
    const auto* command = std::get_if<CommandCompleted>(&completion);
    has_failed = has_failed || (command != nullptr && !command->index.has_value());
  }
  CHECK(has_failed);  // so that the sender tries another controller
}

TEST_CASE("a follower accepts a deregistration, and a later heartbeat does not undo it") {
  Cell cell;
  const std::size_t follower = cell.follower();
  CHECK(cell.heartbeat(follower, 1, false));
  cell.completions.clear();
  ControllerCore& core = *cell.replicas[follower];
  core.deregister(at(cell.time), core.new_request(), common::Incarnation("instance"));
  cell.run_for(50);
  REQUIRE(cell.completions.size() == 1);
  CHECK(std::get<CommandCompleted>(cell.completions[0]).index.has_value());
  CHECK(core.state().has_departed(common::Incarnation("instance")));
  CHECK(cell.heartbeat(follower, 2, false));
  CHECK(core.state().has_departed(common::Incarnation("instance")));
}

TEST_CASE("a leader redirects heartbeats of back ends to followers that are present") {
  Cell cell;
  const ControllerCore& leader = *cell.replicas[cell.leader()];
  const std::string own = leader.options().operator_address;
  std::set<std::string> named;
  for (int i = 0; i < 20; ++i) {
    named.insert(
        leader.heartbeat_address(at(cell.time), common::Incarnation(std::to_string(i))).value());
  }
  CHECK(named.size() == kReplicas - 1);
  CHECK_FALSE(named.contains(own));
  const ControllerCore& follower = *cell.replicas[cell.follower()];
  CHECK(follower.heartbeat_address(at(cell.time), common::Incarnation("1")) ==
        follower.options().operator_address);
}

/// Guards against heartbeats that cross zones: at 10,000 back ends they were half of all bytes
/// between zones.
TEST_CASE("back ends find controllers of their own zone where there are enough of them") {
  Cell cell({"a", "a", "b"});
  cell.backend_zone = common::ZoneName("a");
  const common::Incarnation sender("instance");
  for (std::size_t i = 0; i < kReplicas; ++i) {
    REQUIRE(cell.heartbeat(i, i + 1, false));
  }
  cell.run_for(1000);
  for (std::size_t i = 0; i < kReplicas; ++i) {
    const ControllerCore& core = *cell.replicas[i];
    const auto named = core.heartbeat_address(at(cell.time), sender);
    const bool is_own_zone = i < 2;
    if (i != cell.leader()) {
      CHECK(named == (is_own_zone ? std::optional(core.options().operator_address) : std::nullopt));
    } else if (is_own_zone) {
      CHECK(named == cell.replicas[1 - i]->options().operator_address);
    }
  }
}

TEST_CASE("a leader without confirmed leadership does not redirect callers to itself") {
  Cell cell;
  const std::size_t leader = cell.leader();
  cell.cut = {true, true, true};
  while (cell.replicas[leader]->is_serving(at(cell.time))) {
    cell.run_for(1);
  }
  REQUIRE(cell.replicas[leader]->raft().is_leader());
  cell.completions.clear();
  cell.replicas[leader]->change_routes(at(cell.time), 77, {});
  cell.exchange();
  REQUIRE(cell.completions.size() == 1);
  const auto& answer = std::get<ChangeCompleted>(cell.completions[0]).answer;
  REQUIRE_FALSE(answer.has_value());
  CHECK(answer.error().peer.empty());
}

/// Sends heartbeats of the holder "holder" and looks at their answers.
struct HolderCell : Cell {
  /// Sends a heartbeat to a replica. @return its request.
  OperatorRequestId send(std::size_t replica, std::uint64_t sequence, bool draining = false) {
    Heartbeat heartbeat;
    heartbeat.incarnation = common::Incarnation("holder");
    heartbeat.address = "10.0.0.2:80";
    heartbeat.service = "s";
    heartbeat.sequence = sequence;
    heartbeat.draining = draining;
    heartbeat.holdings.emplace();
    completions.clear();
    const OperatorRequestId request = replicas[replica]->new_request();
    replicas[replica]->heartbeat(at(time), request, heartbeat);
    exchange();
    return request;
  }
  /// @return whether the heartbeat is answered with grants within `wait` milliseconds, and not
  ///   otherwise.
  bool is_granted(std::size_t replica, std::uint64_t sequence, bool draining, std::int64_t wait) {
    (void)send(replica, sequence, draining);
    run_for(wait);
    REQUIRE(completions.size() <= 1);
    return has_grants();
  }
  bool has_grants() const {
    return !completions.empty() && std::holds_alternative<HoldingsCompleted>(completions[0]);
  }
  /// True if the heartbeat has been answered by an error.
  bool has_failed() const {
    const auto* command =
        completions.empty() ? nullptr : std::get_if<CommandCompleted>(&completions[0]);
    return command != nullptr && !command->index.has_value();
  }
};

TEST_CASE("only the leader decides on a heartbeat with holdings") {
  HolderCell cell;
  CHECK(cell.is_granted(cell.leader(), 1, false, 100));  // after the commit of the registration
  const std::size_t follower = cell.follower();
  cell.cut[follower] = true;
  CHECK_FALSE(cell.is_granted(follower, 2, false, 700));
  cell.run_for(200);
  CHECK(cell.has_failed());
  cell.cut[follower] = false;
  cell.run_for(1000);
  CHECK_FALSE(cell.is_granted(cell.leader(), 3, false, 400));  // deferred, in case of an update
  cell.run_for(200);
  CHECK(cell.has_grants());
  CHECK_FALSE(cell.is_granted(cell.leader(), 2, false, 600));  // late: accepted without grants
  CHECK(cell.is_granted(cell.leader(), 4, true, 100));  // leaving: acknowledged after the commit
  CHECK(cell.replicas[cell.leader()]
            ->state()
            .find_incarnation(common::Incarnation("holder"))
            ->leaving);
}

// Guards against renewals that are bound to one process: followers sent every holder to the leader,
// which could not answer all of them.
TEST_CASE("a follower relays a heartbeat with holdings and the answer of the leader") {
  HolderCell cell;
  const std::size_t follower = cell.follower();
  CHECK(cell.is_granted(follower, 1, false, 150));        // registered
  CHECK_FALSE(cell.is_granted(follower, 2, false, 400));  // deferred by the leader
  cell.run_for(200);
  CHECK(cell.has_grants());
  CHECK_FALSE(cell.is_granted(follower, 1, false, 700));  // late: accepted without grants
  CHECK_FALSE(cell.has_failed());
  CHECK(cell.is_granted(follower, 3, true, 150));
  CHECK(cell.replicas[cell.leader()]
            ->state()
            .find_incarnation(common::Incarnation("holder"))
            ->leaving);
}

TEST_CASE("a relayed heartbeat that waits is answered by the next leader") {
  HolderCell cell;
  CHECK(cell.is_granted(cell.leader(), 1, false, 100));
  const std::size_t former = cell.leader();
  const std::size_t follower = cell.follower();
  (void)cell.send(follower, 2);
  cell.run_for(30);  // the leader has it and defers the answer
  cell.cut[former] = true;
  cell.run_for(770);
  CHECK(cell.leader() != former);
  CHECK(cell.has_grants());
}

TEST_CASE("an answer of another term or to another heartbeat is ignored") {
  HolderCell cell;
  CHECK(cell.is_granted(cell.leader(), 1, false, 100));
  const std::size_t follower = cell.follower();
  (void)cell.send(follower, 2);
  ownership::RelayedAnswers answers;
  answers.term = cell.replicas[follower]->raft().term();
  answers.answers.push_back({common::Incarnation("holder"), 1, 0, {}, 1000});
  cell.replicas[follower]->on_relayed_answers(at(cell.time), answers);
  answers.answers.front().sequence = 2;
  answers.term = common::Term(answers.term.value - 1);
  cell.replicas[follower]->on_relayed_answers(at(cell.time), answers);
  cell.exchange();
  CHECK(cell.completions.empty());
}

TEST_CASE("a follower without a leader rejects a heartbeat with holdings at once") {
  HolderCell cell;
  CHECK(cell.is_granted(cell.leader(), 1, false, 100));
  const std::size_t follower = cell.follower();
  cell.cut[follower] = true;
  cell.run_for(3000);
  (void)cell.send(follower, 2);
  CHECK(cell.has_failed());
}

TEST_CASE("followers report heartbeats to the leader") {
  Cell cell;
  CHECK(cell.heartbeat(cell.leader(), 1, false));
  cell.run_for(100);
  const common::Incarnation incarnation("instance");
  for (std::uint64_t sequence = 2; sequence < 12; ++sequence) {
    CHECK(cell.heartbeat(cell.follower(), sequence, false, 1000));
  }
  CHECK_FALSE(cell.replicas[cell.leader()]->ranges().is_silent(at(cell.time), incarnation));
  cell.run_for(6000);
  CHECK(cell.replicas[cell.leader()]->ranges().is_silent(at(cell.time), incarnation));
}

TEST_CASE("a follower without a leader acknowledges no heartbeat") {
  Cell cell;
  CHECK(cell.heartbeat(cell.leader(), 1, false));
  cell.run_for(100);
  const std::size_t follower = cell.follower();
  cell.cut[follower] = true;
  cell.run_for(1000);
  CHECK_FALSE(cell.heartbeat(follower, 2, false));
}

TEST_CASE("a follower sends a router the list of controllers, the leader sends the table") {
  Cell cell;
  routing::RouterHello hello;
  hello.router = common::RouterName("r");
  ControllerCore& follower = *cell.replicas[cell.follower()];
  follower.on_router_hello(at(cell.time), hello);
  const ControllerOutput output = follower.take_output();
  REQUIRE(output.controllers.size() == 1);
  CHECK(output.controllers[0].router == hello.router);
  CHECK(output.controllers[0].list.addresses == std::vector<std::string>{"c0:1", "c1:1", "c2:1"});
  CHECK(output.tables.empty());
  ControllerCore& leader = *cell.replicas[cell.leader()];
  leader.on_router_hello(at(cell.time), hello);
  const ControllerOutput answer = leader.take_output();
  CHECK(answer.tables.size() == 1);
  // The leader adds the list for a router that lacks it, and only then.
  CHECK(answer.controllers.size() == 1);
  hello.controllers_index = leader.raft().membership_index();
  hello.clock_us = 1;
  leader.on_router_hello(at(cell.time), hello);
  CHECK(leader.take_output().controllers.empty());
}

TEST_CASE("the deregistration of an unknown back end is recorded") {
  Cell cell;
  const common::Incarnation incarnation("instance");
  ControllerCore& leader = *cell.replicas[cell.leader()];
  cell.completions.clear();
  const OperatorRequestId request = leader.new_request();
  leader.deregister(at(cell.time), request, incarnation);
  cell.exchange();
  cell.run_for(50);
  REQUIRE(cell.completions.size() == 1);
  CHECK(std::get<CommandCompleted>(cell.completions[0]).index.has_value());
  // A heartbeat sent before the deregistration arrives late: acknowledged, but not registered.
  CHECK(cell.heartbeat(cell.leader(), 1, false));
  cell.run_for(100);
  for (const auto& replica : cell.replicas) {
    CHECK(replica->state().find_incarnation(incarnation) == nullptr);
    CHECK(replica->state().has_departed(incarnation));
  }
}

TEST_CASE("a deregistration during a pending registration marks the back end") {
  Cell cell;
  const common::Incarnation incarnation("instance");
  ControllerCore& leader = *cell.replicas[cell.leader()];
  Heartbeat heartbeat;
  heartbeat.incarnation = incarnation;
  heartbeat.address = "10.0.0.1:80";
  heartbeat.service = "s";
  heartbeat.sequence = 1;
  leader.heartbeat(at(cell.time), leader.new_request(), heartbeat);
  leader.deregister(at(cell.time), leader.new_request(), incarnation);
  cell.exchange();
  cell.run_for(50);
  const ownership::BackendRecord* known = leader.state().find_incarnation(incarnation);
  CHECK((known == nullptr || known->leaving));
  CHECK(leader.state().has_departed(incarnation));
}

// Guards against a pending registration that overwrites an acknowledged departure, so that routers
// keep sending requests to the back end.
TEST_CASE("a departure during a pending registration is committed once acknowledged") {
  Cell cell;
  ControllerCore& leader = *cell.replicas[cell.leader()];
  Heartbeat heartbeat;
  heartbeat.incarnation = common::Incarnation("instance");
  heartbeat.address = "10.0.0.1:80";
  heartbeat.service = "s";
  heartbeat.sequence = 1;
  leader.heartbeat(at(cell.time), leader.new_request(), heartbeat);
  CHECK(cell.heartbeat(cell.leader(), 2, true));
  for (std::size_t i = 0; i < kReplicas; ++i) {
    REQUIRE(committed_record(cell, i) != nullptr);
    CHECK(committed_record(cell, i)->leaving);
  }
}

// Guards against a heartbeat that was sent before a departure and arrives after the back end was
// removed, at a new leader that has not received the newer heartbeats.
TEST_CASE("a late heartbeat does not register a back end again that left and fell silent") {
  Cell cell;
  CHECK(cell.heartbeat(cell.leader(), 1, false));
  CHECK(cell.heartbeat(cell.leader(), 3, true));
  cell.run_for(6000);
  REQUIRE(committed_record(cell, cell.leader()) == nullptr);
  const std::size_t former = cell.leader();
  cell.cut[former] = true;
  cell.run_for(2000);
  REQUIRE(cell.leader() != former);
  cell.heartbeat(cell.leader(), 2, false);
  const ownership::BackendRecord* known = committed_record(cell, cell.leader());
  CHECK((known == nullptr || known->leaving));
}

TEST_CASE("a back end that a router reports as ended is removed on every replica") {
  Cell cell;
  CHECK(cell.heartbeat(cell.leader(), 1, false));
  cell.run_for(100);
  const common::Incarnation incarnation("instance");
  const std::size_t leader = cell.leader();
  const ownership::BackendRecord* known =
      cell.replicas[leader]->state().find_incarnation(incarnation);
  REQUIRE(known != nullptr);
  routing::RouterHello hello;
  hello.router = common::RouterName("r");
  hello.ended = {known->id, common::BackendId(999'999)};
  cell.replicas[cell.follower()]->on_router_hello(at(cell.time), hello);
  cell.run_for(100);
  CHECK(cell.replicas[leader]->state().find_incarnation(incarnation) !=
        nullptr);  // the leader has no report
  cell.replicas[leader]->on_router_hello(at(cell.time), hello);
  cell.run_for(100);
  for (const auto& replica : cell.replicas) {
    CHECK(replica->state().find_incarnation(incarnation) ==
          nullptr);  // removed, since it owns no keys
  }
}

// Guards against keys that stay at a leaving back end until its own heartbeat reaches a controller.
TEST_CASE("a back end that a router reports as leaving is leaving on every replica") {
  Cell cell;
  CHECK(cell.heartbeat(cell.leader(), 1, false));
  cell.run_for(100);
  const common::Incarnation incarnation("instance");
  const std::size_t leader = cell.leader();
  const ownership::BackendRecord* known =
      cell.replicas[leader]->state().find_incarnation(incarnation);
  REQUIRE(known != nullptr);
  CHECK_FALSE(known->leaving);
  routing::RouterHello hello;
  hello.router = common::RouterName("r");
  hello.leaving = {known->id, common::BackendId(999'999)};
  cell.replicas[leader]->on_router_hello(at(cell.time), hello);
  cell.replicas[leader]->on_router_hello(at(cell.time), hello);
  cell.run_for(100);
  for (const auto& replica : cell.replicas) {
    REQUIRE(replica->state().find_incarnation(incarnation) != nullptr);
    CHECK(replica->state().find_incarnation(incarnation)->leaving);
  }
}

// Guards against a departure that is ignored because only an answer to an order states it.
TEST_CASE("a back end whose answer to an order states its departure is leaving on every replica") {
  Cell cell;
  ControllerCore& leader = *cell.replicas[cell.leader()];
  config::RouteChange change;
  change.version = 1;
  change.replaces_all = true;
  config::RoutedService keyed;
  keyed.name = common::ServiceName("s");
  keyed.keyed = true;
  change.services.push_back(keyed);
  leader.change_routes(at(cell.time), leader.new_request(), change);
  CHECK(cell.heartbeat(cell.leader(), 1, false, 2000));
  REQUIRE_FALSE(cell.grants.empty());
  ownership::OrderReply reply;
  reply.outcome = ownership::OrderOutcome::kAccepted;
  leader.on_order_reply(at(cell.time), cell.grants.front().id, reply);
  cell.run_for(50);
  CHECK_FALSE(committed_record(cell, cell.leader())->leaving);
  cell.grants.clear();
  cell.run_for(3000);
  REQUIRE_FALSE(cell.grants.empty());
  reply.is_leaving = true;
  leader.on_order_reply(at(cell.time), cell.grants.back().id, reply);
  cell.run_for(50);
  for (std::size_t i = 0; i < kReplicas; ++i) {
    REQUIRE(committed_record(cell, i) != nullptr);
    CHECK(committed_record(cell, i)->leaving);
  }
}

/// @return the result of the evacuation; nullopt if there is none within `wait` milliseconds.
std::optional<common::Result<common::LogIndex>> evacuate(Cell& cell, std::size_t replica,
                                                         const std::string& zone, bool evacuated,
                                                         std::int64_t wait = 50) {
  cell.completions.clear();
  ControllerCore& core = *cell.replicas[replica];
  const OperatorRequestId request = core.new_request();
  core.evacuate_zone(at(cell.time), request, {common::ZoneName(zone), evacuated});
  cell.exchange();
  cell.run_for(wait);
  for (const Completion& completion : cell.completions) {
    const auto* command = std::get_if<CommandCompleted>(&completion);
    if (command != nullptr && command->request == request) {
      return command->index;
    }
  }
  return std::nullopt;
}

TEST_CASE("an evacuation is acknowledged once committed, and again when it is repeated") {
  Cell cell;
  const common::ZoneName zone("north");
  for (int i = 0; i < 2; ++i) {
    const auto answer = evacuate(cell, cell.leader(), "north", true);
    REQUIRE(answer.has_value());
    CHECK(answer->has_value());
  }
  cell.run_for(200);
  for (const auto& replica : cell.replicas) {
    CHECK(replica->state().evacuated_zones().contains(zone));
  }
  const auto misdirected = evacuate(cell, cell.follower(), "north", false);
  REQUIRE(misdirected.has_value());
  REQUIRE_FALSE(misdirected->has_value());
  CHECK(misdirected->error().code == common::ErrorCode::kNotLeader);
}

TEST_CASE("an acknowledged evacuation survives the loss of its leader") {
  Cell cell;
  REQUIRE(evacuate(cell, cell.leader(), "north", true).has_value());
  const std::size_t lost = cell.leader();
  cell.cut[lost] = true;
  cell.run_for(3000);
  REQUIRE(cell.leader() != lost);
  CHECK(
      cell.replicas[cell.leader()]->state().evacuated_zones().contains(common::ZoneName("north")));
}

TEST_CASE("a leader that is cut off acknowledges no evacuation") {
  Cell cell;
  const std::size_t leader = cell.leader();
  cell.cut[leader] = true;
  const auto answer = evacuate(cell, leader, "north", true, 3000);
  CHECK((!answer.has_value() || !answer->has_value()));
}

TEST_CASE("only a heartbeat well after the end of an evacuation proves a back end warm") {
  Cell cell;
  const common::Incarnation incarnation("instance");
  CHECK(cell.heartbeat(cell.leader(), 1, false));
  const auto is_cold = [&] {
    return cell.replicas[cell.leader()]->state().find_incarnation(incarnation)->cold;
  };
  CHECK_FALSE(is_cold());
  REQUIRE(evacuate(cell, cell.leader(), "", true).has_value());
  REQUIRE(evacuate(cell, cell.leader(), "", false).has_value());
  CHECK(is_cold());
  // The heartbeat may have been sent before the back end turned cold and delayed by a follower.
  CHECK(cell.heartbeat(cell.leader(), 2, false, 250));
  CHECK(is_cold());
  cell.run_for(400);
  CHECK(is_cold());
  CHECK(cell.heartbeat(cell.follower(), 3, false, 600));  // reported by a follower
  CHECK_FALSE(is_cold());
}

// Guards against a controller that goes on from its former state under the index of a snapshot.
TEST_CASE("a controller that cannot read a snapshot answers nothing any more") {
  ControllerOptions options;
  options.name = "c1";
  consensus::Membership members;
  members.members = {{common::ReplicaId(1), "c1", "c1:1", "c1:2", true},
                     {common::ReplicaId(2), "c2", "c2:1", "c2:2", true}};
  ControllerCore core(options, common::ReplicaId(1), consensus::DurableState(),
                      common::RandomEngine(1), at(0));
  const std::string bytes = "no state";
  consensus::SnapshotChunk chunk{common::LogIndex(9), common::Term(1), members, 0,
                                 bytes.size(),        bytes,           1};
  core.on_peer_message(at(1), {common::ReplicaId(2), common::ReplicaId(1), common::Term(1), chunk});
  REQUIRE(core.unreadable_state().has_value());
  CHECK(core.unreadable_state()->step == "read state snapshot");
  CHECK(core.take_output().empty());
  routing::RouterHello hello;
  hello.router = common::RouterName("r1");
  core.on_router_hello(at(2), hello);
  CHECK(core.take_output().empty());
}

}  // namespace
}  // namespace planktray::controller

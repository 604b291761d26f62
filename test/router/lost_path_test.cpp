/// A router that cannot reach its back ends: what it relays, refuses, and tells the leader.

#include <doctest/doctest.h>

#include <set>

#include "route_fixture.hpp"

namespace planktray::router {
namespace {

using routing::AttemptEnd;
using routing::NotRunReason;
using routing::Outcome;
using routing::RelayRefusal;

const common::ZoneName kZone("z");
constexpr std::uint64_t kDigest = 77;

AttemptResult not_sent() {
  AttemptResult result;
  result.end = AttemptEnd::kNotSent;
  return result;
}
AttemptResult refused_by_peer(RelayRefusal refusal) {
  AttemptResult result = not_sent();
  result.relay_refusal = refusal;
  return result;
}
AttemptResult answered() {
  AttemptResult result;
  result.end = AttemptEnd::kAnswered;
  result.is_new_connection = true;
  return result;
}
AttemptResult reset(std::uint64_t digest = kDigest) {
  AttemptResult result;
  result.end = AttemptEnd::kBroken;
  result.connection_ended = true;
  result.digest = digest;
  return result;
}
AttemptResult peer_lost(bool was_written) {
  AttemptResult result;
  result.end = was_written ? AttemptEnd::kBroken : AttemptEnd::kNotSent;
  result.peer_failed = true;
  return result;
}

/// A router with peers that loses its path to all back ends.
struct Fixture : RouteFixture {
  explicit Fixture(bool keyed = false, bool repeatable = false, std::size_t count = 3)
      : RouteFixture(keyed, options(), repeatable) {
    for (std::size_t i = 0; i < count; ++i) {
      peers.push_back({"peer-" + std::to_string(i), kZone, {}});
    }
    update_table(1);
  }
  static RouterOptions options() {
    RouterOptions options = deployed_options();
    options.zone = kZone;
    options.relay_address = "own-relay";
    return options;
  }
  /// Ends attempts without a connection until no back end is tried directly.
  void lose_path(std::int64_t now) {
    for (std::uint32_t i = 0; i < 6 && core.lost_paths() == 0; ++i) {
      send_request(now, 0, first_key(1 + i % kBackends));
      for (; ended_ < forwards.size(); ++ended_) {
        const Forward forward = forwards[ended_];
        if (forward.peer.empty()) {
          end_attempt(now, forward.attempt, not_sent());
        }
      }
      run_until(now);
      for (; probed_ < path_probes.size(); ++probed_) {
        core.on_path_probed(at(now), path_probes[probed_], path_probes[probed_].backend.value == 0);
      }
      collect();
    }
    REQUIRE(core.lost_paths() == 1);
    ended_ = forwards.size();
  }
  const Forward& last() const { return forwards.back(); }
  const Answer& answer_of(RequestHandle handle) const {
    REQUIRE(answer_to(handle).has_value());
    answer_ = *answer_to(handle);
    return answer_;
  }

  std::size_t ended_ = 0;
  std::size_t probed_ = 0;
  mutable Answer answer_;
};

TEST_CASE("a request goes over a peer once the path is lost and is answered by its back end") {
  for (const bool keyed : {false, true}) {
    Fixture fixture(keyed);
    fixture.lose_path(10);
    const RequestHandle handle = fixture.send_request(20);
    CHECK_FALSE(fixture.last().peer.empty());
    CHECK(fixture.last().backend.value > 0);
    fixture.end_attempt(60, fixture.last().attempt, answered());
    CHECK(fixture.answer_of(handle).outcome == Outcome::kAnswered);
  }
}

TEST_CASE("one back end without a connection is reached over a peer, the others directly") {
  Fixture fixture(true);
  const RequestHandle handle = fixture.send_request(10, 0, 5);
  const std::string address = fixture.last().address;
  fixture.end_attempt(12, fixture.last().attempt, not_sent());
  CHECK(fixture.last().address == address);
  CHECK_FALSE(fixture.last().peer.empty());
  fixture.end_attempt(50, fixture.last().attempt, answered());
  CHECK(fixture.answer_of(handle).outcome == Outcome::kAnswered);
  fixture.send_request(51, 0, RouteFixture::first_key(2));
  CHECK(fixture.last().peer.empty());
  CHECK(fixture.core.lost_paths() == 0);
}

// Guards against a request called not run that a peer may have passed on before it was lost.
TEST_CASE("a request that was written to a lost peer may have run") {
  Fixture fixture;
  fixture.lose_path(10);
  const RequestHandle handle = fixture.send_request(20);
  fixture.end_attempt(30, fixture.last().attempt, peer_lost(true));
  CHECK(fixture.answer_of(handle).outcome == Outcome::kUnknown);
}

TEST_CASE("a repeatable request that was written to a lost peer is made again as a repeat") {
  Fixture fixture(false, true);
  fixture.lose_path(10);
  const std::uint64_t repeats = fixture.core.counters().retries;
  fixture.send_request(20);
  const std::string first = fixture.last().peer;
  const AttemptId attempt = fixture.last().attempt;
  fixture.end_attempt(30, attempt, peer_lost(true));
  CHECK(fixture.last().attempt != attempt);
  CHECK(fixture.last().peer != first);
  CHECK(fixture.core.counters().retries == repeats + 1);
}

TEST_CASE("what a peer did not pass on goes to another peer and is no repeat") {
  for (const AttemptResult& result :
       {refused_by_peer(RelayRefusal::kNoPath), refused_by_peer(RelayRefusal::kBusy),
        refused_by_peer(RelayRefusal::kDraining), refused_by_peer(RelayRefusal::kTableTooOld),
        peer_lost(false)}) {
    Fixture fixture;
    fixture.lose_path(10);
    const RequestHandle handle = fixture.send_request(20);
    const std::string first = fixture.last().peer;
    fixture.end_attempt(21, fixture.last().attempt, result);
    CHECK(fixture.last().peer != first);
    CHECK_FALSE(fixture.last().peer.empty());
    CHECK(fixture.core.counters().retries == 0);
    fixture.end_attempt(50, fixture.last().attempt, answered());
    CHECK(fixture.answer_of(handle).outcome == Outcome::kAnswered);
  }
}

// Guards against requests that wait out their time although it is known that nothing reaches.
TEST_CASE("what no way reaches is refused at once") {
  for (const bool keyed : {false, true}) {
    Fixture fixture(keyed, false, 0);
    fixture.lose_path(10);
    const RequestHandle handle = fixture.send_request(20);
    CHECK(fixture.answer_of(handle).outcome == Outcome::kNotRun);
    CHECK(fixture.answer_of(handle).reason == NotRunReason::kNoPath);
    CHECK(fixture.answer_of(handle).retry_after.count() > 0);
  }
}

// Guards against the failure of one back end that is multiplied by the number of peers.
TEST_CASE("a back end that two peers cannot reach either counts as down for a while") {
  Fixture fixture(true);
  const RequestHandle first = fixture.send_request(10, 0, 5);
  fixture.end_attempt(12, fixture.last().attempt, not_sent());
  for (int i = 0; i < 2; ++i) {
    REQUIRE_FALSE(fixture.last().peer.empty());
    fixture.end_attempt(13 + i, fixture.last().attempt,
                        refused_by_peer(RelayRefusal::kUnreachable));
  }
  const std::size_t sent = fixture.forwards.size();
  fixture.run_until(90);
  CHECK(fixture.answer_to(first).has_value() == false);  // its direct path is due at 112 ms
  CHECK(fixture.forwards.size() == sent);
  fixture.run_until(400);
  CHECK(fixture.forwards.size() == sent + 1);
  CHECK(fixture.last().peer.empty());
}

TEST_CASE("a request is relayed a few times at most") {
  Fixture fixture(false, false, 8);
  fixture.lose_path(10);
  const std::uint64_t before = fixture.core.counters().relays_sent;
  const RequestHandle handle = fixture.send_request(20);
  for (int i = 0; i < 8 && !fixture.answer_to(handle).has_value(); ++i) {
    fixture.end_attempt(21, fixture.last().attempt, refused_by_peer(RelayRefusal::kBusy));
  }
  CHECK(fixture.core.counters().relays_sent - before == Fixture::options().maximum_relays);
  CHECK(fixture.answer_of(handle).outcome == Outcome::kNotRun);
}

TEST_CASE("the time left goes to the peer and the close of a caller cancels the relay") {
  Fixture fixture;
  fixture.lose_path(10);
  const RequestHandle handle = fixture.send_request(20, 0, std::nullopt, 700);
  CHECK(fixture.last().time_left == milliseconds(700));
  fixture.core.on_caller_disconnected(at(100), handle);
  fixture.collect();
  CHECK(fixture.cancels.back() == fixture.last().attempt);
}

// Guards against a router that takes a full link for a lost path and cuts off requests at work.
TEST_CASE("the loss of a path moves unwritten attempts to peers and leaves written ones alone") {
  for (const bool repeatable : {true, false}) {
    Fixture fixture(false, repeatable);
    const RequestHandle written = fixture.send_request(5);
    const AttemptId waiting = fixture.last().attempt;
    fixture.core.on_attempt_started(waiting);
    fixture.core.on_attempt_written(waiting);
    const RequestHandle unwritten = fixture.send_request(5);
    const AttemptId unstarted = fixture.last().attempt;
    fixture.ended_ = fixture.forwards.size();
    fixture.lose_path(150);
    const auto was_cancelled = [&](AttemptId attempt) {
      return std::count(fixture.cancels.begin(), fixture.cancels.end(), attempt) == 1;
    };
    CHECK(was_cancelled(unstarted));
    CHECK_FALSE(was_cancelled(waiting));
    CHECK_FALSE(fixture.answer_to(written).has_value());
    CHECK_FALSE(fixture.answer_to(unwritten).has_value());
  }
}

TEST_CASE("the leader hears of a lost path and of the relay address") {
  Fixture fixture;
  fixture.lose_path(10);
  fixture.run_until(300);
  const routing::RouterHello& hello = fixture.hellos.back();
  CHECK(hello.unreachable == std::vector{common::ServiceId(1)});
  CHECK(hello.relay_address == "own-relay");
  CHECK(hello.zone == kZone);
  CHECK(hello.peers_digest == routing::digest_of(fixture.peers));
}

// Guards against a cut whose resets are reported as back ends that requests have crashed.
TEST_CASE("connections that a cut resets are not reported as crashes") {
  Fixture fixture(true);
  for (std::uint32_t i = 1; i <= RouteFixture::kBackends; ++i) {
    fixture.send_request(10, 0, RouteFixture::first_key(i));
  }
  for (std::size_t i = 0; i < RouteFixture::kBackends; ++i) {
    fixture.end_attempt(20, fixture.forwards[i].attempt, reset());
  }
  REQUIRE(fixture.probes.size() == RouteFixture::kBackends);
  fixture.run_until(20);
  for (const routing::PathProbe& probe : fixture.path_probes) {
    fixture.core.on_path_probed(at(22), probe, probe.backend.value == 0);
  }
  for (const ReachabilityProbe& probe : fixture.probes) {
    fixture.core.on_reachability_probed(at(70), probe.backend, false);
  }
  fixture.collect();
  fixture.run_until(2000);
  CHECK(fixture.core.counters().crashes_seen == 0);
  for (const routing::RouterHello& hello : fixture.hellos) {
    CHECK(hello.crashes.empty());
  }
}

TEST_CASE("a back end that ends while others are reached is reported as crashed") {
  Fixture fixture(true);
  fixture.send_request(10, 0, RouteFixture::first_key(1));
  fixture.end_attempt(20, fixture.last().attempt, reset());
  REQUIRE(fixture.probes.size() == 1);
  fixture.core.on_reachability_probed(at(70), fixture.probes[0].backend, false);
  CHECK(fixture.core.counters().crashes_seen == 1);
}

// Guards against a silent cut that makes all back ends look slow to the leader.
TEST_CASE("requests given up on a lost path tell nothing about the speed of their back ends") {
  Fixture fixture(true, false, 0);
  fixture.send_request(2, 0, 5, 600);
  fixture.core.on_attempt_started(fixture.last().attempt);
  fixture.core.on_attempt_written(fixture.last().attempt);
  fixture.ended_ = fixture.forwards.size();
  fixture.lose_path(150);
  fixture.run_until(2000);
  for (const routing::RouterHello& hello : fixture.hellos) {
    CHECK(hello.target_times.empty());
  }
}

// ---------------------------------------------------------------- the peer's side

/// A router that others relay requests to.
struct PeerFixture : Fixture {
  explicit PeerFixture(bool keyed = false) : Fixture(keyed) {}
  RequestHandle relay(std::int64_t now, std::uint64_t backend, std::uint32_t timeout_ms = 800) {
    CallerRequest caller;
    caller.handle = ++last_relayed_;
    caller.method = "POST";
    caller.timeout_ms = timeout_ms;
    caller.route = RouteCall{kHost, "/x", 0};
    caller.relay = RelayCall{BackendId(backend), false, common::LogIndex(1)};
    core.on_request(at(now), caller);
    collect();
    return caller.handle;
  }
  RelayRefusal refusal_of(RequestHandle handle) const {
    CHECK(answer_of(handle).outcome == Outcome::kNotRun);
    return answer_of(handle).relay_refusal;
  }
  RequestHandle last_relayed_ = 1'000'000;
};

TEST_CASE("a relayed request goes to the named back end once and its answer goes back") {
  PeerFixture fixture;
  const RequestHandle handle = fixture.relay(10, 2);
  REQUIRE(fixture.forwards.size() == 1);
  CHECK(fixture.last().backend == BackendId(2));
  CHECK(fixture.last().peer.empty());
  CHECK(fixture.last().time_left == milliseconds(800));
  CHECK(fixture.core.peer_requests() == 1);
  fixture.end_attempt(60, fixture.last().attempt, answered());
  CHECK(fixture.answer_of(handle).outcome == Outcome::kAnswered);
  CHECK(fixture.core.peer_requests() == 0);
  CHECK(fixture.core.counters().requests == 0);
  fixture.run_until(2000);
  CHECK(fixture.hellos.back().target_times.empty());
}

TEST_CASE("what a back end has refused goes back as its answer and is not made again") {
  PeerFixture fixture;
  const RequestHandle handle = fixture.relay(10, 2);
  AttemptResult shed;
  shed.end = AttemptEnd::kRefused;
  fixture.end_attempt(12, fixture.last().attempt, shed);
  CHECK(fixture.answer_of(handle).outcome == Outcome::kAnswered);
  CHECK(fixture.forwards.size() == 1);
}

TEST_CASE("a relayed request without an answer is unknown and without a connection not run") {
  PeerFixture fixture;
  const RequestHandle broken = fixture.relay(10, 2);
  fixture.end_attempt(12, fixture.last().attempt, reset());
  CHECK(fixture.answer_of(broken).outcome == Outcome::kUnknown);
  CHECK(fixture.answer_of(broken).connection_ended);
  const RequestHandle unsent = fixture.relay(20, 3);
  fixture.end_attempt(22, fixture.last().attempt, not_sent());
  CHECK(fixture.refusal_of(unsent) == RelayRefusal::kUnreachable);
  CHECK(fixture.forwards.size() == 2);
}

// Guards against two routers that pass a request back and forth.
TEST_CASE("a router without a path never relays a relayed request") {
  PeerFixture fixture;
  fixture.lose_path(10);
  const std::size_t sent = fixture.forwards.size();
  const RequestHandle handle = fixture.relay(20, 2);
  CHECK(fixture.refusal_of(handle) == RelayRefusal::kNoPath);
  CHECK(fixture.forwards.size() == sent);
}

TEST_CASE("a peer refuses back ends that it has just failed to reach without trying again") {
  PeerFixture fixture;
  fixture.send_request(10);
  const std::uint64_t backend = fixture.last().backend.value;
  fixture.end_attempt(12, fixture.last().attempt, not_sent());
  const std::size_t sent = fixture.forwards.size();
  CHECK(fixture.refusal_of(fixture.relay(20, backend)) == RelayRefusal::kUnreachable);
  CHECK(fixture.forwards.size() == sent);
}

TEST_CASE("a peer refuses back ends that leave by its table or that it does not know") {
  PeerFixture fixture;
  fixture.mark_leaving(5, 2);
  CHECK(fixture.refusal_of(fixture.relay(10, 2)) == RelayRefusal::kClosed);
  CHECK(fixture.refusal_of(fixture.relay(10, 99)) == RelayRefusal::kClosed);
}

// Guards against a departure that is acknowledged while a relayed request waits for its connection.
TEST_CASE("a relayed request that is not written when its back end leaves goes back as not run") {
  PeerFixture fixture;
  const RequestHandle handle = fixture.relay(10, 2);
  fixture.mark_leaving(20, 2);
  fixture.run_until(30);
  CHECK(fixture.refusal_of(handle) == RelayRefusal::kClosed);
  CHECK(fixture.forwards.size() == 1);
}

TEST_CASE("a peer whose table is too old passes nothing on") {
  PeerFixture fixture;
  fixture.run_until(1690);
  routing::ControllerList list;
  list.leader = "leader";
  fixture.core.on_controller_list(at(1690), list);
  const RequestHandle handle = fixture.relay(1700, 2);
  CHECK(fixture.refusal_of(handle) == RelayRefusal::kTableTooOld);
}

TEST_CASE("a peer that drains refuses relays and withdraws its address but relays its own") {
  PeerFixture fixture;
  fixture.lose_path(5);
  fixture.core.stop_relaying(at(10));
  CHECK(fixture.refusal_of(fixture.relay(11, 2)) == RelayRefusal::kDraining);
  fixture.run_until(300);
  CHECK(fixture.hellos.back().relay_address.empty());
  fixture.update_table(300);
  fixture.send_request(301);
  CHECK_FALSE(fixture.last().peer.empty());
}

TEST_CASE("a peer takes a bounded number of relayed requests and keeps its own callers' part") {
  PeerFixture fixture;
  const std::size_t most = Fixture::options().maximum_peer_requests;
  for (std::size_t i = 0; i < most; ++i) {
    fixture.relay(10, 1 + i % 3);
  }
  CHECK(fixture.refusal_of(fixture.relay(10, 1)) == RelayRefusal::kBusy);
  const std::size_t sent = fixture.forwards.size();
  fixture.send_request(11);
  CHECK(fixture.forwards.size() == sent + 1);
}

TEST_CASE("the close of the other router's connection cancels the relayed attempt") {
  PeerFixture fixture;
  const RequestHandle handle = fixture.relay(10, 2);
  fixture.core.on_caller_disconnected(at(50), handle);
  fixture.collect();
  CHECK(fixture.cancels == std::vector{fixture.last().attempt});
  CHECK(fixture.core.peer_requests() == 0);
}

TEST_CASE("a backoff that a back end requests of a peer binds that peer for relayed requests") {
  PeerFixture fixture;
  fixture.relay(10, 2);
  AttemptResult shed;
  shed.end = AttemptEnd::kRefused;
  shed.backoff = milliseconds(3000);
  fixture.end_attempt(12, fixture.last().attempt, shed);
  CHECK(fixture.refusal_of(fixture.relay(100, 2)) == RelayRefusal::kBackoff);
}

}  // namespace
}  // namespace planktray::router

/// When a router takes its path to a service for lost, and when for regained.

#include "routing/path_monitor.hpp"

#include <doctest/doctest.h>

namespace planktray::routing {
namespace {

using common::BackendId;
using common::ServiceId;
using common::TimePoint;
using std::chrono::milliseconds;

const ServiceId kService(1);
const std::vector<BackendId> kBackends = {BackendId(1), BackendId(2), BackendId(3), BackendId(4)};

TimePoint at(std::int64_t ms) { return TimePoint(std::chrono::seconds(100) + milliseconds(ms)); }

struct Fixture {
  std::vector<BackendId> choose(std::int64_t now) {
    std::vector<BackendId> chosen;
    for (const PathProbe& probe :
         monitor.choose_probes(at(now), kService, kBackends, peers, random)) {
      if (probe.backend.value == 0) {
        peer_probes.push_back(probe);
      } else {
        chosen.push_back(probe.backend);
      }
    }
    return chosen;
  }
  void end_probe(std::int64_t now, BackendId backend, bool is_reachable) {
    monitor.on_probed(at(now), {kService, backend}, is_reachable);
  }
  void fail(std::int64_t now, std::initializer_list<std::uint64_t> ids) {
    for (const std::uint64_t id : ids) {
      monitor.on_failed(at(now), kService, BackendId(id));
    }
  }
  /// Loses the path by two failures and failed probes of the others.
  void lose() {
    fail(0, {1, 2});
    for (const BackendId id : choose(0)) {
      end_probe(1, id, false);
    }
  }

  std::vector<std::string> peers;
  std::vector<PathProbe> peer_probes;
  PathMonitor monitor{PathMonitorOptions{}};
  common::RandomEngine random{1};
};

TEST_CASE("one back end that fails is no lost path") {
  Fixture fixture;
  for (int i = 0; i < 10; ++i) {
    fixture.fail(i, {1});
  }
  CHECK_FALSE(fixture.monitor.is_doubtful(kService));
  CHECK(fixture.monitor.blocked_until(at(10), BackendId(1)).has_value());
  CHECK_FALSE(fixture.monitor.blocked_until(at(10), BackendId(2)).has_value());
  CHECK(fixture.monitor.next_due() == TimePoint::max());
}

TEST_CASE(
    "a back end is left alone for longer after each failed connection until one is answered") {
  Fixture fixture;
  std::int64_t now = 0;
  for (const std::int64_t block : {100, 200, 400, 800, 1600, 1600}) {
    fixture.fail(now, {1});
    CHECK(fixture.monitor.blocked_until(at(now), BackendId(1)) == at(now + block));
    now += block;
    CHECK_FALSE(fixture.monitor.blocked_until(at(now), BackendId(1)).has_value());
  }
  fixture.monitor.on_answered(at(now), kService, BackendId(1), true);
  fixture.fail(now, {1});
  CHECK(fixture.monitor.blocked_until(at(now), BackendId(1)) == at(now + 100));
}

TEST_CASE("a path is lost once back ends that had not failed cannot be reached either") {
  Fixture fixture;
  fixture.fail(0, {1, 2});
  CHECK(fixture.monitor.is_doubtful(kService));
  CHECK_FALSE(fixture.monitor.is_lost(kService));
  CHECK(fixture.monitor.due(at(0)) == std::vector{kService});
  const auto probed = fixture.choose(0);
  REQUIRE(probed.size() == 2);
  CHECK(std::set<BackendId>(probed.begin(), probed.end()) ==
        std::set<BackendId>{BackendId(3), BackendId(4)});
  fixture.end_probe(1, probed[0], false);
  CHECK_FALSE(fixture.monitor.is_lost(kService));
  fixture.end_probe(2, probed[1], false);
  CHECK(fixture.monitor.is_lost(kService));
  const auto changes = fixture.monitor.take_changes();
  REQUIRE(changes.size() == 1);
  CHECK(changes[0].is_lost);
  CHECK(changes[0].failed_backends == 4);
}

// Guards against a few crashed back ends being taken for a path that is lost to all of them.
TEST_CASE("a probe that reaches another back end dispels the suspicion") {
  Fixture fixture;
  fixture.fail(0, {1, 2});
  const auto probed = fixture.choose(0);
  fixture.end_probe(1, probed[0], true);
  fixture.end_probe(2, probed[1], false);
  CHECK_FALSE(fixture.monitor.is_doubtful(kService));
  CHECK(fixture.monitor.blocked_until(at(2), BackendId(1)).has_value());
  CHECK(fixture.monitor.take_changes().empty());
}

TEST_CASE(
    "an answer on a new connection dispels the suspicion, one on a kept connection does not") {
  Fixture fixture;
  fixture.fail(0, {1, 2});
  fixture.monitor.on_answered(at(1), kService, BackendId(3), false);
  CHECK(fixture.monitor.is_doubtful(kService));
  CHECK(fixture.monitor.has_live_connections(kService));
  fixture.monitor.on_answered(at(2), kService, BackendId(3), true);
  CHECK_FALSE(fixture.monitor.is_doubtful(kService));
}

TEST_CASE("failures that lie further apart than the memory raise no suspicion") {
  Fixture fixture;
  fixture.fail(0, {1});
  fixture.fail(1001, {2});
  CHECK_FALSE(fixture.monitor.is_doubtful(kService));
}

TEST_CASE("all back ends have failed: the path is lost without a probe") {
  Fixture fixture;
  fixture.fail(0, {1, 2, 3, 4});
  CHECK(fixture.choose(0).empty());
  CHECK(fixture.monitor.is_lost(kService));
}

TEST_CASE("a lost path is probed at growing intervals and left at the first success") {
  Fixture fixture;
  fixture.lose();
  REQUIRE(fixture.monitor.is_lost(kService));
  CHECK(fixture.monitor.next_due() == at(251));
  std::int64_t now = 251;
  for (const std::int64_t interval : {500, 1000, 1000}) {
    const auto probed = fixture.choose(now);
    REQUIRE(probed.size() == 1);
    CHECK(fixture.monitor.next_due() == TimePoint::max());
    fixture.end_probe(now, probed[0], false);
    CHECK(fixture.monitor.next_due() == at(now + interval));
    now += interval;
  }
  fixture.end_probe(now, fixture.choose(now)[0], true);
  CHECK_FALSE(fixture.monitor.is_doubtful(kService));
  CHECK(fixture.monitor.lost().empty());
  const auto changes = fixture.monitor.take_changes();
  CHECK_FALSE(changes.back().is_lost);
  CHECK(fixture.monitor.next_due() == TimePoint::max());
}

// Guards against a router that takes its own full link for a lost path and relays over that link,
// and against a stopped peer that keeps a lost path from being seen.
TEST_CASE("a path is lost only while most other routers are reached") {
  for (std::size_t reached = 0; reached <= 3; ++reached) {
    CAPTURE(reached);
    Fixture fixture;
    fixture.peers = {"a", "b", "c", "d"};
    fixture.fail(0, {1, 2});
    for (const BackendId id : fixture.choose(0)) {
      fixture.end_probe(150, id, false);
    }
    REQUIRE(fixture.peer_probes.size() == 3);
    for (std::size_t i = 0; i < 3; ++i) {
      CHECK_FALSE(fixture.monitor.is_lost(kService));
      fixture.monitor.on_probed(at(151), fixture.peer_probes[i], i < reached);
    }
    CHECK(fixture.monitor.is_lost(kService) == (reached >= 2));
    CHECK(fixture.monitor.is_doubtful(kService) == (reached >= 2));
    // A new suspicion asks again.
    fixture.fail(200, {1, 2});
    CHECK(fixture.monitor.is_doubtful(kService));
  }
}

TEST_CASE("a service that fails leaves the path to another alone") {
  Fixture fixture;
  fixture.lose();
  CHECK_FALSE(fixture.monitor.is_doubtful(ServiceId(2)));
  CHECK(fixture.monitor.lost() == std::vector{kService});
}

}  // namespace
}  // namespace planktray::routing

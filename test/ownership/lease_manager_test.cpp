#include "ownership/lease_manager.hpp"

#include <doctest/doctest.h>

namespace planktray::ownership {
namespace {

using std::chrono::milliseconds;

const common::MachineName kMachine("m1");
const common::Incarnation kIncarnation("m1#1");

TimePoint at(std::int64_t value) { return common::from_microseconds(value * 1000); }

/// One registered back end and a newly elected leader.
struct Fixture {
  CellState state;
  membership::MachineList machines;
  LeaseManager manager{common::CellName("cell"), LeaseOptions()};
  common::BackendId backend{1};

  Fixture() {
    state.apply(LogIndex(1), RegisterBackend{kMachine, "127.0.0.1:1", common::ZoneName("z"),
                                             common::PoolName("p"), kIncarnation});
    machines.add({kMachine, "127.0.0.1:1", common::ZoneName("z"), common::PoolName("p"), false});
    manager.begin_term(at(0), common::Term(3), state);
  }

  std::vector<OutgoingLease> collect(TimePoint now) {
    std::vector<OutgoingLease> leases;
    std::vector<OutgoingRelease> releases;
    manager.collect(now, state, machines, leases, releases);
    return leases;
  }

  void answer(TimePoint now, std::int64_t clock_us) {
    LeaseReply reply;
    reply.incarnation = kIncarnation;
    reply.clock_us = clock_us;
    manager.on_lease_reply(now, kMachine, backend, reply);
  }
};

TEST_CASE("no lease is granted before the holder's clock is known") {
  Fixture fixture;
  const auto leases = fixture.collect(at(1));
  REQUIRE(leases.size() == 1);
  CHECK(leases[0].request.expires_clock_us == 0);
}

TEST_CASE("a renewal expires at the acknowledged clock plus the time to live, even if it is late") {
  Fixture fixture;
  fixture.collect(at(1));
  fixture.answer(at(2), 7'000'000);
  const auto leases = fixture.collect(at(300));
  REQUIRE(leases.size() == 1);
  CHECK(leases[0].request.expires_clock_us == 7'500'000);
}

TEST_CASE("an older acknowledgement changes nothing") {
  Fixture fixture;
  fixture.collect(at(1));
  fixture.answer(at(2), 7'000'000);
  fixture.answer(at(3), 6'000'000);
  CHECK(fixture.collect(at(100))[0].request.expires_clock_us == 7'500'000);
}

TEST_CASE("a new leader reports no losses before leases of earlier leaders have expired") {
  Fixture fixture;
  for (int i = 0; i < 10; ++i) {
    fixture.collect(at(80 * i));
    CHECK(fixture.manager.lost(at(519)).empty());
  }
  CHECK(fixture.manager.lost(at(521)).size() == 1);
}

TEST_CASE("an unresponsive back end is lost only after its lease and the margin") {
  Fixture fixture;
  fixture.collect(at(1));
  fixture.answer(at(1000), 7'000'000);
  for (int i = 0; i < 8; ++i) {
    fixture.collect(at(1000 + 80 * i));
  }
  CHECK(fixture.manager.lost(at(1519)).empty());
  CHECK(fixture.manager.lost(at(1521)).size() == 1);
}

TEST_CASE("a stall of the leader itself loses no back end") {
  Fixture fixture;
  fixture.collect(at(1));
  fixture.answer(at(2), 7'000'000);
  fixture.collect(at(80));
  // The leader stalled for ten seconds, and only one renewal has no reply.
  CHECK(fixture.manager.lost(at(10'000)).empty());
}

TEST_CASE("a back end whose loss is proposed is not renewed by a late acknowledgement") {
  Fixture fixture;
  for (int i = 0; i < 10; ++i) {
    fixture.collect(at(80 * i));
  }
  const auto lost = fixture.manager.lost(at(800));
  REQUIRE(lost.size() == 1);
  fixture.manager.end_sessions(lost);
  fixture.answer(at(801), 7'000'000);
  CHECK(fixture.collect(at(900)).empty());
}

TEST_CASE("another incarnation at the address is reported, and the old lease still has to expire") {
  Fixture fixture;
  fixture.collect(at(1));
  fixture.answer(at(2), 7'000'000);
  fixture.collect(at(82));
  LeaseReply reply;
  reply.status = LeaseStatus::kWrongIncarnation;
  reply.incarnation = common::Incarnation("m1#2");
  fixture.manager.on_lease_reply(at(90), kMachine, fixture.backend, reply);
  const auto seen = fixture.manager.take_new_incarnations();
  REQUIRE(seen.size() == 1);
  CHECK(seen[0].incarnation.value == "m1#2");
  CHECK(fixture.manager.lost(at(500)).empty());
  CHECK(fixture.manager.lost(at(523)).size() == 1);
}

}  // namespace
}  // namespace planktray::ownership

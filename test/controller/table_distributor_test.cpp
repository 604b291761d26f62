#include "controller/core/table_distributor.hpp"

#include <doctest/doctest.h>

namespace planktray::controller {
namespace {

common::TimePoint at(std::int64_t value) { return common::from_microseconds(value * 1000); }

struct Fixture {
  ownership::CellState state;
  TableDistributor distributor{common::CellName("cell"), DistributorOptions()};

  Fixture() {
    distributor.begin_term(at(0), common::Term(1));
    state.apply(common::LogIndex(5), ownership::DrainMachine{common::MachineName("m"), true});
  }

  void hello(std::int64_t time, int router, std::uint64_t index, bool lacks_update = false) {
    routing::RouterHello hello;
    hello.router = common::RouterName("r" + std::to_string(router));
    hello.clock_us = time * 1000;
    hello.table_index = common::LogIndex(index);
    hello.serving = index > 0;
    hello.lacks_update = lacks_update;
    distributor.on_hello(at(time), hello, state.applied());
  }
  /// Collects all due updates in as many sweeps as needed.
  std::vector<OutgoingTable> collect_all(std::int64_t time) {
    std::vector<OutgoingTable> all;
    do {
      const auto tables = distributor.collect(at(time), state);
      all.insert(all.end(), tables.begin(), tables.end());
    } while (distributor.next_due() <= at(time));
    return all;
  }
};

TEST_CASE("the number of snapshots in flight to new routers is bounded") {
  Fixture fixture;
  constexpr int kRouters = 100;
  for (int i = 0; i < kRouters; ++i) {
    fixture.hello(1, i, 0);
  }
  CHECK(fixture.distributor.collect(at(2), fixture.state).size() == 32);
  // Repeated hellos before the first acknowledgements draw no further snapshots.
  for (int i = 0; i < kRouters; ++i) {
    fixture.hello(600, i, 0);
  }
  CHECK(fixture.distributor.collect(at(601), fixture.state).empty());
  std::size_t sent = 0;
  for (int i = 0; i < kRouters; ++i) {
    fixture.hello(700, i, i < 50 ? 5 : 0);
  }
  for (const OutgoingTable& table : fixture.distributor.collect(at(701), fixture.state)) {
    sent += table.update.deltas.empty() ? 0 : 1;
  }
  CHECK(sent > 0);
  CHECK(sent <= 32);
}

TEST_CASE("a lost snapshot is sent again") {
  Fixture fixture;
  fixture.hello(1, 1, 0);
  CHECK(fixture.distributor.collect(at(2), fixture.state).size() == 1);
  fixture.hello(3000, 1, 0);
  CHECK(fixture.distributor.collect(at(3001), fixture.state).empty());
  fixture.hello(5100, 1, 0);
  CHECK(fixture.distributor.collect(at(5101), fixture.state).size() == 1);
}

TEST_CASE("an index is in force once every router that may be serving has acknowledged it") {
  Fixture fixture;
  CHECK_FALSE(fixture.distributor.in_force(at(100), fixture.state).has_value());
  fixture.hello(4000, 1, 5);
  fixture.hello(4000, 2, 3);
  CHECK(*fixture.distributor.in_force(at(4001), fixture.state) == common::LogIndex(3));
  fixture.hello(4100, 2, 5);
  CHECK(*fixture.distributor.in_force(at(4101), fixture.state) == common::LogIndex(5));
  // A router without a hello for the table lease and the margin has stopped serving by itself.
  fixture.hello(4200, 3, 2);
  fixture.hello(7300, 1, 5);
  CHECK(*fixture.distributor.in_force(at(7351), fixture.state) == common::LogIndex(5));
}

TEST_CASE("a hello is answered at once, and only once") {
  Fixture fixture;
  fixture.hello(1, 1, 5);
  const common::RouterName router("r1");
  const auto answer = fixture.distributor.answer(at(1), fixture.state, router);
  REQUIRE(answer.has_value());
  CHECK(answer->router == router);
  CHECK(answer->update.echo_clock_us == 1000);
  CHECK_FALSE(fixture.distributor.answer(at(2), fixture.state, router).has_value());
  CHECK(fixture.distributor.collect(at(2), fixture.state).empty());
  CHECK_FALSE(
      fixture.distributor.answer(at(2), fixture.state, common::RouterName("no one")).has_value());
}

// Guards against a time that a router with a slow clock has not reached yet.
TEST_CASE("an update states a time that no router's clock has passed since its sending") {
  Fixture fixture;
  fixture.hello(1000, 1, 5);
  const auto answer = fixture.distributor.answer(at(1300), fixture.state, common::RouterName("r1"));
  REQUIRE(answer.has_value());
  CHECK(answer->update.echo_clock_us == 1'000'000);
  CHECK(answer->update.as_of_clock_us == 1'294'000);  // 2% less than 300 ms after the hello
}

TEST_CASE("a follower sends deltas with the time as of which they are current, but no snapshot") {
  Fixture fixture;
  routing::RouterHello hello;
  hello.router = common::RouterName("r1");
  hello.clock_us = 7'000'000;
  hello.table_index = common::LogIndex(5);
  const auto answer_to_hello = [&] {
    return fixture.distributor.answer_as_follower(at(1300), at(1100), fixture.state,
                                                  common::Term(1), hello);
  };
  const auto answer = answer_to_hello();
  REQUIRE(answer.has_value());
  CHECK(answer->update.by_follower);
  CHECK(answer->update.as_of_clock_us == 6'796'000);  // 2% more than 200 ms before the hello
  CHECK(answer->update.echo_clock_us == 0);           // no lease is extended
  hello.table_index = common::LogIndex(0);
  CHECK_FALSE(answer_to_hello().has_value());
  hello.table_index = common::LogIndex(6);  // newer than this follower's state
  CHECK_FALSE(answer_to_hello().has_value());
}

TEST_CASE("the hello interval grows with the number of routers") {
  Fixture fixture;
  constexpr int kRouters = 100;
  for (int i = 0; i < kRouters; ++i) {
    fixture.hello(1, i, 5);
  }
  const auto tables = fixture.collect_all(2);
  REQUIRE(tables.size() == kRouters);
  CHECK(tables[0].update.hello_interval_ms == 800);  // 100 routers, 125 hellos per second
}

TEST_CASE("changes in quick succession are sent together, and none is lost") {
  Fixture fixture;
  constexpr int kRouters = 75;  // at 1,500 updates per second, one per 50 ms to each
  for (int i = 0; i < kRouters; ++i) {
    fixture.hello(1, i, 5);
  }
  CHECK(fixture.collect_all(2).size() == kRouters);
  const auto change = [&](std::uint64_t from) {
    routing::TableDelta delta;
    delta.from = common::LogIndex(from);
    delta.to = common::LogIndex(from + 1);
    delta.removed_routes = {"r"};
    fixture.state.apply(common::LogIndex(from + 1),
                        ownership::DrainMachine{common::MachineName("m"), true});
    fixture.distributor.on_delta(delta);
  };
  change(5);
  CHECK(fixture.collect_all(10).empty());
  CHECK(fixture.distributor.next_due() == at(52));
  change(6);
  CHECK(fixture.collect_all(51).empty());
  const auto tables = fixture.collect_all(52);
  REQUIRE(tables.size() == kRouters);
  CHECK(tables[0].update.deltas.size() == 2);
  CHECK(fixture.distributor.next_due() == common::TimePoint::max());
  // The answer to a hello carries a change at once.
  change(7);
  fixture.hello(60, 3, 7);
  const auto answer = fixture.distributor.answer(at(60), fixture.state, common::RouterName("r3"));
  REQUIRE(answer.has_value());
  CHECK(answer->update.deltas.size() == 1);
}

/// Commits a change of the table.
void change(Fixture& fixture, std::uint64_t from) {
  routing::TableDelta delta;
  delta.from = common::LogIndex(from);
  delta.to = common::LogIndex(from + 1);
  delta.removed_routes = {"r"};
  fixture.state.apply(common::LogIndex(from + 1),
                      ownership::DrainMachine{common::MachineName("m"), true});
  fixture.distributor.on_delta(delta);
}

TEST_CASE("updates are sent without waiting for acknowledgements; a lost one is sent again") {
  Fixture fixture;
  fixture.hello(1, 1, 5);
  CHECK(fixture.distributor.collect(at(2), fixture.state).size() == 1);
  change(fixture, 5);
  const auto first = fixture.distributor.collect(at(10), fixture.state);
  REQUIRE(first.size() == 1);
  CHECK(first[0].update.base_index == common::LogIndex(5));
  change(fixture, 6);
  const auto second = fixture.distributor.collect(at(20), fixture.state);
  REQUIRE(second.size() == 1);
  CHECK(second[0].update.base_index == common::LogIndex(6));
  CHECK(second[0].update.deltas.size() == 1);
  CHECK(fixture.distributor.collect(at(30), fixture.state).empty());
  // A hello that may have crossed the updates does not prove a loss, and draws no resend.
  fixture.hello(40, 1, 5);
  const auto crossed = fixture.distributor.collect(at(40), fixture.state);
  REQUIRE(crossed.size() == 1);
  CHECK(crossed[0].update.deltas.empty());
  // A hello that reports a gap draws a resend at any time.
  fixture.hello(45, 1, 5, true);
  const auto again = fixture.distributor.collect(at(45), fixture.state);
  REQUIRE(again.size() == 1);
  CHECK(again[0].update.base_index == common::LogIndex(5));
  CHECK(again[0].update.deltas.size() == 2);
}

TEST_CASE("a lost update that no other one follows is sent again") {
  Fixture fixture;
  fixture.hello(1, 1, 5);
  CHECK(fixture.distributor.collect(at(2), fixture.state).size() == 1);
  change(fixture, 5);
  CHECK(fixture.distributor.collect(at(10), fixture.state).size() == 1);
  fixture.hello(610, 1, 5);
  const auto again = fixture.distributor.collect(at(610), fixture.state);
  REQUIRE(again.size() == 1);
  CHECK(again[0].update.base_index == common::LogIndex(5));
  CHECK(again[0].update.deltas.size() == 1);
}

// With 281 routers and an overloaded leader, updates took longer than 250 ms. Hellos that crossed
// them were mistaken for a loss, and 1.8 MB were resent within one second without any change.
TEST_CASE("late updates are not sent again for every hello that crosses them") {
  Fixture fixture;
  fixture.hello(1, 1, 5);
  CHECK(fixture.distributor.collect(at(2), fixture.state).size() == 1);
  change(fixture, 5);
  CHECK(fixture.distributor.collect(at(10), fixture.state).size() == 1);
  for (const std::int64_t time : {200, 400, 600}) {
    fixture.hello(time, 1, 5);
    for (const auto& table : fixture.distributor.collect(at(time), fixture.state)) {
      CHECK(table.update.deltas.empty());
    }
  }
  // A gap that is reported repeatedly draws one resend.
  fixture.hello(605, 1, 5, true);
  CHECK(fixture.distributor.collect(at(605), fixture.state).at(0).update.deltas.size() == 1);
  fixture.hello(615, 1, 5, true);
  CHECK(fixture.distributor.collect(at(615), fixture.state).at(0).update.deltas.empty());
}

// Guards against sweeps that block the leader's event loop: one that made and sent 281 updates took
// 30 to 90 ms.
TEST_CASE("the number of updates in one sweep is bounded") {
  Fixture fixture;
  constexpr int kRouters = 200;
  for (int i = 0; i < kRouters; ++i) {
    fixture.hello(1, i, 5);
  }
  std::size_t answered = 0;
  for (std::int64_t time = 2; answered < kRouters && time < 20; ++time) {
    const auto tables = fixture.distributor.collect(at(time), fixture.state);
    CHECK(tables.size() <= 64);
    answered += tables.size();
    CHECK((answered == kRouters || fixture.distributor.next_due() <= at(time)));
  }
  CHECK(answered == kRouters);
}

/// A fleet with back ends, whose snapshots are large.
struct LargeFixture : Fixture {
  std::uint64_t index = 5;

  void register_backends(int count) {
    for (int i = 0; i < count; ++i) {
      const std::string name = "b" + std::to_string(++index);
      ownership::RegisterBackend registration;
      registration.machine = common::MachineName(name);
      registration.address = name + ":80";
      registration.pool = common::PoolName("service");
      registration.incarnation = common::Incarnation(name);
      distributor.on_delta(state.apply(common::LogIndex(index), registration).delta);
    }
  }
};

/// Guards against a snapshot made for each router while back ends register: with 10,000 of them and
/// 985 routers, the leader did nothing else.
TEST_CASE("a large snapshot is sent again with the changes since then, not made anew") {
  LargeFixture fixture;
  fixture.register_backends(640);
  fixture.hello(1, 1, 0);
  const auto first = fixture.distributor.answer(at(1), fixture.state, common::RouterName("r1"));
  REQUIRE(first.has_value());
  CHECK(first->update.current_index == common::LogIndex(fixture.index));
  fixture.register_backends(3);
  fixture.hello(2, 2, 0);
  const auto second = fixture.distributor.answer(at(2), fixture.state, common::RouterName("r2"));
  REQUIRE(second.has_value());
  REQUIRE(second->update.deltas.size() == 1);
  CHECK(second->update.deltas.front().is_snapshot);
  CHECK(second->update.current_index == first->update.current_index);
  // It lacks changes that may be acknowledged, so it confirms nothing.
  CHECK(second->update.as_of_clock_us == 0);
  CHECK(second->update.echo_clock_us == 0);
  fixture.hello(3, 2, second->update.current_index.value);
  const auto changes = fixture.distributor.answer(at(3), fixture.state, common::RouterName("r2"));
  REQUIRE(changes.has_value());
  CHECK(changes->update.deltas.size() == 3);
  CHECK(changes->update.as_of_clock_us == 3000);
  // Once many changes have followed it, a new one is cheaper.
  fixture.register_backends(20);
  fixture.hello(4, 3, 0);
  const auto third = fixture.distributor.answer(at(4), fixture.state, common::RouterName("r3"));
  REQUIRE(third.has_value());
  CHECK(third->update.current_index == common::LogIndex(fixture.index));
}

/// Guards against a leader that sends each of a thousand routers every change by itself.
TEST_CASE("routers that are too many for the rate of updates poll followers") {
  LargeFixture fixture;
  constexpr int kFew = 300;
  constexpr int kMany = 1000;
  for (int i = 0; i < kFew; ++i) {
    fixture.hello(1, i, 5);
  }
  const auto answer = [&](std::int64_t time, int router) {
    fixture.hello(time, router, fixture.index);
    return fixture.distributor.answer(at(time), fixture.state,
                                      common::RouterName("r" + std::to_string(router)));
  };
  CHECK(answer(2, 0)->update.poll_interval_ms == 0);
  fixture.register_backends(1);
  CHECK_FALSE(fixture.collect_all(500).empty());
  for (int i = 0; i < kMany; ++i) {
    CHECK(answer(501, i).has_value());
  }
  CHECK(answer(502, 0)->update.poll_interval_ms == 500);
  fixture.register_backends(1);
  CHECK(fixture.collect_all(1000).empty());
  const auto changes = [&] {
    fixture.hello(1001, 7, fixture.index - 1);
    return fixture.distributor.answer(at(1001), fixture.state, common::RouterName("r7"));
  }();
  REQUIRE(changes.has_value());
  CHECK(changes->update.deltas.size() == 1);
}

/// Guards against one leader that sends hundreds of restarted routers a table of megabytes each.
TEST_CASE("a large snapshot is sent on request by any controller and offered before") {
  LargeFixture fixture;
  fixture.register_backends(2000);
  routing::RouterHello hello;
  hello.router = common::RouterName("r1");
  hello.clock_us = 1000;
  const auto answer = [&]() {
    fixture.distributor.on_hello(at(1), hello, fixture.state.applied());
    return fixture.distributor.answer(at(1), fixture.state, hello.router);
  };
  const auto follower_answer = [&]() {
    return fixture.distributor.answer_as_follower(at(1), at(1), fixture.state, common::Term(1),
                                                  hello);
  };
  // A router of an earlier version requests nothing: it gets the leader's snapshot.
  CHECK_FALSE(fixture.distributor.offers_snapshot(fixture.state, hello));
  CHECK(answer().has_value());
  CHECK_FALSE(follower_answer().has_value());

  hello.router = common::RouterName("r2");
  hello.requests_snapshots = true;
  CHECK(fixture.distributor.offers_snapshot(fixture.state, hello));
  CHECK_FALSE(answer().has_value());
  CHECK_FALSE(follower_answer().has_value());

  hello.wants_snapshot = true;
  CHECK_FALSE(fixture.distributor.offers_snapshot(fixture.state, hello));
  CHECK(answer().has_value());
  const auto snapshot = follower_answer();
  REQUIRE(snapshot.has_value());
  REQUIRE(snapshot->update.deltas.size() == 1);
  CHECK(snapshot->update.by_follower);
  CHECK(snapshot->update.as_of_clock_us == 0);
}

TEST_CASE("a follower bounds the snapshots that it has in flight") {
  LargeFixture fixture;
  fixture.register_backends(2000);
  const auto request = [&](std::int64_t time, int router) {
    routing::RouterHello hello;
    hello.router = common::RouterName("r" + std::to_string(router));
    hello.requests_snapshots = hello.wants_snapshot = true;
    return fixture.distributor
        .answer_as_follower(at(time), at(time), fixture.state, common::Term(1), hello)
        .has_value();
  };
  int sent = 0;
  for (int i = 0; i < 100; ++i) {
    sent += request(1, i) ? 1 : 0;
  }
  CHECK(sent == 32);
  CHECK_FALSE(request(4000, 99));
  CHECK(request(5002, 99));
}

}  // namespace
}  // namespace planktray::controller

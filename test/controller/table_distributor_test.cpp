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
    distributor.on_hello(at(time), hello);
  }
  /// All updates that are due, by as many sweeps as it takes.
  std::vector<OutgoingTable> collect_all(std::int64_t time) {
    std::vector<OutgoingTable> all;
    do {
      const auto tables = distributor.collect(at(time), state);
      all.insert(all.end(), tables.begin(), tables.end());
    } while (distributor.next_due() <= at(time));
    return all;
  }
};

TEST_CASE("many new routers get their snapshots a few at a time") {
  Fixture fixture;
  constexpr int kRouters = 100;
  for (int i = 0; i < kRouters; ++i) {
    fixture.hello(1, i, 0);
  }
  CHECK(fixture.distributor.collect(at(2), fixture.state).size() == 32);
  // They ask again before the first have acknowledged: nothing more goes out.
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

TEST_CASE("a snapshot that is lost is sent again") {
  Fixture fixture;
  fixture.hello(1, 1, 0);
  CHECK(fixture.distributor.collect(at(2), fixture.state).size() == 1);
  fixture.hello(3000, 1, 0);
  CHECK(fixture.distributor.collect(at(3001), fixture.state).empty());
  fixture.hello(5100, 1, 0);
  CHECK(fixture.distributor.collect(at(5101), fixture.state).size() == 1);
}

TEST_CASE("in force is what every router that may serve has acknowledged") {
  Fixture fixture;
  CHECK_FALSE(fixture.distributor.in_force(at(100), fixture.state).has_value());
  fixture.hello(4000, 1, 5);
  fixture.hello(4000, 2, 3);
  CHECK(*fixture.distributor.in_force(at(4001), fixture.state) == common::LogIndex(3));
  fixture.hello(4100, 2, 5);
  CHECK(*fixture.distributor.in_force(at(4101), fixture.state) == common::LogIndex(5));
  // A router that was not heard for the table lease and the margin has stopped by itself.
  fixture.hello(4200, 3, 2);
  fixture.hello(7300, 1, 5);
  CHECK(*fixture.distributor.in_force(at(7351), fixture.state) == common::LogIndex(5));
}

TEST_CASE("a hello is answered at once, and once") {
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

TEST_CASE("an update shows the table as of its sending, in the router's clock") {
  Fixture fixture;
  fixture.hello(1000, 1, 5);
  const auto answer = fixture.distributor.answer(at(1300), fixture.state, common::RouterName("r1"));
  REQUIRE(answer.has_value());
  CHECK(answer->update.echo_clock_us == 1'000'000);
  CHECK(answer->update.as_of_clock_us == 1'300'000);
}

TEST_CASE("a follower brings what it has as of the moment that it knows, and no snapshot") {
  Fixture fixture;
  routing::RouterHello hello;
  hello.router = common::RouterName("r1");
  hello.clock_us = 7'000'000;
  hello.table_index = common::LogIndex(5);
  const auto brought = [&] {
    return fixture.distributor.answer_as_follower(at(1300), at(1100), fixture.state,
                                                  common::Term(1), hello);
  };
  const auto answer = brought();
  REQUIRE(answer.has_value());
  CHECK(answer->update.by_follower);
  CHECK(answer->update.as_of_clock_us == 6'800'000);
  CHECK(answer->update.echo_clock_us == 0);  // no lease is extended
  hello.table_index = common::LogIndex(0);
  CHECK_FALSE(brought().has_value());
  hello.table_index = common::LogIndex(6);  // newer than what this follower has
  CHECK_FALSE(brought().has_value());
}

TEST_CASE("the more routers there are, the less often each is asked to say hello") {
  Fixture fixture;
  constexpr int kRouters = 100;
  for (int i = 0; i < kRouters; ++i) {
    fixture.hello(1, i, 5);
  }
  const auto tables = fixture.collect_all(2);
  REQUIRE(tables.size() == kRouters);
  CHECK(tables[0].update.hello_interval_ms == 800);  // 100 routers, 125 hellos a second
}

TEST_CASE("changes that follow each other closely go out together, and none is left behind") {
  Fixture fixture;
  constexpr int kRouters = 75;  // 1,500 updates a second: one in 50 ms to each
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
  // A hello is answered with what is new at once.
  change(7);
  fixture.hello(60, 3, 7);
  const auto answer = fixture.distributor.answer(at(60), fixture.state, common::RouterName("r3"));
  REQUIRE(answer.has_value());
  CHECK(answer->update.deltas.size() == 1);
}

/// Commits a change that routers see.
void change(Fixture& fixture, std::uint64_t from) {
  routing::TableDelta delta;
  delta.from = common::LogIndex(from);
  delta.to = common::LogIndex(from + 1);
  delta.removed_routes = {"r"};
  fixture.state.apply(common::LogIndex(from + 1),
                      ownership::DrainMachine{common::MachineName("m"), true});
  fixture.distributor.on_delta(delta);
}

TEST_CASE("updates follow each other without acknowledgements; a lost one is sent again") {
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
  // A hello that may have crossed them says nothing, a later one does.
  fixture.hello(40, 1, 5);
  const auto crossed = fixture.distributor.collect(at(40), fixture.state);
  REQUIRE(crossed.size() == 1);
  CHECK(crossed[0].update.deltas.empty());
  // One that has seen a gap shows it, whenever it comes.
  fixture.hello(45, 1, 5, true);
  const auto again = fixture.distributor.collect(at(45), fixture.state);
  REQUIRE(again.size() == 1);
  CHECK(again[0].update.base_index == common::LogIndex(5));
  CHECK(again[0].update.deltas.size() == 2);
}

TEST_CASE("an update that was lost without another behind it is sent again") {
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

/// Seen with 281 routers and a leader that was full: updates took longer than 250 ms, so hellos
/// that crossed them were taken for a loss, and 1.8 MB went out again in a second without news.
TEST_CASE("updates that are late are not sent again for every hello that crosses them") {
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
  // A gap that is told again and again is filled once.
  fixture.hello(605, 1, 5, true);
  CHECK(fixture.distributor.collect(at(605), fixture.state).at(0).update.deltas.size() == 1);
  fixture.hello(615, 1, 5, true);
  CHECK(fixture.distributor.collect(at(615), fixture.state).at(0).update.deltas.empty());
}

/// One sweep made and sent 281 updates, 30 to 90 ms of a leader's loop in one piece.
TEST_CASE("updates for many routers are made a few at a time") {
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

}  // namespace
}  // namespace planktray::controller

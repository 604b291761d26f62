/// What a router expects of a target that other routers have met.

#include <doctest/doctest.h>

#include "routing/table_messages.hpp"
#include "routing/target_book.hpp"

namespace planktray::routing {
namespace {

using std::chrono::milliseconds;

constexpr std::uint32_t kSlots = 4;
constexpr std::uint32_t kQueue = 16;
const BackendId kOwner{1};

TimePoint at(std::int64_t value) { return common::from_microseconds((10'000 + value) * 1000); }

RoomReport heard(std::uint32_t running, std::uint32_t waiting, std::int64_t age_ms) {
  RoomReport report{kOwner, running, waiting};
  report.set_age(milliseconds(age_ms));
  return report;
}

/// A router that has met its owner once, long ago, idle; another owner has turned it away when its
/// queue was full.
struct Fixture {
  TargetBook book{TargetBookOptions()};

  Fixture() {
    book.add(kOwner, kSlots, false);
    book.on_sent(at(-8200), kOwner);
    book.on_answered(at(-8000), kOwner, at(-8200), LoadReport{0, 0, kSlots});
    book.on_turned_away(at(-7000), BackendId(2), LoadReport{kSlots, kQueue, kSlots});
  }
};

TEST_CASE("nothing is said of an owner of which nothing was heard lately") {
  Fixture fixture;
  CHECK_FALSE(fixture.book.room(at(0), kOwner).has_value());
  CHECK_FALSE(fixture.book.room(at(0), BackendId(77)).has_value());
}

TEST_CASE("an owner that is full by another router's word is expected late; a second later not") {
  Fixture fixture;
  const Duration idle = fixture.book.projected(at(0), kOwner);
  REQUIRE(fixture.book.take_room(at(0), heard(kSlots, kQueue, 10)));
  const auto room = fixture.book.room(at(1), kOwner);
  REQUIRE(room.has_value());
  CHECK(room->is_full);
  CHECK(room->expected > 4 * idle);
  CHECK(room->room_expected_in > Duration(0));
  // Between the two lies the work of the twelve that may wait: three rounds of it.
  CHECK(room->slot_expected_in - room->room_expected_in > 2 * idle);
  CHECK(room->slot_expected_in > 3 * room->room_expected_in);
  // Half a second later it is expected to have worked off much of it.
  const auto later = fixture.book.room(at(500), kOwner);
  REQUIRE(later.has_value());
  CHECK_FALSE(later->is_full);
  CHECK(later->expected < room->expected);
  CHECK_FALSE(fixture.book.room(at(1100), kOwner).has_value());
  CHECK(fixture.book.projected(at(3000), kOwner) < 2 * idle);
}

TEST_CASE("what is old when it comes says nothing, and does not replace what is younger") {
  Fixture fixture;
  CHECK_FALSE(fixture.book.take_room(at(0), heard(kSlots, kQueue, 1100)));
  CHECK(fixture.book.take_room(at(0), heard(1, 0, 100)));
  CHECK_FALSE(fixture.book.take_room(at(0), heard(kSlots, kQueue, 300)));
  const auto room = fixture.book.room(at(0), kOwner);
  REQUIRE(room.has_value());
  CHECK_FALSE(room->is_full);
  CHECK(room->slot_expected_in == Duration(0));
}

TEST_CASE("what a router has sent since a word counts beside it, and what was in it does not") {
  Fixture fixture;
  fixture.book.on_sent(at(-300), kOwner);
  REQUIRE(fixture.book.take_room(at(0), heard(kSlots, 2, 100)));
  const double before = fixture.book.room(at(0), kOwner)->ahead;
  CHECK(before <= kSlots + 2);
  fixture.book.on_sent(at(0), kOwner);
  fixture.book.on_sent(at(0), kOwner);
  CHECK(fixture.book.room(at(0), kOwner)->ahead == doctest::Approx(before + 2));
}

TEST_CASE("an owner that tells nothing is never called full") {
  TargetBook book{TargetBookOptions()};
  book.add(kOwner, kSlots, false);
  book.on_turned_away(at(0), kOwner, std::nullopt);
  CHECK_FALSE(book.room(at(1), kOwner).has_value());
}

TEST_CASE("a queue is full only where a queue of its length has turned a request away") {
  TargetBook book{TargetBookOptions()};
  book.add(kOwner, kSlots, false);
  REQUIRE(book.take_room(at(0), heard(kSlots, 40, 0)));
  REQUIRE(book.room(at(0), kOwner).has_value());
  CHECK_FALSE(book.room(at(0), kOwner)->is_full);
  CHECK(book.room(at(0), kOwner)->expected > milliseconds(500));
}

TEST_CASE("a router tells what its own answers said, the youngest first, and no hearsay") {
  TargetBook book{TargetBookOptions()};
  for (std::uint64_t id = 1; id <= 5; ++id) {
    book.add(BackendId(id), kSlots, false);
    const auto time = static_cast<std::int64_t>(id) * 100;
    book.on_sent(at(time - 50), BackendId(id));
    book.on_answered(at(time), BackendId(id), at(time - 50), LoadReport{1, 0, kSlots});
  }
  book.add(BackendId(9), kSlots, false);
  RoomReport told{BackendId(9), 4, 4};
  REQUIRE(book.take_room(at(500), told));
  const auto rooms = book.rooms_since(at(500), at(200), 2);
  REQUIRE(rooms.size() == 2);
  CHECK(rooms[0].backend == BackendId(5));
  CHECK(rooms[1].backend == BackendId(4));
  CHECK(rooms[1].age() == milliseconds(100));
  CHECK(book.rooms_since(at(500), at(200), 64).size() == 3);
}

/// The messages as peers of the version before write them.
struct OldUpdate {
  common::CellName cell;
  common::Term term;
  std::int64_t echo_clock_us = 0;
  LogIndex base_index;
  LogIndex current_index;
  std::uint32_t router_rank = 0;
  std::uint32_t router_count = 1;
  SharedList<TableDelta> deltas;
  std::uint32_t hello_interval_ms = 0;
  std::int64_t as_of_clock_us = 0;
  bool by_follower = false;
  MSGPACK_DEFINE_ARRAY(cell, term, echo_clock_us, base_index, current_index, router_rank,
                       router_count, deltas, hello_interval_ms, as_of_clock_us, by_follower)
};
struct OldHello {
  common::CellName cell;
  common::RouterName router;
  std::string address;
  std::int64_t clock_us = 0;
  LogIndex table_index;
  bool serving = false;
  std::vector<ShardLoad> loads;
  std::vector<KeyLoad> key_loads;
  std::vector<TargetTime> target_times;
  std::vector<BackendId> ended;
  bool lacks_update = false;
  MSGPACK_DEFINE_ARRAY(cell, router, address, clock_us, table_index, serving, loads, key_loads,
                       target_times, ended, lacks_update)
};

TEST_CASE("peers of the version before are read, and read what is new") {
  OldUpdate old_update;
  old_update.current_index = LogIndex(7);
  old_update.by_follower = true;
  const auto update = common::decode<TableUpdate>(common::encode(old_update), "read", "old");
  REQUIRE(update.has_value());
  CHECK(update->current_index == LogIndex(7));
  CHECK(update->by_follower);
  CHECK(update->rooms.empty());
  OldHello old_hello;
  old_hello.clock_us = 3;
  old_hello.lacks_update = true;
  const auto hello = common::decode<RouterHello>(common::encode(old_hello), "read", "old");
  REQUIRE(hello.has_value());
  CHECK(hello->lacks_update);
  CHECK(hello->rooms.empty());

  TableUpdate new_update;
  new_update.rooms = {heard(4, 16, 250)};
  const auto back = common::decode<TableUpdate>(common::encode(new_update), "read", "new");
  REQUIRE(back.has_value());
  CHECK(back->rooms.front().age() == milliseconds(250));
  CHECK(common::decode<OldUpdate>(common::encode(new_update), "read", "new").has_value());
  RouterHello new_hello;
  new_hello.rooms = {heard(4, 16, 250)};
  CHECK(common::decode<OldHello>(common::encode(new_hello), "read", "new").has_value());
}

TEST_CASE("a report of usual size takes eight bytes, and none takes more than its bound") {
  RoomReport usual{BackendId(2500), 4, 16};
  usual.set_age(milliseconds(900));
  CHECK(common::encode(usual).size() <= 8);
  RoomReport largest{BackendId((1ULL << 32U) - 1), 60'000, 60'000};
  largest.set_age(kRoomLifetime);
  CHECK(common::encode(largest).size() <= kRoomReportBytes);
}

}  // namespace
}  // namespace planktray::routing

/// Loads of back ends at a controller: which word is kept, and what a digest may hold.

#include "controller/core/room_board.hpp"

#include <doctest/doctest.h>

#include <algorithm>

#include "controller/core/table_distributor.hpp"

namespace planktray::controller {
namespace {

using routing::RoomReport;
using std::chrono::milliseconds;

constexpr milliseconds kInterval(600);

common::TimePoint at(std::int64_t value) {
  return common::from_microseconds((10'000 + value) * 1000);
}

RoomReport report(std::uint64_t backend, std::uint32_t waiting, std::int64_t age_ms) {
  RoomReport made{common::BackendId(backend), 4, waiting};
  made.set_age(milliseconds(age_ms));
  return made;
}

std::vector<RoomReport> listed(const RoomBoard::Digest& digest) {
  return std::vector<RoomReport>(digest.begin(), digest.end());
}

TEST_CASE("of each back end the youngest word is kept, in whichever order they come") {
  RoomBoard board{RoomBoardOptions()};
  board.note(at(0), {report(1, 7, 100)});
  board.note(at(10), {report(1, 2, 400)});  // heard before the first
  CHECK(listed(board.digest(at(10), kInterval, 1)).front().waiting == 7);
  board.note(at(70), {report(1, 3, 0)});
  const auto digest = listed(board.digest(at(90), kInterval, 1));
  REQUIRE(digest.size() == 1);
  CHECK(digest.front().waiting == 3);
  CHECK(digest.front().age() == milliseconds(20));
}

TEST_CASE("what is older than its lifetime is neither taken nor told nor kept") {
  RoomBoard board{RoomBoardOptions()};
  board.note(at(0), {report(1, 16, 1200), report(2, 16, 300)});
  CHECK(board.size() == 1);
  CHECK(board.digest(at(0), milliseconds(5000), 1).size() == 1);
  CHECK(board.digest(at(800), milliseconds(5000), 1).empty());
  CHECK(board.size() == 0);
}

TEST_CASE("what came before the routers' last updates is not told again") {
  RoomBoard board{RoomBoardOptions()};
  board.note(at(0), {report(1, 16, 0)});
  CHECK(board.digest(at(0), milliseconds(100), 1).size() == 1);
  CHECK(board.digest(at(100), milliseconds(100), 1).size() == 1);
  CHECK(board.digest(at(160), milliseconds(100), 1).empty());
}

TEST_CASE("digests keep within their bytes a second, and the oldest words are left out") {
  const RoomBoardOptions options;
  RoomBoard board{options};
  constexpr std::uint64_t kBackends = 4000;
  std::vector<RoomReport> reports;
  for (std::uint64_t id = 1; id <= kBackends; ++id) {
    // The largest that a report can be: ids and lengths that take all their bytes.
    RoomReport made = report((1ULL << 31U) + id, 60'000, static_cast<std::int64_t>(id) / 5);
    made.running = 60'000;
    reports.push_back(made);
  }
  board.note(at(0), reports);
  const auto digest = board.digest(at(0), kInterval, 1);
  CHECK(digest.size() > 100);
  CHECK(common::encode(digest).size() <= options.bytes_per_second * 6 / 10);
  for (const RoomReport& told : digest) {
    CHECK(told.age() <= milliseconds(70));
  }
}

TEST_CASE("thousands of routers share what a controller sends to all") {
  const RoomBoardOptions options;
  RoomBoard board{options};
  std::vector<RoomReport> reports;
  for (std::uint64_t id = 1; id <= 1000; ++id) {
    reports.push_back(report(id, 1, 0));
  }
  board.note(at(0), reports);
  constexpr std::size_t kRouters = 3000;
  const auto& digest = board.digest(at(0), milliseconds(1000), kRouters);
  CHECK_FALSE(digest.empty());
  CHECK(common::encode(digest).size() * kRouters <= options.bytes_per_second_to_all);
}

TEST_CASE("routers that are answered within a moment get the same list, encoded once") {
  RoomBoard board{RoomBoardOptions()};
  board.note(at(0), {report(1, 3, 0)});
  const RoomReport* first = &board.digest(at(0), kInterval, 1).front();
  board.note(at(20), {report(1, 5, 0)});
  CHECK(&board.digest(at(49), kInterval, 1).front() == first);
  CHECK(board.digest(at(50), kInterval, 1).front().waiting == 5);
}

TEST_CASE("a bounded number of back ends is kept") {
  RoomBoardOptions options;
  options.maximum_backends = 3;
  RoomBoard board{options};
  for (std::uint64_t id = 1; id <= 9; ++id) {
    board.note(at(0), {report(id, 1, 0)});
  }
  CHECK(board.size() == 3);
  board.note(at(10), {report(1, 9, 0)});  // a known one is still taken
  const auto digest = listed(board.digest(at(10), kInterval, 1));
  CHECK(std::any_of(digest.begin(), digest.end(),
                    [](const RoomReport& told) { return told.waiting == 9; }));
}

/// A controller's distributor with a table; hellos bring loads, updates are asked for.
struct Distributing {
  ownership::CellState state;
  TableDistributor distributor{common::CellName("cell"), DistributorOptions()};

  Distributing() {
    distributor.begin_term(at(0), common::Term(1));
    state.apply(common::LogIndex(5), ownership::DrainMachine{common::MachineName("m"), true});
  }
  static routing::RouterHello hello(const std::string& router, std::vector<RoomReport> rooms) {
    routing::RouterHello made;
    made.router = common::RouterName(router);
    made.table_index = common::LogIndex(5);
    made.serving = true;
    made.rooms = std::move(rooms);
    return made;
  }
  std::size_t told(std::int64_t time, const std::string& router, std::vector<RoomReport> rooms) {
    distributor.on_hello(at(time), hello(router, std::move(rooms)));
    const auto answer = distributor.answer(at(time), state, common::RouterName(router));
    return answer.has_value() ? answer->update.rooms.size() : 0;
  }
};

TEST_CASE("what one router heard is told to the next that says hello") {
  Distributing leader;
  CHECK(leader.told(0, "a", {report(1, 16, 0)}) == 1);
  CHECK(leader.told(10, "b", {}) == 1);
}

TEST_CASE("a leader that has just begun has it after the next hellos, and asks for nothing") {
  Distributing before;
  CHECK(before.told(0, "a", {report(1, 16, 0)}) == 1);
  Distributing next;
  CHECK(next.told(700, "b", {}) == 0);
  CHECK(next.told(800, "a", {report(1, 12, 50)}) == 1);
  CHECK(next.told(900, "b", {}) == 1);
}

TEST_CASE("a follower tells what it heard with the table that it brings") {
  Distributing follower;
  const auto ask = [&](std::int64_t time, std::vector<RoomReport> rooms) {
    return follower.distributor.answer_as_follower(at(time), at(time - 50), follower.state,
                                                   common::Term(1),
                                                   Distributing::hello("a", std::move(rooms)));
  };
  const auto first = ask(0, {report(1, 16, 0), report(2, 3, 10)});
  REQUIRE(first.has_value());
  CHECK(first->update.rooms.size() == 2);
  const auto later = ask(1100, {});
  REQUIRE(later.has_value());
  CHECK(later->update.rooms.empty());
}

TEST_CASE("where nobody reports a load, an update is one byte longer") {
  Distributing leader;
  leader.distributor.on_hello(at(0), Distributing::hello("a", {}));
  const auto answer = leader.distributor.answer(at(0), leader.state, common::RouterName("a"));
  REQUIRE(answer.has_value());
  CHECK(answer->update.rooms.empty());
  CHECK(common::encode(answer->update.rooms).size() == 1);
}

}  // namespace
}  // namespace planktray::controller

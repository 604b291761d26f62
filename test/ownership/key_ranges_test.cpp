#include "ownership/key_ranges.hpp"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <vector>

namespace planktray::ownership {
namespace {

/// Expected ownership, stored per key.
struct Model {
  std::vector<std::uint64_t> owner = std::vector<std::uint64_t>(config::kKeyCount, 0);
  std::vector<std::uint64_t> fence = std::vector<std::uint64_t>(config::kKeyCount, 1);
  std::vector<bool> moving = std::vector<bool>(config::kKeyCount, false);
};

void check_same(const KeyRangeMap& ranges, const Model& model) {
  std::uint32_t next = 0;
  for (const auto& [first, record] : ranges.records()) {
    RC_ASSERT(first == next);
    RC_ASSERT(record.keys.first == first);
    for (std::uint32_t key = record.keys.first; key <= record.keys.last; ++key) {
      RC_ASSERT(record.owner.value == model.owner[key]);
      RC_ASSERT(record.fence.value == model.fence[key]);
      RC_ASSERT(record.moving == model.moving[key]);
    }
    next = record.keys.last + 1;
  }
  RC_ASSERT(next == config::kKeyCount);
}

TEST_CASE("ranges cover every key exactly once after any moves and assignments") {
  const bool held = rc::check([] {
    KeyRangeMap ranges(Epoch(1));
    Model model;
    const auto steps = *rc::gen::inRange(1, 25);
    for (int step = 0; step < steps; ++step) {
      const std::uint64_t index = static_cast<std::uint64_t>(step) + 2;
      const auto at = *rc::gen::inRange<std::uint32_t>(0, config::kKeyCount);
      const RangeRecord& record = ranges.record_of(at);
      const auto last = *rc::gen::inRange<std::uint32_t>(at, record.keys.last + 1);
      const KeyRange keys{at, last};
      const Epoch fence = record.fence;
      if (*rc::gen::arbitrary<bool>()) {
        const bool expected = !record.moving && record.owner.value != 0;
        RC_ASSERT(ranges.begin_move(LogIndex(index), keys, fence, BackendId(9)) == expected);
        for (std::uint32_t key = at; expected && key <= last; ++key) {
          model.moving[key] = true;
        }
      } else {
        const auto owner = *rc::gen::inRange<std::uint64_t>(0, 4);
        RC_ASSERT(ranges.assign(LogIndex(index), keys, fence, BackendId(owner), ""));
        for (std::uint32_t key = at; key <= last; ++key) {
          model.owner[key] = owner;
          model.fence[key] = index;
          model.moving[key] = false;
        }
      }
    }
    check_same(ranges, model);
  });
  CHECK(held);
}

TEST_CASE("a plan that expects an outdated fence changes nothing") {
  KeyRangeMap ranges(Epoch(1));
  REQUIRE(ranges.assign(LogIndex(2), KeyRange{0, 99}, Epoch(1), BackendId(7), ""));
  CHECK_FALSE(ranges.assign(LogIndex(3), KeyRange{0, 99}, Epoch(1), BackendId(8), ""));
  CHECK_FALSE(ranges.assign(LogIndex(3), KeyRange{50, 150}, Epoch(2), BackendId(8), ""));
  CHECK_FALSE(ranges.begin_move(LogIndex(3), KeyRange{50, 150}, Epoch(2), BackendId(8)));
  CHECK(ranges.record_of(50).owner == BackendId(7));
  CHECK(ranges.record_of(100).owner == BackendId(0));
}

TEST_CASE("adjacent ranges of one owner are joined under a new fence") {
  KeyRangeMap ranges(Epoch(1));
  REQUIRE(ranges.assign(LogIndex(2), KeyRange{0, 99}, Epoch(1), BackendId(7), "a"));
  REQUIRE(ranges.assign(LogIndex(3), KeyRange{100, 199}, Epoch(1), BackendId(7), "b"));
  REQUIRE(ranges.assign(LogIndex(4), KeyRange{200, 299}, Epoch(1), BackendId(8), ""));
  SUBCASE("whole ranges of one owner") {
    CHECK(ranges.join(LogIndex(5), KeyRange{0, 199}, BackendId(7)));
    CHECK(ranges.record_of(150).keys == KeyRange{0, 199});
    CHECK(ranges.record_of(150).fence == Epoch(5));
    CHECK(ranges.record_of(150).handover.empty());
    CHECK(ranges.record_of(200).fence == Epoch(4));
  }
  SUBCASE("not with ranges of another owner, and not parts of ranges") {
    CHECK_FALSE(ranges.join(LogIndex(5), KeyRange{0, 299}, BackendId(7)));
    CHECK_FALSE(ranges.join(LogIndex(5), KeyRange{0, 150}, BackendId(7)));
    CHECK_FALSE(ranges.join(LogIndex(5), KeyRange{50, 199}, BackendId(7)));
    CHECK_FALSE(ranges.join(LogIndex(5), KeyRange{0, 199}, BackendId(8)));
    CHECK(ranges.record_of(150).fence == Epoch(3));
  }
  SUBCASE("not while one of them is moving") {
    REQUIRE(ranges.begin_move(LogIndex(5), KeyRange{100, 199}, Epoch(3), BackendId(8)));
    CHECK_FALSE(ranges.join(LogIndex(6), KeyRange{0, 199}, BackendId(7)));
    CHECK(ranges.record_of(50).fence == Epoch(2));
  }
}

TEST_CASE("invalid key ranges are rejected") {
  KeyRangeMap ranges(Epoch(1));
  CHECK_FALSE(
      ranges.assign(LogIndex(2), KeyRange{0, config::kKeyCount}, Epoch(1), BackendId(7), ""));
  CHECK_FALSE(ranges.assign(LogIndex(2), KeyRange{9, 8}, Epoch(1), BackendId(7), ""));
}

}  // namespace
}  // namespace planktray::ownership

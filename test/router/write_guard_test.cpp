/// What becomes of requests whose back end leaves, or may have left, while they are being written.

#include "router/core/write_guard.hpp"

#include <doctest/doctest.h>

namespace planktray::router {
namespace {

using std::chrono::milliseconds;

constexpr AttemptId kAttempt = 7;
const BackendId kBackend(1);

TimePoint at(std::int64_t value) { return common::from_microseconds((1'000'000 + value) * 1000); }

/// A guard with a promise of 2 s, 200 ms of it for the way, and a table confirmed at 0.
struct Fixture {
  routing::TableFreshness freshness{{milliseconds(1500), milliseconds(1250), milliseconds(500)}};
  WriteGuard guard{{milliseconds(2000), milliseconds(200), milliseconds(20)}};

  Fixture() { confirm(0); }
  void confirm(std::int64_t as_of) { freshness.on_confirmed(at(as_of), at(as_of)); }
  void add(std::int64_t now, bool is_bound = false) {
    guard.add(at(now), kAttempt, kBackend, is_bound, freshness);
  }
  std::vector<WriteDecision> review(std::int64_t now) { return guard.review(at(now), freshness); }
};

std::vector<WriteDecision> only(WriteVerdict verdict) { return {{kAttempt, verdict}}; }

// Guards against a request that waits for its connection or its turn at the link, and is then
// written to a back end that has left meanwhile.
TEST_CASE("an attempt of which nothing was written is taken back when its back end leaves") {
  Fixture fixture;
  fixture.add(10);
  CHECK(fixture.review(20).empty());
  fixture.guard.on_leaving(kBackend, at(0));
  CHECK(fixture.review(30) == only(WriteVerdict::kRecall));
}

TEST_CASE("an attempt that was written whole is nobody's concern") {
  Fixture fixture;
  fixture.add(10);
  fixture.guard.on_begun(kAttempt);
  fixture.guard.remove(kAttempt);
  fixture.guard.on_leaving(kBackend, at(0));
  CHECK(fixture.review(5000).empty());
  CHECK(fixture.guard.next_review() == TimePoint::max());
}

// Guards against a body that was begun in time and goes on for as long as it takes.
TEST_CASE("a begun attempt goes on until its back end's time is up, and is cut off then") {
  Fixture fixture;
  fixture.add(10);
  fixture.guard.on_begun(kAttempt);
  fixture.confirm(300);
  fixture.guard.on_leaving(kBackend, at(300));
  fixture.confirm(500);
  CHECK(fixture.review(500).empty());
  CHECK(fixture.review(2099).empty());
  CHECK(fixture.guard.next_review() == at(2119));
  CHECK(fixture.review(2100) == only(WriteVerdict::kAbort));
}

TEST_CASE("an attempt that no other back end may take stays until the time is up") {
  Fixture fixture;
  fixture.add(10, true);
  fixture.guard.on_leaving(kBackend, at(0));
  CHECK(fixture.review(1799).empty());
  CHECK(fixture.review(1800) == only(WriteVerdict::kRecall));
}

// Guards against bytes that follow a decision by a table which says nothing of the present.
TEST_CASE("a begun attempt is held while the table is too old, and goes on with a newer one") {
  Fixture fixture;
  fixture.add(10);
  fixture.guard.on_begun(kAttempt);
  CHECK(fixture.review(1799).empty());
  CHECK(fixture.review(1800) == only(WriteVerdict::kHold));
  CHECK(fixture.review(1900).empty());
  fixture.confirm(1700);
  CHECK(fixture.review(1950) == only(WriteVerdict::kResume));
}

TEST_CASE("an attempt that is not begun is taken back where the table is too old") {
  Fixture fixture;
  fixture.add(10);
  CHECK(fixture.review(1800) == only(WriteVerdict::kRecall));
}

TEST_CASE("a router that nobody answers goes on by its last table, but not to who is leaving") {
  Fixture fixture;
  fixture.freshness.on_asked(at(100));
  fixture.add(10);
  fixture.guard.on_begun(kAttempt);
  CHECK(fixture.review(1900).empty());
  fixture.guard.on_leaving(kBackend, at(0));
  CHECK(fixture.review(1920) == only(WriteVerdict::kAbort));
}

TEST_CASE("a back end that was never known to take work is closed at once") {
  Fixture fixture;
  fixture.guard.on_leaving(kBackend, std::nullopt);
  REQUIRE(fixture.guard.closes_at(kBackend).has_value());
  CHECK(*fixture.guard.closes_at(kBackend) <= at(0));
}

TEST_CASE("the first word of a departure counts, until the back end takes work again") {
  Fixture fixture;
  fixture.guard.on_leaving(kBackend, at(0));
  fixture.guard.on_leaving(kBackend, at(900));
  CHECK(fixture.guard.closes_at(kBackend) == at(2000));
  fixture.guard.on_taking(kBackend);
  CHECK_FALSE(fixture.guard.closes_at(kBackend).has_value());
}

TEST_CASE("where nothing is promised, a begun attempt takes the time that it takes") {
  Fixture fixture;
  WriteGuard guard(WriteGuardOptions{});
  guard.add(at(10), kAttempt, kBackend, false, fixture.freshness);
  guard.on_begun(kAttempt);
  guard.on_leaving(kBackend, at(0));
  CHECK(guard.review(at(60'000), fixture.freshness).empty());
}

}  // namespace
}  // namespace planktray::router

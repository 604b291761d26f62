/// Decisions about requests whose back end leaves, or may have left, while they are being written.

#include "router/core/write_guard.hpp"

#include <doctest/doctest.h>

namespace planktray::router {
namespace {

using std::chrono::milliseconds;

constexpr AttemptId kAttempt = 7;
const BackendId kBackend(1);

TimePoint at(std::int64_t value) { return common::from_microseconds((1'000'000 + value) * 1000); }

/// A guard with a departure deadline of 2 s, a network latency of 200 ms, and a table that was
/// confirmed at 0.
struct Fixture {
  routing::TableFreshness freshness{{milliseconds(1500), milliseconds(1250), milliseconds(500)}};
  WriteGuard guard{{milliseconds(2000), milliseconds(200), milliseconds(20)}};

  Fixture() { confirm(0); }
  void confirm(std::int64_t as_of) { freshness.on_confirmed(at(as_of), at(as_of)); }
  void add(std::int64_t now, bool is_pinned = false) {
    guard.add(at(now), kAttempt, kBackend, is_pinned, freshness);
  }
  std::vector<WriteDecision> review(std::int64_t now) { return guard.review(at(now), freshness); }
};

std::vector<WriteDecision> only(WriteVerdict verdict) { return {{kAttempt, verdict}}; }

// Guards against a request that waits for its connection or for the link and is then written to a
// back end that has left in the meantime.
TEST_CASE("an attempt of which nothing was written is recalled when its back end leaves") {
  Fixture fixture;
  fixture.add(10);
  CHECK(fixture.review(20).empty());
  fixture.guard.on_leaving(kBackend, at(0));
  CHECK(fixture.review(30) == only(WriteVerdict::kRecall));
}

TEST_CASE("a completely written attempt is not reviewed") {
  Fixture fixture;
  fixture.add(10);
  fixture.guard.on_started(kAttempt);
  fixture.guard.remove(kAttempt);
  fixture.guard.on_leaving(kBackend, at(0));
  CHECK(fixture.review(5000).empty());
  CHECK(fixture.guard.next_review() == TimePoint::max());
}

// Guards against a body that is started in time and then written for an unlimited time.
TEST_CASE("a started attempt continues until its back end closes and is then aborted") {
  Fixture fixture;
  fixture.add(10);
  fixture.guard.on_started(kAttempt);
  fixture.confirm(300);
  fixture.guard.on_leaving(kBackend, at(300));
  fixture.confirm(500);
  CHECK(fixture.review(500).empty());
  CHECK(fixture.review(2099).empty());
  CHECK(fixture.guard.next_review() == at(2119));
  CHECK(fixture.review(2100) == only(WriteVerdict::kAbort));
}

TEST_CASE("an attempt that is pinned to its back end is recalled only when the back end closes") {
  Fixture fixture;
  fixture.add(10, true);
  fixture.guard.on_leaving(kBackend, at(0));
  CHECK(fixture.review(1799).empty());
  CHECK(fixture.review(1800) == only(WriteVerdict::kRecall));
}

// Guards against bytes that are written on the basis of a stale table.
TEST_CASE("a started attempt is held while the table is too old and resumed with a newer one") {
  Fixture fixture;
  fixture.add(10);
  fixture.guard.on_started(kAttempt);
  CHECK(fixture.review(1799).empty());
  CHECK(fixture.review(1800) == only(WriteVerdict::kHold));
  CHECK(fixture.review(1900).empty());
  fixture.confirm(1700);
  CHECK(fixture.review(1950) == only(WriteVerdict::kResume));
}

TEST_CASE("an attempt that has not started is recalled when the table is too old") {
  Fixture fixture;
  fixture.add(10);
  CHECK(fixture.review(1800) == only(WriteVerdict::kRecall));
}

TEST_CASE("an isolated router uses its last table, except for back ends that are leaving") {
  Fixture fixture;
  fixture.freshness.on_asked(at(100));
  fixture.add(10);
  fixture.guard.on_started(kAttempt);
  CHECK(fixture.review(1900).empty());
  fixture.guard.on_leaving(kBackend, at(0));
  CHECK(fixture.review(1920) == only(WriteVerdict::kAbort));
}

TEST_CASE("a back end that was never known to accept work closes at once") {
  Fixture fixture;
  fixture.guard.on_leaving(kBackend, std::nullopt);
  REQUIRE(fixture.guard.closes_at(kBackend).has_value());
  CHECK(*fixture.guard.closes_at(kBackend) <= at(0));
}

TEST_CASE("the first report of a departure counts, until the back end accepts work again") {
  Fixture fixture;
  fixture.guard.on_leaving(kBackend, at(0));
  fixture.guard.on_leaving(kBackend, at(900));
  CHECK(fixture.guard.closes_at(kBackend) == at(2000));
  fixture.guard.on_accepting_work(kBackend);
  CHECK_FALSE(fixture.guard.closes_at(kBackend).has_value());
}

TEST_CASE("without a departure deadline, a started attempt is not aborted") {
  Fixture fixture;
  WriteGuard guard(WriteGuardOptions{});
  guard.add(at(10), kAttempt, kBackend, false, fixture.freshness);
  guard.on_started(kAttempt);
  guard.on_leaving(kBackend, at(0));
  CHECK(guard.review(at(60'000), fixture.freshness).empty());
}

}  // namespace
}  // namespace planktray::router

#include "link/link_scheduler.hpp"

#include <doctest/doctest.h>

#include <algorithm>
#include <array>
#include <map>

namespace planktray::link {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr TimePoint kStart{std::chrono::hours(1)};
/// Capacities of links in bytes per second, from narrow to effectively unlimited.
constexpr std::array<double, 3> kLinks{4.1e6 / 8, 14e6 / 8, 1000e6 / 8};
/// Longest wait of a small message behind large bodies.
constexpr Duration kSmallWait = milliseconds(30);

Duration time_on(double rate, double bytes) {
  return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(bytes / rate));
}

/// Transfers the scheduler's pieces in steps of time.
struct Run {
  explicit Run(double rate_of_link) : rate(rate_of_link), scheduler(rate_of_link, kStart) {}

  /// @return the bytes transferred in this step.
  std::size_t step(Duration length) {
    now += length;
    std::size_t bytes = 0;
    for (const Piece& piece : scheduler.take(now)) {
      bytes += piece.bytes;
      passed[piece.body] += piece.bytes;
      if (scheduler.passed(piece.body, piece.bytes)) {
        ended[piece.body] = now;
      }
    }
    return bytes;
  }
  void run_until(TimePoint end) {
    while (now < end) {
      step(milliseconds(1));
    }
  }

  double rate;
  LinkScheduler scheduler;
  TimePoint now = kStart;
  std::map<BodyId, std::size_t> passed;
  std::map<BodyId, TimePoint> ended;
};

TEST_CASE(
    "a small message waits at most 30 ms behind large bodies, on links of every tested capacity") {
  for (const double rate : kLinks) {
    CAPTURE(rate);
    Run run(rate);
    for (const std::size_t bytes : {540'000, 90'000, 360'000, 60'000, 90'000, 540'000}) {
      run.scheduler.add(run.now, bytes);
    }
    // Bytes that the link has not sent yet, which a message written now has to wait for.
    double queued = 0;
    double longest = 0;
    while (run.scheduler.waiting() > 0 && run.now < kStart + seconds(10)) {
      queued += static_cast<double>(run.step(milliseconds(1)));
      longest = std::max(longest, queued);
      queued = std::max(0.0, queued - rate / 1000);
    }
    CHECK(run.scheduler.waiting() == 0);
    CHECK(time_on(rate, longest) <= kSmallWait);
  }
}

TEST_CASE("small messages do not compensate for the pieces of large bodies beyond the rate") {
  constexpr double kRate = 500'000;
  const auto bytes_in = [](bool small_ones) {
    LinkScheduler scheduler(kRate, kStart);
    scheduler.add(kStart, 10'000'000);
    std::size_t passed = 0;
    for (TimePoint now = kStart; now < kStart + seconds(5); now += milliseconds(1)) {
      if (small_ones) {
        scheduler.note_small(now, 1000);  // twice the capacity of the link
      }
      for (const Piece& piece : scheduler.take(now)) {
        passed += piece.bytes;
        scheduler.passed(piece.body, piece.bytes);
      }
    }
    return passed;
  };
  // Only one piece, or 14 ms of the link's time, per 100 ms.
  CHECK(bytes_in(true) <= bytes_in(false) / 5);
  CHECK(bytes_in(true) > 0);
}

TEST_CASE("large bodies use the scheduled share of the link while they wait") {
  for (const double rate : kLinks) {
    CAPTURE(rate);
    Run run(rate);
    const auto bytes = static_cast<std::size_t>(rate * 3);
    const BodyId body = run.scheduler.add(run.now, bytes);
    CHECK(run.scheduler.backlog() >= seconds(3));
    run.run_until(kStart + seconds(1));
    const double share = static_cast<double>(run.passed[body]) / rate;
    CHECK(share > kScheduledShare - 0.05);
    CHECK(share < kScheduledShare + 0.05);
  }
}

TEST_CASE("after a suspension of the router, one bounded burst is transferred") {
  for (const double rate : kLinks) {
    CAPTURE(rate);
    Run run(rate);
    for (int i = 0; i < 20; ++i) {
      run.scheduler.add(run.now, static_cast<std::size_t>(rate));
    }
    run.run_until(kStart + milliseconds(200));
    const std::size_t burst = run.step(seconds(5));
    CHECK(time_on(rate, static_cast<double>(burst)) <= kSmallWait);
  }
}

TEST_CASE("the body with the fewest remaining bytes goes first, and the longest is not starved") {
  Run run(kLinks[0]);
  const BodyId longest = run.scheduler.add(run.now, 540'000);
  const BodyId shortest = run.scheduler.add(run.now, 30'000);
  run.run_until(kStart + milliseconds(200));
  CHECK(run.ended.contains(shortest));
  CHECK_FALSE(run.ended.contains(longest));
  // More than the capacity of the link, in bodies that are all shorter.
  while (!run.ended.contains(longest) && run.now < kStart + seconds(20)) {
    run.scheduler.add(run.now, 30'000);
    run.run_until(run.now + milliseconds(50));
  }
  REQUIRE(run.ended.contains(longest));
  CHECK(run.ended[longest] - kStart < seconds(8));
}

TEST_CASE("promised bodies are transferred in order of arrival and leave a fourth to shared ones") {
  Run run(kLinks[0]);
  const BodyId shared = run.scheduler.add(run.now, 2'000'000);
  const BodyId long_one = run.scheduler.add(run.now, 360'000, BodyRank::kPromised);
  const BodyId short_one = run.scheduler.add(run.now, 30'000, BodyRank::kPromised);
  while (!run.ended.contains(short_one) && run.now < kStart + seconds(5)) {
    run.step(milliseconds(1));
  }
  REQUIRE(run.ended.contains(long_one));
  CHECK(run.ended[long_one] < run.ended[short_one]);
  const double promised_rate = kLinks[0] * kScheduledShare * kPromisedShare;
  CHECK(run.ended[long_one] - kStart <= time_on(promised_rate, 360'000) + milliseconds(30));
  CHECK(run.passed[shared] >= 390'000 / 4);
}

TEST_CASE("small messages that fill the link delay large bodies for a bounded time only") {
  Run run(kLinks[0]);
  const BodyId body = run.scheduler.add(run.now, 90'000);
  Duration pause{0};
  TimePoint last = run.now;
  while (run.scheduler.waiting() > 0 && run.now < kStart + seconds(20)) {
    run.scheduler.note_small(run.now, 2000);  // four times the capacity of the link
    if (run.step(milliseconds(1)) > 0) {
      pause = std::max(pause, run.now - last);
      last = run.now;
    }
  }
  CHECK(run.ended.contains(body));
  CHECK(pause <= kLongestPause + milliseconds(1));
}

TEST_CASE("large bodies leave small messages their share of the link") {
  Run run(kLinks[0]);
  const BodyId body = run.scheduler.add(run.now, 2'000'000);
  const double small = run.rate / 2;
  while (run.now < kStart + seconds(1)) {
    run.scheduler.note_small(run.now, static_cast<std::size_t>(small / 1000));
    run.step(milliseconds(1));
  }
  const double both = static_cast<double>(run.passed[body]) + small;
  CHECK(both < run.rate * (kScheduledShare + 0.05));
  CHECK(both > run.rate * (kScheduledShare - 0.1));
}

TEST_CASE("a connection that ends within its body returns its unused piece") {
  Run run(kLinks[0]);
  const BodyId removed = run.scheduler.add(run.now, 90'000);
  const BodyId kept = run.scheduler.add(run.now, 540'000);
  const auto pieces = run.scheduler.take(run.now);
  REQUIRE(pieces.size() == 1);
  CHECK(pieces[0].body == removed);
  CHECK(run.scheduler.take(run.now).empty());
  run.scheduler.remove(removed);
  CHECK(run.scheduler.waiting() == 1);
  CHECK(run.scheduler.backlog() < seconds(2));
  const auto next = run.scheduler.take(run.now);
  REQUIRE(next.size() == 1);
  CHECK(next[0].body == kept);
  CHECK(run.scheduler.passed(removed, 10));  // already removed
}

TEST_CASE("nothing is due while no large body waits for a piece") {
  LinkScheduler scheduler(kLinks[0], kStart);
  CHECK_FALSE(scheduler.next_due().has_value());
  scheduler.note_small(kStart, 1000);
  CHECK_FALSE(scheduler.next_due().has_value());
  CHECK(scheduler.backlog() == Duration(0));
  const BodyId body = scheduler.add(kStart, 90'000);
  CHECK(scheduler.next_due().has_value());
  const auto pieces = scheduler.take(kStart + milliseconds(3));  // the small message has been sent
  REQUIRE(pieces.size() == 1);
  CHECK_FALSE(scheduler.next_due().has_value());  // its piece is in flight
  CHECK_FALSE(scheduler.passed(body, pieces[0].bytes));
  REQUIRE(scheduler.next_due().has_value());
  CHECK(*scheduler.next_due() > kStart + milliseconds(3));
}

}  // namespace
}  // namespace planktray::link

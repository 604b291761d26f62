#include "link/send_window.hpp"

#include <doctest/doctest.h>

#include <vector>

namespace planktray::link {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr TimePoint kStart{std::chrono::hours(1)};
constexpr double kLink = 525'000;  // bytes a second
/// What the promised bodies of such a link get of it at least.
constexpr double kRate = kLink * kScheduledShare * kPromisedShare;
constexpr std::size_t kBody = 60'000;
constexpr std::size_t kLargest = 360'000;

SendWindow window() { return SendWindow({kLink, milliseconds(450), milliseconds(250)}); }

Duration time_for(std::size_t bytes) {
  return std::chrono::duration_cast<Duration>(
      std::chrono::duration<double>(static_cast<double>(bytes) / kRate));
}

TEST_CASE("bodies that are bound at once pass within the span, or there is one") {
  SendWindow some = window();
  std::size_t bound = 0;
  SendWindow::Ticket ticket = 0;
  while (some.admits(kStart, kBody)) {
    some.bind(kStart, ++ticket, kBody);
    bound += kBody;
    REQUIRE(ticket < 100);
  }
  CHECK(ticket > 1);
  CHECK(time_for(bound) <= milliseconds(450));
  SendWindow one = window();
  CHECK(one.admits(kStart, kLargest));
  one.bind(kStart, 1, kLargest);
  CHECK_FALSE(one.admits(kStart, kBody));
  CHECK(one.passing_time(0) == Duration(0));
}

TEST_CASE("small bodies, and all where the link is not known, go at any time") {
  CHECK_FALSE(window().is_bounded(kLargeBodyBytes));
  CHECK(window().is_bounded(kLargeBodyBytes + 1));
  CHECK_FALSE(SendWindow(SendWindowOptions{}).is_bounded(kLargest));
}

TEST_CASE("the shortest that waits is next, and the oldest gets a fourth of the bytes") {
  SendWindow full = window();
  full.bind(kStart, 1, kLargest);
  full.wait(2, kLargest);
  std::size_t oldest = 0;
  std::size_t all = 0;
  SendWindow::Ticket newest = 2;
  for (int turn = 0; turn < 400; ++turn) {
    full.wait(++newest, kBody);
    full.wait(++newest, kLargest);
    CHECK(full.next_due() > kStart);
    CHECK_FALSE(full.next(kStart).has_value());
    full.release(1);
    CHECK(full.next_due() <= kStart);
    const auto next = full.next(kStart);
    REQUIRE(next.has_value());
    const bool is_large = *next % 2 == 0;
    oldest += is_large ? kLargest : 0;
    all += is_large ? kLargest : kBody;
    full.bind(kStart, 1, kLargest);
  }
  const double share = static_cast<double>(oldest) / static_cast<double>(all);
  CHECK(share > 0.2);
  CHECK(share < 0.3);
}

// Guards against a back end that does not read and holds up all other large requests.
TEST_CASE("a body that makes no headway keeps others waiting for a bounded time only") {
  SendWindow stuck = window();
  stuck.bind(kStart, 1, kLargest);
  stuck.wait(2, kBody);
  const TimePoint due = stuck.next_due();
  CHECK(due <= kStart + seconds(3));
  CHECK_FALSE(stuck.next(due - milliseconds(1)).has_value());
  CHECK(stuck.next(due) == 2);
}

TEST_CASE("a body that is not wanted any more leaves its place, bound or not") {
  SendWindow some = window();
  some.bind(kStart, 1, kLargest);
  some.wait(2, kBody);
  some.release(2);
  CHECK(some.waiting() == 0);
  CHECK(some.next_due() == TimePoint::max());
  some.release(1);
  CHECK(some.admits(kStart, kLargest));
}

TEST_CASE("the delay of a body counts what is bound and what goes before it") {
  SendWindow some = window();
  some.bind(kStart, 1, kLargest);
  some.wait(2, kBody);
  some.wait(3, 2 * kBody);
  const Duration slack = milliseconds(1);
  CHECK(some.delay(kBody) >= time_for(kLargest + 2 * kBody));
  CHECK(some.delay(kBody) <= time_for(kLargest + 2 * kBody) + slack);
  CHECK(some.delay(2 * kBody) >= time_for(kLargest + 5 * kBody));
}

}  // namespace
}  // namespace planktray::link

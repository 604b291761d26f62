#include "link/send_window.hpp"

#include <doctest/doctest.h>

#include <vector>

namespace planktray::link {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr TimePoint kStart{std::chrono::hours(1)};
constexpr double kLink = 525'000;  // bytes per second
/// Smallest rate of promised bodies on this link.
constexpr double kRate = kLink * kScheduledShare * kPromisedShare;
constexpr std::size_t kBody = 60'000;
constexpr std::size_t kLargest = 360'000;

SendWindow window() { return SendWindow({kLink, milliseconds(450), milliseconds(250)}); }

Duration time_for(std::size_t bytes) {
  return std::chrono::duration_cast<Duration>(
      std::chrono::duration<double>(static_cast<double>(bytes) / kRate));
}

TEST_CASE("bound bodies are transferred within the span, or there is only one") {
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

TEST_CASE("small bodies, and all bodies on a link of unknown capacity, are not limited") {
  CHECK_FALSE(window().is_limited(kLargeBodyBytes));
  CHECK(window().is_limited(kLargeBodyBytes + 1));
  CHECK_FALSE(SendWindow(SendWindowOptions{}).is_limited(kLargest));
}

TEST_CASE("the shortest waiting body is next, and the oldest ones get a fourth of the bytes") {
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

// Guards against a back end that does not read its request and blocks all other large requests.
TEST_CASE("a stalled body blocks others for a bounded time only") {
  SendWindow stuck = window();
  stuck.bind(kStart, 1, kLargest);
  stuck.wait(2, kBody);
  const TimePoint due = stuck.next_due();
  CHECK(due <= kStart + seconds(3));
  CHECK_FALSE(stuck.next(due - milliseconds(1)).has_value());
  CHECK(stuck.next(due) == 2);
}

TEST_CASE("a body that is no longer needed is removed, bound or waiting") {
  SendWindow some = window();
  some.bind(kStart, 1, kLargest);
  some.wait(2, kBody);
  some.release(2);
  CHECK(some.waiting() == 0);
  CHECK(some.next_due() == TimePoint::max());
  some.release(1);
  CHECK(some.admits(kStart, kLargest));
}

TEST_CASE("the delay of a body includes bound bodies and waiting bodies before it") {
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

#include "routing/requested_backoffs.hpp"

#include <doctest/doctest.h>

#include <set>

namespace planktray::routing {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const BackendId kBackend(1);
constexpr TimePoint kStart{std::chrono::hours(1)};

/// Backoffs without a spread, so that ends are exact.
RequestedBackoffs exact() {
  RequestedBackoffOptions options;
  options.spread = 0;
  return RequestedBackoffs(options);
}

TEST_CASE("a requested backoff lasts for the requested time, measured in boot time") {
  RequestedBackoffs backoffs = exact();
  common::RandomEngine random(1);
  CHECK(backoffs.on_requested(kStart, kBackend, seconds(3), random));
  CHECK(backoffs.ends_at(kStart, kBackend) == kStart + seconds(3));
  CHECK(backoffs.ends_at(kStart + milliseconds(2999), kBackend).has_value());
  CHECK(backoffs.count(kStart) == 1);
  // Boot time includes suspensions, so the backoff has ended after a suspension of an hour.
  CHECK_FALSE(backoffs.ends_at(kStart + std::chrono::hours(1), kBackend).has_value());
  CHECK(backoffs.count(kStart + seconds(3)) == 0);
}

TEST_CASE("of several requested backoffs the latest end applies") {
  RequestedBackoffs backoffs = exact();
  common::RandomEngine random(1);
  CHECK(backoffs.on_requested(kStart, kBackend, seconds(3), random));
  CHECK_FALSE(backoffs.on_requested(kStart + seconds(1), kBackend, seconds(1), random));
  CHECK(backoffs.ends_at(kStart + seconds(1), kBackend) == kStart + seconds(3));
  CHECK_FALSE(backoffs.on_requested(kStart + seconds(1), kBackend, seconds(5), random));
  CHECK(backoffs.ends_at(kStart + seconds(1), kBackend) == kStart + seconds(6));
}

// Guards against a backoff that is ended by the answer to a request sent before its end.
TEST_CASE("only the answer to a request sent after the end clears a backoff") {
  RequestedBackoffs backoffs = exact();
  common::RandomEngine random(1);
  backoffs.on_requested(kStart, kBackend, seconds(3), random);
  backoffs.on_answered(kBackend, kStart - milliseconds(10));
  CHECK(backoffs.ends_at(kStart + seconds(1), kBackend).has_value());
  backoffs.on_answered(kBackend, kStart + seconds(3));
  CHECK(backoffs.empty());
}

TEST_CASE("after a backoff one trial request is sent at a time") {
  RequestedBackoffs backoffs = exact();
  common::RandomEngine random(1);
  const TimePoint end = kStart + seconds(3);
  backoffs.on_requested(kStart, kBackend, seconds(3), random);
  // A request in flight from before the backoff is no trial.
  CHECK_FALSE(backoffs.is_on_trial(kBackend));
  backoffs.on_sent(end, kBackend);
  CHECK(backoffs.is_on_trial(kBackend));
  backoffs.on_ended(kBackend, kStart - milliseconds(10));
  CHECK(backoffs.is_on_trial(kBackend));
  backoffs.on_ended(kBackend, end);
  CHECK_FALSE(backoffs.is_on_trial(kBackend));
  backoffs.on_sent(end + milliseconds(5), kBackend);
  backoffs.on_answered(kBackend, end + milliseconds(5));
  CHECK_FALSE(backoffs.is_on_trial(kBackend));
  CHECK(backoffs.empty());
}

TEST_CASE("a requested time of zero is ignored, and times are limited to a day") {
  RequestedBackoffs backoffs = exact();
  common::RandomEngine random(1);
  CHECK_FALSE(backoffs.on_requested(kStart, kBackend, Duration(0), random));
  CHECK(backoffs.empty());
  backoffs.on_requested(kStart, kBackend, std::chrono::hours(1000), random);
  CHECK(backoffs.ends_at(kStart, kBackend) == kStart + std::chrono::hours(24));
}

TEST_CASE("jitter spreads the ends of routers that were refused together, and none ends early") {
  std::set<TimePoint> ends;
  for (std::uint64_t router = 1; router <= 11; ++router) {
    RequestedBackoffs backoffs{RequestedBackoffOptions{}};
    common::RandomEngine random(router);
    backoffs.on_requested(kStart, kBackend, seconds(3), random);
    const TimePoint end = *backoffs.ends_at(kStart, kBackend);
    CHECK(end >= kStart + seconds(3));
    CHECK(end <= kStart + milliseconds(3500));
    ends.insert(end);
  }
  CHECK(*ends.rbegin() - *ends.begin() > milliseconds(200));
}

TEST_CASE("a back end that is removed from the table is dropped") {
  RequestedBackoffs backoffs = exact();
  common::RandomEngine random(1);
  backoffs.on_requested(kStart, kBackend, seconds(3), random);
  backoffs.keep_only([](BackendId) { return false; });
  CHECK(backoffs.empty());
}

}  // namespace
}  // namespace planktray::routing

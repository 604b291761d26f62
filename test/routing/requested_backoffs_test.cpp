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

TEST_CASE("a back end is left alone for as long as it asks, by boot time") {
  RequestedBackoffs backoffs = exact();
  common::RandomEngine random(1);
  CHECK(backoffs.on_requested(kStart, kBackend, seconds(3), random));
  CHECK(backoffs.ends_at(kStart, kBackend) == kStart + seconds(3));
  CHECK(backoffs.ends_at(kStart + milliseconds(2999), kBackend).has_value());
  CHECK(backoffs.count(kStart) == 1);
  // After a suspension of an hour the time is long over.
  CHECK_FALSE(backoffs.ends_at(kStart + std::chrono::hours(1), kBackend).has_value());
  CHECK(backoffs.count(kStart + seconds(3)) == 0);
}

TEST_CASE("of several times the latest end holds") {
  RequestedBackoffs backoffs = exact();
  common::RandomEngine random(1);
  CHECK(backoffs.on_requested(kStart, kBackend, seconds(3), random));
  CHECK_FALSE(backoffs.on_requested(kStart + seconds(1), kBackend, seconds(1), random));
  CHECK(backoffs.ends_at(kStart + seconds(1), kBackend) == kStart + seconds(3));
  CHECK_FALSE(backoffs.on_requested(kStart + seconds(1), kBackend, seconds(5), random));
  CHECK(backoffs.ends_at(kStart + seconds(1), kBackend) == kStart + seconds(6));
}

// Guards against a time that ends with any answer, though it was to a request of before.
TEST_CASE("only an answer to a request that came after the time shows that it is over") {
  RequestedBackoffs backoffs = exact();
  common::RandomEngine random(1);
  backoffs.on_requested(kStart, kBackend, seconds(3), random);
  backoffs.on_answered(kBackend, kStart - milliseconds(10));
  CHECK(backoffs.ends_at(kStart + seconds(1), kBackend).has_value());
  backoffs.on_answered(kBackend, kStart + seconds(3));
  CHECK(backoffs.empty());
}

TEST_CASE("after the time one request is on trial, and the next one when it has ended") {
  RequestedBackoffs backoffs = exact();
  common::RandomEngine random(1);
  const TimePoint end = kStart + seconds(3);
  backoffs.on_requested(kStart, kBackend, seconds(3), random);
  // What was sent before and is still under way is no trial.
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

TEST_CASE("a time of zero asks for nothing, and none is believed beyond a day") {
  RequestedBackoffs backoffs = exact();
  common::RandomEngine random(1);
  CHECK_FALSE(backoffs.on_requested(kStart, kBackend, Duration(0), random));
  CHECK(backoffs.empty());
  backoffs.on_requested(kStart, kBackend, std::chrono::hours(1000), random);
  CHECK(backoffs.ends_at(kStart, kBackend) == kStart + std::chrono::hours(24));
}

TEST_CASE("routers that were turned away together come back apart, and none too soon") {
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

TEST_CASE("a back end that the table drops is forgotten") {
  RequestedBackoffs backoffs = exact();
  common::RandomEngine random(1);
  backoffs.on_requested(kStart, kBackend, seconds(3), random);
  backoffs.keep_only([](BackendId) { return false; });
  CHECK(backoffs.empty());
}

}  // namespace
}  // namespace planktray::routing

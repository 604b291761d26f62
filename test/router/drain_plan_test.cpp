#include "router/drain_plan.hpp"

#include <doctest/doctest.h>

namespace planktray::router {
namespace {

using std::chrono::milliseconds;

/// Grace period of 6 s: callers may take 3 s to learn of the stop, and the process ends 250 ms
/// before the platform kills it.
constexpr common::TimePoint kStop{std::chrono::seconds(100)};
const DrainPlan kPlan = DrainPlan::from(kStop, milliseconds(3000), milliseconds(5750));

TEST_CASE("callers that cannot know of the stop yet are served, whatever their timeout") {
  CHECK(kPlan.admits(kStop, milliseconds(10'000)));
  CHECK(kPlan.admits(kStop + milliseconds(2800), milliseconds(10'000)));
  CHECK(kPlan.admits(kStop + milliseconds(2800), std::nullopt));
}

TEST_CASE(
    "a request with a timeout of 10 s, sent 3 s after the stop on an open connection, is refused") {
  CHECK_FALSE(kPlan.admits(kStop + milliseconds(3035), milliseconds(10'000)));
  CHECK_FALSE(kPlan.admits(kStop + milliseconds(3035), std::nullopt));
}

TEST_CASE("a request that is certain to end within the grace period is admitted") {
  CHECK(kPlan.admits(kStop + milliseconds(3035), milliseconds(2000)));
  CHECK(kPlan.admits(kStop + milliseconds(3750), milliseconds(2000)));
  CHECK_FALSE(kPlan.admits(kStop + milliseconds(3751), milliseconds(2000)));
}

TEST_CASE(
    "a stop that is handled late does not extend the time in which all requests are admitted") {
  // The signal was handled 100 ms late, and the request took 40 ms to be read.
  const DrainPlan late =
      DrainPlan::from(kStop + milliseconds(100), milliseconds(3000), milliseconds(5750));
  CHECK_FALSE(late.admits(kStop + milliseconds(3001), milliseconds(10'000)));
}

TEST_CASE("connections are not accepted after the end of the process") {
  const DrainPlan plan = DrainPlan::from(kStop, milliseconds(3000), milliseconds(1000));
  CHECK(plan.accept_until == plan.end_at);
}

}  // namespace
}  // namespace planktray::router

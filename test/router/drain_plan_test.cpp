#include "router/drain_plan.hpp"

#include <doctest/doctest.h>

namespace planktray::router {
namespace {

using std::chrono::milliseconds;

/// Grace of 6 s: callers may not know for 3 s, the process ends 250 ms before the platform's kill.
constexpr common::TimePoint kStop{std::chrono::seconds(100)};
const DrainPlan kPlan = DrainPlan::from(kStop, milliseconds(3000), milliseconds(5750));

TEST_CASE("callers that cannot know of the stop are served, however long their requests are") {
  CHECK(kPlan.takes(kStop, milliseconds(10'000)));
  CHECK(kPlan.takes(kStop + milliseconds(2800), milliseconds(10'000)));
  CHECK(kPlan.takes(kStop + milliseconds(2800), std::nullopt));
}

TEST_CASE(
    "a booking of ten seconds on a kept connection, three seconds after the stop, is refused") {
  CHECK_FALSE(kPlan.takes(kStop + milliseconds(3035), milliseconds(10'000)));
  CHECK_FALSE(kPlan.takes(kStop + milliseconds(3035), std::nullopt));
}

TEST_CASE("a request that ends within the grace period whatever happens is taken to the last") {
  CHECK(kPlan.takes(kStop + milliseconds(3035), milliseconds(2000)));
  CHECK(kPlan.takes(kStop + milliseconds(3750), milliseconds(2000)));
  CHECK_FALSE(kPlan.takes(kStop + milliseconds(3751), milliseconds(2000)));
}

TEST_CASE("a stop acted on late leaves no request behind the time at which callers know") {
  // The signal was acted on 100 ms late, and the request took 40 ms to be read.
  const DrainPlan late =
      DrainPlan::from(kStop + milliseconds(100), milliseconds(3000), milliseconds(5750));
  CHECK_FALSE(late.takes(kStop + milliseconds(3001), milliseconds(10'000)));
}

TEST_CASE("connections are not accepted for longer than the process lives") {
  const DrainPlan plan = DrainPlan::from(kStop, milliseconds(3000), milliseconds(1000));
  CHECK(plan.accept_until == plan.end_at);
}

}  // namespace
}  // namespace planktray::router

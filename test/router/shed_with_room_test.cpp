/// Owners of keys that shed requests although they have room.
///
/// Guards against callers that are sent away by an owner's faulty refusal: while the targets of a
/// keyed service shed half of their requests at random, 273 of 3,680 allowed repeats were used, and
/// each refusal blocked the owner for all its keys.

#include <doctest/doctest.h>

#include "route_fixture.hpp"

namespace planktray::router {
namespace {

AttemptResult shed(std::uint32_t running, std::uint32_t waiting) {
  AttemptResult result{routing::AttemptEnd::kRefused, routing::Refusal::kShed};
  result.load = routing::LoadReport{running, waiting, 4};
  return result;
}

TEST_CASE("an owner that sheds although it has room is asked again at once") {
  RouteFixture fixture(true);
  const RequestHandle handle = fixture.send_request(10);
  REQUIRE(fixture.forwards.size() == 1);
  fixture.end_attempt(20, fixture.forwards[0].attempt, shed(1, 0));
  REQUIRE(fixture.forwards.size() == 2);
  CHECK(fixture.forwards[1].handle == handle);
  CHECK(fixture.forwards[1].incarnation == fixture.forwards[0].incarnation);
  // No further attempt than the route allows, and an answer that tells when to return.
  fixture.end_attempt(30, fixture.forwards[1].attempt, shed(1, 0));
  CHECK(fixture.forwards.size() == 2);
  REQUIRE(fixture.answer_to(handle).has_value());
  CHECK(fixture.answer_to(handle)->outcome == routing::Outcome::kNotRun);
  CHECK(fixture.answer_to(handle)->retry_after > Duration(0));
  // Other requests for its keys go to it as before.
  fixture.send_request(31);
  CHECK(fixture.forwards.size() == 3);
}

TEST_CASE("an owner that is full is left alone for a while") {
  for (const auto& [running, waiting] : {std::pair(4U, 0U), std::pair(3U, 2U)}) {
    RouteFixture fixture(true);
    fixture.send_request(10);
    REQUIRE(fixture.forwards.size() == 1);
    fixture.end_attempt(20, fixture.forwards[0].attempt, shed(running, waiting));
    CHECK(fixture.forwards.size() == 1);
    fixture.send_request(21);
    CHECK(fixture.forwards.size() == 1);
  }
}

}  // namespace
}  // namespace planktray::router

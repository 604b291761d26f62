/// Large requests on a narrow link: when a back end is chosen, and when the request is refused.

#include <doctest/doctest.h>

#include "route_fixture.hpp"

namespace planktray::router {
namespace {

constexpr std::size_t kSmall = 1'000;

// Guards against choosing a back end seconds before the request can be written to it.
TEST_CASE("a large request gets no back end until the requests before it are written") {
  RouteFixture fixture(false, RouteFixture::narrow_link());
  fixture.send_request(10, RouteFixture::kLarge);
  fixture.send_request(11, RouteFixture::kLarge);
  fixture.send_request(12, kSmall);
  CHECK(fixture.forwards.size() == 2);
  CHECK(fixture.core.waiting_for_link() == 1);
  fixture.core.on_attempt_written(fixture.forwards[0].attempt);
  fixture.run_until(20);
  CHECK(fixture.forwards.size() == 3);
  CHECK(fixture.core.waiting_for_link() == 0);
}

TEST_CASE("a large request goes to a back end that accepts work when the link has capacity") {
  RouteFixture fixture(false, RouteFixture::narrow_link());
  fixture.send_request(10, RouteFixture::kLarge);
  fixture.send_request(11, RouteFixture::kLarge);
  fixture.mark_leaving(100, 1);
  fixture.mark_leaving(100, 2);
  const std::size_t moved = fixture.forwards.size() - 1;  // 1 if the first was recalled
  fixture.core.on_attempt_written(fixture.forwards.back().attempt);
  fixture.run_until(110);
  REQUIRE(fixture.forwards.size() == 2 + moved);
  CHECK(fixture.forwards.back().address == RouteFixture::backend(3).address);
}

TEST_CASE("a large request whose caller disconnects while it waits is not sent") {
  RouteFixture fixture(false, RouteFixture::narrow_link());
  fixture.send_request(10, RouteFixture::kLarge);
  const RequestHandle waiting = fixture.send_request(11, RouteFixture::kLarge);
  fixture.core.on_caller_disconnected(at(11), waiting);
  fixture.core.on_attempt_written(fixture.forwards[0].attempt);
  fixture.run_until(100);
  CHECK(fixture.forwards.size() == 1);
  CHECK(fixture.core.waiting_for_link() == 0);
}

TEST_CASE("a large request that the link cannot carry in time is refused at once") {
  RouteFixture fixture(false, RouteFixture::narrow_link());
  fixture.send_request(10, RouteFixture::kLarge);
  const RequestHandle late = fixture.send_request(11, RouteFixture::kLarge, std::nullopt, 500);
  REQUIRE(fixture.answer_to(late).has_value());
  CHECK(fixture.answer_to(late)->outcome == routing::Outcome::kNotRun);
  CHECK(fixture.answer_to(late)->reason == routing::NotRunReason::kOverload);
  CHECK(fixture.answer_to(late)->retry_after > Duration(0));
}

// Guards against a body that its back end does not read and that blocks all others.
TEST_CASE("a large request that makes no progress blocks others for a bounded time only") {
  RouteFixture fixture(false, RouteFixture::narrow_link());
  fixture.send_request(10, RouteFixture::kLarge);
  fixture.send_request(11, RouteFixture::kLarge);
  for (std::int64_t time = 100; time <= 3000; time += 100) {
    fixture.update_table(time);
    fixture.run_until(time);
  }
  CHECK(fixture.forwards.size() == 2);
}

// Guards against limits for the age of the table and the length of the body that hold separately,
// but whose sum exceeds the promised time.
TEST_CASE("a larger request requires a fresher table") {
  RouteFixture fixture(false, RouteFixture::narrow_link());
  fixture.send_request(1400, kSmall);
  CHECK(fixture.forwards.size() == 1);
  fixture.send_request(1400, RouteFixture::kLarge);
  CHECK(fixture.forwards.size() == 1);
  fixture.update_table(1450);
  fixture.run_until(1480);
  CHECK(fixture.forwards.size() == 2);
}

}  // namespace
}  // namespace planktray::router

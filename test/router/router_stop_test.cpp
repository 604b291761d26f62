/// Guards against requests that a router has read and leaves without an answer at the end of a
/// planned stop: uploads that waited for the link were cut with their connection.

#include <doctest/doctest.h>

#include <algorithm>
#include <map>

#include "route_fixture.hpp"

namespace planktray::router {
namespace {

using routing::NotRunReason;
using routing::Outcome;

constexpr std::uint32_t kLongTimeoutMs = 10'000;

RequestHandle upload(RouteFixture& router, std::int64_t now) {
  return router.send_request(now, RouteFixture::kLarge, std::nullopt, kLongTimeoutMs);
}

/// Returns the answers of each request.
std::map<RequestHandle, std::vector<Answer>> answers_by_request(const RouteFixture& router) {
  std::map<RequestHandle, std::vector<Answer>> answers;
  for (const Answer& answer : router.answers) {
    answers[answer.handle].push_back(answer);
  }
  return answers;
}

TEST_CASE("uploads that the link cannot carry before the router ends are refused at once") {
  RouteFixture router(false, RouteFixture::narrow_link());
  std::vector<RequestHandle> uploads(12);
  std::generate(uploads.begin(), uploads.end(), [&] { return upload(router, 10); });
  REQUIRE(router.core.waiting_for_link() > 8);
  router.core.set_end(at(20), at(3020));
  router.collect();
  CHECK(router.core.waiting_for_link() > 1);
  CHECK(router.core.waiting_for_link() < 8);
  const auto last = router.answer_to(uploads.back());
  REQUIRE(last.has_value());
  CHECK(last->outcome == Outcome::kNotRun);
  CHECK(last->reason == NotRunReason::kDrainingRouter);
  CHECK(last->retry_after > Duration(0));
  CHECK_FALSE(router.answer_to(uploads[2]).has_value());
}

TEST_CASE("an upload that arrives too late for the link before the router ends is refused") {
  RouteFixture router(false, RouteFixture::narrow_link());
  router.core.set_end(at(10), at(1000));
  upload(router, 20);
  upload(router, 20);
  const RequestHandle late = upload(router, 21);
  REQUIRE(router.answer_to(late).has_value());
  CHECK(router.answer_to(late)->reason == NotRunReason::kDrainingRouter);
}

TEST_CASE(
    "a router that ends refuses what it has not sent, and the outcome of the rest is unknown") {
  RouteFixture router(false, RouteFixture::narrow_link());
  const RequestHandle written = router.send_request(10);
  const RequestHandle begun = upload(router, 10);
  const RequestHandle waiting = upload(router, 10);
  REQUIRE(router.forwards.size() == 2);
  router.core.on_attempt_started(router.forwards[0].attempt);
  router.core.on_attempt_written(router.forwards[0].attempt);
  router.core.on_attempt_started(router.forwards[1].attempt);
  const RequestHandle unstarted = router.send_request(11);
  REQUIRE(router.forwards.size() == 3);
  router.core.answer_all(at(20));
  router.collect();
  CHECK(router.answer_to(written)->outcome == Outcome::kUnknown);
  CHECK(router.answer_to(begun)->outcome == Outcome::kUnknown);
  CHECK(router.answer_to(waiting)->outcome == Outcome::kNotRun);
  CHECK(router.answer_to(unstarted)->outcome == Outcome::kNotRun);
  CHECK(router.cancels.size() == 3);
}

TEST_CASE("each request has one answer when its router ends") {
  for (std::uint64_t seed = 1; seed <= 60; ++seed) {
    CAPTURE(seed);
    common::RandomEngine random(seed);
    RouteFixture router(seed % 2 == 0, RouteFixture::narrow_link(), seed % 3 == 0);
    std::int64_t now = 1;
    std::size_t requests = 0;
    for (int step = 0; step < 200; ++step) {
      now += static_cast<std::int64_t>(common::uniform(random, 0, 10));
      router.run_until(now);
      const auto choice = common::uniform(random, 0, 9);
      if (choice < 6) {
        const std::size_t bytes = choice < 3 ? RouteFixture::kLarge : 0;
        router.send_request(now, bytes, RouteFixture::random_key(random), kLongTimeoutMs);
        ++requests;
      } else if (choice < 8 && !router.forwards.empty()) {
        router.core.on_attempt_started(router.random_forward(random).attempt);
      }
      if (step == 100) {
        router.core.set_end(at(now), at(now + 3000));
        router.collect();
      }
    }
    router.core.answer_all(at(now));
    router.collect();
    CHECK(router.core.is_drained());
    CHECK(router.core.in_flight() == 0);
    CHECK(router.core.waiting_for_link() == 0);
    const auto answers = answers_by_request(router);
    CHECK(answers.size() == requests);
    CHECK(std::all_of(answers.begin(), answers.end(),
                      [](const auto& item) { return item.second.size() == 1; }));
  }
}

}  // namespace
}  // namespace planktray::router

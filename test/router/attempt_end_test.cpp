/// Guards against attempts that a router keeps for good: the answer of an attempt that was tried
/// again stayed in memory, a whole 500 with its body each time.

#include <doctest/doctest.h>

#include <algorithm>
#include <map>

#include "route_fixture.hpp"

namespace planktray::router {
namespace {

/// Returns how often each attempt is reported as over.
std::map<AttemptId, int> ends_of(const RouteFixture& router) {
  std::map<AttemptId, int> ends;
  for (const Forward& forward : router.forwards) {
    ends[forward.attempt] = 0;
  }
  for (const AttemptId attempt : router.ended) {
    ++ends[attempt];
  }
  for (const AttemptId attempt : router.cancels) {
    ++ends[attempt];
  }
  return ends;
}

AttemptResult random_result(common::RandomEngine& random) {
  AttemptResult result;
  result.end = static_cast<routing::AttemptEnd>(common::uniform(random, 0, 4));
  result.refusal =
      common::chance(random, 0.5) ? routing::Refusal::kShed : routing::Refusal::kDraining;
  result.is_failure = result.end == routing::AttemptEnd::kAnswered && common::chance(random, 0.5);
  result.connection_ended = common::chance(random, 0.2);
  return result;
}

TEST_CASE("an answer that is tried again is reported as over") {
  RouteFixture router(false, RouteFixture::deployed_options(), true);
  router.send_request(1);
  REQUIRE(router.forwards.size() == 1);
  AttemptResult failure;
  failure.end = routing::AttemptEnd::kAnswered;
  failure.is_failure = true;
  router.end_attempt(2, router.forwards[0].attempt, failure);
  REQUIRE(router.forwards.size() == 2);
  CHECK(router.answers.empty());
  CHECK(router.ended == std::vector<AttemptId>{router.forwards[0].attempt});
}

TEST_CASE("each attempt is reported as over once, whatever ends it") {
  for (std::uint64_t seed = 1; seed <= 60; ++seed) {
    CAPTURE(seed);
    common::RandomEngine random(seed);
    RouteFixture router(seed % 2 == 0, RouteFixture::deployed_options(), seed % 3 == 0);
    std::int64_t now = 1;
    for (int step = 0; step < 400; ++step) {
      now += static_cast<std::int64_t>(common::uniform(random, 0, 20));
      router.run_until(now);
      const auto choice = common::uniform(random, 0, 9);
      if (choice < 4) {
        const std::uint32_t key = RouteFixture::random_key(random);
        router.send_request(now, 0, key,
                            static_cast<std::uint32_t>(common::uniform(random, 50, 900)));
      } else if (choice < 8 && !router.forwards.empty()) {
        const AttemptId attempt = router.random_forward(random).attempt;
        router.end_attempt(now, attempt, random_result(random));
      } else if (choice == 8 && !router.forwards.empty()) {
        router.core.on_caller_disconnected(at(now), router.random_forward(random).handle);
        router.collect();
      } else {
        router.mark_leaving(now, 1 + common::uniform(random, 0, 2));
      }
    }
    router.run_until(now + 2000);
    CHECK(router.core.in_flight() == 0);
    const auto ends = ends_of(router);
    CHECK(ends.size() == router.forwards.size());
    CHECK(std::all_of(ends.begin(), ends.end(), [](const auto& item) { return item.second == 1; }));
  }
}

}  // namespace
}  // namespace planktray::router

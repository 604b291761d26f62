/// Back ends that say in their answers that they are leaving.

#include <doctest/doctest.h>

#include <algorithm>
#include <string>
#include <utility>
#include <vector>

#include "platform/names.hpp"
#include "platform/request_dialect.hpp"
#include "route_fixture.hpp"

namespace planktray::platform {
namespace {

using router::Forward;
using router::RouteFixture;

constexpr std::int64_t kPromised = 2000;

router::AttemptResult judged(unsigned status, transport::HeaderList headers,
                             const std::string& expected = "") {
  transport::HttpResponse response;
  response.status = status;
  response.headers = std::move(headers);
  return PlatformDialect().classify({}, common::Incarnation(expected), response);
}

/// Requests that went to a back end after the promised time had passed since it said that it
/// leaves.
std::size_t late_requests(bool keyed, bool in_touch, const router::AttemptResult& word) {
  RouteFixture fixture(keyed);
  std::string leaving;
  std::size_t late = 0;
  std::size_t seen = 0;
  for (std::int64_t time = 10; time < 3 * kPromised; time += 10) {
    if (in_touch) {
      fixture.update_table(time);
    }
    fixture.send_request(time);
    fixture.run_until(time);
    for (; seen < fixture.forwards.size(); ++seen) {
      const Forward& forward = fixture.forwards[seen];
      fixture.core.on_attempt_written(forward.attempt);
      leaving = leaving.empty() ? forward.address : leaving;
      late += forward.address == leaving && time > 10 + kPromised ? 1 : 0;
      fixture.end_attempt(time, forward.attempt,
                  seen == 0 ? word : judged(kStatusOk, {{kSealHeader, "s"}}));
    }
  }
  CHECK_FALSE(leaving.empty());
  return late;
}

// Guards against a router that passes on what a back end says of its leaving, and goes on by a
// table that nobody has told yet, or that it cannot hear of any more.
TEST_CASE("a back end that says in an answer that it leaves gets nothing after the promised time") {
  for (const bool keyed : {true, false}) {
    for (const bool in_touch : {true, false}) {
      CAPTURE(keyed);
      CAPTURE(in_touch);
      const transport::HeaderList word = {{kSealHeader, "s"}, {"Server-Leaving", "1"}};
      CHECK(late_requests(keyed, in_touch, judged(kStatusOk, word)) == 0);
    }
  }
}

TEST_CASE("a back end's word of its leaving counts in whatever answer it comes") {
  const std::pair<std::string, std::string> word{"Server-Leaving", "1"};
  CHECK(judged(kStatusOk, {{kSealHeader, "s"}, word}).is_leaving);
  CHECK(judged(404, {{kSealHeader, "s"}, word}).is_leaving);
  CHECK(judged(kStatusUnavailable, {{kNotExecutedHeader, "1"}, word}).is_leaving);
  CHECK(judged(kStatusMisdirected, {{kNotExecutedHeader, "1"}, word}, "i-1").is_leaving);
  CHECK(judged(kStatusOk, {{kSealHeader, "s"}, {"x-planktray-server-leaving", "1"}}).is_leaving);
  CHECK_FALSE(judged(kStatusOk, {{kSealHeader, "s"}}).is_leaving);
  CHECK_FALSE(judged(kStatusOk, {{kSealHeader, "s"}, {"Server-Leaving", "0"}}).is_leaving);
}

TEST_CASE("another incarnation's word says nothing of the one that was asked") {
  const transport::HeaderList word = {{kInstanceHeader, "i-2"}, {"Server-Leaving", "1"}};
  CHECK_FALSE(judged(kStatusMisdirected, word, "i-1").is_leaving);
  CHECK(judged(kStatusMisdirected, word, "i-2").is_leaving);
}

TEST_CASE("a word of a leaving that cannot be read is told") {
  const auto result = judged(kStatusOk, {{kSealHeader, "s"}, {"Server-Leaving", "soon"}});
  CHECK_FALSE(result.is_leaving);
  REQUIRE(result.unrecognized_headers.size() == 1);
  CHECK(result.unrecognized_headers[0].value == "soon");
}

// Guards against keys that wait for an owner until the leaving one has reached a controller itself.
TEST_CASE("the leader is told of a leaving that the table does not have, until it does") {
  RouteFixture fixture(true);
  fixture.run_until(5);
  fixture.send_request(10);
  fixture.end_attempt(20, fixture.forwards.at(0).attempt,
              judged(kStatusOk, {{kSealHeader, "s"}, {kLeavingHeader, "1"}}));
  fixture.hellos.clear();
  fixture.run_until(250);
  REQUIRE_FALSE(fixture.hellos.empty());
  CHECK(fixture.hellos.back().leaving == std::vector{common::BackendId(1)});
  fixture.mark_leaving(260, 1);
  fixture.hellos.clear();
  fixture.run_until(1000);
  REQUIRE_FALSE(fixture.hellos.empty());
  CHECK(fixture.hellos.back().leaving.empty());
}

TEST_CASE("an owner that says that it leaves serves its keys until the promised time is near") {
  RouteFixture fixture(true);
  fixture.send_request(10);
  fixture.end_attempt(20, fixture.forwards.at(0).attempt,
              judged(kStatusOk, {{kSealHeader, "s"}, {kLeavingHeader, "1"}}));
  fixture.update_table(1000);
  fixture.send_request(1000);
  CHECK(fixture.forwards.size() == 2);
  fixture.update_table(1900);
  const auto refused = fixture.send_request(1900);
  fixture.run_until(2300);
  CHECK(fixture.forwards.size() == 2);
  REQUIRE(fixture.answer_to(refused).has_value());
  CHECK(fixture.answer_to(refused)->reason == routing::NotRunReason::kNoOwner);
}

}  // namespace
}  // namespace planktray::platform

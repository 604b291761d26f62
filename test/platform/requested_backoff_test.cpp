/// Back ends that turn requests away and name a time to stay away for.

#include <doctest/doctest.h>

#include <algorithm>
#include <map>
#include <set>
#include <string>
#include <utility>

#include "platform/names.hpp"
#include "platform/request_dialect.hpp"
#include "route_fixture.hpp"

namespace planktray::platform {
namespace {

using router::AttemptId;
using router::Forward;
using router::RouteFixture;

/// What the adapter makes of an answer with these headers.
router::AttemptResult judged(unsigned status, transport::HeaderList headers) {
  transport::HttpResponse response;
  response.status = status;
  response.headers = std::move(headers);
  return PlatformDialect().classify({}, {}, response);
}
router::AttemptResult turned_away(const std::string& retry_after) {
  return judged(kStatusUnavailable, {{kNotExecutedHeader, "1"}, {kRetryAfterHeader, retry_after}});
}
router::AttemptResult answered() { return judged(kStatusOk, {{kSealHeader, "s"}}); }

/// Requests that reached a back end between half a second after it had asked for 3 s without any
/// and their end.
constexpr std::int64_t kUnderWay = 500;
constexpr std::int64_t kAsked = 3000;
constexpr std::size_t kAllowed = 2;

// Guards against a router that is told to stay away and comes again after a time of its own, the
// sooner since answers that were under way end that time.
TEST_CASE("a back end that names a time to stay away for gets next to nothing until it is over") {
  for (const bool keyed : {true, false}) {
    CAPTURE(keyed);
    RouteFixture fixture(keyed);
    std::map<AttemptId, std::int64_t> under_way;
    std::map<std::string, std::int64_t> asked_at;
    std::size_t too_many = 0;
    std::size_t seen = 0;
    for (std::int64_t time = 10; time < 2 * kAsked; time += 10) {
      fixture.update_table(time);
      fixture.send_request(time);
      fixture.run_until(time);
      for (; seen < fixture.forwards.size(); ++seen) {
        const Forward& forward = fixture.forwards[seen];
        fixture.core.on_attempt_written(forward.attempt);
        const auto asked = asked_at.find(forward.address);
        const bool is_within = asked != asked_at.end() && time >= asked->second + kUnderWay &&
                               time < asked->second + kAsked;
        too_many += is_within ? 1 : 0;
        // Half of what comes at first is being worked on, the rest is turned away.
        if (time < 200 && seen % 2 == 0) {
          under_way[forward.attempt] = time + 400;
        } else {
          asked_at.try_emplace(forward.address, time);
          fixture.end_attempt(time, forward.attempt, turned_away("3"));
        }
      }
      for (auto next = under_way.begin(); next != under_way.end();) {
        if (time >= next->second) {
          fixture.end_attempt(time, next->first, answered());
          next = under_way.erase(next);
        } else {
          ++next;
        }
      }
    }
    CHECK_FALSE(asked_at.empty());
    CHECK(too_many <= kAllowed * asked_at.size());
  }
}

TEST_CASE("each form of a time to stay away has its meaning, and what has none is told") {
  const auto seconds_of = [](const router::AttemptResult& result) {
    REQUIRE(result.backoff.has_value());
    return std::chrono::duration<double>(*result.backoff).count();
  };
  CHECK(seconds_of(turned_away("3")) == 3.0);
  CHECK(seconds_of(turned_away("0.25")) == 0.25);
  CHECK(seconds_of(turned_away("0")) == 0.0);
  CHECK(seconds_of(turned_away("3600")) == 3600.0);
  CHECK(seconds_of(turned_away("1e300")) >= 24 * 3600.0);
  for (const char* text :
       {"", "soon", "-1", "nan", "inf", "3 s", "1,5", "Fri, 31 Dec 2027 23:59:59 GMT"}) {
    CAPTURE(text);
    const auto result = turned_away(text);
    CHECK_FALSE(result.backoff.has_value());
    REQUIRE(result.unrecognized_headers.size() == 1);
    CHECK(result.unrecognized_headers[0].name == kRetryAfterHeader);
    CHECK(result.unrecognized_headers[0].value == text);
  }
  const auto two = judged(kStatusUnavailable, {{kNotExecutedHeader, "1"},
                                               {kRetryAfterHeader, "1"},
                                               {"retry-after", "4"},
                                               {kRetryAfterHeader, "soon"}});
  CHECK(seconds_of(two) == 4.0);
  CHECK(two.unrecognized_headers.size() == 1);
}

TEST_CASE("only a back end's own 503 speaks of a time to stay away for") {
  const transport::HeaderList marked = {{kNotExecutedHeader, "1"}, {kRetryAfterHeader, "3"}};
  CHECK(judged(kStatusUnavailable, marked).backoff.has_value());
  // Without the mark its end is not known, but it speaks for whoever stands at the address.
  CHECK(judged(kStatusUnavailable, {{kRetryAfterHeader, "3"}}).backoff.has_value());
  // One caller's matter, not the back end's.
  CHECK_FALSE(judged(kStatusTooManyRequests, marked).backoff.has_value());
  CHECK_FALSE(judged(kStatusOk, {{kSealHeader, "s"}, {kRetryAfterHeader, "3"}}).backoff);
  transport::HttpResponse other;
  other.status = kStatusUnavailable;
  other.headers = marked;
  other.headers.emplace_back(kInstanceHeader, "i-2");
  const PlatformDialect dialect;
  CHECK_FALSE(dialect.classify({}, common::Incarnation("i-1"), other).backoff.has_value());
  CHECK(dialect.classify({}, common::Incarnation("i-2"), other).backoff.has_value());
}

// Guards against callers who are told a time that is not true, or all the same one.
TEST_CASE("callers of an owner that wants to be left alone are refused at once, with true times") {
  RouteFixture fixture(true);
  fixture.send_request(10);
  fixture.end_attempt(12, fixture.forwards.at(0).attempt, turned_away("3"));
  REQUIRE(fixture.answers.size() == 1);
  std::set<common::Duration> told;
  constexpr std::size_t kCallers = 20;
  for (std::size_t i = 0; i < kCallers; ++i) {
    const auto answer = fixture.answer_to(fixture.send_request(112));
    REQUIRE(answer.has_value());
    CHECK(answer->outcome == routing::Outcome::kNotRun);
    CHECK(answer->reason == routing::NotRunReason::kTargetBackoff);
    CHECK(answer->retry_after >= std::chrono::milliseconds(2900));
    CHECK(answer->retry_after < std::chrono::milliseconds(3800));
    told.insert(answer->retry_after);
  }
  CHECK(told.size() == kCallers);
  // Owners of other keys are not concerned.
  const std::uint32_t other_key = RouteFixture::first_key(2);
  CHECK_FALSE(fixture.answer_to(fixture.send_request(112, 0, other_key)).has_value());
  CHECK(fixture.forwards.size() == 2);
}

TEST_CASE("where all back ends of a service want to be left alone, the first end is told") {
  RouteFixture fixture;
  fixture.send_request(10);
  for (std::size_t i = 0; i < fixture.forwards.size(); ++i) {
    const char* time = fixture.forwards[i].address == RouteFixture::backend(2).address ? "2" : "9";
    fixture.end_attempt(12, fixture.forwards[i].attempt, turned_away(time));
    if (i + 1 == fixture.forwards.size() && i + 1 < RouteFixture::kBackends) {
      fixture.send_request(12);
    }
  }
  fixture.answers.clear();
  const auto answer = fixture.answer_to(fixture.send_request(112));
  REQUIRE(answer.has_value());
  CHECK(answer->reason == routing::NotRunReason::kTargetBackoff);
  CHECK(answer->retry_after >= std::chrono::milliseconds(1900));
  CHECK(answer->retry_after < std::chrono::milliseconds(2800));
}

TEST_CASE("a short time to stay away is waited for") {
  RouteFixture fixture(true);
  fixture.send_request(10);
  fixture.end_attempt(11, fixture.forwards.at(0).attempt, turned_away("0.05"));
  fixture.run_until(200);
  CHECK(fixture.forwards.size() == 2);
}

// Guards against a request that waits for its connection and is written to a back end that has
// asked to be left alone meanwhile.
TEST_CASE("what is not begun is taken back from a back end that wants to be left alone") {
  RouteFixture fixture;
  while (fixture.forwards.empty() ||
         fixture.forwards.back().address != fixture.forwards.front().address ||
         fixture.forwards.size() == 1) {
    fixture.send_request(10);
    REQUIRE(fixture.forwards.size() < 100);
  }
  const Forward last = fixture.forwards.back();
  fixture.core.on_attempt_started(fixture.forwards.front().attempt);
  fixture.end_attempt(12, fixture.forwards.front().attempt, turned_away("3"));
  CHECK(std::count(fixture.cancels.begin(), fixture.cancels.end(), last.attempt) == 1);
  CHECK_FALSE(fixture.answer_to(last.handle).has_value());  // others take it
}

}  // namespace
}  // namespace planktray::platform

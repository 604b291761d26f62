/// Back ends that refuse requests and request a backoff.

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

/// Returns the result of an attempt whose answer has these headers.
router::AttemptResult classified(unsigned status, transport::HeaderList headers) {
  transport::HttpResponse response;
  response.status = status;
  response.headers = std::move(headers);
  return PlatformDialect().classify({}, {}, response);
}
router::AttemptResult refused(const std::string& retry_after) {
  return classified(kStatusUnavailable,
                    {{kNotExecutedHeader, "1"}, {kRetryAfterHeader, retry_after}});
}
router::AttemptResult answered() { return classified(kStatusOk, {{kSealHeader, "s"}}); }

/// Time after a back end's request for a backoff in which requests in flight still reach it.
constexpr std::int64_t kInFlight = 500;
/// The requested backoff.
constexpr std::int64_t kBackoff = 3000;
/// Maximum requests per back end from kInFlight after its request until the end of the backoff.
constexpr std::size_t kAllowed = 2;

// Guards against a router that uses a backoff time of its own instead of the requested one, and
// that ends it early on answers to requests in flight.
TEST_CASE("a back end that requests a backoff receives almost nothing until its end") {
  for (const bool keyed : {true, false}) {
    CAPTURE(keyed);
    RouteFixture fixture(keyed);
    std::map<AttemptId, std::int64_t> in_flight;
    std::map<std::string, std::int64_t> requested_at;
    std::size_t too_many = 0;
    std::size_t seen = 0;
    for (std::int64_t time = 10; time < 2 * kBackoff; time += 10) {
      fixture.update_table(time);
      fixture.send_request(time);
      fixture.run_until(time);
      for (; seen < fixture.forwards.size(); ++seen) {
        const Forward& forward = fixture.forwards[seen];
        fixture.core.on_attempt_written(forward.attempt);
        const auto requested = requested_at.find(forward.address);
        const bool is_within = requested != requested_at.end() &&
                               time >= requested->second + kInFlight &&
                               time < requested->second + kBackoff;
        too_many += is_within ? 1 : 0;
        // Half of the first requests are processed, the others are refused.
        if (time < 200 && seen % 2 == 0) {
          in_flight[forward.attempt] = time + 400;
        } else {
          requested_at.try_emplace(forward.address, time);
          fixture.end_attempt(time, forward.attempt, refused("3"));
        }
      }
      for (auto next = in_flight.begin(); next != in_flight.end();) {
        if (time >= next->second) {
          fixture.end_attempt(time, next->first, answered());
          next = in_flight.erase(next);
        } else {
          ++next;
        }
      }
    }
    CHECK_FALSE(requested_at.empty());
    CHECK(too_many <= kAllowed * requested_at.size());
  }
}

TEST_CASE("each form of a backoff time is parsed, and invalid ones are reported") {
  const auto seconds_of = [](const router::AttemptResult& result) {
    REQUIRE(result.backoff.has_value());
    return std::chrono::duration<double>(*result.backoff).count();
  };
  CHECK(seconds_of(refused("3")) == 3.0);
  CHECK(seconds_of(refused("0.25")) == 0.25);
  CHECK(seconds_of(refused("0")) == 0.0);
  CHECK(seconds_of(refused("3600")) == 3600.0);
  CHECK(seconds_of(refused("1e300")) >= 24 * 3600.0);
  for (const char* text :
       {"", "soon", "-1", "nan", "inf", "3 s", "1,5", "Fri, 31 Dec 2027 23:59:59 GMT"}) {
    CAPTURE(text);
    const auto result = refused(text);
    CHECK_FALSE(result.backoff.has_value());
    REQUIRE(result.unrecognized_headers.size() == 1);
    CHECK(result.unrecognized_headers[0].name == kRetryAfterHeader);
    CHECK(result.unrecognized_headers[0].value == text);
  }
  const auto two = classified(kStatusUnavailable, {{kNotExecutedHeader, "1"},
                                                   {kRetryAfterHeader, "1"},
                                                   {"retry-after", "4"},
                                                   {kRetryAfterHeader, "soon"}});
  CHECK(seconds_of(two) == 4.0);
  CHECK(two.unrecognized_headers.size() == 1);
}

TEST_CASE("only a back end's own 503 requests a backoff") {
  const transport::HeaderList marked = {{kNotExecutedHeader, "1"}, {kRetryAfterHeader, "3"}};
  CHECK(classified(kStatusUnavailable, marked).backoff.has_value());
  // An answer without the mark does not prove that the request has not run, but its backoff applies
  // to the server at this address.
  CHECK(classified(kStatusUnavailable, {{kRetryAfterHeader, "3"}}).backoff.has_value());
  // Status 429 concerns a single caller, not the back end.
  CHECK_FALSE(classified(kStatusTooManyRequests, marked).backoff.has_value());
  CHECK_FALSE(classified(kStatusOk, {{kSealHeader, "s"}, {kRetryAfterHeader, "3"}}).backoff);
  transport::HttpResponse other;
  other.status = kStatusUnavailable;
  other.headers = marked;
  other.headers.emplace_back(kInstanceHeader, "i-2");
  const PlatformDialect dialect;
  CHECK_FALSE(dialect.classify({}, common::Incarnation("i-1"), other).backoff.has_value());
  CHECK(dialect.classify({}, common::Incarnation("i-2"), other).backoff.has_value());
}

// Guards against retry times that are shorter than the backoff, or equal for all callers.
TEST_CASE("callers of an owner in backoff are refused immediately, with correct retry times") {
  RouteFixture fixture(true);
  fixture.send_request(10);
  fixture.end_attempt(12, fixture.forwards.at(0).attempt, refused("3"));
  REQUIRE(fixture.answers.size() == 1);
  std::set<common::Duration> retry_times;
  constexpr std::size_t kCallers = 20;
  for (std::size_t i = 0; i < kCallers; ++i) {
    const auto answer = fixture.answer_to(fixture.send_request(112));
    REQUIRE(answer.has_value());
    CHECK(answer->outcome == routing::Outcome::kNotRun);
    CHECK(answer->reason == routing::NotRunReason::kTargetBackoff);
    CHECK(answer->retry_after >= std::chrono::milliseconds(2900));
    CHECK(answer->retry_after < std::chrono::milliseconds(3800));
    retry_times.insert(answer->retry_after);
  }
  CHECK(retry_times.size() == kCallers);
  // Owners of other keys are not affected.
  const std::uint32_t other_key = RouteFixture::first_key(2);
  CHECK_FALSE(fixture.answer_to(fixture.send_request(112, 0, other_key)).has_value());
  CHECK(fixture.forwards.size() == 2);
}

TEST_CASE("if all back ends of a service are in backoff, the retry time is the earliest end") {
  RouteFixture fixture;
  fixture.send_request(10);
  for (std::size_t i = 0; i < fixture.forwards.size(); ++i) {
    const char* time = fixture.forwards[i].address == RouteFixture::backend(2).address ? "2" : "9";
    fixture.end_attempt(12, fixture.forwards[i].attempt, refused(time));
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

TEST_CASE("requests wait for the end of a short backoff") {
  RouteFixture fixture(true);
  fixture.send_request(10);
  fixture.end_attempt(11, fixture.forwards.at(0).attempt, refused("0.05"));
  fixture.run_until(200);
  CHECK(fixture.forwards.size() == 2);
}

// Guards against a request that waits for its connection and is then written to a back end that has
// requested a backoff in the meantime.
TEST_CASE("requests not yet written are recalled from a back end that requests a backoff") {
  RouteFixture fixture;
  while (fixture.forwards.empty() ||
         fixture.forwards.back().address != fixture.forwards.front().address ||
         fixture.forwards.size() == 1) {
    fixture.send_request(10);
    REQUIRE(fixture.forwards.size() < 100);
  }
  const Forward last = fixture.forwards.back();
  fixture.core.on_attempt_started(fixture.forwards.front().attempt);
  fixture.end_attempt(12, fixture.forwards.front().attempt, refused("3"));
  CHECK(std::count(fixture.cancels.begin(), fixture.cancels.end(), last.attempt) == 1);
  CHECK_FALSE(fixture.answer_to(last.handle).has_value());  // forwarded to another back end
}

}  // namespace
}  // namespace planktray::platform

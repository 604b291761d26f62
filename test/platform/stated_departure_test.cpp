/// Back ends that state in their answers that they are leaving.

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

router::AttemptResult classified(unsigned status, transport::HeaderList headers,
                                 const std::string& expected = "") {
  transport::HttpResponse response;
  response.status = status;
  response.headers = std::move(headers);
  return PlatformDialect().classify({}, common::Incarnation(expected), response);
}

/// Returns the number of requests to a back end later than the promised time after it stated that
/// it is leaving. @param in_contact whether the router keeps receiving table updates.
std::size_t late_requests(bool keyed, bool in_contact, const router::AttemptResult& statement) {
  RouteFixture fixture(keyed);
  std::string leaving;
  std::size_t late = 0;
  std::size_t seen = 0;
  for (std::int64_t time = 10; time < 3 * kPromised; time += 10) {
    if (in_contact) {
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
                          seen == 0 ? statement : classified(kStatusOk, {{kSealHeader, "s"}}));
    }
  }
  CHECK_FALSE(leaving.empty());
  return late;
}

// Guards against a router that only forwards the statement to callers and keeps using a table that
// does not have the departure yet, or that is not updated any more.
TEST_CASE("a back end that states its departure receives nothing after the promised time") {
  for (const bool keyed : {true, false}) {
    for (const bool in_contact : {true, false}) {
      CAPTURE(keyed);
      CAPTURE(in_contact);
      const transport::HeaderList statement = {{kSealHeader, "s"}, {"Server-Leaving", "1"}};
      CHECK(late_requests(keyed, in_contact, classified(kStatusOk, statement)) == 0);
    }
  }
}

TEST_CASE("the statement of a departure is accepted in each kind of answer") {
  const std::pair<std::string, std::string> statement{"Server-Leaving", "1"};
  CHECK(classified(kStatusOk, {{kSealHeader, "s"}, statement}).is_leaving);
  CHECK(classified(404, {{kSealHeader, "s"}, statement}).is_leaving);
  CHECK(classified(kStatusUnavailable, {{kNotExecutedHeader, "1"}, statement}).is_leaving);
  CHECK(classified(kStatusMisdirected, {{kNotExecutedHeader, "1"}, statement}, "i-1").is_leaving);
  CHECK(
      classified(kStatusOk, {{kSealHeader, "s"}, {"x-planktray-server-leaving", "1"}}).is_leaving);
  CHECK_FALSE(classified(kStatusOk, {{kSealHeader, "s"}}).is_leaving);
  CHECK_FALSE(classified(kStatusOk, {{kSealHeader, "s"}, {"Server-Leaving", "0"}}).is_leaving);
}

TEST_CASE("the statement of another incarnation does not apply to the expected one") {
  const transport::HeaderList statement = {{kInstanceHeader, "i-2"}, {"Server-Leaving", "1"}};
  CHECK_FALSE(classified(kStatusMisdirected, statement, "i-1").is_leaving);
  CHECK(classified(kStatusMisdirected, statement, "i-2").is_leaving);
}

TEST_CASE("an invalid statement of a departure is reported") {
  const auto result = classified(kStatusOk, {{kSealHeader, "s"}, {"Server-Leaving", "soon"}});
  CHECK_FALSE(result.is_leaving);
  REQUIRE(result.unrecognized_headers.size() == 1);
  CHECK(result.unrecognized_headers[0].value == "soon");
}

// Guards against keys without an owner until the leaving one has contacted a controller itself.
TEST_CASE("a departure is reported to the leader until the table has it") {
  RouteFixture fixture(true);
  fixture.run_until(5);
  fixture.send_request(10);
  fixture.end_attempt(20, fixture.forwards.at(0).attempt,
                      classified(kStatusOk, {{kSealHeader, "s"}, {kLeavingHeader, "1"}}));
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

TEST_CASE("an owner that states its departure serves its keys until close to the promised time") {
  RouteFixture fixture(true);
  fixture.send_request(10);
  fixture.end_attempt(20, fixture.forwards.at(0).attempt,
                      classified(kStatusOk, {{kSealHeader, "s"}, {kLeavingHeader, "1"}}));
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

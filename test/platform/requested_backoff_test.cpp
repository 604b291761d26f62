/// Back ends that turn requests away and name a time to stay away for.

#include <doctest/doctest.h>

#include <map>
#include <string>
#include <utility>

#include "platform/names.hpp"
#include "platform/request_dialect.hpp"
#include "route_fixture.hpp"

namespace planktray::platform {
namespace {

using router::at;
using router::AttemptId;
using router::Forward;
using router::RouteFixture;

/// What the adapter makes of an answer with these headers.
router::AttemptResult judged(unsigned status, transport::HeaderList headers) {
  transport::HttpResponse response;
  response.status = status;
  response.headers = std::move(headers);
  return PlatformDialect().judge({}, {}, response);
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
      fixture.tell(time);
      fixture.ask(time);
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
          fixture.end(time, forward.attempt, turned_away("3"));
        }
      }
      for (auto next = under_way.begin(); next != under_way.end();) {
        if (time >= next->second) {
          fixture.end(time, next->first, answered());
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

}  // namespace
}  // namespace planktray::platform

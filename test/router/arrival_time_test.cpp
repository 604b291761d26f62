/// Checks that the deployed settings keep the promised time for back ends that leave.

#include "router/arrival_time.hpp"

#include <doctest/doctest.h>

#include <fstream>
#include <string>

#include "router/router_process.hpp"

namespace planktray::router {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// Reads a setting "name = N", in milliseconds, of the deployed routers.
common::Duration deployed(const std::string& name) {
  std::ifstream file("deploy/router.conf");
  REQUIRE(file.good());
  for (std::string line; std::getline(file, line);) {
    if (line.starts_with(name + " = ")) {
      return milliseconds(std::stoi(line.substr(name.size() + 3)));
    }
  }
  FAIL("deploy/router.conf has no " << name);
  return {};
}

RouterSettings deployed_settings() {
  RouterSettings settings;
  settings.connect_timeout = deployed("connect-timeout-ms");
  settings.settle_time = deployed("settle-time-ms");
  return settings;
}

// Guards against settings with which the maximum age of the table and the arrival time of a request
// add up to more than the promised time.
TEST_CASE("the maximum table age and a request's arrival time fit into the promised time") {
  const ArrivalTime arrival = arrival_time(deployed_settings());
  CHECK(arrival.connection > common::Duration(0));
  CHECK(arrival.loop_turns > common::Duration(0));
  CHECK(arrival.total() <= milliseconds(500));
  for (const auto promised : {milliseconds(1000), milliseconds(2000), milliseconds(5000)}) {
    CHECK(arrival.maximum_table_age(promised) + arrival.total() <= promised);
  }
}

// The same for large requests, which also take transmission time on the link: the maximum age of
// the table shrinks by that time, down to a bound below which every lost query would stop a router.
TEST_CASE("the maximum table age and a large request's arrival time fit into the promised time") {
  constexpr double kNarrowLink = 4.2e6 / 8;  // bytes a second
  constexpr auto kPromised = milliseconds(2000);
  const ArrivalTime arrival = arrival_time(deployed_settings());
  const routing::FreshnessOptions options{.max_age = arrival.maximum_table_age(kPromised)};
  const TimePoint as_of = TimePoint(std::chrono::hours(1));
  routing::TableFreshness freshness(options);
  freshness.on_confirmed(as_of, as_of);
  const auto oldest_for = [&](common::Duration passing) {
    common::Duration age{0};
    while (freshness.status(as_of + age, passing) == routing::TableStatus::kCurrent) {
      age += milliseconds(1);
    }
    return age - milliseconds(1);
  };
  link::SendWindow window({.bytes_per_second = kNarrowLink});
  for (const std::size_t bytes : {20'000, 60'000, 120'000, 240'000, 330'000}) {
    CAPTURE(bytes);
    const common::Duration passing = window.passing_time(bytes);
    CHECK(oldest_for(passing) + passing + arrival.total() <= kPromised);
  }
  // While the link carries as much as is admitted.
  window.bind(as_of, 1, 100'000);
  REQUIRE(window.admits(as_of, 50'000));
  const common::Duration passing = window.passing_time(50'000);
  CHECK(oldest_for(passing) + passing + arrival.total() <= kPromised);
  // A request that takes longer is sent with the shortest maximum age that is supported.
  CHECK(oldest_for(seconds(5)) == options.shortest_max_age);
}

// Guards against requests to owners in an evacuated zone that end after a constant time, whatever
// time is promised.
TEST_CASE(
    "the maximum table age, the grace period and the arrival time fit into an evacuation's time") {
  const ArrivalTime arrival = arrival_time(deployed_settings());
  const common::Duration oldest = arrival.maximum_table_age(seconds(2));
  const common::Duration wanted = RouterOptions().evacuation_grace;
  for (const auto promised : {milliseconds(2000), milliseconds(3000), milliseconds(5000)}) {
    CHECK(oldest + arrival.grace_period(promised, oldest, wanted) + arrival.total() <= promised);
  }
  CHECK(arrival.grace_period(seconds(5), oldest, wanted) == wanted);
  CHECK(arrival.grace_period(seconds(0), oldest, wanted) == wanted);
}

TEST_CASE("the table age is not limited if no time is promised") {
  CHECK(arrival_time(deployed_settings()).maximum_table_age(milliseconds(0)) == milliseconds(0));
}

}  // namespace
}  // namespace planktray::router

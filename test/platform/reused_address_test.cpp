/// A back end that owns keys ends, and its address is reused by a back end of another service
/// before routers receive a newer table. If routers do not detect this, retries at this address
/// use up the retry budget.

#include <doctest/doctest.h>

#include <map>

#include "platform/names.hpp"
#include "platform/request_dialect.hpp"
#include "router/core/router_core.hpp"

namespace planktray::platform {
namespace {

using common::TimePoint;
using std::chrono::milliseconds;

constexpr std::uint64_t kKeyedService = 1;
constexpr std::uint64_t kOwner = 7;
const std::string kAddress = "10.1.64.57:8325";
const common::Incarnation kEnded("i-ended");
const common::Incarnation kReplacement("i-replacement");

TimePoint at(std::int64_t value) { return TimePoint(milliseconds(1'000'000 + value)); }

/// A table with one keyed service, all of whose keys are owned by one back end.
routing::TableUpdate table_with_owner() {
  routing::TableDelta delta;
  delta.is_snapshot = true;
  delta.to = common::LogIndex(10);
  routing::BackendRoute owner;
  owner.id = common::BackendId(kOwner);
  owner.address = kAddress;
  owner.incarnation = kEnded;
  owner.pool = common::PoolName("tallies");
  owner.slots = 3;
  owner.self_registered = true;
  delta.backends = {owner};
  config::RoutedService service;
  service.name = common::ServiceName("tallies");
  service.keyed = true;
  delta.routed_services = {{common::ServiceId(kKeyedService), service}};
  delta.ranges = {{common::ServiceId(kKeyedService), 0, config::kKeyCount - 1, owner.id}};
  config::Route route;
  route.name = "r";
  route.host = "h.example";
  route.path_prefix = "/";
  route.kind.repeatable = true;
  route.timeout_ms = 1200;
  route.objective_ms = 500;
  route.maximum_attempts = 2;
  route.parts = {{service.name, 1}};
  delta.routes = {route};
  delta.routes_version = 1;
  routing::TableUpdate update;
  update.echo_clock_us = common::to_microseconds(at(0));
  update.current_index = delta.to;
  update.deltas = {delta};
  return update;
}

/// The answer of a back end to a request for another incarnation.
transport::HttpResponse misdirected() {
  transport::HttpResponse response;
  response.status = kStatusMisdirected;
  response.was_sent = true;
  response.headers = {{kNotExecutedHeader, "1"}, {kInstanceHeader, kReplacement.value}};
  return response;
}

/// A router and the back end that reuses the address, which answers immediately.
class ReusedAddress {
 public:
  ReusedAddress() : core_(router::RouterOptions{}, common::RandomEngine(1), at(0)) {
    core_.on_table_update(at(0), table_with_owner());
    core_.take_output();
  }

  void send_request(std::int64_t when, std::uint32_t key) {
    router::CallerRequest request;
    request.handle = next_handle_++;
    request.method = "GET";
    request.timeout_ms = 1200;
    request.route = router::RouteCall{"h.example", "/x", key};
    core_.on_request(at(when), request);
    answer_forwards(when);
  }

  void tick(std::int64_t when) {
    core_.tick(at(when));
    answer_forwards(when);
  }

  /// Number of arrivals of each request at the address.
  const std::map<router::RequestHandle, int>& arrivals() const { return arrivals_; }
  const std::vector<router::Answer>& answers() const { return answers_; }
  router::RouterCore& core() { return core_; }
  std::vector<routing::RouterHello>& hellos() { return hellos_; }

 private:
  void answer_forwards(std::int64_t when) {
    for (router::RouterOutput output = core_.take_output(); !output.empty();
         output = core_.take_output()) {
      answers_.insert(answers_.end(), output.answers.begin(), output.answers.end());
      if (output.hello.has_value()) {
        hellos_.push_back(*output.hello);
      }
      for (const router::Forward& forward : output.forwards) {
        ++arrivals_[forward.handle];
        core_.on_attempt_done(at(when), forward.attempt,
                              dialect_.classify({}, forward.incarnation, misdirected()));
      }
    }
  }

  router::RouterCore core_;
  PlatformDialect dialect_;
  router::RequestHandle next_handle_ = 1;
  std::map<router::RequestHandle, int> arrivals_;
  std::vector<router::Answer> answers_;
  std::vector<routing::RouterHello> hellos_;
};

TEST_CASE("a request does not arrive twice at an address with another incarnation") {
  ReusedAddress world;
  constexpr int kRequests = 200;
  for (int i = 0; i < kRequests; ++i) {
    world.send_request(10 * i, static_cast<std::uint32_t>(i) * 300);
    for (int j = 1; j < 10; ++j) {
      world.tick(10 * i + j);
    }
  }
  int repeats = 0;
  for (const auto& [request, count] : world.arrivals()) {
    repeats += count - 1;
  }
  CHECK(repeats == 0);
}

TEST_CASE("one request per router detects that an owner has ended") {
  ReusedAddress world;
  for (int i = 0; i < 100; ++i) {
    world.send_request(10 * i, static_cast<std::uint32_t>(i) * 300);
    world.tick(10 * i + 5);
  }
  CHECK(world.arrivals().size() == 1);
  CHECK(world.core().counters().ended_backends == 1);
}

TEST_CASE("an ended owner is reported to the leader at once until the table marks it as ended") {
  ReusedAddress world;
  world.tick(0);
  world.hellos().clear();
  world.send_request(50, 1);  // the next regular hello is due at 100
  for (int i = 51; i <= 56; ++i) {
    world.tick(i);
  }
  REQUIRE(world.hellos().size() == 1);
  CHECK(world.hellos()[0].ended == std::vector<common::BackendId>{common::BackendId(kOwner)});
  routing::TableUpdate update;
  update.base_index = common::LogIndex(10);
  update.current_index = common::LogIndex(11);
  routing::TableDelta delta;
  delta.from = update.base_index;
  delta.to = update.current_index;
  delta.backends = {table_with_owner().deltas[0].backends[0]};
  delta.backends[0].ended = true;
  update.deltas = {delta};
  world.core().on_table_update(at(60), update);
  world.hellos().clear();
  for (int i = 61; i <= 400; ++i) {
    world.tick(i);
  }
  REQUIRE_FALSE(world.hellos().empty());
  CHECK(world.hellos().back().ended.empty());
}

TEST_CASE("a back end marked as ended receives nothing, even after the router has dropped it") {
  ReusedAddress world;
  routing::TableUpdate update = table_with_owner();
  update.current_index = common::LogIndex(11);
  update.deltas[0].to = update.current_index;
  update.deltas[0].backends[0].ended = true;
  world.core().on_table_update(at(1), update);
  for (int i = 2; i < 12'000; i += 50) {
    world.send_request(i, 1);
    world.tick(i + 25);
  }
  CHECK(world.arrivals().empty());
}

TEST_CASE("requests for keys of an ended owner are refused as not run, with a retry time") {
  ReusedAddress world;
  world.send_request(0, 1);
  for (int i = 1; i <= 100; ++i) {
    world.tick(i);
  }
  REQUIRE(world.answers().size() == 1);
  CHECK(world.answers()[0].outcome == routing::Outcome::kNotRun);
  CHECK(world.answers()[0].reason == routing::NotRunReason::kNoOwner);
  CHECK(world.answers()[0].retry_after.count() > 0);
}

}  // namespace
}  // namespace planktray::platform

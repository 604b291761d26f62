#include "router/core/router_core.hpp"

#include <doctest/doctest.h>

#include <algorithm>
#include <functional>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace planktray::router {
namespace {

using std::chrono::milliseconds;

const common::ServiceKey kKeyed{common::TenantName("t"), common::ServiceName("keyed")};
const common::ServiceKey kUnkeyed{common::TenantName("t"), common::ServiceName("unkeyed")};
constexpr std::int64_t kStart = 1'000'000;

TimePoint at(std::int64_t value) { return common::from_microseconds((kStart + value) * 1000); }

routing::ServiceRoute service(std::uint64_t id, const common::ServiceKey& key, bool keyed) {
  routing::ServiceRoute route;
  route.id = common::ServiceId(id);
  route.config.key = key;
  route.config.parameters.keyed = keyed;
  route.config.parameters.shards = keyed ? 1 : 0;
  route.config.parameters.slots = 1;
  route.config.parameters.connections = 10;
  route.config.parameters.repeatable_methods = {"GET"};
  route.config.parameters.default_timeout_ms = 1000;
  route.config.parameters.queue_limit = 2;
  route.targets = {common::BackendId(1), common::BackendId(2)};
  return route;
}

/// A router with two back ends, one keyed and one unkeyed service, and a confirmed table.
struct Fixture {
  RouterCore core{options(), common::RandomEngine(1), at(0)};
  RequestHandle next_handle = 1;

  static RouterOptions options() {
    RouterOptions options;
    options.name = common::RouterName("r");
    return options;
  }

  Fixture() { confirm(at(0), table()); }

  static routing::TableDelta table() {
    routing::TableDelta delta;
    delta.is_snapshot = true;
    delta.to = common::LogIndex(10);
    for (std::uint64_t id : {1U, 2U}) {
      delta.backends.push_back({common::BackendId(id), common::MachineName(std::to_string(id)),
                                "address", common::ZoneName("z"), common::Incarnation("i"), false});
    }
    delta.services = {service(1, kKeyed, true), service(2, kUnkeyed, false)};
    delta.shards = {{common::ServiceId(1), common::ShardNumber(0), common::BackendId(1),
                     common::Epoch(5), false}};
    return delta;
  }

  void confirm(TimePoint now, const routing::TableDelta& delta) {
    routing::TableUpdate update;
    update.echo_clock_us = common::to_microseconds(now);
    update.base_index = delta.from;
    update.current_index = delta.to;
    update.deltas = {delta};
    core.on_table_update(now, update);
    core.take_output();
  }

  RouterOutput send_request(TimePoint now, const common::ServiceKey& key,
                            const std::string& method) {
    core.on_request(now, {next_handle++, key, "k", method, 0});
    return core.take_output();
  }

  RouterOutput end_attempt(TimePoint now, AttemptId attempt, const AttemptResult& result) {
    core.on_attempt_done(now, attempt, result);
    return core.take_output();
  }

  RouterOutput tick(TimePoint now) {
    core.tick(now);
    return core.take_output();
  }
};

TEST_CASE("a keyed request goes to the owner under its epoch") {
  Fixture fixture;
  const RouterOutput output = fixture.send_request(at(1), kKeyed, "POST");
  REQUIRE(output.forwards.size() == 1);
  CHECK(output.forwards[0].machine.value == "1");
  CHECK(output.forwards[0].epoch == common::Epoch(5));
  CHECK_FALSE(output.forwards[0].repeatable);
}

TEST_CASE("a request that may have run and is not repeatable is answered unknown at once") {
  Fixture fixture;
  const auto attempt = fixture.send_request(at(1), kUnkeyed, "POST").forwards.at(0).attempt;
  const RouterOutput output =
      fixture.end_attempt(at(2), attempt, {routing::AttemptEnd::kBroken, {}});
  CHECK(output.forwards.empty());
  REQUIRE(output.answers.size() == 1);
  CHECK(output.answers[0].outcome == routing::Outcome::kUnknown);
}

TEST_CASE("an answer to another request leaves the outcome unknown") {
  Fixture fixture;
  const auto attempt = fixture.send_request(at(1), kUnkeyed, "POST").forwards.at(0).attempt;
  const RouterOutput output =
      fixture.end_attempt(at(2), attempt, {routing::AttemptEnd::kForeign, {}});
  REQUIRE(output.answers.size() == 1);
  CHECK(output.answers[0].outcome == routing::Outcome::kUnknown);
}

TEST_CASE("a request that provably did not run is retried at another back end") {
  Fixture fixture;
  const Forward first = fixture.send_request(at(1), kUnkeyed, "POST").forwards.at(0);
  RouterOutput output = fixture.end_attempt(
      at(2), first.attempt, {routing::AttemptEnd::kRefused, routing::Refusal::kDraining});
  for (int i = 3; output.forwards.empty() && i < 300; ++i) {
    REQUIRE(output.answers.empty());
    output = fixture.tick(at(i));
  }
  REQUIRE(output.forwards.size() == 1);
  CHECK(output.forwards[0].machine != first.machine);
}

TEST_CASE("a repeatable request whose attempt broke is retried and never reported as not run") {
  Fixture fixture;
  const auto attempt = fixture.send_request(at(1), kUnkeyed, "GET").forwards.at(0).attempt;
  RouterOutput output = fixture.end_attempt(at(2), attempt, {routing::AttemptEnd::kBroken, {}});
  std::vector<Answer> answers = output.answers;
  for (int i = 3; i < 1200 && answers.empty(); ++i) {
    output = fixture.tick(at(i));
    for (const Forward& forward : output.forwards) {
      fixture.core.on_attempt_done(at(i), forward.attempt,
                                   {routing::AttemptEnd::kRefused, routing::Refusal::kShed});
    }
    answers = output.answers;
  }
  REQUIRE(answers.size() == 1);
  CHECK(answers[0].outcome == routing::Outcome::kUnknown);
}

TEST_CASE("requests for a moving shard wait until the next owner is known") {
  Fixture fixture;
  routing::TableDelta moving;
  moving.from = common::LogIndex(10);
  moving.to = common::LogIndex(11);
  moving.shards = {
      {common::ServiceId(1), common::ShardNumber(0), common::BackendId(1), common::Epoch(5), true}};
  fixture.confirm(at(1), moving);
  CHECK(fixture.send_request(at(2), kKeyed, "POST").forwards.empty());
  routing::TableUpdate update;
  update.base_index = common::LogIndex(11);
  update.current_index = common::LogIndex(12);
  routing::TableDelta moved = moving;
  moved.from = common::LogIndex(11);
  moved.to = common::LogIndex(12);
  moved.shards[0] = {common::ServiceId(1), common::ShardNumber(0), common::BackendId(2),
                     common::Epoch(12), false};
  update.deltas = {moved};
  fixture.core.on_table_update(at(3), update);
  const RouterOutput output = fixture.core.take_output();
  REQUIRE(output.forwards.size() == 1);
  CHECK(output.forwards[0].epoch == common::Epoch(12));
}

TEST_CASE("a full queue refuses at once with a retry-after time") {
  Fixture fixture;
  fixture.send_request(at(1), kKeyed, "POST");
  RouterOutput output;
  for (int i = 0; i < 8 && output.answers.empty(); ++i) {
    output = fixture.send_request(at(2), kKeyed, "POST");
  }
  REQUIRE(output.answers.size() == 1);
  CHECK(output.answers[0].outcome == routing::Outcome::kNotRun);
  CHECK(output.answers[0].retry_after.count() > 0);
}

TEST_CASE("a router does not serve from an unconfirmed table") {
  Fixture fixture;
  CHECK(fixture.core.is_serving(at(2999)));
  CHECK_FALSE(fixture.core.is_serving(at(3001)));
  const RouterOutput output = fixture.send_request(at(3001), kUnkeyed, "GET");
  REQUIRE(output.answers.size() == 1);
  CHECK(output.answers[0].reason == routing::NotRunReason::kNotServing);
}

TEST_CASE("an update with a gap or an older index is not installed") {
  Fixture fixture;
  routing::TableDelta gap;
  gap.from = common::LogIndex(20);
  gap.to = common::LogIndex(21);
  fixture.confirm(at(1), gap);
  CHECK(fixture.core.table().index() == common::LogIndex(10));
}

TEST_CASE("a request that can never run is marked as such") {
  Fixture fixture;
  fixture.core.on_request(at(1), {50, kKeyed, "", "GET", 0});
  fixture.core.on_request(at(1), {51, {common::TenantName("no"), {}}, "", "GET", 0});
  const RouterOutput output = fixture.core.take_output();
  REQUIRE(output.answers.size() == 2);
  CHECK(output.answers[0].can_never_run);
  CHECK(output.answers[1].can_never_run);
}

TEST_CASE("the attempt of a disconnected caller is cancelled") {
  Fixture fixture;
  const auto attempt = fixture.send_request(at(1), kUnkeyed, "GET").forwards.at(0).attempt;
  fixture.core.on_caller_disconnected(at(1), 1);
  const RouterOutput output = fixture.core.take_output();
  REQUIRE(output.cancels.size() == 1);
  CHECK(output.cancels[0] == attempt);
  CHECK(fixture.core.is_drained());
}

TEST_CASE("while the leader answers, hellos go to it alone, at the interval that it requests") {
  Fixture fixture;
  routing::TableUpdate update;
  update.echo_clock_us = common::to_microseconds(at(10));
  update.base_index = update.current_index = common::LogIndex(10);
  update.hello_interval_ms = 400;
  fixture.core.on_table_update(at(10), update);
  fixture.tick(at(20));
  int hellos = 0;
  std::int64_t first_to_all = 0;
  for (std::int64_t time = 21; time < 2500; time += 5) {
    const RouterOutput output = fixture.tick(at(time));
    hellos += output.hello.has_value() ? 1 : 0;
    if (output.hello.has_value() && output.hello_to_all && first_to_all == 0) {
      first_to_all = time;
    }
  }
  CHECK(hellos >= 5);
  CHECK(hellos <= 7);
  // Hellos go to all after two intervals without an answer: another controller may lead now.
  CHECK(first_to_all > 10 + 2 * 400 - 5);
  CHECK(first_to_all < 10 + 3 * 400 + 5);
}

TEST_CASE("a router without a leader sends hellos to all controllers") {
  RouterCore core(Fixture::options(), common::RandomEngine(1), at(0));
  core.tick(at(1));
  const RouterOutput output = core.take_output();
  REQUIRE(output.hello.has_value());
  CHECK(output.hello_to_all);
}

/// Guards against a fleet that keeps its controllers from electing a leader: 985 routers sent all
/// of ten controllers a hello every 250 ms until one of them led.
TEST_CASE("a router that knows no leader asks a few controllers, and less often the longer") {
  RouterOptions options = Fixture::options();
  options.hello_interval = std::chrono::milliseconds(250);
  RouterCore core(options, common::RandomEngine(1), at(0));
  constexpr int kControllers = 10;
  std::vector<std::string> controllers;
  controllers.reserve(kControllers);
  for (int i = 0; i < kControllers; ++i) {
    controllers.push_back("c" + std::to_string(i));
  }
  core.set_seeds(controllers);
  std::size_t sent = 0;
  std::set<std::string> asked;
  for (std::int64_t time = 1; time <= 10'000; time += 5) {
    core.tick(at(time));
    const RouterOutput output = core.take_output();
    if (output.hello.has_value()) {
      CHECK_FALSE(output.hello_to_all);
      sent += output.hello_to.size();
      asked.insert(output.hello_to.begin(), output.hello_to.end());
    }
  }
  CHECK(sent <= 3 * 12);
  CHECK(asked.size() == kControllers);
}

TEST_CASE("a router polls followers for changes while the leader says so") {
  Fixture fixture;
  fixture.core.set_seeds({"leader", "f1"});
  routing::TableUpdate update;
  update.term = common::Term(2);
  update.echo_clock_us = common::to_microseconds(at(10));
  update.base_index = update.current_index = common::LogIndex(10);
  update.hello_interval_ms = 2000;
  update.poll_interval_ms = 500;
  fixture.core.on_table_update(at(10), update, "leader");
  fixture.tick(at(11));
  for (std::int64_t time = 12; time < 1900; time += 5) {
    const RouterOutput output = fixture.tick(at(time));
    if (output.hello.has_value()) {
      CHECK(output.hello_to == std::vector<std::string>{"f1"});
      routing::TableUpdate answer;
      answer.by_follower = true;
      answer.base_index = answer.current_index = common::LogIndex(10);
      answer.as_of_clock_us = common::to_microseconds(at(time));
      fixture.core.on_table_update(at(time), answer, "f1");
    }
  }
  CHECK(fixture.core.counters().follower_polls == 3);
}

TEST_CASE("a router requests a snapshot from the controller of its zone that offers one") {
  RouterOptions options = Fixture::options();
  options.zone = common::ZoneName("a");
  RouterCore core(options, common::RandomEngine(1), at(0));
  core.tick(at(1));
  (void)core.take_output();
  const auto offer = [&](std::int64_t time, const std::string& sender, const std::string& zone) {
    routing::ControllerList list;
    list.cell = options.cell;
    list.sender = sender;
    list.sender_zone = common::ZoneName(zone);
    list.offers_snapshot = true;
    core.on_controller_list(at(time), list);
    const RouterOutput output = core.take_output();
    return output.hello.has_value() && output.hello->wants_snapshot ? output.hello_to
                                                                    : std::vector<std::string>();
  };
  CHECK(offer(10, "b1", "b").empty());
  CHECK(offer(11, "a1", "a") == std::vector<std::string>{"a1"});
  CHECK(offer(12, "a2", "a").empty());  // one is on its way
  CHECK(offer(1000, "b1", "b").empty());
  // It did not come, and no controller of the own zone offers one any more.
  CHECK(offer(2000, "b1", "b") == std::vector<std::string>{"b1"});
}

TEST_CASE("a router that lacks an update sends a hello at once, otherwise at its interval") {
  Fixture fixture;
  fixture.tick(at(1));
  routing::TableUpdate update;
  update.echo_clock_us = common::to_microseconds(at(2));
  update.hello_interval_ms = 500;
  update.base_index = common::LogIndex(10);
  update.current_index = common::LogIndex(11);
  routing::TableDelta delta;
  delta.from = common::LogIndex(10);
  delta.to = common::LogIndex(11);
  delta.removed_routes = {"r"};
  update.deltas = {delta};
  fixture.core.on_table_update(at(3), update);
  CHECK_FALSE(fixture.tick(at(4)).hello.has_value());
  update.base_index = common::LogIndex(15);
  update.current_index = common::LogIndex(16);
  fixture.core.on_table_update(at(5), update);
  const RouterOutput output = fixture.tick(at(6));
  REQUIRE(output.hello.has_value());
  CHECK(output.hello->table_index == common::LogIndex(11));
}

TEST_CASE("callers whose key has no owner get different retry-after times") {
  RouterCore core(Fixture::options(), common::RandomEngine(1), at(0));
  core.tick(at(1));
  (void)core.take_output();
  routing::TableDelta snapshot;
  snapshot.is_snapshot = true;
  snapshot.to = common::LogIndex(5);
  config::RoutedService keyed;
  keyed.name = common::ServiceName("album");
  keyed.keyed = true;
  snapshot.routed_services.push_back({common::ServiceId(1), keyed});
  snapshot.ranges.push_back({common::ServiceId(1), 0, config::kKeyCount - 1, BackendId()});
  config::Route route;
  route.name = "r";
  route.host = "album.example";
  route.path_prefix = "/";
  route.parts.push_back({keyed.name, 1.0});
  snapshot.routes.push_back(route);
  snapshot.routes_version = 1;
  routing::TableUpdate update;
  update.term = common::Term(1);
  update.echo_clock_us = common::to_microseconds(at(1));
  update.current_index = common::LogIndex(5);
  update.deltas = {snapshot};
  core.on_table_update(at(2), update);
  constexpr std::int64_t kCallers = 20;
  for (std::int64_t i = 0; i < kCallers; ++i) {
    CallerRequest caller;
    caller.handle = static_cast<RequestHandle>(i + 1);
    caller.method = "GET";
    caller.route = RouteCall{"album.example", "/a", static_cast<std::uint32_t>(i)};
    core.on_request(at(3), caller);
  }
  std::set<Duration> retry_times;
  for (std::int64_t time = 4; time < 200; time += 5) {
    core.tick(at(time));
    for (const Answer& answer : core.take_output().answers) {
      CHECK(answer.outcome == routing::Outcome::kNotRun);
      CHECK(answer.reason == routing::NotRunReason::kNoOwner);
      CHECK(answer.retry_after >= milliseconds(300));
      CHECK(answer.retry_after < milliseconds(600));
      retry_times.insert(answer.retry_after);
    }
  }
  CHECK(retry_times.size() == kCallers);
}

// Guards against synchronized retries: callers that came before the first table all got the same
// retry-after time of one second.
TEST_CASE("callers that come before the first table get different retry-after times") {
  RouterCore core(Fixture::options(), common::RandomEngine(1), at(0));
  constexpr std::size_t kCallers = 20;
  std::set<Duration> retry_times;
  for (std::size_t i = 0; i < kCallers; ++i) {
    CallerRequest caller;
    caller.handle = i + 1;
    caller.method = "GET";
    caller.route = RouteCall{"album.example", "/a", std::nullopt};
    core.on_request(at(3), caller);
    for (const Answer& answer : core.take_output().answers) {
      CHECK(answer.outcome == routing::Outcome::kNotRun);
      CHECK(answer.reason == routing::NotRunReason::kNotServing);
      CHECK(answer.retry_after >= core.options().unavailable_retry_after);
      CHECK(answer.retry_after < 2 * core.options().unavailable_retry_after);
      retry_times.insert(answer.retry_after);
    }
  }
  CHECK(retry_times.size() == kCallers);
}

/// A router with a back end in its own zone and one in another, and a keyed or unkeyed service.
struct RoutedFixture {
  RouterCore core;
  RequestHandle next_handle = 1;
  std::uint64_t index = 5;

  static RouterOptions options(const std::string& name) {
    RouterOptions options = Fixture::options();
    options.name = common::RouterName(name);
    options.zone = common::ZoneName("north");
    options.freshness.max_age = Duration(0);  // one table for the whole test
    return options;
  }

  /// @param routers number of routers that the leader reports. @param adjust changes options, for
  /// example to disable a safeguard.
  explicit RoutedFixture(bool keyed, const std::string& name = "r", std::uint32_t routers = 1,
                         void (*adjust)(RouterOptions&) = nullptr)
      : core(adjusted(name, adjust), common::RandomEngine(std::hash<std::string>{}(name)), at(0)) {
    routing::TableDelta snapshot;
    snapshot.is_snapshot = true;
    snapshot.to = common::LogIndex(index);
    for (std::uint64_t id : {1U, 2U}) {
      routing::BackendRoute backend;
      backend.id = common::BackendId(id);
      backend.zone = common::ZoneName(id == 1 ? "north" : "south");
      backend.incarnation = common::Incarnation(std::to_string(id));
      backend.pool = common::PoolName("album");
      backend.slots = 3;
      backend.self_registered = true;
      snapshot.backends.push_back(backend);
    }
    config::RoutedService service;
    service.name = common::ServiceName("album");
    service.keyed = keyed;
    service.cold_rate = 4.2;
    snapshot.routed_services.push_back({common::ServiceId(1), service});
    if (keyed) {
      snapshot.ranges.push_back(
          {common::ServiceId(1), 0, config::kKeyCount - 1, common::BackendId(1)});
    }
    config::Route route;
    route.name = "r";
    route.host = "album.example";
    route.path_prefix = "/";
    route.parts.push_back({service.name, 1.0});
    snapshot.routes.push_back(route);
    snapshot.routes_version = 1;
    install(at(1), snapshot, routers);
  }

  static RouterOptions adjusted(const std::string& name, void (*adjust)(RouterOptions&)) {
    RouterOptions result = options(name);
    if (adjust != nullptr) {
      adjust(result);
    }
    return result;
  }

  void install(TimePoint now, routing::TableDelta delta, std::uint32_t routers = 1) {
    routing::TableUpdate update;
    update.term = common::Term(1);
    update.router_count = routers;
    update.base_index = delta.from;
    update.current_index = delta.to;
    update.deltas = {std::move(delta)};
    core.on_table_update(now, update);
    (void)core.take_output();
  }

  routing::TableDelta next_delta() {
    routing::TableDelta delta;
    delta.from = common::LogIndex(index);
    delta.to = common::LogIndex(++index);
    return delta;
  }

  void evacuate(TimePoint now, const std::string& zone, bool evacuated, std::uint32_t routers = 1) {
    routing::TableDelta delta = next_delta();
    delta.zones.push_back({common::ZoneName(zone), evacuated});
    install(now, delta, routers);
  }

  /// Sends `count` requests and returns the back ends that got one; each request is answered in the
  /// time that a router expects of an unknown back end.
  std::multiset<std::string> receivers(TimePoint now, int count) {
    std::multiset<std::string> seen;
    for (int i = 0; i < count; ++i) {
      CallerRequest caller;
      caller.handle = next_handle++;
      caller.method = "GET";
      caller.timeout_ms = 1000;
      caller.route = RouteCall{"album.example", "/a", static_cast<std::uint32_t>(i)};
      core.on_request(now, caller);
      for (const Forward& forward : core.take_output().forwards) {
        seen.insert(forward.incarnation.value);
        core.on_attempt_done(now + core.options().targets.initial_time, forward.attempt,
                             {routing::AttemptEnd::kAnswered, {}});
      }
      core.on_caller_disconnected(now + core.options().targets.initial_time, caller.handle);
      (void)core.take_output();
    }
    return seen;
  }
};

TEST_CASE(
    "an evacuated zone gets no requests until its evacuation is revoked and its back ends are "
    "warm") {
  RoutedFixture fixture(false);
  CHECK(fixture.receivers(at(2), 50).contains("1"));
  fixture.evacuate(at(10), "north", true);
  const auto during = fixture.receivers(at(11), 50);
  CHECK(during.count("1") == 0);
  CHECK(during.count("2") == 50);
  fixture.evacuate(at(20), "north", false);
  CHECK(fixture.receivers(at(21), 50).count("1") <= 1);  // the back end may have turned cold
  routing::TableDelta warmed = fixture.next_delta();
  warmed.warmth.push_back({common::BackendId(1), false});
  fixture.install(at(30), warmed);
  CHECK(fixture.receivers(at(31), 50).count("1") > 5);
}

TEST_CASE("callers are refused if every zone is evacuated") {
  RoutedFixture fixture(false);
  fixture.evacuate(at(10), "north", true);
  fixture.evacuate(at(10), "south", true);
  CHECK(fixture.receivers(at(11), 50).empty());
}

TEST_CASE("an owner in an evacuated zone gets requests only while its keys are handed over") {
  RoutedFixture fixture(true);
  fixture.evacuate(at(10), "north", true);
  CHECK(fixture.receivers(at(1000), 5).count("1") == 5);
  CHECK(fixture.receivers(at(2011), 5).empty());
}

/// Returns the largest number of requests in one second that back end 1 gets from 68 routers that
/// all receive the end of its zone's evacuation at the same time.
std::size_t peak_requests_per_second(bool keyed, void (*adjust)(RouterOptions&)) {
  constexpr std::uint32_t kRouters = 68;
  constexpr std::int64_t kStep = 25;
  std::vector<std::unique_ptr<RoutedFixture>> routers;
  for (std::uint32_t i = 0; i < kRouters; ++i) {
    routers.push_back(
        std::make_unique<RoutedFixture>(keyed, "r" + std::to_string(i), kRouters, adjust));
    routers.back()->evacuate(at(10), "north", true, kRouters);
    routers.back()->evacuate(at(20), "north", false, kRouters);
    if (!keyed) {
      // Leaves no other back end for the requests.
      routers.back()->evacuate(at(20), "south", true, kRouters);
    }
  }
  std::vector<std::size_t> steps;
  for (std::int64_t time = 21; time < 6000; time += kStep) {
    std::size_t sum = 0;
    for (auto& router : routers) {
      sum += router->receivers(at(time), 1).count("1");
    }
    steps.push_back(sum);
  }
  std::size_t most = 0;
  constexpr std::size_t kWindow = 1000 / kStep;
  for (std::size_t i = 0; i + kWindow <= steps.size(); ++i) {
    std::size_t sum = 0;
    for (std::size_t j = i; j < i + kWindow; ++j) {
      sum += steps[j];
    }
    most = std::max(most, sum);
  }
  return most;
}

TEST_CASE("all routers together keep to the rate limit of a cold back end") {
  constexpr std::size_t kAllowed = 14;  // 1.5 times the cold rate of 4.2 a second, plus 8
  for (const bool keyed : {false, true}) {
    CAPTURE(keyed);
    const std::size_t most = peak_requests_per_second(keyed, nullptr);
    CHECK(most <= kAllowed);
    CHECK(most >= 1);  // the back end is used
    CHECK(peak_requests_per_second(keyed, [](RouterOptions& options) {
            options.cold_limit.is_enabled = false;
          }) > kAllowed);
  }
}

}  // namespace
}  // namespace planktray::router

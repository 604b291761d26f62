#pragma once
/// Fixture: a router core with one service on a route, and table updates from a test's leader.

#include <algorithm>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "router/core/router_core.hpp"

namespace planktray::router {

using std::chrono::milliseconds;

/// Returns a time of the test's clock, in milliseconds.
inline TimePoint at(std::int64_t value) {
  return common::from_microseconds((1'000'000 + value) * 1000);
}

class RouteFixture {
 public:
  static constexpr const char* kHost = "host.example";
  static constexpr std::uint32_t kBackends = 3;
  static constexpr std::size_t kLarge = 200'000;  ///< bytes

  static RouterOptions deployed_options() {
    RouterOptions options;
    options.name = common::RouterName("r");
    options.freshness.max_age = milliseconds(1500);
    options.writes.departure_deadline = milliseconds(2000);
    return options;
  }

  /// Options of a router whose link takes about 0.4 s for a body of kLarge bytes.
  static RouterOptions narrow_link() {
    RouterOptions options = deployed_options();
    options.send_window.bytes_per_second = 525'000;
    return options;
  }

  /// Starts with back ends 1 to kBackends; if the service is keyed, each owns an equal range of
  /// keys.
  explicit RouteFixture(bool keyed = false, const RouterOptions& options = deployed_options(),
                        bool repeatable = false)
      : core(options, common::RandomEngine(1), at(0)), keyed_(keyed) {
    routing::TableDelta first;
    first.is_snapshot = true;
    first.routes_version = 1;
    config::RoutedService service;
    service.name = common::ServiceName("service");
    service.keyed = keyed;
    first.routed_services = {{common::ServiceId(1), service}};
    config::Route route;
    route.name = "route";
    route.host = kHost;
    route.path_prefix = "/";
    route.kind.repeatable = repeatable;
    route.objective_ms = 1000;
    route.maximum_attempts = 2;
    route.parts = {{service.name, 1.0}};
    first.routes = {route};
    for (std::uint32_t i = 1; i <= kBackends; ++i) {
      first.backends.push_back(backend(i));
      first.ranges.push_back(
          {common::ServiceId(1), first_key(i), first_key(i + 1) - 1, BackendId(i)});
    }
    core.tick(at(0));
    update_table(0, first);
  }

  static routing::BackendRoute backend(std::uint64_t id) {
    routing::BackendRoute route;
    route.id = BackendId(id);
    route.address = "address-" + std::to_string(id);
    route.incarnation = common::Incarnation("i-" + std::to_string(id));
    route.zone = common::ZoneName("z");
    route.pool = common::PoolName("service");
    route.slots = 4;
    route.self_registered = true;
    return route;
  }
  static std::uint32_t first_key(std::uint32_t backend) {
    return (backend - 1) * config::kKeyCount / kBackends;
  }

  /// Sends the router an update that confirms the table as of `now`, with a change if one is given.
  void update_table(std::int64_t now, routing::TableDelta change = {}) {
    routing::TableUpdate update;
    update.term = common::Term(1);
    update.echo_clock_us = common::to_microseconds(at(now));
    update.as_of_clock_us = update.echo_clock_us;
    update.base_index = common::LogIndex(index_);
    change.from = common::LogIndex(index_);
    if (!change.empty()) {
      change.to = common::LogIndex(++index_);
      update.deltas = {change};
    }
    update.current_index = common::LogIndex(index_);
    update.peers = peers;
    update.peers_are_listed = true;
    core.on_table_update(at(now), update, "leader");
    collect();
  }
  void mark_leaving(std::int64_t now, std::uint64_t id) {
    routing::TableDelta change;
    change.backends = {backend(id)};
    change.backends.front().draining = true;
    update_table(now, change);
  }

  RequestHandle send_request(std::int64_t now, std::size_t body_bytes = 0,
                             std::optional<std::uint32_t> key = std::nullopt,
                             std::uint32_t timeout_ms = 5000) {
    CallerRequest caller;
    caller.handle = ++last_handle_;
    caller.method = "POST";
    caller.timeout_ms = timeout_ms;
    caller.body_bytes = body_bytes;
    caller.route = RouteCall{kHost, "/x", keyed_ ? std::optional(key.value_or(0)) : std::nullopt};
    core.on_request(at(now), caller);
    collect();
    return caller.handle;
  }
  static std::uint32_t random_key(common::RandomEngine& random) {
    return static_cast<std::uint32_t>(common::uniform(random, 0, config::kKeyCount - 1));
  }
  /// Returns one of the forwards so far, of which there is at least one.
  const Forward& random_forward(common::RandomEngine& random) const {
    return forwards[common::uniform(random, 0, forwards.size() - 1)];
  }
  /// Ticks the core whenever it is due, until `now`.
  void run_until(std::int64_t now) {
    for (TimePoint due = core.next_due(); due <= at(now); due = core.next_due()) {
      now_ = std::max(now_, due);
      core.tick(now_);
      collect();
    }
    now_ = at(now);
  }
  void end_attempt(std::int64_t now, AttemptId attempt, const AttemptResult& result) {
    core.on_attempt_done(at(now), attempt, result);
    collect();
  }
  void collect() {
    for (RouterOutput output = core.take_output(); !output.empty(); output = core.take_output()) {
      forwards.insert(forwards.end(), output.forwards.begin(), output.forwards.end());
      answers.insert(answers.end(), output.answers.begin(), output.answers.end());
      cancels.insert(cancels.end(), output.cancels.begin(), output.cancels.end());
      ended.insert(ended.end(), output.ended.begin(), output.ended.end());
      probes.insert(probes.end(), output.reachability_probes.begin(),
                    output.reachability_probes.end());
      path_probes.insert(path_probes.end(), output.path_probes.begin(), output.path_probes.end());
      if (output.hello.has_value()) {
        hellos.push_back(*output.hello);
      }
    }
  }
  /// Returns the answer to the request; nothing while there is none.
  std::optional<Answer> answer_to(RequestHandle handle) const {
    const auto found = std::find_if(answers.begin(), answers.end(), [handle](const Answer& answer) {
      return answer.handle == handle;
    });
    return found == answers.end() ? std::nullopt : std::optional(*found);
  }

  RouterCore core;
  std::vector<Forward> forwards;
  std::vector<Answer> answers;
  std::vector<AttemptId> cancels;
  std::vector<AttemptId> ended;
  std::vector<routing::RouterHello> hellos;
  std::vector<ReachabilityProbe> probes;
  std::vector<routing::PathProbe> path_probes;
  std::vector<routing::RelayPeer> peers;  ///< of all further updates

 private:
  bool keyed_;
  std::uint64_t index_ = 0;
  RequestHandle last_handle_ = 0;
  TimePoint now_ = at(0);
};

}  // namespace planktray::router

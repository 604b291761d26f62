/// Back ends that state in their answers a limit of requests per second from all routers together.
///
/// Guards against routers that ignore the limit: two of fourteen owners of keys stated 4.8 and 1
/// per second and received 63 and 17 requests in 4 s, where 34 and 11 were allowed, as many
/// as without a limit.

#include <doctest/doctest.h>

#include <algorithm>
#include <deque>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "platform/names.hpp"
#include "platform/request_dialect.hpp"
#include "router/core/router_core.hpp"

namespace planktray::platform {
namespace {

using common::BackendId;
using common::Duration;
using common::TimePoint;
using router::RouterCore;
using std::chrono::milliseconds;

constexpr std::uint64_t kBackends = 6;
constexpr std::uint32_t kKeysEach = config::kKeyCount / kBackends;
constexpr Duration kWork = milliseconds(60);
/// Time after the first stated limit from which on all routers together have to keep it.
constexpr Duration kPropagationTime = milliseconds(3000);
/// Window in which the limit is checked.
constexpr Duration kWindow = milliseconds(4000);
/// A router's requests count from this time on after its first answer with a limit.
constexpr Duration kReactionTime = milliseconds(500);
constexpr const char* kLimitHeader = "X-Planktray-Server-Limit";

TimePoint at(std::int64_t milliseconds_since_start) {
  constexpr std::int64_t kStart = 1'000'000;
  return common::from_microseconds((kStart + milliseconds_since_start) * 1000);
}

/// Many routers and a service of a few back ends. The first back end states a limit from 1 s on.
class LimitedService {
 public:
  LimitedService(std::size_t routers, std::string limit, bool keyed, std::uint64_t seed)
      : limit_(std::move(limit)), keyed_(keyed), random_(seed) {
    for (std::size_t i = 0; i < routers; ++i) {
      router::RouterOptions options;
      options.name = common::RouterName("r" + std::to_string(i));
      nodes_.push_back(
          {std::make_unique<RouterCore>(options, common::RandomEngine(seed + 100 + i), at(0)),
           std::nullopt,
           {}});
    }
  }

  /// Returns the maximum number of requests in 4 s that the back end received from routers to which
  /// it had stated its limit.
  std::size_t run(double requests_per_second, std::int64_t length_ms) {
    for (std::int64_t time = 0; time < length_ms; ++time) {
      now_ = at(time);
      if (time % 250 == 0) {
        send_tables();
      }
      answer_due();
      if (common::chance(random_, requests_per_second / 1000)) {
        ask(nodes_[common::uniform(random_, 0, nodes_.size() - 1)]);
      }
      for (Node& node : nodes_) {
        node.core->tick(now_);
        execute(node);
      }
    }
    return maximum_;
  }
  std::size_t arrived() const { return arrived_; }

 private:
  struct Node {
    std::unique_ptr<RouterCore> core;
    std::optional<TimePoint> limit_received;  ///< time of its first answer with a limit
    std::vector<router::Forward> sent;
  };
  struct Running {
    Node* node;
    router::Forward forward;
  };

  routing::TableDelta table() const {
    routing::TableDelta table;
    table.is_snapshot = true;
    table.to = common::LogIndex(5);
    config::RoutedService service;
    service.name = common::ServiceName("tracking");
    service.keyed = keyed_;
    table.routed_services.push_back({common::ServiceId(1), service});
    for (std::uint64_t id = 1; id <= kBackends; ++id) {
      routing::BackendRoute backend;
      backend.id = BackendId(id);
      backend.address = std::to_string(id);
      backend.incarnation = common::Incarnation("i-" + std::to_string(id));
      backend.pool = common::PoolName(service.name.value);
      backend.slots = 4;
      backend.self_registered = true;
      table.backends.push_back(backend);
      const auto first = static_cast<std::uint32_t>((id - 1) * kKeysEach);
      table.ranges.push_back({common::ServiceId(1), first, first + kKeysEach - 1, BackendId(id)});
    }
    config::Route route;
    route.name = "r";
    route.host = "tracking.example";
    route.path_prefix = "/";
    route.kind.repeatable = true;
    route.timeout_ms = 1200;
    route.objective_ms = 200;
    route.maximum_attempts = 2;
    route.parts.push_back({service.name, 1.0});
    table.routes.push_back(route);
    table.routes_version = 1;
    return table;
  }

  void send_tables() {
    for (std::size_t i = 0; i < nodes_.size(); ++i) {
      routing::TableUpdate update;
      update.term = common::Term(1);
      update.echo_clock_us = common::to_microseconds(now_);
      update.current_index = common::LogIndex(5);
      update.router_rank = static_cast<std::uint32_t>(i);
      update.router_count = static_cast<std::uint32_t>(nodes_.size());
      update.deltas = {table()};
      nodes_[i].core->on_table_update(now_, update);
    }
  }

  void ask(Node& node) {
    router::CallerRequest request;
    request.handle = ++last_request_;
    request.method = "GET";
    request.timeout_ms = 1200;
    request.route = router::RouteCall{"tracking.example", "/x", std::nullopt};
    if (keyed_) {
      request.route->key =
          static_cast<std::uint32_t>(common::uniform(random_, 0, kBackends * kKeysEach - 1));
    }
    node.core->on_request(now_, request);
    execute(node);
  }

  void execute(Node& node) {
    for (const router::Forward& forward : node.core->take_output().forwards) {
      if (forward.address == "1") {
        count_arrival(node);
      }
      running_.emplace(now_ + kWork, Running{&node, forward});
    }
  }

  void count_arrival(const Node& node) {
    const bool counts = first_stated_.has_value() && now_ >= *first_stated_ + kPropagationTime &&
                        node.limit_received.has_value() &&
                        now_ >= *node.limit_received + kReactionTime;
    if (!counts) {
      return;
    }
    ++arrived_;
    window_.push_back(now_);
    while (window_.front() <= now_ - kWindow) {
      window_.pop_front();
    }
    maximum_ = std::max(maximum_, window_.size());
  }

  void answer_due() {
    while (!running_.empty() && running_.begin()->first <= now_) {
      const Running done = running_.begin()->second;
      running_.erase(running_.begin());
      transport::HttpResponse response;
      response.status = 200;
      response.was_sent = true;
      response.headers = {{kSealHeader, "seal"}};
      if (done.forward.address == "1" && now_ >= at(1000)) {
        response.headers.emplace_back(kLimitHeader, limit_);
        first_stated_ = first_stated_.value_or(now_);
        done.node->limit_received = done.node->limit_received.value_or(now_);
      }
      const router::AttemptResult result =
          PlatformDialect().classify({}, done.forward.incarnation, response);
      done.node->core->on_attempt_done(now_, done.forward.attempt, result);
      execute(*done.node);
    }
  }

  std::string limit_;
  bool keyed_;
  common::RandomEngine random_;
  TimePoint now_;
  std::vector<Node> nodes_;
  std::multimap<TimePoint, Running> running_;
  std::optional<TimePoint> first_stated_;
  std::deque<TimePoint> window_;
  std::size_t maximum_ = 0;
  std::size_t arrived_ = 0;
  router::RequestHandle last_request_ = 0;
};

/// 1.5 times the requests that the limit allows in 4 s, plus 5.
std::size_t allowed(double limit) { return static_cast<std::size_t>(1.5 * limit * 4 + 5); }

struct Limit {
  const char* text;  ///< in the form of the back end
  double per_second;
};

TEST_CASE("a back end that states a limit receives at most this from all routers together") {
  for (const std::size_t routers : {std::size_t(4), std::size_t(11), std::size_t(78)}) {
    for (const bool keyed : {true, false}) {
      for (const Limit& limit : {Limit{"4.8", 4.8}, Limit{"1", 1.0}}) {
        CAPTURE(routers);
        CAPTURE(keyed);
        CAPTURE(limit.text);
        LimitedService service(routers, limit.text, keyed, 1);
        CHECK(service.run(120, 15'000) <= allowed(limit.per_second));
      }
    }
  }
}

}  // namespace
}  // namespace planktray::platform

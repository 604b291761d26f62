/// Back ends that name in their answers how many requests a second they take from all routers.
///
/// Seen: two of fourteen owners of keys named 4.8 and 1 a second, and got 63 and 17 requests in the
/// 4 s in which 34 and 11 were allowed, as many as before they had named anything.

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
/// From when on, and over which time, all routers together keep to the limit.
constexpr Duration kContact = milliseconds(3000);
constexpr Duration kWindow = milliseconds(4000);
/// A router counts from this time after it has passed on such an answer.
constexpr Duration kTold = milliseconds(500);
constexpr const char* kLimitHeader = "X-Planktray-Server-Limit";

TimePoint at(std::int64_t milliseconds_since_start) {
  constexpr std::int64_t kStart = 1'000'000;
  return common::from_microseconds((kStart + milliseconds_since_start) * 1000);
}

/// Many routers before a service of a few back ends, of which the first names a limit from 1 s on.
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

  /// Most requests that the back end got in 4 s from routers that it had told.
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
        carry_out(node);
      }
    }
    return most_;
  }
  std::size_t arrived() const { return arrived_; }

 private:
  struct Node {
    std::unique_ptr<RouterCore> core;
    std::optional<TimePoint> told;  ///< when it first passed such an answer on
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
    carry_out(node);
  }

  void carry_out(Node& node) {
    for (const router::Forward& forward : node.core->take_output().forwards) {
      if (forward.address == "1") {
        count_arrival(node);
      }
      running_.emplace(now_ + kWork, Running{&node, forward});
    }
  }

  void count_arrival(const Node& node) {
    const bool counts = named_.has_value() && now_ >= *named_ + kContact && node.told.has_value() &&
                        now_ >= *node.told + kTold;
    if (!counts) {
      return;
    }
    ++arrived_;
    window_.push_back(now_);
    while (window_.front() <= now_ - kWindow) {
      window_.pop_front();
    }
    most_ = std::max(most_, window_.size());
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
        named_ = named_.value_or(now_);
        done.node->told = done.node->told.value_or(now_);
      }
      const router::AttemptResult result =
          PlatformDialect().classify({}, done.forward.incarnation, response);
      done.node->core->on_attempt_done(now_, done.forward.attempt, result);
      carry_out(*done.node);
    }
  }

  std::string limit_;
  bool keyed_;
  common::RandomEngine random_;
  TimePoint now_;
  std::vector<Node> nodes_;
  std::multimap<TimePoint, Running> running_;
  std::optional<TimePoint> named_;
  std::deque<TimePoint> window_;
  std::size_t most_ = 0;
  std::size_t arrived_ = 0;
  router::RequestHandle last_request_ = 0;
};

/// One and a half times what the limit allows in 4 s, and 5.
std::size_t allowed(double limit) { return static_cast<std::size_t>(1.5 * limit * 4 + 5); }

struct Limit {
  const char* text;  ///< as the back end writes it
  double per_second;
};

TEST_CASE("a back end that names a limit gets no more than it allows from all routers together") {
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

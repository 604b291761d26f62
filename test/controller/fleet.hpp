#pragma once
/// Controllers and a large fleet of routers, connected by links with latency and simulated in steps
/// of one millisecond. For tests of time bounds that all of them together must keep.

#include <doctest/doctest.h>

#include <algorithm>
#include <array>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "controller/core/controller_core.hpp"
#include "router/core/router_core.hpp"

namespace planktray::controller::testing {

using std::chrono::milliseconds;

inline constexpr std::size_t kReplicas = 3;
inline constexpr std::size_t kRouters = 281;
inline constexpr auto kLinkDelay = milliseconds(1);
/// The shortest promised time until a change is in force, or until a leaving back end gets no more
/// requests.
inline constexpr auto kPromise = milliseconds(2000);

inline TimePoint at(std::int64_t value) { return common::from_microseconds(value * 1000); }

class Fleet {
 public:
  explicit Fleet(std::size_t routers = kRouters) {
    consensus::Membership members;
    for (std::size_t i = 0; i < kReplicas; ++i) {
      const std::string name = address_of(i);
      members.members.push_back({common::ReplicaId(i + 1), name, name, name, true});
    }
    for (std::size_t i = 0; i < kReplicas; ++i) {
      ControllerOptions options;
      options.name = address_of(i);
      options.distributor.table_lease = milliseconds(5000);
      controllers_.push_back(std::make_unique<ControllerCore>(options, common::ReplicaId(i + 1),
                                                              consensus::DurableState(),
                                                              common::RandomEngine(i + 1), now_));
      REQUIRE(controllers_[i]->create_cell(now_, members).has_value());
    }
    for (std::size_t i = 0; i < routers; ++i) {
      router::RouterOptions options;
      options.name = common::RouterName("r" + std::to_string(i));
      options.hello_interval = milliseconds(250);
      options.table_lease = milliseconds(5000);
      routers_.push_back(
          std::make_unique<router::RouterCore>(options, common::RandomEngine(100 + i), now_));
      routers_[i]->set_seeds({address_of(0), address_of(1), address_of(2)});
    }
  }

  void run_for(milliseconds length) {
    for (const TimePoint end = now_ + length; now_ < end; now_ += milliseconds(1)) {
      deliver();
      for (std::size_t i = 0; i < kReplicas; ++i) {
        controllers_[i]->tick(now_);
        carry_out(i);
      }
      for (std::size_t i = 0; i < routers_.size(); ++i) {
        if (now_ >= start_of(i) && now_ >= routers_[i]->next_due()) {
          routers_[i]->tick(now_);
        }
        send_hello(i);
      }
    }
  }
  /// @return the controller that is serving as the leader, or nullopt.
  std::optional<std::size_t> leader() const {
    for (std::size_t i = 0; i < kReplicas; ++i) {
      if (i != cut_ && controllers_[i]->is_serving(now_)) {
        return i;
      }
    }
    return std::nullopt;
  }
  /// Drops all announcements of new leaders.
  void lose_announcements() { delivers_announcements_ = false; }
  /// Drops all messages from and to the controller from now on.
  void cut(std::size_t controller) { cut_ = controller; }
  /// Delays messages between this controller and the routers by `delay` in each direction from now
  /// on; those between controllers keep the usual latency.
  void delay_routers_of(std::size_t controller, Duration delay) {
    late_ = controller;
    late_delay_ = delay;
  }
  /// @return the number of table updates that the controller has sent so far.
  std::size_t tables_sent(std::size_t controller) const { return tables_sent_[controller]; }
  /// Submits a change of the routes to the leader.
  void change_routes(config::RouteChange change) {
    ControllerCore& core = *controllers_[leader().value()];
    core.change_routes(now_, core.new_request(), std::move(change));
  }
  std::uint64_t routes_version() const {
    return controllers_[leader().value()]->state().routes().version;
  }
  /// What all routers do with a request.
  struct Answers {
    std::size_t forwarded = 0;
    std::size_t refused = 0;          ///< not run, may be retried
    std::size_t final = 0;            ///< not run, must not be retried
    std::set<std::string> instances;  ///< that the request was forwarded to
  };
  /// Sends one request for this host and path to each router.
  Answers ask_all(const std::string& host, const std::string& path) {
    Answers answers;
    for (auto& router : routers_) {
      (void)router->take_output();
      router::CallerRequest request;
      request.handle = next_handle_++;
      request.method = "GET";
      request.timeout_ms = 1000;
      request.route = router::RouteCall{host, path, std::nullopt};
      router->on_request(now_, request);
      const router::RouterOutput output = router->take_output();
      for (const router::Forward& forward : output.forwards) {
        ++answers.forwarded;
        answers.instances.insert(forward.incarnation.value);
        router->on_caller_disconnected(now_, forward.handle);
      }
      for (const router::Answer& answer : output.answers) {
        ++(answer.can_never_run ? answers.final : answers.refused);
      }
    }
    return answers;
  }
  /// Sends the leader a heartbeat of a back end. @param draining the back end is leaving.
  void heartbeat(const std::string& name, std::uint64_t sequence, bool draining) {
    Heartbeat heartbeat;
    heartbeat.incarnation = common::Incarnation(name);
    heartbeat.address = name + ":80";  // unique: an address belongs to one incarnation at a time
    heartbeat.service = "s";
    heartbeat.sequence = sequence;
    heartbeat.draining = draining;
    ControllerCore& core = *controllers_[leader().value()];
    core.heartbeat(now_, core.new_request(), heartbeat);
  }
  /// True if the leader has committed that the back end is leaving.
  bool has_committed_leaving(const std::string& name) const {
    const auto* record =
        controllers_[leader().value()]->state().find_incarnation(common::Incarnation(name));
    return record != nullptr && record->leaving;
  }
  /// The number of routers whose table contains the back end with this leaving state.
  std::size_t routers_with_backend(const std::string& name, bool leaving) const {
    const auto has_backend = [&](const auto& router) {
      const auto& backends = router->table().backends();
      return std::any_of(backends.begin(), backends.end(), [&](const auto& item) {
        return item.second.incarnation.value == name && item.second.draining == leaving;
      });
    };
    return static_cast<std::size_t>(std::count_if(routers_.begin(), routers_.end(), has_backend));
  }

 private:
  /// Routers start one after the other, so that their hellos are spread over time.
  static TimePoint start_of(std::size_t router) {
    return at(1500) + milliseconds(8) * static_cast<std::int64_t>(router);
  }
  static std::string address_of(std::size_t controller) { return "c" + std::to_string(controller); }
  void send(std::size_t controller, std::function<void()> receive, Duration delay = kLinkDelay) {
    if (controller != cut_) {
      messages_.emplace(now_ + delay, std::move(receive));
    }
  }
  /// Latency between a controller and the routers, in each direction.
  Duration router_latency(std::size_t controller) const {
    return controller == late_ ? late_delay_ : Duration(kLinkDelay);
  }
  void deliver() {
    while (!messages_.empty() && messages_.begin()->first <= now_) {
      const std::function<void()> receive = std::move(messages_.begin()->second);
      messages_.erase(messages_.begin());
      receive();
    }
  }
  void carry_out(std::size_t from) {
    ControllerOutput output = controllers_[from]->take_output();
    for (const consensus::PersistRequest& request : output.persist) {
      controllers_[from]->on_persisted(now_, request.sequence);
    }
    for (const consensus::RaftMessage& message : output.peer_messages) {
      const std::size_t to = message.to.value - 1;
      if (from != cut_) {
        send(to, [this, to, message] { controllers_[to]->on_peer_message(now_, message); });
      }
    }
    if (output.heartbeat_report.has_value() && from != cut_ && leader().has_value()) {
      const std::size_t to = *leader();
      send(to, [this, to, report = *output.heartbeat_report] {
        controllers_[to]->on_heartbeat_report(now_, report);
      });
    }
    tables_sent_[from] += output.tables.size();
    for (const OutgoingTable& table : output.tables) {
      const std::size_t router = index_of(table.router);
      send(
          from,
          [this, router, from, update = table.update] {
            routers_[router]->on_table_update(now_, update, address_of(from));
          },
          router_latency(from));
    }
    if (output.announcement.has_value() && delivers_announcements_) {
      for (std::size_t router = 0; router < routers_.size(); ++router) {
        send(
            from,
            [this, router, list = *output.announcement] {
              routers_[router]->on_controller_list(now_, list);
            },
            router_latency(from));
      }
    }
    for (const OutgoingControllers& controllers : output.controllers) {
      const std::size_t router = index_of(controllers.router);
      send(
          from,
          [this, router, list = controllers.list] {
            routers_[router]->on_controller_list(now_, list);
          },
          router_latency(from));
    }
  }
  void send_hello(std::size_t from) {
    const router::RouterOutput output = routers_[from]->take_output();
    if (!output.hello.has_value()) {
      return;
    }
    for (std::size_t to = 0; to < kReplicas; ++to) {
      const bool is_addressed =
          output.hello_to_all || std::find(output.hello_to.begin(), output.hello_to.end(),
                                           address_of(to)) != output.hello_to.end();
      if (is_addressed) {
        send(
            to,
            [this, to, hello = *output.hello] { controllers_[to]->on_router_hello(now_, hello); },
            router_latency(to));
      }
    }
  }
  static std::size_t index_of(const common::RouterName& name) {
    return static_cast<std::size_t>(std::stoul(name.value.substr(1)));
  }

  TimePoint now_ = at(1000);
  router::RequestHandle next_handle_ = 1;
  bool delivers_announcements_ = true;
  std::optional<std::size_t> cut_;
  std::array<std::size_t, kReplicas> tables_sent_{};
  std::vector<std::unique_ptr<ControllerCore>> controllers_;
  std::vector<std::unique_ptr<router::RouterCore>> routers_;
  std::optional<std::size_t> late_;
  Duration late_delay_{0};
  std::multimap<TimePoint, std::function<void()>> messages_;  ///< by arrival time
};

}  // namespace planktray::controller::testing

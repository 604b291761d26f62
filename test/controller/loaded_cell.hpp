#pragma once
/// Three controllers of which the leader has a processor: each input and each table that it sends
/// takes time, and what arrives meanwhile waits in the order of arrival. Holders of keys give a
/// heartbeat up after one second and come again on a new connection; routers say hello and take
/// tables. Simulated in steps of one millisecond.

#include <doctest/doctest.h>

#include <algorithm>
#include <array>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "controller/core/controller_core.hpp"

namespace planktray::controller::testing {

using std::chrono::microseconds;
using std::chrono::milliseconds;

inline TimePoint at_ms(std::int64_t value) { return common::from_microseconds(value * 1000); }

/// Processor time of the leader, of a controller with 0.15 of a core.
struct LeaderCosts {
  Duration heartbeat = microseconds(1000);  ///< on an open connection
  Duration connection = microseconds(1000);
  Duration hello = microseconds(450);
  Duration table = microseconds(170);
  Duration peer_message = microseconds(150);
  Duration change = microseconds(1000);
  Duration relayed_heartbeat = microseconds(60);  ///< in a message of a follower
};

struct LoadedCellOptions {
  std::size_t holders = 459;
  std::size_t routers = 252;
  /// Time between two changes of the route configuration.
  Duration change_interval = milliseconds(110);
  LeaderCosts costs;
};

class LoadedCell {
 public:
  static constexpr std::size_t kReplicas = 5;
  static constexpr Duration kHeartbeatInterval = milliseconds(870);
  static constexpr Duration kPatience = milliseconds(1000);
  static constexpr Duration kSampleInterval = milliseconds(250);

  explicit LoadedCell(const LoadedCellOptions& options) : options_(options) {
    start_controllers();
    run_for(milliseconds(1500));
    REQUIRE(leader().has_value());
    change_routes();
    holders_.resize(options_.holders);
    for (std::size_t i = 0; i < holders_.size(); ++i) {
      holders_[i].next_send = now_ + microseconds(1900 * i);
      holders_[i].replica = i % kReplicas;
    }
    routers_.resize(options_.routers);
    for (std::size_t i = 0; i < routers_.size(); ++i) {
      routers_[i].next_hello = now_ + milliseconds(4 * i);
    }
  }

  void run_for(Duration length) {
    for (const TimePoint end = now_ + length; now_ < end; now_ += milliseconds(1)) {
      send_holders();
      send_routers();
      if (now_ >= next_change_ && !routers_.empty()) {
        next_change_ = now_ + options_.change_interval;
        change_routes();
      }
      for (std::size_t i = 0; i < kReplicas; ++i) {
        work(i);
      }
    }
  }
  /// The controller that is serving as the leader, nullopt if there is none.
  std::optional<std::size_t> leader() const {
    for (std::size_t i = 0; i < kReplicas; ++i) {
      if (i != cut_ && replicas_[i]->is_serving(now_)) {
        return i;
      }
    }
    return std::nullopt;
  }
  /// Drops all messages from and to the controller from now on.
  void cut(std::size_t replica) {
    cut_ = replica;
    inputs_[replica].clear();
  }
  /// Begins to change the route configuration again and again.
  void change_often() { next_change_ = now_; }
  /// Holders whose grants are valid.
  std::size_t holding() const {
    return static_cast<std::size_t>(
        std::count_if(holders_.begin(), holders_.end(),
                      [&](const Holder& holder) { return holder.held_until > now_; }));
  }
  /// Heartbeats answered with grants in time, of all holders so far.
  std::uint64_t renewals() const { return renewals_; }

 private:
  struct Holder {
    std::size_t replica = 0;
    bool connected = false;
    bool waits = false;
    std::uint64_t sequence = 0;
    TimePoint sent;
    TimePoint next_send;
    TimePoint held_until;
    std::vector<ownership::HeldKeys> held;
  };
  struct Router {
    TimePoint next_hello;
    TimePoint next_poll = TimePoint::max();
    Duration hello_interval = milliseconds(250);
    Duration poll_interval{0};
    common::LogIndex table;
    bool lacks_update = false;
  };
  struct Input {
    Duration cost;
    std::function<void(ControllerCore&)> run;
  };
  /// A holder's heartbeat at a controller.
  struct Call {
    std::size_t holder = 0;
    std::uint64_t sequence = 0;
  };

  void start_controllers() {
    consensus::Membership members;
    for (std::size_t i = 0; i < kReplicas; ++i) {
      const std::string name = "c" + std::to_string(i);
      members.members.push_back({common::ReplicaId(i + 1), name, name, name, true});
    }
    for (std::size_t i = 0; i < kReplicas; ++i) {
      ControllerOptions options;
      options.name = options.peer_address = options.operator_address = members.members[i].name;
      options.distributor.table_lease = milliseconds(5000);
      options.raft.minimum_election_timeout = milliseconds(300);
      options.raft.maximum_election_timeout = milliseconds(500);
      replicas_[i] = std::make_unique<ControllerCore>(options, common::ReplicaId(i + 1),
                                                      consensus::DurableState(),
                                                      common::RandomEngine(i + 1), now_);
      REQUIRE(replicas_[i]->create_cell(now_, members).has_value());
    }
  }
  void submit(std::size_t replica, Duration cost, std::function<void(ControllerCore&)> run) {
    if (replica != cut_) {
      inputs_[replica].push_back({cost, std::move(run)});
    }
  }
  void submit_urgent(std::size_t replica, Duration cost, std::function<void(ControllerCore&)> run) {
    if (replica != cut_) {
      inputs_[replica].push_front({cost, std::move(run)});
    }
  }

  /// Lets a controller do what it has time for in this millisecond.
  void work(std::size_t replica) {
    ControllerCore& core = *replicas_[replica];
    if (replica == cut_) {
      (void)core.take_output();
      return;
    }
    TimePoint& busy_until = busy_until_[replica];
    const TimePoint end = now_ + milliseconds(1);
    idle_[replica] += std::max(Duration(0), now_ - busy_until);
    busy_until = std::max(busy_until, now_);
    if (now_ - sampled_at_[replica] >= kSampleInterval) {
      const Duration length = now_ - std::exchange(sampled_at_[replica], now_);
      const Duration idle = std::exchange(idle_[replica], Duration(0));
      core.on_idle_share(static_cast<double>(idle.count()) / static_cast<double>(length.count()));
    }
    if (busy_until >= end) {
      return;
    }
    core.tick(now_);
    busy_until += carry_out(replica);
    while (busy_until < end && !inputs_[replica].empty()) {
      const Input input = std::move(inputs_[replica].front());
      inputs_[replica].pop_front();
      const bool is_leader = core.raft().is_leader();
      input.run(core);
      const Duration output_cost = carry_out(replica);
      busy_until += is_leader ? input.cost + output_cost : Duration(0);
    }
  }
  /// @return the processor time that the output took.
  Duration carry_out(std::size_t from) {
    Duration cost{0};
    ControllerCore& core = *replicas_[from];
    for (ControllerOutput output = core.take_output(); !output.empty();
         output = core.take_output()) {
      for (const consensus::PersistRequest& request : output.persist) {
        core.on_persisted(now_, request.sequence);
      }
      for (const consensus::RaftMessage& message : output.peer_messages) {
        submit_urgent(message.to.value - 1, microseconds(30),
                      [this, message](ControllerCore& to) { to.on_peer_message(now_, message); });
      }
      if (output.heartbeat_report.has_value() && leader().has_value()) {
        submit(*leader(), options_.costs.peer_message,
               [this, report = *output.heartbeat_report](ControllerCore& to) {
                 to.on_heartbeat_report(now_, report);
               });
      }
      if (output.holder_heartbeats.has_value()) {
        const ownership::HolderHeartbeats& message = *output.holder_heartbeats;
        const auto count = static_cast<std::int64_t>(message.heartbeats.size());
        submit(core.raft().leader().value - 1,
               options_.costs.peer_message + options_.costs.relayed_heartbeat * count,
               [this, message](ControllerCore& to) { to.on_holder_heartbeats(now_, message); });
      }
      for (const OutgoingAnswers& answers : output.relayed_answers) {
        cost += options_.costs.peer_message;
        submit(answers.to.value - 1, options_.costs.peer_message,
               [this, message = answers.message](ControllerCore& to) {
                 to.on_relayed_answers(now_, message);
               });
      }
      for (const OutgoingTable& table : output.tables) {
        cost += core.raft().is_leader() ? options_.costs.table : Duration(0);
        take_table(std::stoul(table.router.value), table.update);
      }
      for (const Completion& completion : output.completions) {
        complete(from, completion);
      }
    }
    return cost;
  }

  // ------------------------------------------------------------ holders

  void send_holders() {
    for (std::size_t i = 0; i < holders_.size(); ++i) {
      Holder& holder = holders_[i];
      if (holder.waits && now_ - holder.sent >= kPatience) {
        holder.waits = false;
        holder.connected = false;
        holder.replica = (holder.replica + 1 + holder.sequence % (kReplicas - 1)) % kReplicas;
        holder.next_send = now_;
      }
      if (!holder.waits && now_ >= holder.next_send) {
        ++holder.sequence;
        holder.sent = now_;
        holder.waits = true;
        call(i);
      }
    }
  }
  void call(std::size_t index) {
    Holder& holder = holders_[index];
    Heartbeat heartbeat;
    heartbeat.incarnation = incarnation_of(index);
    heartbeat.address = "10.0.0.1:" + std::to_string(index + 1);
    heartbeat.service = "keyed";
    heartbeat.sequence = holder.sequence;
    heartbeat.slots = 3;
    heartbeat.holdings.emplace();
    if (holder.held_until > now_) {
      heartbeat.holdings->held = holder.held;
    }
    const Duration cost =
        options_.costs.heartbeat + (holder.connected ? Duration(0) : options_.costs.connection);
    holder.connected = true;
    submit(holder.replica, cost,
           [this, heartbeat, replica = holder.replica,
            call = Call{index, holder.sequence}](ControllerCore& core) {
             const OperatorRequestId request = core.new_request();
             calls_[{replica, request}] = call;
             core.heartbeat(now_, request, heartbeat);
           });
  }
  void complete(std::size_t replica, const Completion& completion) {
    const OperatorRequestId request =
        std::visit([](const auto& alternative) { return alternative.request; }, completion);
    const auto found = calls_.find({replica, request});
    if (found == calls_.end()) {
      return;
    }
    const Call call = found->second;
    calls_.erase(found);
    Holder& holder = holders_[call.holder];
    if (!holder.waits || holder.sequence != call.sequence) {
      return;  // the holder has given this heartbeat up
    }
    if (const auto* holdings = std::get_if<HoldingsCompleted>(&completion)) {
      ++renewals_;
      holder.waits = false;
      holder.next_send = std::max(now_, holder.sent + kHeartbeatInterval);
      holder.held_until = holder.sent + holdings->holdings.hold_time;
      holder.held.clear();
      for (const ownership::GrantedKeys& keys : holdings->holdings.ranges) {
        holder.held.push_back({keys.keys, keys.fence});
      }
      move_to(call.holder, replica);
      return;
    }
    const auto* command = std::get_if<CommandCompleted>(&completion);
    if (command != nullptr && !command->index.has_value()) {
      follow(call.holder, command->index.error());
    }
  }
  /// Takes the address for the next heartbeat that the answer names.
  void move_to(std::size_t index, std::size_t answered_by) {
    Holder& holder = holders_[index];
    const auto next = replicas_[answered_by]->heartbeat_address(now_, incarnation_of(index));
    const std::size_t replica =
        next.has_value() ? static_cast<std::size_t>(next->back() - '0') : answered_by;
    holder.connected = holder.connected && holder.replica == replica;
    holder.replica = replica;
  }
  static common::Incarnation incarnation_of(std::size_t holder) {
    return common::Incarnation("h" + std::to_string(holder));
  }
  /// Follows a redirect to the leader, or tries the next controller after a failure.
  void follow(std::size_t index, const common::Error& error) {
    Holder& holder = holders_[index];
    holder.connected = false;
    if (error.peer.size() == 2 && error.peer.front() == 'c') {
      holder.replica = static_cast<std::size_t>(error.peer.back() - '0');
      return call(index);
    }
    holder.waits = false;
    holder.replica = (holder.replica + 1) % kReplicas;
    holder.next_send = now_ + milliseconds(20);
  }

  // ------------------------------------------------------------ routers

  void send_routers() {
    for (std::size_t i = 0; i < routers_.size(); ++i) {
      Router& router = routers_[i];
      if (now_ >= router.next_hello) {
        router.next_hello = now_ + router.hello_interval;
        hello(i, leader().value_or(kReplicas), options_.costs.hello);
      }
      if (now_ >= router.next_poll) {
        router.next_poll = now_ + router.poll_interval;
        const std::size_t follower = (leader().value_or(0) + 1 + i % (kReplicas - 1)) % kReplicas;
        hello(i, follower, options_.costs.hello);
      }
    }
  }
  void hello(std::size_t index, std::size_t replica, Duration cost) {
    if (replica >= kReplicas) {
      return;
    }
    Router& router = routers_[index];
    routing::RouterHello hello;
    hello.router = common::RouterName(std::to_string(index));
    hello.clock_us = common::to_microseconds(now_);
    hello.table_index = router.table;
    hello.lacks_update = router.lacks_update;
    hello.serving = true;
    hello.polls_followers = router.poll_interval.count() > 0;
    submit(replica, cost,
           [this, hello](ControllerCore& core) { core.on_router_hello(now_, hello); });
  }
  void take_table(std::size_t index, const routing::TableUpdate& update) {
    Router& router = routers_[index];
    const bool leads_on = update.base_index <= router.table;
    router.lacks_update = !leads_on;
    if (leads_on && update.current_index > router.table) {
      router.table = update.current_index;
    }
    if (update.by_follower) {
      return;
    }
    router.hello_interval = milliseconds(update.hello_interval_ms);
    router.poll_interval = milliseconds(update.poll_interval_ms);
    if (update.poll_interval_ms == 0) {
      router.next_poll = TimePoint::max();
    } else if (router.next_poll == TimePoint::max()) {
      router.next_poll = now_ + milliseconds(index % update.poll_interval_ms);
    }
  }
  void change_routes() {
    const auto to = leader();
    if (!to.has_value()) {
      return;
    }
    submit(*to, options_.costs.change, [this](ControllerCore& core) {
      config::RouteChange change;
      change.base_version = core.state().routes().version;
      change.version = change.base_version + 1;
      change.replaces_all = true;
      config::RoutedService keyed;
      keyed.name = common::ServiceName("keyed");
      keyed.keyed = true;
      change.services.push_back(keyed);
      config::Route route;
      route.name = "route";
      route.host = "example";
      route.path_prefix = "/" + std::to_string(change.version) + "/";
      route.timeout_ms = 1000;
      route.parts.push_back({common::ServiceName("keyed"), 1.0});
      change.routes = {route};
      core.change_routes(now_, core.new_request(), std::move(change));
    });
  }

  LoadedCellOptions options_;
  TimePoint now_ = at_ms(1000);
  std::array<std::unique_ptr<ControllerCore>, kReplicas> replicas_;
  std::array<std::deque<Input>, kReplicas> inputs_;
  std::array<TimePoint, kReplicas> busy_until_{};
  std::array<Duration, kReplicas> idle_{};  ///< since the last sample
  std::array<TimePoint, kReplicas> sampled_at_{};
  std::optional<std::size_t> cut_;
  std::vector<Holder> holders_;
  std::vector<Router> routers_;
  std::map<std::pair<std::size_t, OperatorRequestId>, Call> calls_;
  TimePoint next_change_ = TimePoint::max();
  std::uint64_t renewals_ = 0;
};

}  // namespace planktray::controller::testing

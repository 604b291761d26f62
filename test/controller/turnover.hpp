#pragma once
/// Controllers and routers that come and go over the life of one cell, in steps of one millisecond.
/// Processes reach each other by address and know of each other only what their seeds and the
/// messages of the cell tell them.

#include <doctest/doctest.h>

#include <algorithm>
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
using Addresses = std::vector<std::string>;

class TurnoverCell {
 public:
  static constexpr std::size_t kVoters = 5;
  /// Longer than a silent member is kept, for each of two, and the changes of the members.
  static constexpr milliseconds kSettling{10'000};

  TurnoverCell() {
    consensus::Membership founders;
    for (std::size_t i = 0; i < kVoters; ++i) {
      const std::string address = next_address();
      founders.members.push_back({next_replica(), address, address, address, true});
    }
    for (const consensus::Member& founder : founders.members) {
      start(founder.peer_address, founder.id);
      REQUIRE(controllers_.at(founder.peer_address)->create_cell(now_, founders).has_value());
    }
    for (const consensus::Member& founder : founders.members) {
      controllers_.at(founder.peer_address)->set_seeds(running());
    }
    run_for(milliseconds(1500));
    REQUIRE(leader() != nullptr);
  }

  /// Starts a controller with an empty data folder at a new address.
  std::string add_controller(const Addresses& seeds) {
    std::string address = next_address();
    start(address, next_replica());
    controllers_.at(address)->set_seeds(seeds);
    return address;
  }
  /// Ends a controller and starts one with an empty data folder at its address.
  void lose_disk(const std::string& address, const Addresses& seeds) {
    stop(address);
    start(address, next_replica());
    controllers_.at(address)->set_seeds(seeds);
  }
  /// Replaces the two oldest controllers as an operator does: the new ones join first.
  /// @return false if they are no members within `limit`, or the cell does not settle afterwards.
  bool replace_two(const Addresses& seeds, milliseconds limit) {
    const Addresses leaving = {order_[0], order_[1]};
    const std::string first = add_controller(seeds);
    const std::string second = add_controller(seeds);
    if (!run_until([&] { return is_member(first) && is_member(second); }, limit)) {
      return false;
    }
    stop(leaving[0]);
    stop(leaving[1]);
    return run_until([&] { return is_settled(); }, kSettling);
  }
  void stop(const std::string& address) {
    std::erase(order_, address);
    controllers_.erase(address);
  }
  /// Drops all messages from and to the controller, or no longer.
  void cut(const std::string& address, bool is_cut) {
    if (is_cut) {
      cut_.insert(address);
    } else {
      cut_.erase(address);
    }
  }
  router::RouterCore& add_router(const Addresses& seeds) {
    router::RouterOptions options;
    options.name = common::RouterName("r" + std::to_string(routers_.size()));
    options.hello_interval = milliseconds(250);
    options.table_lease = milliseconds(5000);
    auto& router = routers_[options.name.value];
    router = std::make_unique<router::RouterCore>(options, common::RandomEngine(7), now_);
    router->set_seeds(seeds);
    return *router;
  }

  void run_for(milliseconds length) {
    for (const TimePoint end = now_ + length; now_ < end; now_ += milliseconds(1)) {
      deliver();
      for (const std::string& address : running()) {
        controllers_.at(address)->tick(now_);
        carry_out(address);
      }
      for (auto& [name, router] : routers_) {
        if (now_ >= router->next_due()) {
          router->tick(now_);
        }
        send_hello(name);
      }
    }
  }
  /// Runs until the condition holds. @return false if it does not within `limit`.
  bool run_until(const std::function<bool()>& condition, milliseconds limit) {
    for (const TimePoint end = now_ + limit; now_ < end && !condition();) {
      run_for(milliseconds(10));
    }
    return condition();
  }

  TimePoint now() const { return now_; }
  ControllerCore& controller(const std::string& address) { return *controllers_.at(address); }
  /// The controller that is serving as the leader, or nullptr.
  ControllerCore* leader() {
    for (auto& [address, core] : controllers_) {
      if (!cut_.contains(address) && core->is_serving(now_)) {
        return core.get();
      }
    }
    return nullptr;
  }
  /// Addresses of the running controllers, in the order of their start.
  const Addresses& running() const { return order_; }
  /// The running controllers but the leader, in the order of their start.
  Addresses followers() {
    Addresses others = order_;
    const ControllerCore* leading = leader();
    if (leading != nullptr) {
      std::erase(others, leading->options().peer_address);
    }
    return others;
  }
  /// True if the leader counts the running controller among its members, as a voter if `votes`.
  bool is_member(const std::string& address, bool votes = false) {
    ControllerCore* leading = leader();
    if (leading == nullptr) {
      return false;
    }
    const consensus::Member* member =
        leading->raft().membership().find(controllers_.at(address)->raft().self());
    return member != nullptr && (member->voter || !votes);
  }
  /// True if the running controllers, and no others, vote.
  bool is_settled() {
    ControllerCore* leading = leader();
    return leading != nullptr && leading->raft().membership().members.size() == order_.size() &&
           std::all_of(order_.begin(), order_.end(),
                       [this](const std::string& address) { return is_member(address, true); });
  }
  void change_routes(config::RouteChange change) {
    ControllerCore* leading = leader();
    REQUIRE(leading != nullptr);
    leading->change_routes(now_, leading->new_request(), std::move(change));
  }

 private:
  std::string next_address() { return "c" + std::to_string(next_address_++); }
  common::ReplicaId next_replica() { return common::ReplicaId(next_replica_++); }

  void start(const std::string& address, common::ReplicaId replica) {
    ControllerOptions options;
    options.name = address;
    options.peer_address = address;
    options.operator_address = address;
    options.admits_anyone = true;
    options.wanted_voters = kVoters;
    options.distributor.table_lease = milliseconds(5000);
    addresses_[replica] = address;
    order_.push_back(address);
    controllers_[address] = std::make_unique<ControllerCore>(
        options, replica, consensus::DurableState(), common::RandomEngine(replica.value), now_);
  }

  template <typename Receive>
  void send(const std::string& from, const std::string& to, Receive receive) {
    if (cut_.contains(from) || cut_.contains(to)) {
      return;
    }
    messages_.emplace(now_ + milliseconds(1), [this, to, receive] {
      const auto found = controllers_.find(to);
      if (found != controllers_.end()) {
        receive(*found->second);
      }
    });
  }
  void send_to_router(const std::string& from, const std::string& name,
                      std::function<void(router::RouterCore&)> receive) {
    const auto router = routers_.find(name);
    if (!cut_.contains(from) && router != routers_.end()) {
      messages_.emplace(now_ + milliseconds(1),
                        [router, receive = std::move(receive)] { receive(*router->second); });
    }
  }
  void deliver() {
    while (!messages_.empty() && messages_.begin()->first <= now_) {
      const std::function<void()> receive = std::move(messages_.begin()->second);
      messages_.erase(messages_.begin());
      receive();
    }
  }

  void carry_out(const std::string& from) {
    ControllerCore& core = *controllers_.at(from);
    ControllerOutput output = core.take_output();
    for (const consensus::PersistRequest& request : output.persist) {
      core.on_persisted(now_, request.sequence);
    }
    for (const consensus::RaftMessage& message : output.peer_messages) {
      send(from, addresses_.at(message.to), [this, message](ControllerCore& to) {
        const bool is_same_life = to.raft().self() == message.to;
        if (is_same_life) {
          to.on_peer_message(now_, message);
        }
      });
    }
    send_joins(from, output);
    for (const OutgoingTable& table : output.tables) {
      send_to_router(from, table.router.value,
                     [this, from, update = table.update](router::RouterCore& router) {
                       router.on_table_update(now_, update, from);
                     });
    }
    for (const OutgoingControllers& controllers : output.controllers) {
      send_list(from, controllers.router.value, controllers.list);
    }
    if (output.announcement.has_value()) {
      for (const auto& [name, router] : routers_) {
        send_list(from, name, *output.announcement);
      }
    }
  }
  void send_list(const std::string& from, const std::string& name,
                 const routing::ControllerList& list) {
    send_to_router(from, name, [this, list](router::RouterCore& router) {
      router.on_controller_list(now_, list);
    });
  }
  void send_joins(const std::string& from, const ControllerOutput& output) {
    const auto send_join = [&](const std::string& to, const consensus::JoinRequest& request) {
      send(from, to, [this, request](ControllerCore& core) { core.on_join(now_, request); });
    };
    if (output.join.has_value()) {
      for (const std::string& to : output.join->to) {
        send_join(to, output.join->request);
      }
    }
    for (const consensus::JoinRequest& request : output.forwarded_joins) {
      send_join(addresses_.at(controllers_.at(from)->raft().leader()), request);
    }
    for (const OutgoingMembers& members : output.member_lists) {
      send(from, addresses_.at(members.candidate),
           [list = members.list](ControllerCore& core) { core.on_controller_list(list); });
    }
  }
  void send_hello(const std::string& name) {
    router::RouterCore& router = *routers_.at(name);
    const router::RouterOutput output = router.take_output();
    if (!output.hello.has_value()) {
      return;
    }
    for (const std::string& to : output.hello_to_all ? router.controllers() : output.hello_to) {
      send("", to, [this, hello = *output.hello](ControllerCore& core) {
        core.on_router_hello(now_, hello);
      });
    }
  }

  TimePoint now_ = common::from_microseconds(1'000'000);
  std::size_t next_address_ = 0;
  std::uint64_t next_replica_ = 1;
  Addresses order_;
  std::set<std::string> cut_;
  std::map<common::ReplicaId, std::string> addresses_;  ///< also of those that have ended
  std::map<std::string, std::unique_ptr<ControllerCore>> controllers_;  ///< by address
  std::map<std::string, std::unique_ptr<router::RouterCore>> routers_;  ///< by name
  std::multimap<TimePoint, std::function<void()>> messages_;            ///< by arrival time
};

}  // namespace planktray::controller::testing

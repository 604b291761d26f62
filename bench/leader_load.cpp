#include "leader_load.hpp"

#include <algorithm>
#include <chrono>
#include <map>
#include <string>
#include <vector>

#include "controller/core/controller_core.hpp"

namespace planktray::bench {
namespace {

using common::TimePoint;
using controller::ControllerCore;
using std::chrono::milliseconds;

constexpr auto kStep = milliseconds(1);
constexpr std::uint32_t kBusyKeys = 200;
constexpr std::uint32_t kBusyKeysEvery = 7;  ///< distance between two busy keys
constexpr std::uint32_t kHeartbeatMs = 1300;
constexpr std::uint32_t kBusySeconds = 5;  ///< interval between changes of the busy keys
/// Delay until a router has installed a table that was sent to it.
constexpr auto kTableDelay = milliseconds(20);

/// A cell of one replica whose disk and back ends respond immediately.
class LeaderWorld {
 public:
  explicit LeaderWorld(const LeaderLoad& load)
      : load_(load),
        core_(options(), common::ReplicaId(1), {}, common::RandomEngine(1), now_),
        random_(2) {
    consensus::Membership members;
    members.members.push_back({common::ReplicaId(1), "one", "10.0.0.1:1", "10.0.0.1:2", true});
    (void)core_.create_cell(now_, members);
    process_output();
  }

  LeaderCost run() {
    run_for(milliseconds(1000));
    start_service();
    run_for(std::chrono::seconds(load_.seconds));
    orders_ = tables_ = ticks_ = bytes_ = 0;
    const auto entries = core_.counters().entries_applied;
    spent_ = {};
    run_for(std::chrono::seconds(load_.seconds));
    LeaderCost cost;
    const double seconds = load_.seconds;
    cost.core_share = std::chrono::duration<double>(spent_).count() / seconds;
    cost.orders = static_cast<double>(orders_) / seconds;
    cost.ticks = static_cast<double>(ticks_) / seconds;
    cost.table_bytes = static_cast<double>(bytes_) / seconds;
    cost.tables = static_cast<double>(tables_) / seconds;
    cost.entries = static_cast<double>(core_.counters().entries_applied - entries) / seconds;
    cost.ranges = core_.ranges().grants().holdings();
    return cost;
  }

 private:
  static controller::ControllerOptions options() {
    controller::ControllerOptions options;
    options.admits_anyone = true;
    options.wanted_voters = 1;
    return options;
  }
  void start_service() {
    config::RouteChange change;
    change.version = 1;
    change.replaces_all = true;
    for (const bool keyed : {true, false}) {
      config::RoutedService service;
      service.name = common::ServiceName(keyed ? "keyed" : "free");
      service.keyed = keyed;
      change.services.push_back(service);
    }
    core_.change_routes(now_, core_.new_request(), change);
    process_output();
    for (const auto& [id, service] : core_.state().routed_services()) {
      service_ = service.config.keyed ? id : service_;
    }
  }
  void run_for(common::Duration length) {
    const TimePoint end = now_ + length;
    while (now_ < end) {
      now_ += kStep;
      replace_some();
      heartbeats();
      hellos();
      timed([&] {
        if (now_ >= due_) {
          ++ticks_;
          core_.tick(now_);
        }
      });
      process_output();
    }
  }
  template <typename Work>
  void timed(const Work& work) {
    const auto begin = std::chrono::steady_clock::now();
    work();
    spent_ += std::chrono::steady_clock::now() - begin;
  }
  std::int64_t time_ms() const { return common::to_microseconds(now_) / 1000; }
  /// Returns true at the one millisecond of each interval assigned to item `which`.
  bool is_turn(std::uint32_t which, std::uint32_t interval_ms) const {
    return time_ms() % interval_ms == which % interval_ms;
  }
  /// Deregisters back ends in rotation and replaces each with a new incarnation.
  void replace_some() {
    const std::uint32_t all = load_.holders + load_.others;
    if (load_.replaced == 0 || !service_.value || !is_turn(0, 1000 / load_.replaced)) {
      return;
    }
    constexpr std::uint32_t kStride = 7;
    const std::uint32_t which = next_replaced_ = (next_replaced_ + kStride) % all;
    const common::Incarnation leaving = incarnation(which);
    timed([&] { core_.deregister(now_, core_.new_request(), leaving); });
    process_output();
    ++ended_incarnations_[which];
  }
  common::Incarnation incarnation(std::uint32_t which) {
    return common::Incarnation("i-" + std::to_string(which) + "-" +
                               std::to_string(ended_incarnations_[which]));
  }
  void heartbeats() {
    for (std::uint32_t i = 0; i < load_.holders + load_.others; ++i) {
      if (!is_turn(i * 13, kHeartbeatMs)) {
        continue;
      }
      controller::Heartbeat heartbeat;
      heartbeat.incarnation = incarnation(i);
      heartbeat.address = "10.1.0." + std::to_string(i) + ":80";
      heartbeat.service = i < load_.holders ? "keyed" : "free";
      heartbeat.slots = 2;
      heartbeat.sequence = static_cast<std::uint64_t>(time_ms());
      timed([&] { core_.heartbeat(now_, core_.new_request(), heartbeat); });
      process_output();
    }
  }
  std::uint32_t draw_key() {
    if (common::chance(random_, 0.5)) {
      return static_cast<std::uint32_t>(common::uniform(random_, 0, config::kKeyCount - 1));
    }
    const auto offset = static_cast<std::uint32_t>(time_ms() / 1000 / kBusySeconds) * 9'000;
    const auto busy = static_cast<std::uint32_t>(common::uniform(random_, 0, kBusyKeys - 1));
    return (offset + busy * kBusyKeysEvery) % config::kKeyCount;
  }
  void hellos() {
    if (!service_.value) {
      return;
    }
    const std::uint32_t interval = std::max(250U, load_.routers * 8);
    for (std::uint32_t i = 0; i < load_.routers; ++i) {
      if (!is_turn(i * 7, interval)) {
        continue;
      }
      routing::RouterHello hello;
      hello.router = common::RouterName("router-" + std::to_string(i));
      hello.clock_us = common::to_microseconds(now_);
      hello.table_index = table_of(hello.router);
      hello.serving = true;
      for (std::uint32_t n = load_.requests * interval / 1000 / load_.routers; n > 0; --n) {
        hello.key_loads.push_back({service_, draw_key(), 1});
      }
      timed([&] { core_.on_router_hello(now_, hello); });
      process_output();
    }
  }
  /// Returns the table index that the router has installed at the current time.
  common::LogIndex table_of(const common::RouterName& router) {
    RouterTable& table = router_tables_[router];
    if (now_ >= table.arrives) {
      table.held = table.sent;
    }
    return table.held;
  }
  void deliver(const controller::OutgoingTable& table) {
    RouterTable& router = router_tables_[table.router];
    if (!table.update.deltas.empty()) {
      (void)table_of(table.router);
      router.sent = table.update.current_index;
      router.arrives = now_ + kTableDelay;
      bytes_ += common::encode(table.update).size();
    }
  }
  void process_output() {
    while (true) {
      controller::ControllerOutput output = core_.take_output();
      if (output.empty()) {
        due_ = core_.next_due(now_);
        return;
      }
      orders_ += output.grants.size() + output.key_releases.size();
      tables_ += output.tables.size();
      timed([&] {
        for (const controller::OutgoingTable& table : output.tables) {
          deliver(table);
        }
      });
      for (const consensus::PersistRequest& request : output.persist) {
        timed([&] { core_.on_persisted(now_, request.sequence); });
      }
      const auto answer = [&](ownership::OrderId id) {
        timed([&] { core_.on_order_reply(now_, id, {ownership::OrderOutcome::kAccepted, ""}); });
      };
      for (const ownership::GrantOrder& order : output.grants) {
        answer(order.id);
      }
      for (const ownership::ReleaseOrder& order : output.key_releases) {
        answer(order.id);
      }
    }
  }

  LeaderLoad load_;
  TimePoint now_ = common::from_microseconds(1'000'000'000);
  ControllerCore core_;
  TimePoint due_;
  common::RandomEngine random_;
  common::ServiceId service_;
  struct RouterTable {
    common::LogIndex held;
    common::LogIndex sent;
    TimePoint arrives;
  };
  std::map<common::RouterName, RouterTable> router_tables_;
  std::map<std::uint32_t, std::uint32_t>
      ended_incarnations_;  ///< ended incarnations of each back end
  std::uint32_t next_replaced_ = 0;
  std::uint64_t bytes_ = 0;  ///< encoded bytes of tables sent
  std::chrono::steady_clock::duration spent_{};
  std::uint64_t orders_ = 0;
  std::uint64_t tables_ = 0;
  std::uint64_t ticks_ = 0;
};

}  // namespace

LeaderCost measure_leader(const LeaderLoad& load) { return LeaderWorld(load).run(); }

}  // namespace planktray::bench

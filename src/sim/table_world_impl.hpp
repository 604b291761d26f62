#pragma once
/// The world of run_table_world(): its machines, what they send each other, its operators and back
/// ends, and its faults. Each of these has a source file of its own.

#include <algorithm>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "sim/controller_node.hpp"
#include "sim/table_audit.hpp"
#include "sim/table_router.hpp"
#include "sim/table_world.hpp"

namespace planktray::sim {

inline constexpr std::size_t kTableZones = 3;
inline constexpr std::size_t kTableRoutes = 10;

common::ZoneName table_zone(std::size_t i);
/// Returns a route without parts.
config::Route table_route(std::size_t i);

class TableWorld : public Directory {
 public:
  explicit TableWorld(const TableWorldOptions& options);

  TableWorldResult run();

  // Directory.
  std::vector<ControllerNode*> controllers() override { return controller_list_; }
  std::vector<RouterNode*> routers() override { return {}; }
  std::vector<BackendNode*> backends() override { return {}; }
  ControllerNode* find_controller(common::ReplicaId replica) override;
  RouterNode* find_router(const common::RouterName& /*name*/) override { return nullptr; }
  BackendNode* find_backend(const std::string& /*address*/) override { return nullptr; }
  membership::MachineList machine_list() override { return {}; }

 private:
  using Call =
      std::function<void(controller::ControllerCore&, TimePoint, controller::OperatorRequestId)>;

  bool has(TableFault fault) const;
  std::uint64_t pick(std::uint64_t count) { return common::uniform(random_, 0, count - 1); }
  Duration between(std::uint64_t low_ms, std::uint64_t high_ms);
  void after(Duration wait, Action action);
  ControllerNode& any_controller() { return *controller_list_[pick(controller_list_.size())]; }
  ControllerNode* find_if(const std::function<bool(ControllerNode&)>& condition);
  /// Returns any of the controllers that take themselves for the leader, or nullptr.
  ControllerNode* leader();
  ControllerNode* find_address(const std::string& address);

  // Machines.
  Duration delay(HostId from, HostId to);
  void add_controllers();
  void add_routers();
  void start();

  // Messages.
  void carry_out(ControllerNode& node, controller::ControllerOutput& output);
  TableRouter* find_table_router(const std::string& name);
  void send_hello(TableRouter& from, const std::string& address, const routing::RouterHello& hello);
  void send_table(ControllerNode& from, controller::OutgoingTable& table);
  void send_list(ControllerNode& from, const std::string& name,
                 const routing::ControllerList& list);
  void send_report(ControllerNode& from, const membership::HeartbeatReport& report);
  /// Holders of keys accept every order.
  void answer_orders(ControllerNode& node, controller::ControllerOutput& output);
  void tamper(consensus::RaftMessage& message);
  void look_at(TableRouter& router);

  // Operators and back ends.
  /// Calls a controller until one accepts, and notes what it acknowledges.
  void call(ControllerNode* node, const Call& action, int calls = 1);
  void complete(ControllerNode& node, const controller::Completion& completion);
  void change_routes();
  config::RouteChange make_change(const config::RouteConfiguration& current);
  config::Route make_route(std::size_t i);
  config::RoutedService make_service(std::size_t i);
  void change_targets();
  controller::Heartbeat make_target();

  // Faults.
  void make_trouble();
  void inject(TableFault fault);
  void restart(ControllerNode& node, bool is_torn, bool restarts_clock);
  /// One disk at a time, and only while every voter has the whole log: no more is claimed.
  void lose_disk();
  std::vector<HostId> some_hosts(HostId first, HostId end);
  /// Cuts the hosts off from all others between `first` and `end`.
  void cut(const std::vector<HostId>& hosts, HostId first, HostId end);
  void cut_staggered();
  /// Cuts two hosts off from each other after `wait`, until `end`.
  void cut_both_ways(HostId one, HostId other, Duration wait, Duration end);
  void freeze(HostId id, Duration length);
  void spend_processors(int tenths);
  void restart_router();
  void slow_leader();

  struct CallKey {
    const ControllerNode* node = nullptr;
    std::uint64_t generation = 0;
    controller::OperatorRequestId request = 0;
    auto operator<=>(const CallKey&) const = default;
  };

  TableWorldOptions options_;
  Environment environment_;
  common::RandomEngine& random_;
  TableAudit audit_;
  TableWorldResult result_;
  std::deque<ControllerNode> controllers_;
  std::vector<ControllerNode*> controller_list_;
  std::deque<TableRouter> routers_;
  HostId first_router_ = 0;
  HostId client_ = 0;  ///< of operators and back ends
  std::map<CallKey, std::shared_ptr<bool>> calls_;
  std::vector<controller::Heartbeat> targets_;
  std::uint64_t next_target_ = 0;
  std::optional<HostId> slow_host_;
  std::uint64_t slowest_ms_ = 0;
  bool damages_snapshots_ = false;
  TimePoint next_lost_disk_;
};

}  // namespace planktray::sim

#include "sim/table_world.hpp"

#include <algorithm>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <utility>

#include "sim/controller_node.hpp"
#include "sim/names.hpp"
#include "sim/table_audit.hpp"
#include "sim/table_router.hpp"

namespace planktray::sim {
namespace {

using common::LogIndex;
using std::chrono::milliseconds;

constexpr Duration kStaggeredCutLength = milliseconds(2000);
constexpr Duration kLinkDelay = milliseconds(1);
constexpr std::size_t kFounders = 3;
constexpr std::size_t kZones = 3;
constexpr std::size_t kServices = 5;
constexpr std::size_t kRoutes = 10;
constexpr std::size_t kAddresses = 40;
constexpr std::size_t kMaxTargets = 30;
constexpr double kDrift = 0.01;
/// An operator's or back end's call without an answer is repeated at another controller.
constexpr Duration kCallTimeout = milliseconds(500);
constexpr int kMaxCalls = 6;
constexpr Duration kDiskRest = milliseconds(4000);

const std::vector<Named<TableMutant>> kMutantNames = {
    {"early-time", TableMutant::kEarlyTime},
    {"dropped-change", TableMutant::kDroppedChange},
    {"follower-behind", TableMutant::kFollowerBehind},
    {"long-lease", TableMutant::kLongLease},
    {"unsynced-disks", TableMutant::kUnsyncedDisks},
};

std::string service_name(std::size_t i) { return "service-" + std::to_string(i); }
common::ZoneName zone_name(std::size_t i) {
  return common::ZoneName("zone-" + std::to_string(i % kZones));
}

config::Route route_of(std::size_t i) {
  config::Route route;
  route.name = "route-" + std::to_string(i);
  route.host = "host-" + std::to_string(i % 3) + ".example";
  route.path_prefix = "/path-" + std::to_string(i) + "/";
  return route;
}

std::vector<config::Route> all_routes() {
  std::vector<config::Route> routes;
  for (std::size_t i = 0; i < kRoutes; ++i) {
    routes.push_back(route_of(i));
  }
  return routes;
}

class TableWorld : public Directory {
 public:
  explicit TableWorld(const TableWorldOptions& options)
      : options_(options),
        environment_(options.seed),
        random_(environment_.fault_random),
        audit_({all_routes()}) {
    environment_.safeguards.disks_sync = options_.mutant != TableMutant::kUnsyncedDisks;
    environment_.network.set_delay([this](HostId from, HostId to) { return delay(from, to); });
    add_controllers();
    add_routers();
  }

  TableWorldResult run() {
    start();
    environment_.scheduler.run_until(environment_.now() + options_.length);
    result_.violations = audit_.violations();
    result_.tables_compared = audit_.tables_compared();
    result_.acknowledged = audit_.acknowledged();
    return result_;
  }

  // ------------------------------------------------------------ Directory

  std::vector<ControllerNode*> controllers() override { return controller_list_; }
  std::vector<RouterNode*> routers() override { return {}; }
  std::vector<BackendNode*> backends() override { return {}; }
  ControllerNode* find_controller(common::ReplicaId replica) override {
    return find_if([&](ControllerNode& node) { return node.is_up() && node.replica() == replica; });
  }
  RouterNode* find_router(const common::RouterName& /*name*/) override { return nullptr; }
  BackendNode* find_backend(const std::string& /*address*/) override { return nullptr; }
  membership::MachineList machine_list() override { return {}; }

 private:
  using Call =
      std::function<void(controller::ControllerCore&, TimePoint, controller::OperatorRequestId)>;

  bool has(TableFault fault) const {
    return std::find(options_.faults.begin(), options_.faults.end(), fault) !=
           options_.faults.end();
  }
  std::uint64_t pick(std::uint64_t count) { return common::uniform(random_, 0, count - 1); }
  Duration between(std::uint64_t low_ms, std::uint64_t high_ms) {
    return milliseconds(common::uniform(random_, low_ms, high_ms));
  }
  void after(Duration wait, Action action) {
    environment_.scheduler.after(wait, std::move(action));
  }
  ControllerNode& any_controller() { return *controller_list_[pick(controller_list_.size())]; }
  ControllerNode* find_if(const std::function<bool(ControllerNode&)>& condition) {
    const auto found = std::find_if(controller_list_.begin(), controller_list_.end(),
                                    [&](ControllerNode* node) { return condition(*node); });
    return found == controller_list_.end() ? nullptr : *found;
  }
  /// Returns any of the controllers that take themselves for the leader, or nullptr.
  ControllerNode* leader() {
    std::vector<ControllerNode*> leading;
    std::copy_if(controller_list_.begin(), controller_list_.end(), std::back_inserter(leading),
                 [](ControllerNode* node) { return node->is_leading(); });
    return leading.empty() ? nullptr : leading[pick(leading.size())];
  }
  ControllerNode* find_address(const std::string& address) {
    return find_if([&](ControllerNode& node) { return node.name() == address; });
  }

  // ------------------------------------------------------------ machines

  Duration delay(HostId from, HostId to) {
    const bool is_slow = slow_host_.has_value() && (from == *slow_host_ || to == *slow_host_) &&
                         (from >= first_router_ || to >= first_router_);
    return is_slow ? between(100, slowest_ms_) : kLinkDelay;
  }

  void add_controllers() {
    // Seeds differ in how tables reach routers: pushed, polled, or as snapshots on request.
    const bool polls = options_.seed % 3 == 1;
    const bool requests_snapshots = options_.seed % 2 == 0;
    for (std::size_t i = 0; i < options_.controllers; ++i) {
      controller::ControllerOptions options;
      options.cell = common::CellName("cell");
      options.name = "controller-" + std::to_string(i);
      options.peer_address = options.name;
      options.operator_address = options.name;
      options.zone = zone_name(i);
      options.admits_anyone = true;
      options.snapshot_entries = 16;
      options.raft.heartbeat = milliseconds(80);
      options.raft.minimum_election_timeout = milliseconds(300);
      options.raft.maximum_election_timeout = milliseconds(500);
      options.raft.snapshot_chunk_bytes = 512;
      options.raft.retained_entries = 16;
      if (options_.mutant == TableMutant::kLongLease) {
        options.raft.lease_margin = milliseconds(-2000);
      }
      options.distributor.table_lease = milliseconds(5000);
      options.distributor.retained_deltas = 24;
      options.distributor.maximum_deltas = 12;
      options.distributor.backends_per_snapshot_delta = 4;
      options.distributor.requested_snapshot_backends = requests_snapshots ? 1 : 100'000;
      if (polls) {
        options.distributor.longest_update_interval = Duration(0);
      }
      const HostId host = environment_.network.add_host();
      ControllerNode& node = controllers_.emplace_back(environment_, *this, host, options);
      node.set_output_hook(
          [this, &node](controller::ControllerOutput& output) { carry_out(node, output); });
      controller_list_.push_back(&node);
    }
  }

  void add_routers() {
    first_router_ = environment_.network.size();
    for (std::size_t i = 0; i < options_.routers; ++i) {
      router::RouterOptions options;
      options.cell = common::CellName("cell");
      options.name = common::RouterName("router-" + std::to_string(i));
      options.zone = zone_name(i);
      options.hello_interval = milliseconds(250);
      options.table_lease = milliseconds(5000);
      routers_.emplace_back(
          environment_, environment_.network.add_host(), options,
          std::vector<std::string>{"controller-0", "controller-1", "controller-2"},
          [this](TableRouter& from, const std::string& address, const routing::RouterHello& hello) {
            send_hello(from, address, hello);
          });
    }
    client_ = environment_.network.add_host();
  }

  void start() {
    for (HostId id = 0; id < environment_.network.size(); ++id) {
      const double rate = 1.0 + (common::uniform_real(random_) * 2 - 1) * kDrift;
      environment_.network.host(id).set_clock(between(1'000, 1'000'000), rate);
    }
    environment_.network.host(client_).start();
    consensus::Membership membership;
    for (ControllerNode* node : controller_list_) {
      node->start();
      if (membership.members.size() < kFounders) {
        membership.members.push_back(node->as_member());
      }
    }
    for (std::size_t i = 0; i < kFounders; ++i) {
      controller_list_[i]->create_cell(membership);
    }
    for (TableRouter& router : routers_) {
      router.start();
    }
    change_routes();
    change_targets();
    make_trouble();
  }

  // ------------------------------------------------------------ messages

  void carry_out(ControllerNode& node, controller::ControllerOutput& output) {
    audit_.on_applied(environment_.now(), node.name(), node.core().state());
    for (controller::OutgoingTable& table : std::exchange(output.tables, {})) {
      send_table(node, table);
    }
    for (const controller::OutgoingControllers& list : std::exchange(output.controllers, {})) {
      send_list(node, list.router.value, list.list);
    }
    if (const auto announcement = std::exchange(output.announcement, {})) {
      ++result_.elections;
      for (const TableRouter& router : routers_) {
        send_list(node, router.name(), *announcement);
      }
    }
    answer_orders(node, output);
    if (const auto report = std::exchange(output.heartbeat_report, {})) {
      send_report(node, *report);
    }
    for (consensus::RaftMessage& message : output.peer_messages) {
      tamper(message);
    }
    for (const controller::Completion& completion : std::exchange(output.completions, {})) {
      complete(node, completion);
    }
  }

  TableRouter* find_table_router(const std::string& name) {
    const auto found = std::find_if(routers_.begin(), routers_.end(),
                                    [&](const TableRouter& item) { return item.name() == name; });
    return found == routers_.end() ? nullptr : &*found;
  }

  void send_hello(TableRouter& from, const std::string& address,
                  const routing::RouterHello& hello) {
    ControllerNode* node = find_address(address);
    if (node != nullptr) {
      environment_.network.send(from.host_id(), node->host_id(),
                                [node, hello] { node->receive(hello); });
    }
  }

  void send_table(ControllerNode& from, controller::OutgoingTable& table) {
    TableRouter* router = find_table_router(table.router.value);
    routing::TableUpdate& update = table.update;
    result_.follower_updates += update.by_follower ? 1 : 0;
    const bool is_snapshot = !update.deltas.empty() && update.deltas.front().is_snapshot;
    result_.snapshots_to_routers += is_snapshot ? 1 : 0;
    if (options_.mutant == TableMutant::kEarlyTime && update.as_of_clock_us > 0) {
      update.as_of_clock_us += 400'000;
    }
    if (options_.mutant == TableMutant::kDroppedChange && update.deltas.size() > 1) {
      std::vector<routing::TableDelta> kept(std::next(update.deltas.begin()), update.deltas.end());
      update.deltas = routing::SharedList<routing::TableDelta>(std::move(kept));
    }
    environment_.network.send(from.host_id(), router->host_id(),
                              [this, router, update, address = from.name()] {
                                router->receive(update, address);
                                look_at(*router);
                              });
  }

  void send_list(ControllerNode& from, const std::string& name,
                 const routing::ControllerList& list) {
    TableRouter* router = find_table_router(name);
    environment_.network.send(from.host_id(), router->host_id(),
                              [router, list] { router->receive(list); });
  }

  void send_report(ControllerNode& from, const membership::HeartbeatReport& report) {
    ControllerNode* to = find_controller(from.core().raft().leader());
    if (to != nullptr) {
      environment_.network.send(from.host_id(), to->host_id(), [to, report] {
        to->input([&](auto& core, TimePoint now) { core.on_heartbeat_report(now, report); });
      });
    }
  }

  /// Holders of keys accept every order.
  void answer_orders(ControllerNode& node, controller::ControllerOutput& output) {
    std::vector<ownership::OrderId> orders;
    for (const ownership::GrantOrder& order : std::exchange(output.grants, {})) {
      orders.push_back(order.id);
    }
    for (const ownership::ReleaseOrder& order : std::exchange(output.key_releases, {})) {
      orders.push_back(order.id);
    }
    for (const ownership::OrderId id : orders) {
      node.host().after(between(2, 40), [&node, id] {
        node.input([id](auto& core, TimePoint now) {
          core.on_order_reply(now, id, {ownership::OrderOutcome::kAccepted});
        });
      });
    }
  }

  void tamper(consensus::RaftMessage& message) {
    if (auto* chunk = std::get_if<consensus::SnapshotChunk>(&message.body.value)) {
      result_.snapshots_to_controllers += chunk->bytes.empty() ? 0 : 1;
      const bool is_damaged = damages_snapshots_ && !chunk->bytes.empty() && pick(2) == 0;
      if (is_damaged) {
        chunk->bytes[pick(chunk->bytes.size())] ^= static_cast<char>(0x40);
      }
    }
    auto* append = std::get_if<consensus::AppendRequest>(&message.body.value);
    if (options_.mutant == TableMutant::kFollowerBehind && append != nullptr &&
        append->commit.value > 0) {
      append->commit = LogIndex(append->commit.value - 1);
    }
  }

  void look_at(TableRouter& router) {
    if (!router.is_up()) {
      return;
    }
    const auto as_of = router.core().freshness().as_of();
    audit_.on_table(environment_.now(), router.name(), router.core().table(),
                    as_of.has_value() ? router.host().true_time(*as_of) : TimePoint());
  }

  // ------------------------------------------------------------ operators and back ends

  /// Calls a controller until one accepts, and notes what it acknowledges.
  void call(ControllerNode* node, const Call& action, int calls = 1) {
    auto is_done = std::make_shared<bool>(false);
    environment_.network.send_once(client_, node->host_id(), [this, node, action, is_done] {
      node->input([&](controller::ControllerCore& core, TimePoint now) {
        const auto request = core.new_request();
        calls_[{node, node->host().generation(), request}] = is_done;
        action(core, now, request);
      });
    });
    if (calls < kMaxCalls) {
      after(kCallTimeout, [this, action, calls, is_done] {
        if (!*is_done) {
          call(&any_controller(), action, calls + 1);
        }
      });
    }
  }

  void complete(ControllerNode& node, const controller::Completion& completion) {
    const auto request =
        std::visit([](const auto& alternative) { return alternative.request; }, completion);
    const auto found = calls_.find({&node, node.host().generation(), request});
    if (found == calls_.end()) {
      return;
    }
    const std::shared_ptr<bool> is_done = found->second;
    calls_.erase(found);
    if (const auto* change = std::get_if<controller::ChangeCompleted>(&completion)) {
      *is_done = change->answer.has_value();
      const bool is_accepted =
          *is_done && change->answer->change_status() == ownership::ChangeStatus::kAccepted;
      if (is_accepted) {
        ++result_.configurations;
        audit_.on_acknowledged(environment_.now(), change->answer->index);
      }
    } else if (const auto* command = std::get_if<controller::CommandCompleted>(&completion)) {
      *is_done = command->index.has_value();
      if (*is_done) {
        audit_.on_acknowledged(environment_.now(), *command->index);
      }
    }
  }

  void change_routes() {
    after(between(60, 500), [this] { change_routes(); });
    ControllerNode* node = leader();
    if (node == nullptr) {
      return;
    }
    const config::RouteChange change = make_change(node->core().state().routes());
    call(node, [change](auto& core, TimePoint now, auto request) {
      core.change_routes(now, request, change);
    });
    if (pick(20) == 0) {
      const ownership::EvacuateZone evacuation{zone_name(pick(kZones)), pick(2) == 0};
      call(node, [evacuation](auto& core, TimePoint now, auto request) {
        core.evacuate_zone(now, request, evacuation);
      });
    }
  }

  config::RouteChange make_change(const config::RouteConfiguration& current) {
    config::RouteChange change;
    change.base_version = current.version;
    change.version = current.version + common::uniform(random_, 1, 4);
    change.digest = random_();
    change.replaces_all = current.version == 0 || pick(8) == 0;
    for (std::size_t i = 0; change.replaces_all && i < kServices; ++i) {
      change.services.push_back(make_service(i));
    }
    const std::size_t routes = change.replaces_all ? kRoutes / 2 : common::uniform(random_, 1, 2);
    std::set<std::size_t> chosen;
    while (chosen.size() < routes) {
      chosen.insert(pick(kRoutes));
    }
    for (const std::size_t i : chosen) {
      if (!change.replaces_all && pick(3) == 0) {
        change.removed_routes.push_back(route_of(i).name);
      } else {
        change.routes.push_back(make_route(i));
      }
    }
    if (!change.replaces_all && pick(4) == 0) {
      change.services.push_back(make_service(pick(kServices)));
    }
    return change;
  }

  config::Route make_route(std::size_t i) {
    config::Route route = route_of(i);
    route.timeout_ms = static_cast<std::uint32_t>(common::uniform(random_, 500, 3000));
    route.parts.push_back({common::ServiceName(service_name(pick(kServices))), 1.0});
    return route;
  }

  config::RoutedService make_service(std::size_t i) {
    config::RoutedService service;
    service.name = common::ServiceName(service_name(i));
    service.keyed = i < 2;
    service.connections = static_cast<std::uint32_t>(common::uniform(random_, 10, 100));
    return service;
  }

  void change_targets() {
    after(between(20, 200), [this] { change_targets(); });
    const bool is_new = targets_.size() < kMaxTargets && (targets_.empty() || pick(2) == 0);
    if (is_new) {
      targets_.push_back(make_target());
    }
    controller::Heartbeat& heartbeat = is_new ? targets_.back() : targets_[pick(targets_.size())];
    ++heartbeat.sequence;
    heartbeat.draining = heartbeat.draining || (!is_new && pick(4) == 0);
    const bool departs = heartbeat.draining && pick(3) == 0;
    call(&any_controller(), [heartbeat, departs](auto& core, TimePoint now, auto request) {
      if (departs) {
        core.deregister(now, request, heartbeat.incarnation);
      } else {
        core.heartbeat(now, request, heartbeat);
      }
    });
    if (departs) {
      std::erase_if(targets_, [name = heartbeat.incarnation](const auto& target) {
        return target.incarnation == name;
      });
    }
  }

  controller::Heartbeat make_target() {
    controller::Heartbeat heartbeat;
    heartbeat.incarnation = common::Incarnation("instance-" + std::to_string(++next_target_));
    heartbeat.address = "10.0.0." + std::to_string(pick(kAddresses)) + ":80";
    heartbeat.service = service_name(pick(kServices));
    heartbeat.zone = zone_name(pick(kZones));
    heartbeat.cold_ms = pick(3) == 0 ? 300 : 0;
    return heartbeat;
  }

  // ------------------------------------------------------------ faults

  void make_trouble() {
    after(between(200, 1500), [this] { make_trouble(); });
    if (!options_.faults.empty()) {
      inject(options_.faults[pick(options_.faults.size())]);
    }
  }

  void inject(TableFault fault) {
    switch (fault) {
      case TableFault::kKillController:
        return restart(any_controller(), pick(2) == 0, false);
      case TableFault::kPowerLoss:
        for (ControllerNode* node : controller_list_) {
          restart(*node, true, true);
        }
        return;
      case TableFault::kLostDisk:
        return lose_disk();
      case TableFault::kCutControllers:
        return cut(some_hosts(0, first_router_), 0, first_router_);
      case TableFault::kStaggeredCut:
        return cut_staggered();
      case TableFault::kCutRouters:
        return cut(some_hosts(0, first_router_), first_router_, client_);
      case TableFault::kFreezeController:
        return freeze(any_controller().host_id(), between(50, 4000));
      case TableFault::kSpentProcessors:
        return spend_processors(static_cast<int>(common::uniform(random_, 5, 25)));
      case TableFault::kFreezeRouter:
        return freeze(first_router_ + pick(routers_.size()), between(50, 6000));
      case TableFault::kRestartRouter:
        return restart_router();
      case TableFault::kFullLeader:
        return slow_leader();
      case TableFault::kLateMessages: {
        NetworkFaults& faults = environment_.network.faults();
        faults.late = 0.1;
        faults.lateness = milliseconds(2000);
        return after(between(300, 3000), [&faults] { faults.late = 0; });
      }
      case TableFault::kRepeatedMessages: {
        NetworkFaults& faults = environment_.network.faults();
        faults.duplicate = 0.2;
        return after(between(300, 3000), [&faults] { faults.duplicate = 0; });
      }
      case TableFault::kDamagedSnapshots:
        damages_snapshots_ = true;
        return after(between(300, 3000), [this] { damages_snapshots_ = false; });
    }
  }

  void restart(ControllerNode& node, bool is_torn, bool restarts_clock) {
    if (!node.is_up()) {
      return;
    }
    node.kill(is_torn);
    after(between(100, 2500), [&node, restarts_clock] {
      if (restarts_clock) {
        node.host().restart_clock();
      }
      node.start();
    });
  }

  /// One disk at a time, and only while every voter has the whole log: no more is claimed.
  void lose_disk() {
    ControllerNode* present = leader();
    if (present == nullptr || environment_.now() < next_lost_disk_) {
      return;
    }
    const consensus::RaftNode& raft = present->core().raft();
    const auto& members = raft.membership().members;
    const bool is_replicated = !raft.membership_change_pending() &&
                               std::all_of(members.begin(), members.end(), [&](const auto& member) {
                                 return find_controller(member.id) != nullptr &&
                                        raft.match_index(member.id) >= raft.commit_index();
                               });
    if (!is_replicated || members.size() < options_.controllers) {
      return;
    }
    next_lost_disk_ = environment_.now() + kDiskRest;
    ControllerNode& node = any_controller();
    node.kill(false);
    node.lose_disk();
    after(between(100, 2500), [&node] { node.start(); });
  }

  std::vector<HostId> some_hosts(HostId first, HostId end) {
    std::vector<HostId> hosts;
    for (HostId id = first; id < end; ++id) {
      if (pick(2) == 0) {
        hosts.push_back(id);
      }
    }
    return hosts;
  }

  /// Cuts the hosts off from all others between `first` and `end`.
  void cut(const std::vector<HostId>& hosts, HostId first, HostId end) {
    const bool is_one_way = pick(3) == 0;
    Network& network = environment_.network;
    for (const HostId host : hosts) {
      for (HostId other = first; other < end; ++other) {
        if (std::find(hosts.begin(), hosts.end(), other) != hosts.end() || pick(4) == 0) {
          continue;
        }
        network.cut(host, other);
        if (!is_one_way) {
          network.cut(other, host);
        }
        after(between(300, 5000), [&network, host, other] {
          network.mend(host, other);
          network.mend(other, host);
        });
      }
    }
  }

  void cut_staggered() {
    ControllerNode* node = leader();
    if (node == nullptr) {
      return;
    }
    const HostId host = node->host_id();
    const consensus::Membership membership = node->core().raft().membership();
    // Some routers stay on the leader's side and hear no other controller.
    std::vector<HostId> side = {host};
    for (const TableRouter& router : routers_) {
      if (pick(2) == 0) {
        side.push_back(router.host_id());
      }
    }
    Duration wait(0);
    for (ControllerNode* other : controller_list_) {
      if (other == node || !other->is_up() || !membership.is_voter(other->replica())) {
        continue;
      }
      for (const HostId id : side) {
        cut_both_ways(id, other->host_id(), wait, kStaggeredCutLength);
      }
      wait += between(150, 350);
    }
  }

  /// Cuts two hosts off from each other after `wait`, until `end`.
  void cut_both_ways(HostId one, HostId other, Duration wait, Duration end) {
    after(wait, [this, one, other] {
      environment_.network.cut(one, other);
      environment_.network.cut(other, one);
    });
    after(end, [this, one, other] {
      environment_.network.mend(one, other);
      environment_.network.mend(other, one);
    });
  }

  void freeze(HostId id, Duration length) {
    Host& host = environment_.network.host(id);
    host.pause();
    after(length, [&host] { host.resume(); });
  }

  void spend_processors(int tenths) {
    for (ControllerNode* node : controller_list_) {
      freeze(node->host_id(), between(30, 90));
    }
    if (tenths > 1) {
      after(milliseconds(100), [this, tenths] { spend_processors(tenths - 1); });
    }
  }

  void restart_router() {
    TableRouter& router = routers_[pick(routers_.size())];
    if (!router.is_up()) {
      return;
    }
    router.kill();
    after(between(50, 2000), [this, &router] {
      if (pick(2) == 0) {
        router.host().restart_clock();
      }
      router.start();
    });
  }

  void slow_leader() {
    ControllerNode* node = leader();
    if (node == nullptr || slow_host_.has_value()) {
      return;
    }
    slow_host_ = node->host_id();
    slowest_ms_ = common::uniform(random_, 300, 4000);
    after(between(1000, 5000), [this] { slow_host_.reset(); });
  }

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

}  // namespace

const std::vector<TableFault>& all_table_faults() {
  static const std::vector<TableFault> kFaults = {
      TableFault::kKillController,   TableFault::kPowerLoss,       TableFault::kLostDisk,
      TableFault::kCutControllers,   TableFault::kStaggeredCut,    TableFault::kCutRouters,
      TableFault::kFreezeController, TableFault::kSpentProcessors, TableFault::kFreezeRouter,
      TableFault::kRestartRouter,    TableFault::kFullLeader,      TableFault::kLateMessages,
      TableFault::kRepeatedMessages, TableFault::kDamagedSnapshots};
  return kFaults;
}

std::string_view to_string(TableMutant mutant) { return name_in(kMutantNames, mutant); }

const std::vector<TableMutant>& all_table_mutants() {
  static const std::vector<TableMutant> kMutants = values_of(kMutantNames);
  return kMutants;
}

TableWorldResult run_table_world(const TableWorldOptions& options) {
  return TableWorld(options).run();
}

}  // namespace planktray::sim

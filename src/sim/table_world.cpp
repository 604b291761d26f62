#include "sim/table_world.hpp"

#include <algorithm>
#include <utility>

#include "sim/names.hpp"
#include "sim/table_world_impl.hpp"

namespace planktray::sim {
namespace {

using common::LogIndex;
using std::chrono::milliseconds;

constexpr Duration kLinkDelay = milliseconds(1);
constexpr std::size_t kFounders = 3;
constexpr double kDrift = 0.01;

const std::vector<Named<TableMutant>> kMutantNames = {
    {"early-time", TableMutant::kEarlyTime},
    {"dropped-change", TableMutant::kDroppedChange},
    {"follower-behind", TableMutant::kFollowerBehind},
    {"long-lease", TableMutant::kLongLease},
    {"unsynced-disks", TableMutant::kUnsyncedDisks},
};

std::vector<config::Route> all_routes() {
  std::vector<config::Route> routes;
  for (std::size_t i = 0; i < kTableRoutes; ++i) {
    routes.push_back(table_route(i));
  }
  return routes;
}

}  // namespace

common::ZoneName table_zone(std::size_t i) {
  return common::ZoneName("zone-" + std::to_string(i % kTableZones));
}

config::Route table_route(std::size_t i) {
  config::Route route;
  route.name = "route-" + std::to_string(i);
  route.host = "host-" + std::to_string(i % 3) + ".example";
  route.path_prefix = "/path-" + std::to_string(i) + "/";
  return route;
}

TableWorld::TableWorld(const TableWorldOptions& options)
    : options_(options),
      environment_(options.seed),
      random_(environment_.fault_random),
      audit_({all_routes()}) {
  environment_.safeguards.disks_sync = options_.mutant != TableMutant::kUnsyncedDisks;
  environment_.network.set_delay([this](HostId from, HostId to) { return delay(from, to); });
  add_controllers();
  add_routers();
}

TableWorldResult TableWorld::run() {
  start();
  environment_.scheduler.run_until(environment_.now() + options_.length);
  result_.violations = audit_.violations();
  result_.tables_compared = audit_.tables_compared();
  result_.acknowledged = audit_.acknowledged();
  return result_;
}

ControllerNode* TableWorld::find_controller(common::ReplicaId replica) {
  return find_if([&](ControllerNode& node) { return node.is_up() && node.replica() == replica; });
}

bool TableWorld::has(TableFault fault) const {
  return std::find(options_.faults.begin(), options_.faults.end(), fault) != options_.faults.end();
}

Duration TableWorld::between(std::uint64_t low_ms, std::uint64_t high_ms) {
  return milliseconds(common::uniform(random_, low_ms, high_ms));
}

void TableWorld::after(Duration wait, Action action) {
  environment_.scheduler.after(wait, std::move(action));
}

ControllerNode* TableWorld::find_if(const std::function<bool(ControllerNode&)>& condition) {
  const auto found = std::find_if(controller_list_.begin(), controller_list_.end(),
                                  [&](ControllerNode* node) { return condition(*node); });
  return found == controller_list_.end() ? nullptr : *found;
}

ControllerNode* TableWorld::leader() {
  std::vector<ControllerNode*> leading;
  std::copy_if(controller_list_.begin(), controller_list_.end(), std::back_inserter(leading),
               [](ControllerNode* node) { return node->is_leading(); });
  return leading.empty() ? nullptr : leading[pick(leading.size())];
}

ControllerNode* TableWorld::find_address(const std::string& address) {
  return find_if([&](ControllerNode& node) { return node.name() == address; });
}

Duration TableWorld::delay(HostId from, HostId to) {
  const bool is_slow = slow_host_.has_value() && (from == *slow_host_ || to == *slow_host_) &&
                       (from >= first_router_ || to >= first_router_);
  return is_slow ? between(100, slowest_ms_) : kLinkDelay;
}

void TableWorld::add_controllers() {
  // Seeds differ in how tables reach routers: pushed, polled, or as snapshots on request.
  const bool polls = options_.seed % 3 == 1;
  const bool requests_snapshots = options_.seed % 2 == 0;
  for (std::size_t i = 0; i < options_.controllers; ++i) {
    controller::ControllerOptions options;
    options.cell = common::CellName("cell");
    options.name = "controller-" + std::to_string(i);
    options.peer_address = options.name;
    options.operator_address = options.name;
    options.zone = table_zone(i);
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

void TableWorld::add_routers() {
  first_router_ = environment_.network.size();
  for (std::size_t i = 0; i < options_.routers; ++i) {
    router::RouterOptions options;
    options.cell = common::CellName("cell");
    options.name = common::RouterName("router-" + std::to_string(i));
    options.zone = table_zone(i);
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

void TableWorld::start() {
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

void TableWorld::carry_out(ControllerNode& node, controller::ControllerOutput& output) {
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

TableRouter* TableWorld::find_table_router(const std::string& name) {
  const auto found = std::find_if(routers_.begin(), routers_.end(),
                                  [&](const TableRouter& item) { return item.name() == name; });
  return found == routers_.end() ? nullptr : &*found;
}

void TableWorld::send_hello(TableRouter& from, const std::string& address,
                            const routing::RouterHello& hello) {
  ControllerNode* node = find_address(address);
  if (node != nullptr) {
    environment_.network.send(from.host_id(), node->host_id(),
                              [node, hello] { node->receive(hello); });
  }
}

void TableWorld::send_table(ControllerNode& from, controller::OutgoingTable& table) {
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

void TableWorld::send_list(ControllerNode& from, const std::string& name,
                           const routing::ControllerList& list) {
  TableRouter* router = find_table_router(name);
  environment_.network.send(from.host_id(), router->host_id(),
                            [router, list] { router->receive(list); });
}

void TableWorld::send_report(ControllerNode& from, const membership::HeartbeatReport& report) {
  ControllerNode* to = find_controller(from.core().raft().leader());
  if (to != nullptr) {
    environment_.network.send(from.host_id(), to->host_id(), [to, report] {
      to->input([&](auto& core, TimePoint now) { core.on_heartbeat_report(now, report); });
    });
  }
}

void TableWorld::answer_orders(ControllerNode& node, controller::ControllerOutput& output) {
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

void TableWorld::tamper(consensus::RaftMessage& message) {
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

void TableWorld::look_at(TableRouter& router) {
  if (!router.is_up()) {
    return;
  }
  const auto as_of = router.core().freshness().as_of();
  audit_.on_table(environment_.now(), router.name(), router.core().table(),
                  as_of.has_value() ? router.host().true_time(*as_of) : TimePoint());
}

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

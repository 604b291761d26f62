/// TableWorld: faults of machines, disks, clocks and links.

#include <utility>

#include "sim/table_world_impl.hpp"

namespace planktray::sim {
namespace {

using std::chrono::milliseconds;

constexpr Duration kStaggeredCutLength = milliseconds(2000);
constexpr Duration kDiskRest = milliseconds(4000);

}  // namespace

void TableWorld::make_trouble() {
  after(between(200, 1500), [this] { make_trouble(); });
  if (!options_.faults.empty()) {
    inject(options_.faults[pick(options_.faults.size())]);
  }
}

void TableWorld::inject(TableFault fault) {
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

void TableWorld::restart(ControllerNode& node, bool is_torn, bool restarts_clock) {
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

void TableWorld::lose_disk() {
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

std::vector<HostId> TableWorld::some_hosts(HostId first, HostId end) {
  std::vector<HostId> hosts;
  for (HostId id = first; id < end; ++id) {
    if (pick(2) == 0) {
      hosts.push_back(id);
    }
  }
  return hosts;
}

void TableWorld::cut(const std::vector<HostId>& hosts, HostId first, HostId end) {
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

void TableWorld::cut_staggered() {
  ControllerNode* node = leader();
  if (node == nullptr) {
    return;
  }
  const HostId host = node->host_id();
  const consensus::Membership membership = node->core().raft().membership();
  // Some routers stay connected to the leader only.
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

void TableWorld::cut_both_ways(HostId one, HostId other, Duration wait, Duration end) {
  after(wait, [this, one, other] {
    environment_.network.cut(one, other);
    environment_.network.cut(other, one);
  });
  after(end, [this, one, other] {
    environment_.network.mend(one, other);
    environment_.network.mend(other, one);
  });
}

void TableWorld::freeze(HostId id, Duration length) {
  Host& host = environment_.network.host(id);
  host.pause();
  after(length, [&host] { host.resume(); });
}

void TableWorld::spend_processors(int tenths) {
  for (ControllerNode* node : controller_list_) {
    freeze(node->host_id(), between(30, 90));
  }
  if (tenths > 1) {
    after(milliseconds(100), [this, tenths] { spend_processors(tenths - 1); });
  }
}

void TableWorld::restart_router() {
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

void TableWorld::slow_leader() {
  ControllerNode* node = leader();
  if (node == nullptr || slow_host_.has_value()) {
    return;
  }
  slow_host_ = node->host_id();
  slowest_ms_ = common::uniform(random_, 300, 4000);
  after(between(1000, 5000), [this] { slow_host_.reset(); });
}

}  // namespace planktray::sim

#include "sim/controller_node.hpp"

#include <algorithm>
#include <utility>

#include "sim/backend_node.hpp"
#include "sim/router_node.hpp"

namespace planktray::sim {
namespace {

constexpr Duration kTick = std::chrono::milliseconds(10);
constexpr Duration kPlatformInterval = std::chrono::milliseconds(500);
/// A sync takes this long at least and at most.
constexpr std::uint64_t kFastestSyncUs = 300;
constexpr std::uint64_t kSlowestSyncUs = 3'000;

}  // namespace

ControllerNode::ControllerNode(Environment& environment, Directory& directory, HostId host,
                               controller::ControllerOptions options)
    : environment_(environment), directory_(directory), host_(host), options_(std::move(options)) {
  disk_.set_lying(!environment_.safeguards.disks_sync);
}

void ControllerNode::start() {
  host().start();
  store_.emplace(disk_);
  auto state = store_->open(options_.cell, environment_.random);
  if (!state.has_value()) {
    environment_.note(options_.name + " has a damaged disk: " + state.error().describe());
    disk_.wipe();
    store_.emplace(disk_);
    state = store_->open(options_.cell, environment_.random);
  }
  core_.emplace(options_, store_->identity().replica, std::move(*state),
                common::RandomEngine(environment_.random()), host().clock());
  std::vector<std::string> seeds;
  for (const ControllerNode* peer : directory_.controllers()) {
    seeds.push_back(peer->options_.peer_address);
  }
  core_->set_seeds(std::move(seeds));
  waiting_.clear();
  persisting_ = false;
  led_ = false;
  tick();
  poll_platform();
}

void ControllerNode::kill(bool torn) {
  host().kill();
  disk_.crash(torn, environment_.random);
  core_.reset();
  changes_.clear();
  commands_.clear();
  reads_.clear();
}

void ControllerNode::lose_disk() { disk_.wipe(); }

void ControllerNode::lose_disk_but_keep_identity() {
  const auto identity = disk_.read("identity");
  disk_.wipe();
  if (identity.has_value()) {
    (void)disk_.replace("identity", *identity);
  }
}

consensus::Member ControllerNode::as_member() const {
  return {replica(), options_.name, options_.peer_address, options_.operator_address, true};
}

void ControllerNode::tick() {
  core_->tick(host().clock());
  flush();
  host().after(kTick, [this] { tick(); });
}

void ControllerNode::poll_platform() {
  core_->on_machine_list(host().clock(), directory_.machine_list());
  flush();
  host().after(kPlatformInterval, [this] { poll_platform(); });
}

void ControllerNode::receive(const consensus::RaftMessage& message) {
  core_->on_peer_message(host().clock(), message);
  flush();
}

void ControllerNode::receive(const consensus::JoinRequest& request) {
  core_->on_join(host().clock(), request);
  flush();
}

void ControllerNode::receive(const routing::ControllerList& list) {
  core_->on_controller_list(list);
}

void ControllerNode::receive(const routing::RouterHello& hello) {
  core_->on_router_hello(host().clock(), hello);
  flush();
}

void ControllerNode::receive_lease_reply(const common::MachineName& machine,
                                         common::BackendId backend,
                                         const ownership::LeaseReply& reply) {
  core_->on_lease_reply(host().clock(), machine, backend, reply);
  flush();
}

void ControllerNode::receive_release_reply(common::BackendId backend,
                                           const ownership::ReleaseReply& reply) {
  core_->on_release_reply(host().clock(), backend, reply);
  flush();
}

void ControllerNode::create_cell(const consensus::Membership& membership) {
  (void)core_->create_cell(host().clock(), membership);
  flush();
}

void ControllerNode::change(ownership::ChangeDeclaration change, ChangeReply reply) {
  const auto id = next_request_++;
  changes_[id] = std::move(reply);
  core_->change_declaration(host().clock(), id, std::move(change));
  flush();
}

void ControllerNode::drain(ownership::DrainMachine drain, CommandReply reply) {
  const auto id = next_request_++;
  commands_[id] = std::move(reply);
  core_->drain_machine(host().clock(), id, std::move(drain));
  flush();
}

void ControllerNode::move(const common::ServiceKey& service, common::ShardNumber shard,
                          const common::MachineName& to, CommandReply reply) {
  const auto id = next_request_++;
  commands_[id] = std::move(reply);
  core_->move_shard(host().clock(), id, service, shard, to);
  flush();
}

void ControllerNode::read(ReadReply reply) {
  const auto id = next_request_++;
  reads_[id] = std::move(reply);
  core_->read(host().clock(), id);
  flush();
}

void ControllerNode::input(const Input& action) {
  action(*core_, host().clock());
  flush();
}

void ControllerNode::flush() {
  if (flushing_) {
    return;
  }
  flushing_ = true;
  controller::ControllerOutput output = core_->take_output();
  if (output_hook_) {
    output_hook_(output);
  }
  std::move(output.persist.begin(), output.persist.end(), std::back_inserter(waiting_));
  persist_next();
  Network& network = environment_.network;
  for (consensus::RaftMessage& message : output.peer_messages) {
    if (ControllerNode* peer = directory_.find_controller(message.to)) {
      network.send(host_, peer->host_id(),
                   [peer, message = std::move(message)] { peer->receive(message); });
    }
  }
  send_joins(output);
  for (const ownership::OutgoingLease& lease : output.leases) {
    send_lease(lease);
  }
  for (const ownership::OutgoingRelease& release : output.releases) {
    send_release(release);
  }
  for (controller::OutgoingTable& table : output.tables) {
    if (RouterNode* router = directory_.find_router(table.router)) {
      network.send(host_, router->host_id(),
                   [router, update = std::move(table.update)] { router->receive(update); });
    }
  }
  for (const controller::Completion& completion : output.completions) {
    complete(completion);
  }
  flushing_ = false;
  if (core_->unreadable_state().has_value()) {
    environment_.note(options_.name + " cannot read its state");
    return host().after(Duration(0), [this] { kill(false); });
  }
  note_role();
}

void ControllerNode::note_role() {
  const consensus::RaftNode& raft = core_->raft();
  if (raft.is_leader() != led_) {
    led_ = raft.is_leader();
    environment_.note(options_.name + (led_ ? " leads term " : " leads no more, term ") +
                      std::to_string(raft.term().value));
  }
  if (raft.is_leader() && raft.membership() != membership_) {
    membership_ = raft.membership();
    std::string members;
    for (const consensus::Member& member : membership_.members) {
      members += " " + member.name + "/" + std::to_string(member.id.value % 1000) +
                 (member.voter ? "" : "(learner)");
    }
    environment_.note(options_.name + " knows members" + members);
  }
}

void ControllerNode::persist_next() {
  if (persisting_ || waiting_.empty()) {
    return;
  }
  persisting_ = true;
  const std::uint64_t sequence = waiting_.back().sequence;
  (void)store_->write(std::exchange(waiting_, {}));  // a virtual disk does not fail
  const Duration sync_time(common::uniform(environment_.random, kFastestSyncUs, kSlowestSyncUs));
  host().after(sync_time, [this, sequence] {
    (void)store_->sync();
    persisting_ = false;
    core_->on_persisted(host().clock(), sequence);
    persist_next();
    flush();
  });
}

void ControllerNode::send_joins(const controller::ControllerOutput& output) {
  const auto send = [this](ControllerNode* to, auto message) {
    environment_.network.send(host_, to->host_id(), [to, message] { to->receive(message); });
  };
  if (output.join.has_value()) {
    for (ControllerNode* peer : directory_.controllers()) {
      const auto& to = output.join->to;
      if (std::find(to.begin(), to.end(), peer->options_.peer_address) != to.end()) {
        send(peer, output.join->request);
      }
    }
  }
  for (const consensus::JoinRequest& request : output.forwarded_joins) {
    if (ControllerNode* leader = directory_.find_controller(core_->raft().leader())) {
      send(leader, request);
    }
  }
  for (const controller::OutgoingMembers& members : output.member_lists) {
    if (ControllerNode* candidate = directory_.find_controller(members.candidate)) {
      send(candidate, members.list);
    }
  }
}

void ControllerNode::send_lease(const ownership::OutgoingLease& lease) {
  BackendNode* backend = directory_.find_backend(lease.address);
  if (backend == nullptr) {
    return;
  }
  Network& network = environment_.network;
  network.send(host_, backend->host_id(), [this, backend, lease] {
    const ownership::LeaseReply reply = backend->receive_lease(lease.request);
    environment_.network.send(backend->host_id(), host_,
                              [this, machine = lease.machine, id = lease.backend, reply] {
                                receive_lease_reply(machine, id, reply);
                              });
  });
}

void ControllerNode::send_release(const ownership::OutgoingRelease& release) {
  BackendNode* backend = directory_.find_backend(release.address);
  if (backend == nullptr) {
    return;
  }
  environment_.network.send(host_, backend->host_id(), [this, backend, release] {
    backend->receive_release(release.request, [this, backend, id = release.backend](
                                                  const ownership::ReleaseReply& reply) {
      environment_.network.send(backend->host_id(), host_,
                                [this, id, reply] { receive_release_reply(id, reply); });
    });
  });
}

void ControllerNode::complete(const controller::Completion& completion) {
  if (const auto* change = std::get_if<controller::ChangeCompleted>(&completion)) {
    if (const auto node = changes_.extract(change->request)) {
      node.mapped()(change->answer);
    }
  } else if (const auto* command = std::get_if<controller::CommandCompleted>(&completion)) {
    if (const auto node = commands_.extract(command->request)) {
      node.mapped()(command->index);
    }
  } else if (const auto* read = std::get_if<controller::ReadCompleted>(&completion)) {
    if (const auto node = reads_.extract(read->request)) {
      node.mapped()(read->confirmed);
    }
  }
}

}  // namespace planktray::sim

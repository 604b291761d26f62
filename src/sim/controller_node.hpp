#pragma once
/// A controller in the simulator: the shipping ControllerCore and LogStore with virtual network
/// and disk.

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "controller/core/controller_core.hpp"
#include "sim/directory.hpp"
#include "sim/environment.hpp"
#include "sim/virtual_disk.hpp"
#include "storage/log_store.hpp"

namespace planktray::sim {

class ControllerNode {
 public:
  using ChangeReply = std::function<void(const common::Result<ownership::ChangeAnswer>&)>;
  using CommandReply = std::function<void(const common::Result<common::LogIndex>&)>;
  using ReadReply = std::function<void(const common::Result<void>&)>;
  using OutputHook = std::function<void(controller::ControllerOutput&)>;
  using Input = std::function<void(controller::ControllerCore&, TimePoint)>;

  ControllerNode(Environment& environment, Directory& directory, HostId host,
                 controller::ControllerOptions options);

  /// Opens the disk and starts; a damaged disk counts as lost and is replaced.
  void start();
  /// The process and its machine stop at once.
  /// @param torn a part of the unsynced bytes stays on the disk.
  void kill(bool torn);
  void lose_disk();
  /// The mutant of a disk that comes back empty under its old identity.
  void lose_disk_but_keep_identity();

  void receive(const consensus::RaftMessage& message);
  void receive(const consensus::JoinRequest& request);
  void receive(const routing::ControllerList& list);
  void receive(const routing::RouterHello& hello);
  void receive_lease_reply(const common::MachineName& machine, common::BackendId backend,
                           const ownership::LeaseReply& reply);
  void receive_release_reply(common::BackendId backend, const ownership::ReleaseReply& reply);

  void create_cell(const consensus::Membership& membership);
  void change(ownership::ChangeDeclaration change, ChangeReply reply);
  void drain(ownership::DrainMachine drain, CommandReply reply);
  void move(const common::ServiceKey& service, common::ShardNumber shard,
            const common::MachineName& to, CommandReply reply);
  void read(ReadReply reply);
  /// Passes any other input to the core, with the machine's clock, and carries out the output.
  void input(const Input& action);
  /// Calls `hook` with each output before it is carried out. The node carries out what is left.
  void set_output_hook(OutputHook hook) { output_hook_ = std::move(hook); }

  Host& host() { return environment_.network.host(host_); }
  HostId host_id() const { return host_; }
  bool is_up() { return host().is_alive() && core_.has_value(); }
  const controller::ControllerCore& core() const { return *core_; }
  const std::string& name() const { return options_.name; }
  common::ReplicaId replica() const { return store_->identity().replica; }
  consensus::Member as_member() const;
  bool is_leading() { return is_up() && core_->is_serving(host().clock()); }

 private:
  void tick();
  void poll_platform();
  void flush();
  void note_role();
  void send_joins(const controller::ControllerOutput& output);
  void send_lease(const ownership::OutgoingLease& lease);
  void send_release(const ownership::OutgoingRelease& release);
  void persist_next();
  void complete(const controller::Completion& completion);

  Environment& environment_;
  Directory& directory_;
  HostId host_;
  controller::ControllerOptions options_;
  VirtualDisk disk_;
  std::optional<storage::LogStore> store_;
  std::optional<controller::ControllerCore> core_;
  std::vector<consensus::PersistRequest> waiting_;
  OutputHook output_hook_;
  bool persisting_ = false;
  bool flushing_ = false;
  bool led_ = false;
  consensus::Membership membership_;  ///< as last noted
  controller::OperatorRequestId next_request_ = 1;
  std::map<controller::OperatorRequestId, ChangeReply> changes_;
  std::map<controller::OperatorRequestId, CommandReply> commands_;
  std::map<controller::OperatorRequestId, ReadReply> reads_;
};

}  // namespace planktray::sim

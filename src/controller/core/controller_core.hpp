#pragma once
/// All decisions of one controller replica as one state machine. The controller process and the
/// simulator pass messages and the time to it and carry out the output of take_output().

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>
#include <utility>
#include <variant>
#include <vector>

#include "common/error.hpp"
#include "consensus/join.hpp"
#include "consensus/raft.hpp"
#include "controller/core/fleet_suspects.hpp"
#include "controller/core/heartbeat.hpp"
#include "controller/core/heartbeat_relay.hpp"
#include "controller/core/key_move_log.hpp"
#include "controller/core/range_controller.hpp"
#include "controller/core/table_distributor.hpp"
#include "controller/core/update_pacer.hpp"
#include "membership/heartbeat_report.hpp"
#include "membership/machine_list.hpp"
#include "ownership/cell_state.hpp"
#include "ownership/lease_manager.hpp"
#include "ownership/load_view.hpp"
#include "ownership/planner.hpp"
#include "ownership/relayed_heartbeats.hpp"
#include "routing/controller_directory.hpp"
#include "routing/leader_search.hpp"

namespace planktray::controller {

using common::Duration;
using common::TimePoint;

struct ControllerOptions {
  common::CellName cell;
  std::string name;  ///< name of the replica in the cell, kept when its data folder is replaced
  std::string peer_address;      ///< "IP:port" of its ZeroMQ socket
  std::string operator_address;  ///< "IP:port" of its HTTP server
  common::ZoneName zone;         ///< in which it runs; empty: not stated
  consensus::RaftOptions raft;
  ownership::LeaseOptions lease;
  ownership::PlannerOptions planner;
  DistributorOptions distributor;
  UpdatePacerOptions update_pacer;
  routing::CrashLedgerOptions crash_ledger;
  RangeOptions ranges;
  /// The same as at routers.
  routing::LeaderSearchOptions leader_search;
  /// How often the smoothed loads are updated and shards may be moved for balance.
  Duration balance_interval = std::chrono::milliseconds(1000);
  /// A snapshot is taken after this many applied entries.
  std::uint64_t snapshot_entries = 512;
  Duration join_interval = std::chrono::milliseconds(500);
  /// A member that was silent for this long may be replaced by one of its name with a new data
  /// folder.
  Duration replace_after = std::chrono::milliseconds(1500);
  /// If true, any controller may join, up to `maximum_members`; `wanted_voters` of them vote, the
  /// others are standbys. If false, only names that an operator has allowed join, and all of them
  /// vote.
  bool admits_anyone = false;
  std::size_t wanted_voters = 3;
  /// A controller that is not a member cannot answer requests: it has neither the state nor the
  /// leader's address. The leader sends the log to each member; deployments of today run ten.
  std::size_t maximum_members = 16;
  /// With admits_anyone, a voter that was silent for this long is replaced by a standby.
  Duration abandon_after = std::chrono::milliseconds(2500);
  /// A member counts as present if a message of it arrived within this time: three heartbeats, and
  /// less than a machine takes to restart with an empty disk.
  Duration presence_window = std::chrono::milliseconds(90);
  /// In a cell of up to this many back ends, holders send their heartbeats to the leader itself:
  /// the messages of all followers would cost it more than the connections do.
  std::size_t backends_without_relays = 128;
  /// Zones that an operator may evacuate; empty means any.
  std::set<common::ZoneName> zones;
};

struct ChangeCompleted {
  OperatorRequestId request = 0;
  common::Result<ownership::ChangeAnswer> answer;
};
struct CommandCompleted {
  OperatorRequestId request = 0;
  common::Result<common::LogIndex> index;
};
struct ReadCompleted {
  OperatorRequestId request = 0;
  common::Result<void> confirmed;  ///< on success, the state may be read now
};
/// The answer to a heartbeat with holdings.
struct HoldingsCompleted {
  OperatorRequestId request = 0;
  ownership::GrantedHoldings holdings;
};
using Completion =
    std::variant<ChangeCompleted, CommandCompleted, ReadCompleted, HoldingsCompleted>;

struct OutgoingControllers {
  common::RouterName router;
  routing::ControllerList list;
};

/// A request to join the cell and the controllers that it goes to.
struct OutgoingJoin {
  consensus::JoinRequest request;
  std::vector<std::string> to;  ///< "IP:port" for peer connections
};

/// The answer to a controller that asks to join: the members of the cell.
struct OutgoingMembers {
  common::ReplicaId candidate;
  routing::ControllerList list;
};

/// Why the leader has not added a controller that asks to join.
enum class JoinRefusal : std::uint8_t {
  kNameInUse,      ///< a member of its name is running, or was until a moment ago
  kNotAllowed,     ///< no operator has allowed its name
  kCellIsFull,     ///< the cell has its maximum number of members
  kChangePending,  ///< another change of the members is not committed yet
};
std::string_view to_string(JoinRefusal refusal);

struct RefusedJoin {
  std::string candidate;  ///< name
  JoinRefusal reason = JoinRefusal::kNameInUse;
};

/// Answers to heartbeats that a follower has relayed.
struct OutgoingAnswers {
  common::ReplicaId to;
  ownership::RelayedAnswers message;
};

struct ControllerOutput {
  std::vector<consensus::RaftMessage> peer_messages;
  std::optional<OutgoingJoin> join;
  std::vector<consensus::JoinRequest> forwarded_joins;           ///< to the leader
  std::vector<OutgoingMembers> member_lists;                     ///< to candidates
  std::vector<RefusedJoin> refused_joins;                        ///< for the leader's log
  std::optional<membership::HeartbeatReport> heartbeat_report;   ///< to the leader
  std::optional<ownership::HolderHeartbeats> holder_heartbeats;  ///< to the leader
  std::vector<OutgoingAnswers> relayed_answers;                  ///< to followers
  std::vector<consensus::PersistRequest> persist;
  std::vector<ownership::OutgoingLease> leases;
  std::vector<ownership::OutgoingRelease> releases;
  std::vector<ownership::GrantOrder> grants;
  std::vector<ownership::ReleaseOrder> key_releases;
  std::vector<OutgoingTable> tables;
  std::vector<OutgoingControllers> controllers;
  /// To every connected router: this replica leads now.
  std::optional<routing::ControllerList> announcement;
  std::vector<Completion> completions;
  std::vector<routing::BackendRoute> changed_backends;  ///< for the leader's log
  /// Requests that routers must refuse from now on, for the leader's log.
  std::vector<routing::CrashSuspect> blocked_requests;
  /// Keys that begin to move and keys that have an owner again, for the leader's log.
  std::vector<KeysMoving> keys_moving;
  std::vector<KeysAssigned> keys_assigned;

  /// True if there is nothing to carry out.
  bool empty() const;
};

struct ControllerCounters {
  std::uint64_t elections_won = 0;
  std::uint64_t entries_applied = 0;
  std::uint64_t changes_accepted = 0;
  std::uint64_t changes_refused = 0;
  std::uint64_t backends_registered = 0;
  std::uint64_t backends_lost = 0;
  std::uint64_t shards_assigned = 0;
  std::uint64_t moves_begun = 0;
  std::uint64_t snapshots_taken = 0;
  std::uint64_t hellos = 0;              ///< received from routers while leading
  std::uint64_t tables_as_follower = 0;  ///< updates sent to routers as a follower
  std::uint64_t updates_pushed = 0;      ///< sent to routers as the leader without a hello
  std::uint64_t updates_answered = 0;    ///< sent to routers as the leader in answer to hellos
  std::uint64_t heartbeats = 0;          ///< received from back ends
  std::uint64_t updates_relayed = 0;     ///< heartbeats and deregistrations forwarded to the leader
  std::uint64_t heartbeats_relayed = 0;  ///< of holders, received from followers while leading
  std::uint64_t range_plans = 0;         ///< proposed plans of key ranges
  std::uint64_t joins_forwarded = 0;     ///< requests to join sent to the leader
  std::uint64_t joins_refused = 0;       ///< as the leader
};

class ControllerCore {
 public:
  ControllerCore(ControllerOptions options, common::ReplicaId self, consensus::DurableState state,
                 common::RandomEngine random, TimePoint now);

  void tick(TimePoint now);
  void on_peer_message(TimePoint now, const consensus::RaftMessage& message);
  /// Sets the controllers that the settings name. They are asked if no member is known.
  void set_seeds(std::vector<std::string> seeds) { directory_.set_seeds(std::move(seeds)); }
  /// Adds the candidate to the cell, or forwards its request to the leader. The candidate is sent
  /// the members of the cell, of which its seeds may name none any more.
  void on_join(TimePoint now, const consensus::JoinRequest& request);
  /// The members of the cell, in answer to a request to join.
  void on_controller_list(const routing::ControllerList& list);
  /// Returns the addresses of the controllers that this one may have to reach.
  std::vector<std::string> known_controllers() const;
  void on_persisted(TimePoint now, std::uint64_t sequence);
  void on_router_hello(TimePoint now, const routing::RouterHello& hello);
  void on_lease_reply(TimePoint now, const common::MachineName& machine, common::BackendId backend,
                      const ownership::LeaseReply& reply);
  void on_release_reply(TimePoint now, common::BackendId backend,
                        const ownership::ReleaseReply& reply);
  void on_release_failure(common::BackendId backend);
  void on_machine_list(TimePoint now, membership::MachineList list);
  /// Reports the share of the time since the last report that the process had nothing to do.
  void on_idle_share(double idle_share);

  void on_order_reply(TimePoint now, ownership::OrderId id, const ownership::OrderReply& reply);
  /// Completed once the content of the heartbeat is in the replicated state, which may be at once.
  /// A follower accepts heartbeats without holdings and forwards their content to the leader; it
  /// relays those with holdings, and the leader's answer to them.
  void heartbeat(TimePoint now, OperatorRequestId request, const Heartbeat& heartbeat);
  void on_heartbeat_report(TimePoint now, const membership::HeartbeatReport& report);
  void on_holder_heartbeats(TimePoint now, const ownership::HolderHeartbeats& relayed);
  void on_relayed_answers(TimePoint now, const ownership::RelayedAnswers& relayed);
  /// Marks a back end as departed at its own request. Completed and forwarded like a heartbeat.
  void deregister(TimePoint now, OperatorRequestId request, const common::Incarnation& incarnation);

  /// Creates the cell with these members. Allowed only for a data folder that belongs to no cell
  /// yet; a repeated call with the same members does nothing.
  common::Result<void> create_cell(TimePoint now, const consensus::Membership& membership);
  void change_declaration(TimePoint now, OperatorRequestId request,
                          ownership::ChangeDeclaration change);
  void change_routes(TimePoint now, OperatorRequestId request, config::RouteChange change);
  void drain_machine(TimePoint now, OperatorRequestId request, ownership::DrainMachine drain);
  /// Completed once committed. A repeated evacuation changes nothing and is completed as well.
  void evacuate_zone(TimePoint now, OperatorRequestId request, ownership::EvacuateZone evacuation);
  /// Begins a planned move of one shard to a machine.
  void move_shard(TimePoint now, OperatorRequestId request, const common::ServiceKey& service,
                  common::ShardNumber shard, const common::MachineName& to);
  /// Lets a controller of a new name join.
  common::Result<void> allow_member(TimePoint now, const std::string& name);
  common::Result<void> remove_member(TimePoint now, const std::string& name);
  /// Completed at a moment when the state may be read linearizably.
  void read(TimePoint now, OperatorRequestId request);

  /// The address for the next heartbeat of a back end. A leader names a follower that is present,
  /// of the sender's zone if one is known, chosen by the sender's identity, so that back ends do
  /// not keep sending heartbeats to the leader. A follower names itself; nullopt if there are
  /// controllers enough for the sender to find one of its own zone. Holders of a small cell are
  /// sent to the leader.
  std::optional<std::string> heartbeat_address(TimePoint now,
                                               const common::Incarnation& sender) const;

  /// Returns a new identity for a request to this process.
  OperatorRequestId new_request() { return next_request_++; }
  ControllerOutput take_output();
  /// When tick() must be called next, if no input arrives before.
  TimePoint next_due(TimePoint now) const;

  /// True while this replica holds the leader lease, and so may answer requests and grant keys.
  bool is_serving(TimePoint now) const { return raft_.has_leader_lease(now); }
  /// Why the replicated state cannot be read, if so. Its content is then not that of its index:
  /// take_output() returns nothing any more, and the process must end.
  const std::optional<common::Error>& unreadable_state() const { return unreadable_state_; }
  const consensus::RaftNode& raft() const { return raft_; }
  const ownership::CellState& state() const { return state_; }
  const ownership::LeaseManager& leases() const { return leases_; }
  const RangeController& ranges() const { return ranges_; }
  const TableDistributor& distributor() const { return distributor_; }
  const UpdatePacer& update_pacer() const { return update_pacer_; }
  const membership::MachineList& machines() const { return machines_; }
  const ControllerCounters& counters() const { return counters_; }
  const ControllerOptions& options() const { return options_; }
  /// True if every voter of the cell is present and holds the committed log, so that losing any one
  /// of them loses no data.
  bool is_fully_replicated(TimePoint now) const;

 private:
  struct PendingRequest {
    OperatorRequestId request = 0;
    common::Term term;
    bool is_change = false;
    /// The sender of a heartbeat whose answer carries grants; empty for other requests.
    common::Incarnation holder;
    TimePoint received;  ///< when such a heartbeat arrived
  };

  /// An update of a back end that a follower has forwarded to the leader. The follower answers the
  /// request once the update is committed.
  struct RelayedUpdate {
    common::Incarnation incarnation;
    bool draining = false;
    bool departed = false;
    TimePoint deadline;
  };

  /// A heartbeat that a follower has relayed and that is not answered yet.
  struct RelayedRequest {
    common::ReplicaId follower;
    common::Incarnation incarnation;
    std::uint64_t sequence = 0;
  };

  /// Processes the output of the log and, while this replica serves, makes all due output.
  void step(TimePoint now);
  /// Checks everything that may have changed, at most once every few milliseconds.
  void sweep(TimePoint now);
  /// True if there are sessions, machines or services under the holder-clock lease contract.
  bool uses_leases() const;
  void process_raft_output(TimePoint now);
  /// Replaces the state with that of a snapshot.
  /// @return false if the snapshot cannot be read.
  bool restore(const std::string& snapshot);
  void update_role(TimePoint now);
  void apply_entry(TimePoint now, const consensus::Entry& entry);
  void complete(TimePoint now, const consensus::Entry& entry, const ownership::ApplyResult& result);
  void fail_pending_requests();
  void fail_request(OperatorRequestId request, bool is_change, const common::Error& error);
  void take_snapshot();
  /// Requests to join the cell if this replica is not a member, or may have been removed.
  void request_join(TimePoint now);
  /// Adds the candidate as a member. @return why it was not added, if so.
  std::optional<JoinRefusal> admit(TimePoint now, const consensus::Member& candidate);
  void maintain_members(TimePoint now);
  /// Returns the current membership with one due change, or nullopt if none is due.
  std::optional<consensus::Membership> next_membership(TimePoint now) const;
  /// The same for a silent member: removes it, or promotes a standby to replace it.
  std::optional<consensus::Membership> next_standby_change(TimePoint now) const;
  /// True if the member is silent and a present voter has the same name.
  bool is_replaced(TimePoint now, const consensus::Member& member) const;
  bool has_caught_up(const consensus::Member& member) const;
  /// True if another voter has the same name: the member replaces its former data folder.
  bool replaces_a_voter(const consensus::Member& member) const;
  bool is_present(TimePoint now, common::ReplicaId id, Duration window) const;
  void commit_grant_terms(TimePoint now);
  /// Answers deferred heartbeats whose holder has an update or whose deadline has come.
  void answer_holders(TimePoint now);
  /// Fails a request that a newer one has superseded, if there is one.
  void fail_superseded(std::optional<OperatorRequestId> request);
  /// True if each zone has a controller besides the leader, by their number.
  bool has_controllers_in_all_zones() const;
  /// True if this follower has a leader and the state contains everything in the heartbeat.
  bool may_answer_for_leader(const Heartbeat& heartbeat) const;
  /// Decides on a heartbeat as the leader.
  void accept_heartbeat(TimePoint now, OperatorRequestId request, const Heartbeat& heartbeat);
  /// How long what this follower relays waits for more of it.
  Duration relay_delay() const;
  /// Keeps a holder's heartbeat for the leader.
  void relay_heartbeat(TimePoint now, OperatorRequestId request, const Heartbeat& heartbeat);
  /// Sends the heartbeats that wait to the leader, or decides on them if this replica leads now.
  void process_relayed_heartbeats(TimePoint now);
  void accept_relayed(TimePoint now, const ownership::HolderHeartbeats& relayed);
  /// Replaces completions of relayed heartbeats by answers to the followers that sent them.
  void address_relayed_answers(ControllerOutput& output);
  /// True if holders of this cell should send their heartbeats to the leader itself.
  bool prefers_direct_heartbeats() const;
  void report_heartbeats(TimePoint now);
  void relay_update(TimePoint now, OperatorRequestId request, membership::BackendUpdate update);
  bool is_committed(const RelayedUpdate& update) const;
  void answer_relayed(TimePoint now);
  /// Proposes an update that a follower has relayed; called on the leader.
  void apply_relayed(TimePoint now, const membership::BackendUpdate& update);
  /// Sends a router the updates that this follower can provide, and the list of controllers.
  void answer_as_follower(TimePoint now, const routing::RouterHello& hello);
  /// Answers a hello with the list of controllers.
  void send_controller_list(const common::RouterName& router, bool offers_snapshot);
  routing::ControllerList controller_list() const;
  /// Proposes that the back end's process has ended, since another incarnation answers at its
  /// address.
  void mark_ended(TimePoint now, common::BackendId id);
  /// Makes orders to all owners with this address due if several back ends are registered with it.
  void verify_owners_at(TimePoint now, const std::string& address);
  /// Proposes that the other back ends with the order's address have ended if the reply shows which
  /// process was running there after all of them had been registered.
  void settle_address(TimePoint now, const ownership::AnsweredOrder& order,
                      const ownership::OrderReply& reply);
  /// Proposes that the back end is leaving, since it has stated so in an answer.
  void mark_stated_departure(TimePoint now, common::BackendId id);
  void plan_ranges(TimePoint now);
  /// Adds the key moves of an applied plan to the output, for the log.
  void log_key_moves(TimePoint now, common::LogIndex index, const ownership::Command& command);
  /// Proposes which back ends have turned cold or warm.
  void commit_warmth(TimePoint now);
  void register_backends(TimePoint now);
  void mark_leaving(TimePoint now);
  void plan(TimePoint now);
  common::Result<common::LogIndex> propose(TimePoint now, const ownership::Command& command);
  void submit(TimePoint now, OperatorRequestId request, const ownership::Command& command,
              bool is_change);
  /// Proposes the new content of a heartbeat. `holder` is its sender if the answer carries grants,
  /// and empty otherwise.
  void submit_heartbeat(TimePoint now, OperatorRequestId request, const common::Incarnation& holder,
                        const ownership::Command& command);
  common::Error not_leader(const std::string& step_name) const;

  ControllerOptions options_;
  consensus::RaftNode raft_;
  ownership::CellState state_;
  ownership::LeaseManager leases_;
  ownership::Planner planner_;
  ownership::LoadView loads_;
  TableDistributor distributor_;
  UpdatePacer update_pacer_;
  FleetSuspects suspects_;
  RangeController ranges_;
  KeyMoveLog key_moves_;
  membership::MachineList machines_;

  std::optional<common::Error> unreadable_state_;
  OperatorRequestId next_request_ = 1;
  bool leading_ = false;
  common::Term leading_term_;
  bool announced_ = false;  ///< routers have been sent the announcement that this replica leads
  std::map<common::LogIndex, PendingRequest> pending_;
  std::set<std::pair<common::MachineName, common::Incarnation>> registering_;
  std::set<common::BackendId> marking_;
  std::set<common::BackendId> ending_;  ///< proposed as ended, not applied yet
  std::set<std::string> allowed_names_;
  std::set<common::ReplicaId> replaced_;  ///< members whose data folder was replaced
  /// Times at which this leader added members that may not have answered yet.
  std::map<common::ReplicaId, TimePoint> admitted_;
  common::LogIndex plan_index_;  ///< the last proposed plan; the next one waits until it is applied
  common::LogIndex range_plan_index_;  ///< the same for plans of key ranges
  common::LogIndex terms_index_;       ///< the same for terms of grants
  common::LogIndex warmth_index_;      ///< the same for cold and warm back ends
  common::LogIndex planned_state_;     ///< the state that the last plan was made from
  TimePoint next_balance_;
  TimePoint next_join_;
  routing::ControllerDirectory directory_;
  std::map<common::ReplicaId, common::ZoneName> follower_zones_;  ///< as they report
  std::vector<membership::BackendHeartbeat> heartbeats_;  ///< on a follower, since its last report
  std::vector<membership::BackendUpdate> updates_;  ///< on a follower, not yet sent to the leader
  std::map<OperatorRequestId, RelayedUpdate> relayed_;
  common::LogIndex relayed_checked_;  ///< the state that `relayed_` was last compared with
  TimePoint next_relay_deadline_ = TimePoint::max();  ///< of the first of `relayed_`
  TimePoint next_report_;
  HeartbeatRelay relay_;
  common::ReplicaId relay_leader_;  ///< that heartbeats are relayed to
  common::Term relay_term_;         ///< of that leader
  TimePoint leader_known_at_;       ///< when there was a leader last
  /// Received since this replica was elected, until it is serving.
  std::vector<ownership::HolderHeartbeats> early_heartbeats_;
  std::unordered_map<OperatorRequestId, RelayedRequest> relayed_requests_;  ///< as the leader
  TimePoint next_plan_;
  TimePoint next_sweep_;
  bool sweep_needed_ = false;  ///< a change should not wait for the next sweep
  std::uint64_t applied_since_snapshot_ = 0;
  ControllerCounters counters_;
  ControllerOutput output_;
};

}  // namespace planktray::controller

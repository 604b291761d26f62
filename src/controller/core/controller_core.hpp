#pragma once
/// All decisions of one controller replica as one state machine. The process shell and the
/// simulator feed it messages and the time, and carry out what take_output() returns.

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "common/error.hpp"
#include "consensus/join.hpp"
#include "consensus/raft.hpp"
#include "controller/core/fleet_suspects.hpp"
#include "controller/core/key_move_log.hpp"
#include "controller/core/range_controller.hpp"
#include "controller/core/table_distributor.hpp"
#include "membership/heartbeat_report.hpp"
#include "membership/machine_list.hpp"
#include "ownership/cell_state.hpp"
#include "ownership/lease_manager.hpp"
#include "ownership/load_view.hpp"
#include "ownership/planner.hpp"
#include "routing/leader_search.hpp"

namespace planktray::controller {

using common::Duration;
using common::TimePoint;

struct ControllerOptions {
  common::CellName cell;
  std::string name;              ///< name of the replica's place
  std::string peer_address;      ///< "IP:port" of its ZeroMQ socket
  std::string operator_address;  ///< "IP:port" of its HTTP server
  consensus::RaftOptions raft;
  ownership::LeaseOptions lease;
  ownership::PlannerOptions planner;
  DistributorOptions distributor;
  routing::CrashLedgerOptions crash_ledger;
  RangeOptions ranges;
  /// As routers have it.
  routing::LeaderSearchOptions leader_search;
  /// How often load is folded and balancing may act.
  Duration balance_interval = std::chrono::milliseconds(1000);
  /// A snapshot is taken after this many applied entries.
  std::uint64_t snapshot_entries = 512;
  Duration join_interval = std::chrono::milliseconds(500);
  /// A member that was silent for this long may be replaced by a new folder under its name.
  Duration replace_after = std::chrono::milliseconds(1500);
  /// Any controller may join, up to `maximum_members`; `wanted_voters` of them vote, the others
  /// stand by. Off: only names that an operator has allowed join, and all of them vote.
  bool admits_anyone = false;
  std::size_t wanted_voters = 3;
  /// A controller that is left out answers nobody: it knows neither state nor leader. Each one more
  /// has the leader send it the log; deployments of today run ten.
  std::size_t maximum_members = 16;
  /// With admits_anyone, a voter that was silent for this long gives its place to a standby.
  Duration abandon_after = std::chrono::milliseconds(2500);
  /// A member counts as present where it was heard this recently: three heartbeats, and less than
  /// a machine takes to come back with an empty disk.
  Duration presence_window = std::chrono::milliseconds(90);
  /// Zones that an operator may evacuate. Empty: any.
  std::set<common::ZoneName> zones;
};

/// What a back end that registers itself says in a heartbeat.
struct Heartbeat {
  common::Incarnation incarnation;
  std::string address;  ///< "IP:port"
  std::string service;
  common::ZoneName zone;
  std::uint32_t slots = 0;
  bool draining = false;
  std::uint64_t sequence = 0;
  std::uint32_t cold_ms = 0;        ///< how much longer it is slow, and bears few requests a second
  bool cold_is_unreadable = false;  ///< it says so in a form that cannot be read
  /// Given where the back end hears in the answer what it is to hold.
  std::optional<ownership::HoldingsReport> holdings;
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
  common::Result<void> confirmed;  ///< the state may be read now
};
/// The answer to a heartbeat that said what its sender holds.
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

struct ControllerOutput {
  std::vector<consensus::RaftMessage> peer_messages;
  std::optional<consensus::JoinRequest> join;                   ///< to every configured peer
  std::optional<membership::HeartbeatReport> heartbeat_report;  ///< to the leader
  std::vector<consensus::PersistRequest> persist;
  std::vector<ownership::OutgoingLease> leases;
  std::vector<ownership::OutgoingRelease> releases;
  std::vector<ownership::GrantOrder> grants;
  std::vector<ownership::ReleaseOrder> key_releases;
  std::vector<OutgoingTable> tables;
  std::vector<OutgoingControllers> controllers;
  /// To every router that has a connection here: this replica leads now.
  std::optional<routing::ControllerList> announcement;
  std::vector<Completion> completions;
  std::vector<routing::BackendRoute> changed_backends;  ///< of a leader, for its log
  /// Requests that a leader has routers refuse from now on, for its log.
  std::vector<routing::CrashSuspect> blocked_requests;
  /// Keys that move and that have an owner again, for the log of a leader.
  std::vector<KeysMoving> keys_moving;
  std::vector<KeysAssigned> keys_assigned;

  /// True where there is nothing to carry out.
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
  std::uint64_t hellos = 0;              ///< of routers, while leading
  std::uint64_t tables_as_follower = 0;  ///< brought to routers that asked a follower
  std::uint64_t heartbeats = 0;          ///< of back ends, that came here
  std::uint64_t updates_relayed = 0;     ///< of those and of goodbyes: passed on to the leader
  std::uint64_t range_plans = 0;         ///< proposed
};

class ControllerCore {
 public:
  ControllerCore(ControllerOptions options, common::ReplicaId self, consensus::DurableState state,
                 common::RandomEngine random, TimePoint now);

  void tick(TimePoint now);
  void on_peer_message(TimePoint now, const consensus::RaftMessage& message);
  void on_join(TimePoint now, const consensus::JoinRequest& request);
  void on_persisted(TimePoint now, std::uint64_t sequence);
  void on_router_hello(TimePoint now, const routing::RouterHello& hello);
  void on_lease_reply(TimePoint now, const common::MachineName& machine, common::BackendId backend,
                      const ownership::LeaseReply& reply);
  void on_release_reply(TimePoint now, common::BackendId backend,
                        const ownership::ReleaseReply& reply);
  void on_release_failure(common::BackendId backend);
  void on_machine_list(TimePoint now, membership::MachineList list);

  void on_order_reply(TimePoint now, ownership::OrderId id, const ownership::OrderReply& reply);
  /// Completed once what it says is in the replicated state, or at once where it is already: a
  /// follower takes those whose answer need not say what to hold, and tells the leader of them.
  void heartbeat(TimePoint now, OperatorRequestId request, const Heartbeat& heartbeat);
  void on_heartbeat_report(TimePoint now, const membership::HeartbeatReport& report);
  /// A back end says goodbye; as above.
  void deregister(TimePoint now, OperatorRequestId request, const common::Incarnation& incarnation);

  /// Makes the cell with these members. Only for a folder that belongs to no cell yet; a repeat
  /// with the same members does nothing.
  common::Result<void> create_cell(TimePoint now, const consensus::Membership& membership);
  void change_declaration(TimePoint now, OperatorRequestId request,
                          ownership::ChangeDeclaration change);
  void change_routes(TimePoint now, OperatorRequestId request, config::RouteChange change);
  void drain_machine(TimePoint now, OperatorRequestId request, ownership::DrainMachine drain);
  /// Completed once it is committed; the same again changes nothing and is completed too.
  void evacuate_zone(TimePoint now, OperatorRequestId request, ownership::EvacuateZone evacuation);
  /// Begins a planned move of one shard to a machine.
  void move_shard(TimePoint now, OperatorRequestId request, const common::ServiceKey& service,
                  common::ShardNumber shard, const common::MachineName& to);
  /// Lets a controller of a new name join.
  common::Result<void> allow_member(TimePoint now, const std::string& name);
  common::Result<void> remove_member(TimePoint now, const std::string& name);
  /// Asks for a moment at which the state may be read linearizably.
  void read(TimePoint now, OperatorRequestId request);

  /// Where a back end that need not be told what to hold is to send its next heartbeat: a leader
  /// names a follower that it hears, another one for each back end, so that those whose heartbeats
  /// came to it do not stay; a follower names itself.
  std::string heartbeat_address(TimePoint now, const common::Incarnation& sender) const;

  /// A number for a request to this process, different from all before.
  OperatorRequestId new_request() { return next_request_++; }
  ControllerOutput take_output();
  /// When tick() next has something to do, if no input comes before.
  TimePoint next_due(TimePoint now) const;

  /// True where this replica may answer and grant.
  bool is_serving(TimePoint now) const { return raft_.has_leader_lease(now); }
  const consensus::RaftNode& raft() const { return raft_; }
  const ownership::CellState& state() const { return state_; }
  const ownership::LeaseManager& leases() const { return leases_; }
  const RangeController& ranges() const { return ranges_; }
  const TableDistributor& distributor() const { return distributor_; }
  const membership::MachineList& machines() const { return machines_; }
  const ControllerCounters& counters() const { return counters_; }
  const ControllerOptions& options() const { return options_; }
  /// True where every voter of the cell is present and holds the committed log, so that the loss
  /// of any one of them loses nothing.
  bool is_fully_replicated(TimePoint now) const;

 private:
  struct PendingRequest {
    OperatorRequestId request = 0;
    common::Term term;
    bool is_change = false;
    /// Of a heartbeat whose answer says what its sender is to hold: the sender; else empty.
    common::Incarnation holder;
    TimePoint received;  ///< of such a heartbeat
  };

  /// What a follower has passed on to the leader and answers once it is committed.
  struct RelayedNews {
    common::Incarnation incarnation;
    bool draining = false;
    bool departed = false;
    TimePoint until;
  };

  void step(TimePoint now);
  /// Looks through everything that may have changed; not more often than every few milliseconds.
  void sweep(TimePoint now);
  /// True where anything of the holder-clock lease contract is there to look after.
  bool uses_leases() const;
  void absorb_raft(TimePoint now);
  void note_role(TimePoint now);
  void apply_entry(TimePoint now, const consensus::Entry& entry);
  void complete(TimePoint now, const consensus::Entry& entry, const ownership::ApplyResult& result);
  void fail_pending();
  void fail_request(OperatorRequestId request, bool is_change, const common::Error& error);
  void take_snapshot();
  void maintain_members(TimePoint now);
  /// The present membership with one change that is due, or nothing.
  std::optional<consensus::Membership> next_membership(TimePoint now) const;
  std::optional<consensus::Membership> next_standby_change(TimePoint now) const;
  bool is_replaced(TimePoint now, const consensus::Member& member) const;
  bool has_caught_up(const consensus::Member& member) const;
  /// True where a voter of the same name stands for an older folder of the same place.
  bool takes_a_place(const consensus::Member& member) const;
  bool is_present(TimePoint now, common::ReplicaId id, Duration window) const;
  void commit_grant_terms(TimePoint now);
  /// Answers heartbeats of back ends that are to hold something else, or have waited long enough.
  void answer_holders(TimePoint now);
  /// Ends a request that will not be answered any more, since another one has taken its place.
  void drop_request(std::optional<OperatorRequestId> request);
  /// True where the replicated state has all that the heartbeat says, and there is a leader.
  bool may_answer_for_leader(const Heartbeat& heartbeat) const;
  void report_heartbeats(TimePoint now);
  void relay_news(TimePoint now, OperatorRequestId request, membership::BackendNews news);
  bool is_committed(const RelayedNews& news) const;
  void answer_relayed(TimePoint now);
  /// As the leader: proposes what a back end has said to a follower.
  void take_news(TimePoint now, const membership::BackendNews& news);
  /// Brings a router what it lacks, as far as a follower can tell, and says where the others are.
  void answer_as_follower(TimePoint now, const routing::RouterHello& hello);
  /// Tells a router that asked a follower where the others are.
  void name_controllers(const common::RouterName& router);
  routing::ControllerList controller_list() const;
  /// Proposes that the back end's process has ended: another incarnation answers at its address.
  void mark_ended(TimePoint now, common::BackendId id);
  /// Proposes that the back end is leaving: it has told a router so.
  void mark_stated_departure(TimePoint now, common::BackendId id);
  void plan_ranges(TimePoint now);
  /// Says what an applied plan means for keys.
  void log_key_moves(TimePoint now, common::LogIndex index, const ownership::Command& command);
  /// Proposes which back ends have turned cold or warm.
  void commit_warmth(TimePoint now);
  void register_backends(TimePoint now);
  void mark_leaving(TimePoint now);
  void plan(TimePoint now);
  common::Result<common::LogIndex> propose(TimePoint now, const ownership::Command& command);
  void submit(TimePoint now, OperatorRequestId request, const ownership::Command& command,
              bool is_change);
  /// Submits what a heartbeat says that is new. `holder` is its sender where the answer is to say
  /// what that is to hold, and empty otherwise.
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
  FleetSuspects suspects_;
  RangeController ranges_;
  KeyMoveLog key_moves_;
  membership::MachineList machines_;

  OperatorRequestId next_request_ = 1;
  bool leading_ = false;
  common::Term leading_term_;
  bool announced_ = false;  ///< routers have been told that this replica leads
  std::map<common::LogIndex, PendingRequest> pending_;
  std::set<std::pair<common::MachineName, common::Incarnation>> registering_;
  std::set<common::BackendId> marking_;
  std::set<common::BackendId> ending_;  ///< proposed as ended, not applied yet
  std::set<std::string> allowed_names_;
  std::set<common::ReplicaId> replaced_;  ///< members whose place has a new folder
  common::LogIndex plan_index_;           ///< the last plan proposed; wait for it before the next
  common::LogIndex range_plan_index_;     ///< the same for plans of key ranges
  common::LogIndex terms_index_;          ///< the same for terms of grants
  common::LogIndex warmth_index_;         ///< the same for cold and warm back ends
  common::LogIndex planned_state_;        ///< state that the last plan was made from
  TimePoint next_balance_;
  TimePoint next_join_;
  std::vector<membership::HeardBackend> heard_;  ///< as a follower, since the last report
  std::vector<membership::BackendNews> news_;    ///< the same, not answered yet
  std::map<OperatorRequestId, RelayedNews> relayed_;
  TimePoint next_report_;
  TimePoint next_plan_;
  TimePoint next_sweep_;
  bool sweep_needed_ = false;  ///< something changed that should not wait for the next sweep
  std::uint64_t applied_since_snapshot_ = 0;
  ControllerCounters counters_;
  ControllerOutput output_;
};

}  // namespace planktray::controller

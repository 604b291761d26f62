#pragma once
/// The replicated log of a cell: Raft (Ongaro and Ousterhout, 2014) with pre-vote, check-quorum,
/// read-index reads, leader leases, learners, single-step membership changes and chunked snapshots.
/// RaftNode does no I/O: messages and the time are inputs, effects are returned by take_output().
///
/// Invariants:
///  - A vote or an appended entry is acknowledged only after persisted() has covered it. Contact
///    with the leader is acknowledged at once: a voter that loses it in a crash refuses votes after
///    its restart.
///  - A voter refuses votes and pre-votes for one minimum election timeout after its last contact
///    with a leader and after its own start. A leader lease that is shorter by the drift margin is
///    therefore safe.
///  - A replica id belongs to one data folder. A replaced disk has another id.
///  - A snapshot is installed only if its bytes are those of one sender, by their digest.

#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "common/error.hpp"
#include "common/random.hpp"
#include "common/time.hpp"
#include "consensus/messages.hpp"

namespace planktray::consensus {

using common::Duration;
using common::TimePoint;

/// Timing and message sizes of a replica.
struct RaftOptions {
  Duration heartbeat = std::chrono::milliseconds(30);
  Duration minimum_election_timeout = std::chrono::milliseconds(150);
  Duration maximum_election_timeout = std::chrono::milliseconds(250);
  /// A leader lease ends this long before a voter may vote again; covers clock rate drift.
  Duration lease_margin = std::chrono::milliseconds(20);
  /// Commands proposed within this time of the last broadcast to all peers are sent together.
  /// Each broadcast with its replies took a leader with nine peers 2 ms and 0.15 of a core, and
  /// back ends are replaced by the dozen.
  Duration batch_interval = std::chrono::milliseconds(10);
  /// Learners get entries this often while commands are proposed, as no commit waits for them.
  Duration learner_interval = std::chrono::milliseconds(40);
  std::size_t snapshot_chunk_bytes = 256 * 1024;
  /// Log entries kept before the snapshot index, so that a replica that is slightly behind needs no
  /// snapshot.
  std::size_t retained_entries = 512;
  std::size_t maximum_entries_per_message = 256;
  /// Safeguard: votes are refused shortly after contact with a leader. Disabled only in mutants.
  bool refuse_early_votes = true;
};

/// The Raft role of a replica.
enum class Role : std::uint8_t { kFollower, kPreCandidate, kCandidate, kLeader };

/// Effects of the inputs since the last take_output().
struct RaftOutput {
  std::vector<RaftMessage> messages;
  std::vector<PersistRequest> persist;
  std::optional<Snapshot> restored;  ///< install before applying `committed`
  std::vector<Entry> committed;
  std::vector<std::uint64_t> reads_ready;   ///< ids of reads that may be answered
  std::vector<std::uint64_t> reads_failed;  ///< ids of reads that ended with loss of leadership
};

/// One replica of the log.
class RaftNode {
 public:
  /// @param state contents of the data folder; with an empty membership the replica waits for a
  ///   leader to contact it as a learner and never starts an election.
  RaftNode(RaftOptions options, ReplicaId self, DurableState state, common::RandomEngine random,
           TimePoint now);

  /// Sends due heartbeats as leader, or starts an election after the election timeout.
  void tick(TimePoint now);
  /// Handles a message from a peer.
  void receive(TimePoint now, const RaftMessage& message);
  /// Reports that the data folder holds everything up to and including this request.
  void persisted(TimePoint now, std::uint64_t sequence);

  /// Initializes a new cell; every founding member starts from the same first snapshot.
  /// Does nothing if this replica already has a membership or log entries.
  void bootstrap(TimePoint now, const Membership& membership, std::string data);
  /// Appends a command. @return its index, or kNotLeader.
  common::Result<LogIndex> propose(TimePoint now, std::string payload);
  /// Appends a membership that differs from the current one by at most one voter.
  /// @return its index; kNotLeader, or kUnavailable while another change is uncommitted or no entry
  ///   of the leader's own term has committed; kInvalid if more than one voter differs.
  common::Result<LogIndex> propose_membership(TimePoint now, const Membership& next);
  /// Requests a linearizable read point; the id is returned in reads_ready or reads_failed.
  void read_barrier(TimePoint now, std::uint64_t read_id);
  /// Replaces the log up to `applied` by the state machine's snapshot, but keeps the most recent
  /// entries for replicas that are slightly behind.
  void compact(LogIndex applied, std::string data);

  /// @return the effects since the last call.
  RaftOutput take_output();

  /// When tick() is next due, if no message arrives earlier.
  TimePoint next_due() const {
    return role_ == Role::kLeader ? next_heartbeat_ : election_deadline_;
  }
  Role role() const { return role_; }
  bool is_leader() const { return role_ == Role::kLeader; }
  /// True while the leader's lease holds and an entry of its own term has committed.
  bool has_leader_lease(TimePoint now) const;
  /// When this replica last became leader; when it started if it never did.
  TimePoint leader_since() const { return leader_since_; }
  Term term() const { return hard_state_.term; }
  ReplicaId self() const { return self_; }
  /// The known leader; id 0 if none is known.
  ReplicaId leader() const { return leader_; }
  LogIndex commit_index() const { return commit_; }
  /// Returns the index of the first entry of the term that this replica leads or led last.
  LogIndex term_start() const { return term_start_; }
  LogIndex last_index() const;
  LogIndex snapshot_index() const { return snapshot_.index; }
  std::size_t log_size() const { return log_.size(); }
  const Membership& membership() const { return membership_; }
  /// Index of the entry or snapshot that contains the current membership.
  LogIndex membership_index() const { return membership_index_; }
  /// Number of snapshots that arrived with other bytes than their sender's.
  std::uint64_t damaged_snapshots() const { return damaged_snapshots_; }
  /// True while a membership entry is uncommitted.
  bool membership_change_pending() const { return membership_index_ > commit_; }
  /// The time as of which this replica is up to date: every entry acknowledged to any client before
  /// this time is committed here. Empty if never known. Set on followers only, where the time lags
  /// by a heartbeat interval and the network latency; a leader is up to date while its lease holds
  /// (see has_leader_lease).
  std::optional<TimePoint> current_as_of() const { return current_as_of_; }
  /// When the newest heartbeat that this peer answered was sent, or when this replica became leader
  /// if that is later; empty if neither is known.
  std::optional<TimePoint> last_contact(ReplicaId peer) const;
  /// The last log index that this peer is known to have stored durably (leader only).
  LogIndex match_index(ReplicaId peer) const;

 private:
  /// The leader's view of a peer's log.
  struct Progress {
    LogIndex match;
    LogIndex next;
    std::uint64_t acknowledged_round = 0;
    std::int64_t clock_us = 0;   ///< the peer's newest clock reading
    std::uint64_t clock_id = 0;  ///< of the clock of `clock_us`
    std::uint64_t snapshot_offset = 0;
    LogIndex snapshot_index;
    bool chunk_in_flight = false;  ///< send only empty chunks until the reply or a timeout
    TimePoint last_sent;
    std::optional<TimePoint> last_contact;  ///< see RaftNode::last_contact()
  };
  /// A read that waits for a majority to confirm `round` and for `index` to commit.
  struct PendingRead {
    std::uint64_t read_id;
    std::uint64_t round;
    LogIndex index;
  };
  /// A message that is sent once the persist request `sequence` is synced.
  struct DelayedMessage {
    std::uint64_t sequence;
    RaftMessage message;
  };

  // Elections.
  void become_follower(TimePoint now, Term term, ReplicaId leader);
  void start_pre_vote(TimePoint now);
  void start_election(TimePoint now);
  void become_leader(TimePoint now);
  void reset_election_timer(TimePoint now);
  void handle(TimePoint now, const RaftMessage& message, const VoteRequest& request);
  void handle(TimePoint now, const RaftMessage& message, const VoteReply& reply);
  bool may_vote(TimePoint now) const;
  void count_vote(TimePoint now, ReplicaId from, bool pre_vote);
  bool is_log_up_to_date(LogIndex index, Term term) const;

  // Replication.
  /// Sends all voters, and learners if it is their turn, what they lack.
  void broadcast(TimePoint now);
  void send_append(TimePoint now, ReplicaId peer, Progress& progress);
  void send_snapshot(TimePoint now, ReplicaId peer, Progress& progress);
  /// Replaces the snapshot that this replica restarts from and sends to others.
  void set_snapshot(Snapshot snapshot);
  /// Adds a chunk to the snapshot being received.
  /// @return true if the snapshot is complete and its digest is right.
  bool receive_chunk(const SnapshotChunk& chunk);
  void handle(TimePoint now, const RaftMessage& message, const AppendRequest& request);
  void handle(TimePoint now, const RaftMessage& message, const AppendReply& reply);
  void handle(TimePoint now, const RaftMessage& message, const SnapshotChunk& chunk);
  void handle(TimePoint now, const RaftMessage& message, const SnapshotReply& reply);
  void append_local(TimePoint now, EntryKind kind, std::string payload);
  /// Advances current_as_of_ from a leader's message.
  void update_current_as_of(TimePoint now, const AppendRequest& request);
  void accept_entries(const AppendRequest& request);
  void advance_commit(TimePoint now);
  void commit_up_to(LogIndex index);
  void record_contact(ReplicaId from, std::uint64_t round);
  void check_quorum(TimePoint now);
  void release_reads();

  // Log and membership bookkeeping.
  std::optional<Term> term_at(LogIndex index) const;
  void truncate_from(LogIndex index);
  void apply_membership(const Entry& entry);
  void recompute_membership();
  void refresh_progress();
  std::uint64_t quorum_round() const;

  // Effects.
  void persist(PersistRequest request);
  void send(ReplicaId to, RaftBody body);
  void send_after_sync(ReplicaId to, RaftBody body);

  RaftOptions options_;
  ReplicaId self_;
  common::RandomEngine random_;
  std::uint64_t clock_id_;  ///< of this process's clock readings

  HardState hard_state_;
  Snapshot snapshot_;
  std::uint64_t snapshot_digest_ = 0;  ///< of the bytes of `snapshot_`
  std::deque<Entry> log_;              ///< entries after the snapshot
  Membership membership_;
  LogIndex membership_index_;

  Role role_ = Role::kFollower;
  ReplicaId leader_;
  LogIndex commit_;
  std::optional<TimePoint> current_as_of_;
  LogIndex durable_index_;  ///< the own log is synced up to this index
  TimePoint election_deadline_;
  TimePoint votes_refused_until_;  ///< votes are refused before this time
  TimePoint leader_since_;
  LogIndex term_start_;  ///< index of the no-op entry at the start of the leader's term
  TimePoint next_heartbeat_;
  TimePoint last_broadcast_;
  TimePoint last_learner_broadcast_;
  LogIndex broadcast_index_;  ///< the last entry at the time of the last broadcast
  std::set<ReplicaId> votes_;

  std::map<ReplicaId, Progress> progress_;
  std::uint64_t round_ = 0;
  std::map<std::uint64_t, TimePoint> round_send_times_;
  TimePoint lease_start_;  ///< send time of the newest round that a majority acknowledged
  std::deque<PendingRead> pending_reads_;

  Snapshot incoming_;                  ///< snapshot being received
  std::uint64_t incoming_digest_ = 0;  ///< as stated by the sender of `incoming_`
  std::uint64_t damaged_snapshots_ = 0;
  std::uint64_t sequence_ = 0;
  std::uint64_t synced_sequence_ = 0;
  std::map<std::uint64_t, LogIndex> appended_by_sequence_;
  std::deque<DelayedMessage> delayed_;
  RaftOutput output_;
};

}  // namespace planktray::consensus

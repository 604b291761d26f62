#pragma once
/// The replicated log of a cell: Raft (Ongaro and Ousterhout, 2014) with pre-vote, check-quorum,
/// read-index reads, leader leases, learners, single-step membership changes and chunked snapshots.
/// A plain state machine: messages and the time come in, effects come out through take_output().
///
/// Invariants:
///  - A vote or an appended entry is answered only after persisted() has covered it. That a leader
///  was
///    heard is answered at once: a voter that forgets it in a crash refuses votes after its start.
///  - A voter refuses (pre-)votes for one minimum election timeout after it last heard a leader and
///    after its own start, so a leader lease shorter than that by the drift margin is safe.
///  - An identity belongs to one data folder. A replaced disk has another identity.

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

struct RaftOptions {
  Duration heartbeat = std::chrono::milliseconds(30);
  Duration minimum_election_timeout = std::chrono::milliseconds(150);
  Duration maximum_election_timeout = std::chrono::milliseconds(250);
  /// By this much a leader lease ends before a voter may vote again; covers clock rate drift.
  Duration lease_margin = std::chrono::milliseconds(20);
  /// Entries proposed within this time of the last message to all peers go out together: each such
  /// message, with its answers, took 2 ms of a leader with nine peers and 0.15 of a core, and back
  /// ends that are replaced come dozens at a time.
  Duration batch_interval = std::chrono::milliseconds(10);
  std::size_t snapshot_chunk_bytes = 256 * 1024;
  std::size_t maximum_entries_per_message = 256;
  /// Safeguard: votes are refused while a leader was heard lately. Off only in mutants.
  bool refuse_early_votes = true;
};

enum class Role : std::uint8_t { kFollower, kPreCandidate, kCandidate, kLeader };

/// Effects of the inputs since the last take_output().
struct RaftOutput {
  std::vector<RaftMessage> messages;
  std::vector<PersistRequest> persist;
  std::optional<Snapshot> restored;  ///< install before applying `committed`
  std::vector<Entry> committed;
  std::vector<std::uint64_t> reads_ready;   ///< read ids that may be answered now
  std::vector<std::uint64_t> reads_failed;  ///< read ids whose leadership was lost
};

class RaftNode {
 public:
  /// @param state what the data folder held; an empty membership waits to be contacted as a
  ///   learner and never stands for election.
  RaftNode(RaftOptions options, ReplicaId self, DurableState state, common::RandomEngine random,
           TimePoint now);

  void tick(TimePoint now);
  void receive(TimePoint now, const RaftMessage& message);
  /// The data folder holds everything up to and including this request.
  void persisted(TimePoint now, std::uint64_t sequence);

  /// Starts a cell that never existed: the same first snapshot on every founding member.
  /// Does nothing where this replica has a membership already.
  void bootstrap(TimePoint now, const Membership& membership, std::string data);
  /// Appends a command. @return its index, or kNotLeader.
  common::Result<LogIndex> propose(TimePoint now, std::string payload);
  /// Appends a membership that differs from the present one by one voter or learner.
  /// @return its index; kNotLeader, or kUnavailable while another change is under way or no entry
  ///   of the leader's own term has committed.
  common::Result<LogIndex> propose_membership(TimePoint now, const Membership& next);
  /// Asks for a linearizable read point; the id comes back in reads_ready or reads_failed.
  void read_barrier(TimePoint now, std::uint64_t read_id);
  /// Drops the log up to `applied` in favour of the state machine's snapshot.
  void compact(LogIndex applied, std::string data);

  RaftOutput take_output();

  /// When tick() next has something to do, if no message comes before.
  TimePoint next_due() const {
    return role_ == Role::kLeader ? next_heartbeat_ : election_deadline_;
  }
  Role role() const { return role_; }
  bool is_leader() const { return role_ == Role::kLeader; }
  /// True where the leader's lease holds and an entry of its own term has committed.
  bool has_leader_lease(TimePoint now) const;
  /// When this replica last became leader; the clock's start where it never did.
  TimePoint leader_since() const { return leader_since_; }
  Term term() const { return hard_state_.term; }
  ReplicaId self() const { return self_; }
  /// The leader as far as known; id 0 is none.
  ReplicaId leader() const { return leader_; }
  LogIndex commit_index() const { return commit_; }
  LogIndex last_index() const;
  LogIndex snapshot_index() const { return snapshot_.index; }
  std::size_t log_size() const { return log_.size(); }
  const Membership& membership() const { return membership_; }
  /// True while a membership entry waits for commitment.
  bool membership_change_pending() const { return membership_index_ > commit_; }
  /// Whatever was acknowledged to anybody before this moment is in the entries that this replica
  /// has committed; nothing where that was never known. A leader's own is the present while its
  /// lease holds (see has_leader_lease). A follower's is older by a heartbeat and its way.
  std::optional<TimePoint> current_as_of() const { return current_as_of_; }
  /// When the newest heartbeat that this peer answered was sent; nothing where none was.
  std::optional<TimePoint> last_contact(ReplicaId peer) const;
  /// The last log index this peer is known to hold durably (leader only).
  LogIndex match_index(ReplicaId peer) const;

 private:
  struct Progress {
    LogIndex match;
    LogIndex next;
    std::uint64_t acknowledged_round = 0;
    std::int64_t clock_us = 0;  ///< the peer's newest clock reading
    std::uint64_t snapshot_offset = 0;
    LogIndex snapshot_index;
    bool waiting = false;  ///< entries are under way; send only heartbeats meanwhile
    TimePoint last_sent;
    std::optional<TimePoint> heard;
  };
  struct PendingRead {
    std::uint64_t read_id;
    std::uint64_t round;
    LogIndex index;
  };
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
  bool log_is_current(LogIndex index, Term term) const;

  // Replication.
  void broadcast(TimePoint now);
  void send_append(TimePoint now, ReplicaId peer, Progress& progress);
  void send_snapshot(TimePoint now, ReplicaId peer, Progress& progress);
  void handle(TimePoint now, const RaftMessage& message, const AppendRequest& request);
  void handle(TimePoint now, const RaftMessage& message, const AppendReply& reply);
  void handle(TimePoint now, const RaftMessage& message, const SnapshotChunk& chunk);
  void handle(TimePoint now, const RaftMessage& message, const SnapshotReply& reply);
  void append_local(TimePoint now, EntryKind kind, std::string payload);
  /// Takes from a leader's message how far this replica is up to date.
  void note_current(TimePoint now, const AppendRequest& request);
  void accept_entries(const AppendRequest& request);
  void advance_commit(TimePoint now);
  void commit_up_to(LogIndex index);
  void note_contact(ReplicaId from, std::uint64_t round);
  void check_quorum(TimePoint now);
  void release_reads();

  // Log and membership bookkeeping.
  std::optional<Term> term_at(LogIndex index) const;
  void truncate_from(LogIndex index);
  void use_membership_of(const Entry& entry);
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

  HardState hard_state_;
  Snapshot snapshot_;
  std::deque<Entry> log_;  ///< entries after the snapshot
  Membership membership_;
  LogIndex membership_index_;

  Role role_ = Role::kFollower;
  ReplicaId leader_;
  LogIndex commit_;
  std::optional<TimePoint> current_as_of_;
  LogIndex durable_;  ///< own log is synced up to here
  TimePoint election_deadline_;
  TimePoint quiet_until_;  ///< votes are refused before this time
  TimePoint leader_since_;
  LogIndex term_start_;  ///< the no-op that opened the leader's term
  TimePoint next_heartbeat_;
  TimePoint last_broadcast_;
  std::set<ReplicaId> votes_;

  std::map<ReplicaId, Progress> progress_;
  std::uint64_t round_ = 0;
  std::map<std::uint64_t, TimePoint> round_sent_;
  TimePoint lease_from_;  ///< send time of the newest round that a majority acknowledged
  std::deque<PendingRead> reads_;

  Snapshot incoming_;  ///< snapshot being received
  std::uint64_t sequence_ = 0;
  std::uint64_t synced_sequence_ = 0;
  std::map<std::uint64_t, LogIndex> appended_by_sequence_;
  std::deque<DelayedMessage> delayed_;
  RaftOutput output_;
};

}  // namespace planktray::consensus

#pragma once
/// Types of the replicated log: entries, membership, durable state and messages between replicas.

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "common/codec.hpp"
#include "common/ids.hpp"

namespace planktray::consensus {

using common::LogIndex;
using common::ReplicaId;
using common::Term;

/// One replica of the cell and its addresses.
struct Member {
  ReplicaId id;
  std::string name;          ///< configured name; a replaced disk keeps the name but gets a new id
  std::string peer_address;  ///< ZeroMQ endpoint, "IP:port"
  std::string operator_address;  ///< HTTP endpoint, "IP:port"
  bool voter = true;
  bool operator==(const Member&) const = default;
  MSGPACK_DEFINE_ARRAY(id, name, peer_address, operator_address, voter)
};

/// The voters and learners of the cell.
struct Membership {
  std::vector<Member> members;
  bool operator==(const Membership&) const = default;
  MSGPACK_DEFINE_ARRAY(members)

  /// @return the member with this id, or nullptr.
  const Member* find(ReplicaId id) const;
  bool is_voter(ReplicaId id) const;
  /// @return the number of voters.
  std::size_t voters() const;
  /// True if the two memberships differ by at most one voter, so that any majority of one overlaps
  /// any majority of the other.
  bool is_one_step_from(const Membership& other) const;
};

/// What the payload of an entry contains.
enum class EntryKind : std::uint8_t { kNoop = 0, kCommand = 1, kMembership = 2 };

/// One entry of the replicated log.
struct Entry {
  LogIndex index;
  Term term;
  std::uint8_t kind = 0;  ///< an EntryKind
  std::string payload;    ///< a command, or an encoded Membership
  MSGPACK_DEFINE_ARRAY(index, term, kind, payload)

  EntryKind entry_kind() const { return static_cast<EntryKind>(kind); }
};

/// Election state that must survive a restart.
struct HardState {
  Term term;
  ReplicaId voted_for;  ///< 0 if no vote was cast in this term
  bool operator==(const HardState&) const = default;
  MSGPACK_DEFINE_ARRAY(term, voted_for)
};

/// The state machine's state after applying the log up to `index`.
struct Snapshot {
  LogIndex index;
  Term term;
  Membership membership;
  std::string data;  ///< encoded by the state machine
  MSGPACK_DEFINE_ARRAY(index, term, membership, data)
};

/// Contents of a replica's data folder at start.
struct DurableState {
  HardState hard_state;
  Snapshot snapshot;  ///< index 0 if there is none
  std::vector<Entry> entries;
};

/// A group of changes to the data folder. They take effect together, once a single sync has covered
/// all of them.
struct PersistRequest {
  std::uint64_t sequence = 0;
  std::optional<HardState> hard_state;
  std::optional<Snapshot> snapshot;       ///< replaces everything up to its index
  std::optional<LogIndex> truncate_from;  ///< drop entries from this index on before appending
  std::vector<Entry> entries;
};

/// Requests a vote or pre-vote; carries the last index and term of the candidate's log.
struct VoteRequest {
  bool pre_vote = false;
  LogIndex last_index;
  Term last_term;
  MSGPACK_DEFINE_ARRAY(pre_vote, last_index, last_term)
};

/// Answers a VoteRequest.
struct VoteReply {
  bool pre_vote = false;
  bool granted = false;
  MSGPACK_DEFINE_ARRAY(pre_vote, granted)
};

/// Sends entries, or none as a heartbeat, to a follower.
struct AppendRequest {
  LogIndex previous_index;
  Term previous_term;
  LogIndex commit;
  std::uint64_t round = 0;  ///< heartbeat round, echoed in the reply
  std::vector<Entry> entries;
  /// The latest clock reading that this leader got from the receiver, if the leader lease held when
  /// the request was sent; 0 otherwise. Every entry acknowledged to any client before that reading
  /// is at or below `commit`.
  std::int64_t echo_clock_us = 0;
  std::uint64_t echo_clock_id = 0;  ///< of the clock that was read; 0: not stated
  MSGPACK_DEFINE_ARRAY(previous_index, previous_term, commit, round, entries, echo_clock_us,
                       echo_clock_id)
};

/// Answers an AppendRequest.
struct AppendReply {
  bool success = false;
  LogIndex match;  ///< on success the last matching index; otherwise a hint for the retry
  std::uint64_t round = 0;
  std::int64_t clock_us = 0;   ///< the sender's clock
  std::uint64_t clock_id = 0;  ///< of that clock, which may restart with the machine; 0: not stated
  MSGPACK_DEFINE_ARRAY(success, match, round, clock_us, clock_id)
};

/// A part of a snapshot for a follower whose log is too far behind; without bytes a heartbeat.
struct SnapshotChunk {
  LogIndex index;
  Term snapshot_term;
  Membership membership;
  std::uint64_t offset = 0;
  std::uint64_t total = 0;
  std::string bytes;
  std::uint64_t round = 0;
  std::uint64_t digest = 0;  ///< of the whole snapshot's bytes; 0: not stated by the sender
  MSGPACK_DEFINE_ARRAY(index, snapshot_term, membership, offset, total, bytes, round, digest)
};

/// Answers a SnapshotChunk.
struct SnapshotReply {
  LogIndex index;
  std::uint64_t received = 0;  ///< bytes received so far; offset of the next chunk
  bool installed = false;
  std::uint64_t round = 0;
  MSGPACK_DEFINE_ARRAY(index, received, installed, round)
};

using RaftBody = common::EncodedVariant<VoteRequest, VoteReply, AppendRequest, AppendReply,
                                        SnapshotChunk, SnapshotReply>;

/// A message between replicas. `term` is the sender's term, or the proposed term of a pre-vote.
struct RaftMessage {
  ReplicaId from;
  ReplicaId to;
  Term term;
  RaftBody body;
  MSGPACK_DEFINE_ARRAY(from, to, term, body)
};

}  // namespace planktray::consensus

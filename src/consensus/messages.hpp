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

/// One replica of the cell and where to reach it.
struct Member {
  ReplicaId id;
  std::string name;              ///< name of the place; a repaired disk keeps the name, not the id
  std::string peer_address;      ///< ZeroMQ endpoint, "IP:port"
  std::string operator_address;  ///< HTTP endpoint, "IP:port"
  bool voter = true;
  bool operator==(const Member&) const = default;
  MSGPACK_DEFINE_ARRAY(id, name, peer_address, operator_address, voter)
};

struct Membership {
  std::vector<Member> members;
  bool operator==(const Membership&) const = default;
  MSGPACK_DEFINE_ARRAY(members)

  /// @return the member with this identity, or nullptr.
  const Member* find(ReplicaId id) const;
  bool is_voter(ReplicaId id) const;
  std::size_t voters() const;
  /// True where at most one voter is in one of the two and not in the other, so that any majority
  /// of the one meets any majority of the other.
  bool is_one_step_from(const Membership& other) const;
};

enum class EntryKind : std::uint8_t { kNoop = 0, kCommand = 1, kMembership = 2 };

struct Entry {
  LogIndex index;
  Term term;
  std::uint8_t kind = 0;  ///< an EntryKind
  std::string payload;    ///< a command, or an encoded Membership
  MSGPACK_DEFINE_ARRAY(index, term, kind, payload)

  EntryKind entry_kind() const { return static_cast<EntryKind>(kind); }
};

/// What a replica must not forget about elections.
struct HardState {
  Term term;
  ReplicaId voted_for;  ///< 0 is nobody
  bool operator==(const HardState&) const = default;
  MSGPACK_DEFINE_ARRAY(term, voted_for)
};

struct Snapshot {
  LogIndex index;
  Term term;
  Membership membership;
  std::string data;  ///< the state machine's own encoding
  MSGPACK_DEFINE_ARRAY(index, term, membership, data)
};

/// All that a replica finds in its data folder at start.
struct DurableState {
  HardState hard_state;
  Snapshot snapshot;  ///< index 0 where there is none
  std::vector<Entry> entries;
};

/// One group of changes for the data folder. They count only after one sync covers all of them.
struct PersistRequest {
  std::uint64_t sequence = 0;
  std::optional<HardState> hard_state;
  std::optional<Snapshot> snapshot;       ///< replaces everything up to its index
  std::optional<LogIndex> truncate_from;  ///< drop entries from here on, before appending
  std::vector<Entry> entries;
};

struct VoteRequest {
  bool pre_vote = false;
  LogIndex last_index;
  Term last_term;
  MSGPACK_DEFINE_ARRAY(pre_vote, last_index, last_term)
};

struct VoteReply {
  bool pre_vote = false;
  bool granted = false;
  MSGPACK_DEFINE_ARRAY(pre_vote, granted)
};

struct AppendRequest {
  LogIndex previous_index;
  Term previous_term;
  LogIndex commit;
  std::uint64_t round = 0;  ///< heartbeat round, echoed in the reply
  std::vector<Entry> entries;
  /// The newest clock reading that the receiver has sent to this leader, where the leader lease
  /// held when this was sent; else 0. Whatever was acknowledged to anybody before the receiver's
  /// clock read this is at or below `commit`.
  std::int64_t echo_clock_us = 0;
  MSGPACK_DEFINE_ARRAY(previous_index, previous_term, commit, round, entries, echo_clock_us)
};

struct AppendReply {
  bool success = false;
  LogIndex match;  ///< on success the last index known equal; else where to try again
  std::uint64_t round = 0;
  std::int64_t clock_us = 0;  ///< the sender's clock
  MSGPACK_DEFINE_ARRAY(success, match, round, clock_us)
};

struct SnapshotChunk {
  LogIndex index;
  Term snapshot_term;
  Membership membership;
  std::uint64_t offset = 0;
  std::uint64_t total = 0;
  std::string bytes;
  std::uint64_t round = 0;
  MSGPACK_DEFINE_ARRAY(index, snapshot_term, membership, offset, total, bytes, round)
};

struct SnapshotReply {
  LogIndex index;
  std::uint64_t received = 0;  ///< bytes held so far; the next chunk starts there
  bool installed = false;
  std::uint64_t round = 0;
  MSGPACK_DEFINE_ARRAY(index, received, installed, round)
};

using RaftBody = common::EncodedVariant<VoteRequest, VoteReply, AppendRequest, AppendReply,
                                        SnapshotChunk, SnapshotReply>;

struct RaftMessage {
  ReplicaId from;
  ReplicaId to;
  Term term;
  RaftBody body;
  MSGPACK_DEFINE_ARRAY(from, to, term, body)
};

}  // namespace planktray::consensus

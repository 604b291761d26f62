/// Replication of RaftNode: appends, snapshots, commits, contact times and reads.

#include <algorithm>
#include <utility>

#include "common/hash.hpp"
#include "consensus/raft.hpp"

namespace planktray::consensus {
namespace {

/// A snapshot chunk without a reply is sent again after this many heartbeat intervals.
constexpr int kChunkResendHeartbeats = 10;
constexpr std::uint64_t kSnapshotDigestSeed = 0x736e6170;

LogIndex next_index(LogIndex index) { return LogIndex(index.value + 1); }

std::uint64_t digest_of(const std::string& bytes) {
  return common::hash_bytes(bytes, kSnapshotDigestSeed);
}

}  // namespace

void RaftNode::broadcast(TimePoint now) {
  ++round_;
  round_send_times_[round_] = now;
  std::erase_if(round_send_times_, [&](const auto& item) {
    return now - item.second > options_.maximum_election_timeout;
  });
  next_heartbeat_ = now + options_.heartbeat;
  last_broadcast_ = now;
  broadcast_index_ = last_index();
  const bool is_learners_turn = now >= last_learner_broadcast_ + options_.learner_interval;
  if (is_learners_turn) {
    last_learner_broadcast_ = now;
  }
  for (auto& [peer, progress] : progress_) {
    if (is_learners_turn || membership_.is_voter(peer)) {
      send_append(now, peer, progress);
    }
  }
  record_contact(self_, round_);
}

void RaftNode::send_append(TimePoint now, ReplicaId peer, Progress& progress) {
  const LogIndex previous(progress.next.value - 1);
  const std::optional<Term> previous_term = term_at(previous);
  if (!previous_term.has_value()) {
    send_snapshot(now, peer, progress);
    return;
  }
  AppendRequest request{previous, *previous_term, commit_, round_, {}, 0};
  if (has_leader_lease(now)) {
    request.echo_clock_us = progress.clock_us;
    request.echo_clock_id = progress.clock_id;
  }
  if (!log_.empty() && progress.next <= last_index()) {
    const std::size_t first = progress.next.value - log_.front().index.value;
    const std::size_t count = std::min(options_.maximum_entries_per_message, log_.size() - first);
    request.entries.assign(log_.begin() + static_cast<std::ptrdiff_t>(first),
                           log_.begin() + static_cast<std::ptrdiff_t>(first + count));
    progress.next = LogIndex(progress.next.value + count);
  }
  progress.last_sent = now;
  send(peer, std::move(request));
}

void RaftNode::send_snapshot(TimePoint now, ReplicaId peer, Progress& progress) {
  const bool is_new = progress.snapshot_index != snapshot_.index;
  if (is_new) {
    progress.snapshot_index = snapshot_.index;
    progress.snapshot_offset = 0;
  }
  SnapshotChunk chunk{snapshot_.index,
                      snapshot_.term,
                      snapshot_.membership,
                      progress.snapshot_offset,
                      snapshot_.data.size(),
                      "",
                      round_,
                      snapshot_digest_};
  const bool resend = now - progress.last_sent > options_.heartbeat * kChunkResendHeartbeats;
  if (is_new || resend || !progress.chunk_in_flight) {
    chunk.bytes = snapshot_.data.substr(progress.snapshot_offset, options_.snapshot_chunk_bytes);
    progress.last_sent = now;
    progress.chunk_in_flight = true;
  }
  send(peer, std::move(chunk));
}

void RaftNode::handle(TimePoint now, const RaftMessage& message, const AppendRequest& request) {
  if (message.term < hard_state_.term) {
    send(message.from, AppendReply{false, commit_, 0, 0});
    return;
  }
  become_follower(now, message.term, message.from);
  votes_refused_until_ = now + options_.minimum_election_timeout;
  const bool before_log =
      request.previous_index < commit_ && !term_at(request.previous_index).has_value();
  const bool matches = term_at(request.previous_index) == request.previous_term;
  if (!before_log && !matches) {
    const LogIndex hint(std::min(last_index().value, request.previous_index.value - 1));
    send(message.from, AppendReply{false, std::max(hint, commit_), request.round, 0});
    return;
  }
  accept_entries(request);
  const LogIndex match =
      request.entries.empty() ? request.previous_index : request.entries.back().index;
  commit_up_to(std::min(request.commit, match));
  update_current_as_of(now, request);
  const AppendReply reply{true, match, request.round, common::to_microseconds(now), clock_id_};
  if (synced_sequence_ < sequence_) {
    // Contact does not depend on the disk; only the stored entries do. A single reply after the
    // sync made leaders step down at each sync of 0.25 to 1.2 s (250 processes on one machine).
    AppendReply contact = reply;
    contact.match = LogIndex();
    send(message.from, contact);
  }
  send_after_sync(message.from, reply);
}

void RaftNode::update_current_as_of(TimePoint now, const AppendRequest& request) {
  // The leader received this clock reading before it sent `commit`. It held the lease then, so no
  // other replica could have acknowledged anything to a client.
  const TimePoint as_of = common::from_microseconds(request.echo_clock_us);
  const bool is_own_clock = request.echo_clock_id == 0 || request.echo_clock_id == clock_id_;
  const bool is_own_reading = is_own_clock && request.echo_clock_us != 0 && as_of <= now;
  if (!is_own_reading || commit_ < request.commit) {
    return;
  }
  current_as_of_ = std::max(current_as_of_.value_or(as_of), as_of);
}

void RaftNode::accept_entries(const AppendRequest& request) {
  PersistRequest persist_request;
  for (const Entry& entry : request.entries) {
    if (entry.index <= commit_) {
      continue;  // a committed entry cannot differ
    }
    const std::optional<Term> own_term = term_at(entry.index);
    if (own_term == entry.term) {
      continue;
    }
    if (own_term.has_value()) {
      truncate_from(entry.index);
      persist_request.truncate_from = entry.index;
    }
    log_.push_back(entry);
    apply_membership(entry);
    persist_request.entries.push_back(entry);
  }
  if (!persist_request.entries.empty()) {
    persist(std::move(persist_request));
  }
}

void RaftNode::handle(TimePoint now, const RaftMessage& message, const AppendReply& reply) {
  const auto found = progress_.find(message.from);
  if (role_ != Role::kLeader || message.term < hard_state_.term || found == progress_.end()) {
    return;
  }
  Progress& progress = found->second;
  if (reply.clock_us != 0) {
    progress.clock_us =
        reply.clock_us;  // may be lower than before: the clock restarts with the machine
    progress.clock_id = reply.clock_id;
  }
  if (reply.success) {
    progress.match = std::max(progress.match, reply.match);
    progress.next = std::max(progress.next, next_index(progress.match));
    advance_commit(now);
  } else if (reply.round > 0) {
    progress.next = next_index(std::max(reply.match, progress.match));
    progress.snapshot_index = LogIndex();
    // A peer that rejects what it had acknowledged (its disk lost synced data, or the reply is
    // outdated) would also reject the next message; the next heartbeat is soon enough.
    if (reply.match >= progress.match) {
      send_append(now, message.from, progress);
    }
  }
  record_contact(message.from, reply.round);
  // Entries that were proposed after the last broadcast wait for the next one: a message for each
  // reply would take the leader more time the more entries there are.
  if (role_ == Role::kLeader && reply.success && progress.next <= broadcast_index_) {
    send_append(now, message.from, progress);
  }
}

void RaftNode::handle(TimePoint now, const RaftMessage& message, const SnapshotChunk& chunk) {
  if (message.term < hard_state_.term) {
    return;
  }
  become_follower(now, message.term, message.from);
  votes_refused_until_ = now + options_.minimum_election_timeout;
  if (chunk.index <= commit_ || term_at(chunk.index) == chunk.snapshot_term) {
    commit_up_to(chunk.index);
    send_after_sync(message.from, SnapshotReply{chunk.index, chunk.total, true, chunk.round});
    return;
  }
  if (!receive_chunk(chunk)) {
    send(message.from, SnapshotReply{chunk.index, incoming_.data.size(), false, chunk.round});
    return;
  }
  set_snapshot(std::exchange(incoming_, Snapshot()));
  truncate_from(next_index(snapshot_.index));
  log_.clear();
  commit_ = snapshot_.index;
  recompute_membership();
  output_.restored = snapshot_;
  output_.committed.clear();
  PersistRequest request;
  request.snapshot = snapshot_;
  request.hard_state = hard_state_;
  persist(std::move(request));
  send_after_sync(message.from, SnapshotReply{chunk.index, chunk.total, true, chunk.round});
}

bool RaftNode::receive_chunk(const SnapshotChunk& chunk) {
  // Two leaders may send snapshots of one index whose bytes differ.
  const bool continues = incoming_.index == chunk.index && incoming_.term == chunk.snapshot_term &&
                         incoming_digest_ == chunk.digest;
  if (!continues) {
    incoming_ = {chunk.index, chunk.snapshot_term, chunk.membership, ""};
    incoming_digest_ = chunk.digest;
  }
  if (chunk.offset == incoming_.data.size()) {
    incoming_.data += chunk.bytes;
  }
  if (incoming_.data.size() < chunk.total) {
    return false;
  }
  const bool is_intact = chunk.digest == 0 || digest_of(incoming_.data) == chunk.digest;
  if (!is_intact) {
    ++damaged_snapshots_;
    incoming_ = Snapshot();  // the reply asks for it from its first byte
  }
  return is_intact;
}

void RaftNode::set_snapshot(Snapshot snapshot) {
  snapshot_ = std::move(snapshot);
  snapshot_digest_ = digest_of(snapshot_.data);
}

void RaftNode::handle(TimePoint now, const RaftMessage& message, const SnapshotReply& reply) {
  const auto found = progress_.find(message.from);
  if (role_ != Role::kLeader || message.term < hard_state_.term || found == progress_.end()) {
    return;
  }
  Progress& progress = found->second;
  if (reply.installed) {
    progress.match = std::max(progress.match, reply.index);
    progress.next = std::max(progress.next, next_index(progress.match));
    progress.snapshot_index = LogIndex();
    progress.chunk_in_flight = false;
    advance_commit(now);
    record_contact(message.from, reply.round);
    return;
  }
  const bool is_current = reply.index == progress.snapshot_index;
  if (is_current && reply.received != progress.snapshot_offset) {
    progress.snapshot_offset = reply.received;
    progress.chunk_in_flight = false;
    send_append(now, message.from, progress);
  }
  record_contact(message.from, reply.round);
}

void RaftNode::append_local(TimePoint now, EntryKind kind, std::string payload) {
  Entry entry{next_index(last_index()), hard_state_.term, static_cast<std::uint8_t>(kind),
              std::move(payload)};
  log_.push_back(entry);
  apply_membership(entry);
  PersistRequest request;
  request.entries.push_back(std::move(entry));
  persist(std::move(request));
  const bool may_batch =
      kind == EntryKind::kCommand && now < last_broadcast_ + options_.batch_interval;
  if (!may_batch) {
    return broadcast(now);
  }
  next_heartbeat_ = std::min(next_heartbeat_, last_broadcast_ + options_.batch_interval);
}

void RaftNode::advance_commit(TimePoint now) {
  std::vector<LogIndex> matches;
  for (const Member& member : membership_.members) {
    if (member.voter) {
      matches.push_back(match_index(member.id));
    }
  }
  if (matches.empty()) {
    return;
  }
  std::sort(matches.begin(), matches.end(), std::greater<>());
  const LogIndex majority = matches[matches.size() / 2];
  if (majority > commit_ && term_at(majority) == hard_state_.term) {
    commit_up_to(majority);
    release_reads();
    if (membership_index_ <= commit_ && !membership_.is_voter(self_)) {
      become_follower(now, hard_state_.term, ReplicaId());
    }
  }
}

void RaftNode::commit_up_to(LogIndex index) {
  const LogIndex target = std::min(index, last_index());
  while (commit_ < target) {
    commit_ = next_index(commit_);
    output_.committed.push_back(log_[commit_.value - log_.front().index.value]);
  }
}

void RaftNode::record_contact(ReplicaId from, std::uint64_t round) {
  const auto found = progress_.find(from);
  const auto request_sent = round_send_times_.find(round);
  if (found != progress_.end() && request_sent != round_send_times_.end()) {
    // A late reply proves contact as of the send time of its round, not as of now.
    found->second.last_contact =
        std::max(found->second.last_contact.value_or(TimePoint()), request_sent->second);
    found->second.acknowledged_round = std::max(found->second.acknowledged_round, round);
  }
  const auto quorum_sent = round_send_times_.find(quorum_round());
  if (quorum_sent != round_send_times_.end()) {
    lease_start_ = std::max(lease_start_, quorum_sent->second);
  }
  release_reads();
}

std::uint64_t RaftNode::quorum_round() const {
  std::vector<std::uint64_t> rounds;
  for (const Member& member : membership_.members) {
    if (!member.voter) {
      continue;
    }
    const auto found = progress_.find(member.id);
    const std::uint64_t acknowledged =
        found == progress_.end() ? 0 : found->second.acknowledged_round;
    rounds.push_back(member.id == self_ ? round_ : acknowledged);
  }
  if (rounds.empty()) {
    return 0;
  }
  std::sort(rounds.begin(), rounds.end(), std::greater<>());
  return rounds[rounds.size() / 2];
}

void RaftNode::release_reads() {
  const std::uint64_t confirmed = quorum_round();
  while (!pending_reads_.empty() && pending_reads_.front().round <= confirmed &&
         pending_reads_.front().index <= commit_) {
    output_.reads_ready.push_back(pending_reads_.front().read_id);
    pending_reads_.pop_front();
  }
}

}  // namespace planktray::consensus

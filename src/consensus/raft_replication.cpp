/// Replication of RaftNode: appends, snapshots, commitment, contact and reads.

#include <algorithm>
#include <utility>

#include "consensus/raft.hpp"

namespace planktray::consensus {
namespace {

/// A snapshot chunk without an answer is sent again after this many heartbeats.
constexpr int kChunkResendHeartbeats = 10;

LogIndex next_index(LogIndex index) { return LogIndex(index.value + 1); }

}  // namespace

void RaftNode::broadcast(TimePoint now) {
  ++round_;
  round_sent_[round_] = now;
  std::erase_if(round_sent_, [&](const auto& item) {
    return now - item.second > options_.maximum_election_timeout;
  });
  next_heartbeat_ = now + options_.heartbeat;
  last_broadcast_ = now;
  for (auto& [peer, progress] : progress_) {
    send_append(now, peer, progress);
  }
  note_contact(self_, round_);
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
                      round_};
  const bool resend = now - progress.last_sent > options_.heartbeat * kChunkResendHeartbeats;
  if (is_new || resend || !progress.waiting) {
    chunk.bytes = snapshot_.data.substr(progress.snapshot_offset, options_.snapshot_chunk_bytes);
    progress.last_sent = now;
    progress.waiting = true;
  }
  send(peer, std::move(chunk));
}

void RaftNode::handle(TimePoint now, const RaftMessage& message, const AppendRequest& request) {
  if (message.term < hard_state_.term) {
    send(message.from, AppendReply{false, commit_, 0, 0});
    return;
  }
  become_follower(now, message.term, message.from);
  quiet_until_ = now + options_.minimum_election_timeout;
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
  note_current(now, request);
  const AppendReply reply{true, match, request.round, common::to_microseconds(now)};
  if (synced_sequence_ < sequence_) {
    // That the leader was heard does not hang on the disk, only what is held does. With one reply
    // for both, syncs of 0.25 to 1.2 s (250 processes on one machine) cost a leader its lead each
    // time.
    AppendReply heard = reply;
    heard.match = LogIndex();
    send(message.from, heard);
  }
  send_after_sync(message.from, reply);
}

void RaftNode::note_current(TimePoint now, const AppendRequest& request) {
  // The leader read this replica's clock before it sent `commit`, and nobody else could acknowledge
  // anything by then: it held the lease.
  const TimePoint as_of = common::from_microseconds(request.echo_clock_us);
  const bool was_read_here = request.echo_clock_us != 0 && as_of <= now;
  if (!was_read_here || commit_ < request.commit) {
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
    use_membership_of(entry);
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
    progress.clock_us = reply.clock_us;  // the newest word; its machine's clock may have begun anew
  }
  if (reply.success) {
    progress.match = std::max(progress.match, reply.match);
    progress.next = std::max(progress.next, next_index(progress.match));
    advance_commit(now);
  } else if (reply.round > 0) {
    progress.next = next_index(std::max(reply.match, progress.match));
    progress.snapshot_index = LogIndex();
    // A peer that denies what it had acknowledged (a disk that lied, or an old late reply) would
    // deny the next message too; heartbeats are often enough for it.
    if (reply.match >= progress.match) {
      send_append(now, message.from, progress);
    }
  }
  note_contact(message.from, reply.round);
  if (role_ == Role::kLeader && reply.success && progress.next <= last_index()) {
    send_append(now, message.from, progress);
  }
}

void RaftNode::handle(TimePoint now, const RaftMessage& message, const SnapshotChunk& chunk) {
  if (message.term < hard_state_.term) {
    return;
  }
  become_follower(now, message.term, message.from);
  quiet_until_ = now + options_.minimum_election_timeout;
  if (chunk.index <= commit_ || term_at(chunk.index) == chunk.snapshot_term) {
    commit_up_to(chunk.index);
    send_after_sync(message.from, SnapshotReply{chunk.index, chunk.total, true, chunk.round});
    return;
  }
  if (incoming_.index != chunk.index || incoming_.term != chunk.snapshot_term) {
    incoming_ = {chunk.index, chunk.snapshot_term, chunk.membership, ""};
  }
  if (chunk.offset == incoming_.data.size()) {
    incoming_.data += chunk.bytes;
  }
  if (incoming_.data.size() < chunk.total) {
    send(message.from, SnapshotReply{chunk.index, incoming_.data.size(), false, chunk.round});
    return;
  }
  snapshot_ = std::exchange(incoming_, Snapshot());
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
    progress.waiting = false;
    advance_commit(now);
    note_contact(message.from, reply.round);
    return;
  }
  const bool is_current = reply.index == progress.snapshot_index;
  if (is_current && reply.received != progress.snapshot_offset) {
    progress.snapshot_offset = reply.received;
    progress.waiting = false;
    send_append(now, message.from, progress);
  }
  note_contact(message.from, reply.round);
}

void RaftNode::append_local(TimePoint now, EntryKind kind, std::string payload) {
  Entry entry{next_index(last_index()), hard_state_.term, static_cast<std::uint8_t>(kind),
              std::move(payload)};
  log_.push_back(entry);
  use_membership_of(entry);
  PersistRequest request;
  request.entries.push_back(std::move(entry));
  persist(std::move(request));
  const bool may_wait =
      kind == EntryKind::kCommand && now < last_broadcast_ + options_.batch_interval;
  if (!may_wait) {
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

void RaftNode::note_contact(ReplicaId from, std::uint64_t round) {
  const auto found = progress_.find(from);
  const auto asked = round_sent_.find(round);
  if (found != progress_.end() && asked != round_sent_.end()) {
    // A late reply proves that the peer was there when it was asked, not that it is there now.
    found->second.heard = std::max(found->second.heard.value_or(TimePoint()), asked->second);
    found->second.acknowledged_round = std::max(found->second.acknowledged_round, round);
  }
  const auto sent = round_sent_.find(quorum_round());
  if (sent != round_sent_.end()) {
    lease_from_ = std::max(lease_from_, sent->second);
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
  while (!reads_.empty() && reads_.front().round <= confirmed && reads_.front().index <= commit_) {
    output_.reads_ready.push_back(reads_.front().read_id);
    reads_.pop_front();
  }
}

}  // namespace planktray::consensus

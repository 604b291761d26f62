#include "consensus/raft.hpp"

#include <algorithm>
#include <utility>

namespace planktray::consensus {
namespace {

/// Log entries kept behind the snapshot, so that a replica slightly behind needs no snapshot.
constexpr std::size_t kRetainedEntries = 512;
/// A snapshot chunk without an answer is sent again after this many heartbeats.
constexpr int kChunkResendHeartbeats = 10;

LogIndex next_index(LogIndex index) { return LogIndex(index.value + 1); }

}  // namespace

RaftNode::RaftNode(RaftOptions options, ReplicaId self, DurableState state,
                   common::RandomEngine random, TimePoint now)
    : options_(options),
      self_(self),
      random_(random),
      hard_state_(state.hard_state),
      snapshot_(std::move(state.snapshot)),
      log_(state.entries.begin(), state.entries.end()),
      commit_(snapshot_.index),
      quiet_until_(now + options.minimum_election_timeout),
      leader_since_(now),
      lease_from_(TimePoint::min() + std::chrono::hours(1)) {
  recompute_membership();
  durable_ = last_index();
  if (snapshot_.index.value > 0) {
    output_.restored = snapshot_;
  }
  reset_election_timer(now);
}

void RaftNode::tick(TimePoint now) {
  if (role_ == Role::kLeader) {
    check_quorum(now);
    if (role_ == Role::kLeader && now >= next_heartbeat_) {
      broadcast(now);
    }
    return;
  }
  if (now >= election_deadline_) {
    start_pre_vote(now);
  }
}

void RaftNode::receive(TimePoint now, const RaftMessage& message) {
  if (message.to != self_) {
    return;  // meant for the data folder that was here before
  }
  const auto* vote_request = std::get_if<VoteRequest>(&message.body.value);
  const auto* vote_reply = std::get_if<VoteReply>(&message.body.value);
  if (vote_request != nullptr && !may_vote(now)) {
    return;  // a leader may still hold a lease that counts on this voter's silence
  }
  const bool term_is_proposed = (vote_request != nullptr && vote_request->pre_vote) ||
                                (vote_reply != nullptr && vote_reply->granted);
  if (message.term > hard_state_.term && !term_is_proposed) {
    become_follower(now, message.term, ReplicaId());
  }
  std::visit([&](const auto& body) { handle(now, message, body); }, message.body.value);
}

void RaftNode::persisted(TimePoint now, std::uint64_t sequence) {
  synced_sequence_ = std::max(synced_sequence_, sequence);
  while (!appended_by_sequence_.empty() && appended_by_sequence_.begin()->first <= sequence) {
    durable_ = std::max(durable_, appended_by_sequence_.begin()->second);
    appended_by_sequence_.erase(appended_by_sequence_.begin());
  }
  while (!delayed_.empty() && delayed_.front().sequence <= sequence) {
    RaftMessage message = std::move(delayed_.front().message);
    delayed_.pop_front();
    if (message.to == self_) {
      receive(now, message);
    } else {
      output_.messages.push_back(std::move(message));
    }
  }
  if (role_ == Role::kLeader) {
    advance_commit(now);
  }
}

void RaftNode::bootstrap(TimePoint now, const Membership& membership, std::string data) {
  if (!membership_.members.empty() || last_index().value > 0) {
    return;
  }
  snapshot_ = {LogIndex(1), Term(1), membership, std::move(data)};
  commit_ = snapshot_.index;
  hard_state_.term = std::max(hard_state_.term, Term(1));
  recompute_membership();
  PersistRequest request;
  request.snapshot = snapshot_;
  request.hard_state = hard_state_;
  persist(std::move(request));
  reset_election_timer(now);
}

common::Result<LogIndex> RaftNode::propose(TimePoint now, std::string payload) {
  if (role_ != Role::kLeader) {
    return common::fail(common::ErrorCode::kNotLeader, "propose", "", "this replica does not lead");
  }
  append_local(now, EntryKind::kCommand, std::move(payload));
  return last_index();
}

common::Result<LogIndex> RaftNode::propose_membership(TimePoint now, const Membership& next) {
  if (role_ != Role::kLeader) {
    return common::fail(common::ErrorCode::kNotLeader, "change membership", "",
                        "this replica does not lead");
  }
  if (!membership_.is_one_step_from(next)) {
    return common::fail(common::ErrorCode::kInvalid, "change membership", "",
                        "only one voter may change at a time");
  }
  if (membership_index_ > commit_ || commit_ < term_start_) {
    return common::fail(common::ErrorCode::kUnavailable, "change membership", "",
                        "an earlier entry has not committed yet");
  }
  append_local(now, EntryKind::kMembership, common::encode(next));
  return last_index();
}

void RaftNode::read_barrier(TimePoint now, std::uint64_t read_id) {
  if (role_ != Role::kLeader) {
    output_.reads_failed.push_back(read_id);
    return;
  }
  reads_.push_back({read_id, round_ + 1, std::max(commit_, term_start_)});
  broadcast(now);
  release_reads();
}

void RaftNode::compact(LogIndex applied, std::string data) {
  if (applied <= snapshot_.index || applied > commit_) {
    return;
  }
  Snapshot next;
  next.index = applied;
  next.term = term_at(applied).value_or(Term());
  next.membership = snapshot_.membership;
  for (const Entry& entry : log_) {
    if (entry.index <= applied && entry.index > snapshot_.index &&
        entry.entry_kind() == EntryKind::kMembership) {
      next.membership =
          common::decode<Membership>(entry.payload, "compact", "").value_or(next.membership);
    }
  }
  next.data = std::move(data);
  snapshot_ = std::move(next);
  while (log_.size() > kRetainedEntries + 1 &&
         log_.front().index.value + kRetainedEntries < applied.value) {
    log_.pop_front();
  }
  PersistRequest request;
  request.snapshot = snapshot_;
  request.hard_state = hard_state_;
  request.entries.assign(log_.begin(), log_.end());
  persist(std::move(request));
}

RaftOutput RaftNode::take_output() { return std::exchange(output_, RaftOutput()); }

bool RaftNode::has_leader_lease(TimePoint now) const {
  return role_ == Role::kLeader && commit_ >= term_start_ &&
         now < lease_from_ + options_.minimum_election_timeout - options_.lease_margin;
}

LogIndex RaftNode::last_index() const {
  return log_.empty() ? snapshot_.index : std::max(log_.back().index, snapshot_.index);
}

std::optional<TimePoint> RaftNode::last_heard(ReplicaId peer) const {
  const auto found = progress_.find(peer);
  return found == progress_.end() ? std::nullopt : found->second.heard;
}

LogIndex RaftNode::match_index(ReplicaId peer) const {
  if (peer == self_) {
    return durable_;
  }
  const auto found = progress_.find(peer);
  return found == progress_.end() ? LogIndex() : found->second.match;
}

// ---------------------------------------------------------------- elections

void RaftNode::become_follower(TimePoint now, Term term, ReplicaId leader) {
  if (term > hard_state_.term) {
    hard_state_ = {term, ReplicaId()};
    PersistRequest request;
    request.hard_state = hard_state_;
    persist(std::move(request));
  }
  for (const PendingRead& read : reads_) {
    output_.reads_failed.push_back(read.read_id);
  }
  reads_.clear();
  role_ = Role::kFollower;
  leader_ = leader;
  reset_election_timer(now);
}

void RaftNode::reset_election_timer(TimePoint now) {
  const auto low = static_cast<std::uint64_t>(options_.minimum_election_timeout.count());
  const auto high = static_cast<std::uint64_t>(options_.maximum_election_timeout.count());
  election_deadline_ = now + Duration(common::uniform(random_, low, high));
}

bool RaftNode::may_vote(TimePoint now) const {
  if (!options_.refuse_early_votes) {
    return true;
  }
  const bool own_lease =
      role_ == Role::kLeader && now < lease_from_ + options_.minimum_election_timeout;
  return now >= quiet_until_ && !own_lease;
}

void RaftNode::start_pre_vote(TimePoint now) {
  reset_election_timer(now);
  if (!membership_.is_voter(self_)) {
    return;
  }
  role_ = Role::kPreCandidate;
  leader_ = ReplicaId();
  votes_.clear();
  for (const Member& member : membership_.members) {
    if (member.voter && member.id != self_) {
      const VoteRequest request{true, last_index(), term_at(last_index()).value_or(Term())};
      output_.messages.push_back({self_, member.id, Term(hard_state_.term.value + 1), request});
    }
  }
  count_vote(now, self_, true);
}

void RaftNode::start_election(TimePoint now) {
  reset_election_timer(now);
  role_ = Role::kCandidate;
  hard_state_ = {Term(hard_state_.term.value + 1), self_};
  PersistRequest request;
  request.hard_state = hard_state_;
  persist(std::move(request));
  votes_.clear();
  for (const Member& member : membership_.members) {
    if (member.voter && member.id != self_) {
      send(member.id, VoteRequest{false, last_index(), term_at(last_index()).value_or(Term())});
    }
  }
  send_after_sync(self_, VoteReply{false, true});
}

void RaftNode::handle(TimePoint now, const RaftMessage& message, const VoteRequest& request) {
  const bool current = log_is_current(request.last_index, request.last_term);
  if (request.pre_vote) {
    const bool granted = current && message.term > hard_state_.term;
    const Term reply_term = granted ? message.term : hard_state_.term;
    output_.messages.push_back({self_, message.from, reply_term, VoteReply{true, granted}});
    return;
  }
  const bool free_vote = hard_state_.voted_for.value == 0 || hard_state_.voted_for == message.from;
  const bool granted =
      message.term == hard_state_.term && free_vote && current && role_ != Role::kLeader;
  if (granted && hard_state_.voted_for != message.from) {
    hard_state_.voted_for = message.from;
    PersistRequest persist_request;
    persist_request.hard_state = hard_state_;
    persist(std::move(persist_request));
    reset_election_timer(now);
  }
  send_after_sync(message.from, VoteReply{false, granted});
}

void RaftNode::handle(TimePoint now, const RaftMessage& message, const VoteReply& reply) {
  if (!reply.granted) {
    return;
  }
  const Term expected(hard_state_.term.value + (reply.pre_vote ? 1 : 0));
  if (message.term == expected) {
    count_vote(now, message.from, reply.pre_vote);
  }
}

void RaftNode::count_vote(TimePoint now, ReplicaId from, bool pre_vote) {
  const Role wanted = pre_vote ? Role::kPreCandidate : Role::kCandidate;
  if (role_ != wanted || !membership_.is_voter(from)) {
    return;
  }
  votes_.insert(from);
  if (votes_.size() <= membership_.voters() / 2) {
    return;
  }
  if (pre_vote) {
    start_election(now);
  } else {
    become_leader(now);
  }
}

bool RaftNode::log_is_current(LogIndex index, Term term) const {
  const Term own_term = term_at(last_index()).value_or(Term());
  return term > own_term || (term == own_term && index >= last_index());
}

void RaftNode::become_leader(TimePoint now) {
  role_ = Role::kLeader;
  leader_ = self_;
  leader_since_ = now;
  lease_from_ = TimePoint::min() + std::chrono::hours(1);
  round_sent_.clear();
  progress_.clear();
  refresh_progress();
  for (auto& [peer, progress] : progress_) {
    progress.heard = now;
  }
  append_local(now, EntryKind::kNoop, "");
  term_start_ = last_index();
}

void RaftNode::check_quorum(TimePoint now) {
  std::size_t heard = 0;
  for (const Member& member : membership_.members) {
    if (!member.voter) {
      continue;
    }
    const auto found = progress_.find(member.id);
    const bool is_heard = found != progress_.end() && found->second.heard.has_value() &&
                          now - *found->second.heard <= options_.maximum_election_timeout;
    if (member.id == self_ || is_heard) {
      ++heard;
    }
  }
  if (heard <= membership_.voters() / 2) {
    become_follower(now, hard_state_.term, ReplicaId());
  }
}

// ---------------------------------------------------------------- replication

void RaftNode::broadcast(TimePoint now) {
  ++round_;
  round_sent_[round_] = now;
  std::erase_if(round_sent_, [&](const auto& item) {
    return now - item.second > options_.maximum_election_timeout;
  });
  next_heartbeat_ = now + options_.heartbeat;
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
  AppendRequest request{previous, *previous_term, commit_, round_, {}};
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
    send(message.from, AppendReply{false, commit_, 0});
    return;
  }
  become_follower(now, message.term, message.from);
  quiet_until_ = now + options_.minimum_election_timeout;
  const bool before_log =
      request.previous_index < commit_ && !term_at(request.previous_index).has_value();
  const bool matches = term_at(request.previous_index) == request.previous_term;
  if (!before_log && !matches) {
    const LogIndex hint(std::min(last_index().value, request.previous_index.value - 1));
    send(message.from, AppendReply{false, std::max(hint, commit_), request.round});
    return;
  }
  accept_entries(request);
  const LogIndex match =
      request.entries.empty() ? request.previous_index : request.entries.back().index;
  commit_up_to(std::min(request.commit, match));
  send_after_sync(message.from, AppendReply{true, match, request.round});
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
  broadcast(now);
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

// ---------------------------------------------------------------- log and membership

std::optional<Term> RaftNode::term_at(LogIndex index) const {
  if (index == snapshot_.index) {
    return snapshot_.term;
  }
  if (log_.empty() || index < log_.front().index || index > log_.back().index) {
    return std::nullopt;
  }
  return log_[index.value - log_.front().index.value].term;
}

void RaftNode::truncate_from(LogIndex index) {
  while (!log_.empty() && log_.back().index >= index) {
    log_.pop_back();
  }
  const LogIndex last(index.value - 1);
  durable_ = std::min(durable_, last);
  for (auto& [sequence, appended] : appended_by_sequence_) {
    appended = std::min(appended, last);
  }
  if (membership_index_ >= index) {
    recompute_membership();
  }
}

void RaftNode::use_membership_of(const Entry& entry) {
  if (entry.entry_kind() != EntryKind::kMembership) {
    return;
  }
  auto decoded = common::decode<Membership>(entry.payload, "read membership entry", "");
  if (decoded.has_value()) {
    membership_ = std::move(*decoded);
    membership_index_ = entry.index;
    refresh_progress();
  }
}

void RaftNode::recompute_membership() {
  membership_ = snapshot_.membership;
  membership_index_ = snapshot_.index;
  for (const Entry& entry : log_) {
    if (entry.index > snapshot_.index) {
      use_membership_of(entry);
    }
  }
  refresh_progress();
}

void RaftNode::refresh_progress() {
  std::erase_if(progress_,
                [this](const auto& item) { return membership_.find(item.first) == nullptr; });
  for (const Member& member : membership_.members) {
    if (member.id != self_ && !progress_.contains(member.id)) {
      Progress progress;
      progress.next = next_index(last_index());
      progress_[member.id] = progress;
    }
  }
}

// ---------------------------------------------------------------- effects

void RaftNode::persist(PersistRequest request) {
  request.sequence = ++sequence_;
  if (request.snapshot.has_value() || !request.entries.empty()) {
    appended_by_sequence_[sequence_] = last_index();
  }
  output_.persist.push_back(std::move(request));
}

void RaftNode::send(ReplicaId to, RaftBody body) {
  output_.messages.push_back({self_, to, hard_state_.term, std::move(body)});
}

void RaftNode::send_after_sync(ReplicaId to, RaftBody body) {
  RaftMessage message{self_, to, hard_state_.term, std::move(body)};
  if (synced_sequence_ >= sequence_ && to != self_) {
    output_.messages.push_back(std::move(message));
    return;
  }
  delayed_.push_back({sequence_, std::move(message)});
}

}  // namespace planktray::consensus

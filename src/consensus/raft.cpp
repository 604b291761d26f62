#include "consensus/raft.hpp"

#include <algorithm>
#include <utility>

namespace planktray::consensus {
namespace {

LogIndex next_index(LogIndex index) { return LogIndex(index.value + 1); }

}  // namespace

RaftNode::RaftNode(RaftOptions options, ReplicaId self, DurableState state,
                   common::RandomEngine random, TimePoint now)
    : options_(options),
      self_(self),
      random_(random),
      clock_id_(random() | 1U),
      hard_state_(state.hard_state),
      log_(state.entries.begin(), state.entries.end()),
      votes_refused_until_(now + options.minimum_election_timeout),
      leader_since_(now),
      lease_start_(TimePoint::min() + std::chrono::hours(1)) {
  set_snapshot(std::move(state.snapshot));
  commit_ = snapshot_.index;
  recompute_membership();
  durable_index_ = last_index();
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
    return;  // addressed to the previous data folder at this address
  }
  const auto* vote_request = std::get_if<VoteRequest>(&message.body.value);
  const auto* vote_reply = std::get_if<VoteReply>(&message.body.value);
  if (vote_request != nullptr && !may_vote(now)) {
    return;  // a leader may still hold a lease that relies on this voter granting no vote
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
    durable_index_ = std::max(durable_index_, appended_by_sequence_.begin()->second);
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
  set_snapshot({LogIndex(1), Term(1), membership, std::move(data)});
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
    return common::fail(common::ErrorCode::kNotLeader, "propose", "",
                        "this replica is not the leader");
  }
  append_local(now, EntryKind::kCommand, std::move(payload));
  return last_index();
}

common::Result<LogIndex> RaftNode::propose_membership(TimePoint now, const Membership& next) {
  if (role_ != Role::kLeader) {
    return common::fail(common::ErrorCode::kNotLeader, "change membership", "",
                        "this replica is not the leader");
  }
  if (!membership_.is_one_step_from(next)) {
    return common::fail(common::ErrorCode::kInvalid, "change membership", "",
                        "only one voter may change at a time");
  }
  if (membership_index_ > commit_ || commit_ < term_start_) {
    return common::fail(
        common::ErrorCode::kUnavailable, "change membership", "",
        "an earlier membership change or the first entry of this term has not committed yet");
  }
  append_local(now, EntryKind::kMembership, common::encode(next));
  return last_index();
}

void RaftNode::read_barrier(TimePoint now, std::uint64_t read_id) {
  if (role_ != Role::kLeader) {
    output_.reads_failed.push_back(read_id);
    return;
  }
  pending_reads_.push_back({read_id, round_ + 1, std::max(commit_, term_start_)});
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
  set_snapshot(std::move(next));
  while (log_.size() > options_.retained_entries + 1 &&
         log_.front().index.value + options_.retained_entries < applied.value) {
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
         now < lease_start_ + options_.minimum_election_timeout - options_.lease_margin;
}

LogIndex RaftNode::last_index() const {
  return log_.empty() ? snapshot_.index : std::max(log_.back().index, snapshot_.index);
}

std::optional<TimePoint> RaftNode::last_contact(ReplicaId peer) const {
  const auto found = progress_.find(peer);
  return found == progress_.end() ? std::nullopt : found->second.last_contact;
}

LogIndex RaftNode::match_index(ReplicaId peer) const {
  if (peer == self_) {
    return durable_index_;
  }
  const auto found = progress_.find(peer);
  return found == progress_.end() ? LogIndex() : found->second.match;
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
  durable_index_ = std::min(durable_index_, last);
  for (auto& [sequence, appended] : appended_by_sequence_) {
    appended = std::min(appended, last);
  }
  if (membership_index_ >= index) {
    recompute_membership();
  }
}

void RaftNode::apply_membership(const Entry& entry) {
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
      apply_membership(entry);
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

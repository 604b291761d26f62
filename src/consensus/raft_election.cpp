/// Elections of RaftNode: pre-votes, votes, becoming leader and stepping down.

#include <algorithm>
#include <utility>

#include "consensus/raft.hpp"

namespace planktray::consensus {

void RaftNode::become_follower(TimePoint now, Term term, ReplicaId leader) {
  if (term > hard_state_.term) {
    hard_state_ = {term, ReplicaId()};
    PersistRequest request;
    request.hard_state = hard_state_;
    persist(std::move(request));
  }
  for (const PendingRead& read : pending_reads_) {
    output_.reads_failed.push_back(read.read_id);
  }
  pending_reads_.clear();
  role_ = Role::kFollower;
  leader_ = leader;
  reset_election_timer(now);
}

void RaftNode::reset_election_timer(TimePoint now) {
  const auto shortest = static_cast<std::uint64_t>(options_.minimum_election_timeout.count());
  const auto longest = static_cast<std::uint64_t>(options_.maximum_election_timeout.count());
  election_deadline_ = now + Duration(common::uniform(random_, shortest, longest));
}

bool RaftNode::may_vote(TimePoint now) const {
  if (!options_.refuse_early_votes) {
    return true;
  }
  const bool holds_lease =
      role_ == Role::kLeader && now < lease_start_ + options_.minimum_election_timeout;
  return now >= votes_refused_until_ && !holds_lease;
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
  const bool current = is_log_up_to_date(request.last_index, request.last_term);
  if (request.pre_vote) {
    const bool granted = current && message.term > hard_state_.term;
    const Term reply_term = granted ? message.term : hard_state_.term;
    output_.messages.push_back({self_, message.from, reply_term, VoteReply{true, granted}});
    return;
  }
  const bool vote_available =
      hard_state_.voted_for.value == 0 || hard_state_.voted_for == message.from;
  const bool granted =
      message.term == hard_state_.term && vote_available && current && role_ != Role::kLeader;
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
  const Role required_role = pre_vote ? Role::kPreCandidate : Role::kCandidate;
  if (role_ != required_role || !membership_.is_voter(from)) {
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

bool RaftNode::is_log_up_to_date(LogIndex index, Term term) const {
  const Term own_term = term_at(last_index()).value_or(Term());
  return term > own_term || (term == own_term && index >= last_index());
}

void RaftNode::become_leader(TimePoint now) {
  role_ = Role::kLeader;
  leader_ = self_;
  leader_since_ = now;
  lease_start_ = TimePoint::min() + std::chrono::hours(1);
  round_send_times_.clear();
  progress_.clear();
  refresh_progress();
  for (auto& [peer, progress] : progress_) {
    progress.last_contact = now;
  }
  append_local(now, EntryKind::kNoop, "");
  term_start_ = last_index();
}

void RaftNode::check_quorum(TimePoint now) {
  std::size_t contacted = 0;
  for (const Member& member : membership_.members) {
    if (!member.voter) {
      continue;
    }
    const auto found = progress_.find(member.id);
    const bool is_in_contact =
        found != progress_.end() && found->second.last_contact.has_value() &&
        now - *found->second.last_contact <= options_.maximum_election_timeout;
    if (member.id == self_ || is_in_contact) {
      ++contacted;
    }
  }
  if (contacted <= membership_.voters() / 2) {
    become_follower(now, hard_state_.term, ReplicaId());
  }
}

}  // namespace planktray::consensus

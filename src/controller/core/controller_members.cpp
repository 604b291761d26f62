/// The part of ControllerCore for the membership of the cell: joining, voting and removal.

#include <algorithm>

#include "controller/core/controller_core.hpp"

namespace planktray::controller {
namespace {

/// A learner that is at most this many entries behind the commit index may become a voter.
constexpr std::uint64_t kPromotionLag = 64;

}  // namespace

std::string_view to_string(JoinRefusal refusal) {
  switch (refusal) {
    case JoinRefusal::kNameInUse:
      return "name_in_use";
    case JoinRefusal::kNotAllowed:
      return "name_not_allowed";
    case JoinRefusal::kCellIsFull:
      return "cell_is_full";
    case JoinRefusal::kChangePending:
      return "change_pending";
  }
  return "unknown";
}

void ControllerCore::request_join(TimePoint now) {
  // A replica that receives nothing from a leader may have been removed without a notification.
  const bool is_outside = raft_.membership().find(raft_.self()) == nullptr;
  const bool may_be_outside = options_.admits_anyone && raft_.leader().value == 0;
  if ((!is_outside && !may_be_outside) || now < next_join_) {
    return;
  }
  next_join_ = now + options_.join_interval;
  OutgoingJoin join;
  join.request = {
      options_.cell,
      {raft_.self(), options_.name, options_.peer_address, options_.operator_address, false}};
  join.to = known_controllers();
  std::erase(join.to, options_.peer_address);
  output_.join = std::move(join);
}

std::vector<std::string> ControllerCore::known_controllers() const {
  std::vector<std::string> known = directory_.all();
  for (const consensus::Member& member : raft_.membership().members) {
    if (!directory_.contains(member.peer_address)) {
      known.push_back(member.peer_address);
    }
  }
  return known;
}

void ControllerCore::on_controller_list(const routing::ControllerList& list) {
  if (list.cell == options_.cell) {
    (void)directory_.update(list);
  }
}

void ControllerCore::on_join(TimePoint now, const consensus::JoinRequest& request) {
  const bool is_member = raft_.membership().find(request.candidate.id) != nullptr;
  if (request.cell != options_.cell || is_member || raft_.membership().members.empty()) {
    return;
  }
  if (!request.is_forwarded) {
    output_.member_lists.push_back({request.candidate.id, controller_list()});
  }
  if (is_serving(now)) {
    if (const auto refusal = admit(now, request.candidate)) {
      ++counters_.joins_refused;
      output_.refused_joins.push_back({request.candidate.name, *refusal});
    }
    return step(now);
  }
  const bool follows = !raft_.is_leader() && raft_.leader().value != 0;
  if (follows && !request.is_forwarded) {
    ++counters_.joins_forwarded;
    consensus::JoinRequest forwarded = request;
    forwarded.is_forwarded = true;
    output_.forwarded_joins.push_back(std::move(forwarded));
  }
}

std::optional<JoinRefusal> ControllerCore::admit(TimePoint now,
                                                 const consensus::Member& candidate) {
  const consensus::Membership& current = raft_.membership();
  bool known = allowed_names_.contains(candidate.name);
  for (const consensus::Member& member : current.members) {
    if (member.name != candidate.name) {
      continue;
    }
    // The member's data folder was lost: the candidate has its name and a new folder.
    replaced_.insert(member.id);
    const auto last_contact = raft_.last_contact(member.id);
    const bool silent = now - raft_.leader_since() > options_.replace_after &&
                        (!last_contact.has_value() || now - *last_contact > options_.replace_after);
    if (member.id == raft_.self() || !silent) {
      return JoinRefusal::kNameInUse;
    }
    known = true;
  }
  if (!known && !options_.admits_anyone) {
    return JoinRefusal::kNotAllowed;
  }
  if (!known && current.members.size() >= options_.maximum_members) {
    return JoinRefusal::kCellIsFull;
  }
  consensus::Membership next = current;
  next.members.push_back(candidate);
  next.members.back().voter = false;
  if (!raft_.propose_membership(now, next).has_value()) {
    return JoinRefusal::kChangePending;  // the candidate asks again
  }
  admitted_[candidate.id] = now;
  return std::nullopt;
}

void ControllerCore::maintain_members(TimePoint now) {
  std::erase_if(admitted_,
                [&](const auto& item) { return now - item.second > options_.abandon_after; });
  if (raft_.membership_change_pending()) {
    return;
  }
  if (const auto next = next_membership(now)) {
    (void)raft_.propose_membership(now, *next);
  }
}

std::optional<consensus::Membership> ControllerCore::next_membership(TimePoint now) const {
  const consensus::Membership& current = raft_.membership();
  for (std::size_t i = 0; i < current.members.size(); ++i) {
    const consensus::Member& member = current.members[i];
    if (is_replaced(now, member)) {
      consensus::Membership next = current;
      next.members.erase(next.members.begin() + static_cast<std::ptrdiff_t>(i));
      return next;
    }
    const bool is_wanted = !options_.admits_anyone || current.voters() < options_.wanted_voters ||
                           replaces_a_voter(member);
    if (!member.voter && is_wanted && has_caught_up(member) &&
        is_present(now, member.id, options_.replace_after)) {
      consensus::Membership next = current;
      next.members[i].voter = true;
      return next;
    }
  }
  return options_.admits_anyone ? next_standby_change(now) : std::nullopt;
}

bool ControllerCore::has_caught_up(const consensus::Member& member) const {
  return raft_.match_index(member.id).value + kPromotionLag >= raft_.commit_index().value;
}

bool ControllerCore::replaces_a_voter(const consensus::Member& member) const {
  const auto& members = raft_.membership().members;
  return std::any_of(members.begin(), members.end(), [&](const consensus::Member& other) {
    return other.voter && other.name == member.name && other.id != member.id;
  });
}

bool ControllerCore::is_replaced(TimePoint now, const consensus::Member& member) const {
  const auto& members = raft_.membership().members;
  const bool has_successor =
      std::any_of(members.begin(), members.end(), [&](const consensus::Member& other) {
        return other.name == member.name && other.id != member.id && other.voter &&
               is_present(now, other.id, options_.replace_after);
      });
  return has_successor && member.id != raft_.self() &&
         !is_present(now, member.id, options_.replace_after);
}

std::optional<consensus::Membership> ControllerCore::next_standby_change(TimePoint now) const {
  const consensus::Membership& current = raft_.membership();
  const bool settled = now - raft_.leader_since() > options_.abandon_after;
  const auto is_abandoned = [&](const consensus::Member& member) {
    // A new member has had no time to answer.
    const auto admitted = admitted_.find(member.id);
    const bool is_new =
        admitted != admitted_.end() && now - admitted->second <= options_.abandon_after;
    return settled && !is_new && !is_present(now, member.id, options_.abandon_after);
  };
  const auto abandoned = std::find_if(current.members.begin(), current.members.end(), is_abandoned);
  if (abandoned == current.members.end()) {
    return std::nullopt;
  }
  consensus::Membership next = current;
  const auto standby =
      std::find_if(next.members.begin(), next.members.end(), [&](const consensus::Member& member) {
        return !member.voter && has_caught_up(member) &&
               is_present(now, member.id, options_.replace_after);
      });
  // A surplus voter may be removed at once; any other only after a standby has become a voter.
  const bool may_leave = !abandoned->voter || current.voters() > options_.wanted_voters;
  if (may_leave) {
    next.members.erase(next.members.begin() + (abandoned - current.members.begin()));
    return next;
  }
  if (standby == next.members.end()) {
    return std::nullopt;
  }
  standby->voter = true;
  return next;
}

bool ControllerCore::is_fully_replicated(TimePoint now) const {
  if (!is_serving(now) || raft_.membership_change_pending()) {
    return false;
  }
  const auto& members = raft_.membership().members;
  return std::all_of(members.begin(), members.end(), [&](const consensus::Member& member) {
    return member.voter && !replaced_.contains(member.id) &&
           is_present(now, member.id, options_.presence_window) &&
           (member.id == raft_.self() || raft_.match_index(member.id) >= raft_.commit_index());
  });
}

bool ControllerCore::is_present(TimePoint now, common::ReplicaId id, Duration window) const {
  if (id == raft_.self()) {
    return true;
  }
  const auto last_contact = raft_.last_contact(id);
  return last_contact.has_value() && now - *last_contact < window;
}

}  // namespace planktray::controller

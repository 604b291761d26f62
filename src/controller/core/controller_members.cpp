/// The part of ControllerCore for the membership of the cell: joining, voting and removal.

#include <algorithm>

#include "controller/core/controller_core.hpp"

namespace planktray::controller {
namespace {

/// A learner that is at most this many entries behind the commit index may become a voter.
constexpr std::uint64_t kPromotionLag = 64;

}  // namespace

void ControllerCore::on_join(TimePoint now, const consensus::JoinRequest& request) {
  const consensus::Membership& current = raft_.membership();
  if (request.cell != options_.cell || !is_serving(now) ||
      current.find(request.candidate.id) != nullptr) {
    return;
  }
  bool known = allowed_names_.contains(request.candidate.name);
  for (const consensus::Member& member : current.members) {
    if (member.name != request.candidate.name) {
      continue;
    }
    // The member's data folder was lost: the candidate has its name and a new folder.
    replaced_.insert(member.id);
    const auto last_contact = raft_.last_contact(member.id);
    const bool silent = now - raft_.leader_since() > options_.replace_after &&
                        (!last_contact.has_value() || now - *last_contact > options_.replace_after);
    if (member.id == raft_.self() || !silent) {
      return;  // the name is in use
    }
    known = true;
  }
  known = known || (options_.admits_anyone && current.members.size() < options_.maximum_members);
  if (!known) {
    return;
  }
  consensus::Membership next = current;
  next.members.push_back(request.candidate);
  next.members.back().voter = false;
  // A refusal means that another membership change is in progress; the candidate retries.
  (void)raft_.propose_membership(now, next);
  step(now);
}

void ControllerCore::maintain_members(TimePoint now) {
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
    return settled && !is_present(now, member.id, options_.abandon_after);
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

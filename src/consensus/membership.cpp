#include <algorithm>

#include "consensus/messages.hpp"

namespace planktray::consensus {

const Member* Membership::find(ReplicaId id) const {
  const auto found = std::find_if(members.begin(), members.end(),
                                  [id](const Member& member) { return member.id == id; });
  return found == members.end() ? nullptr : &*found;
}

bool Membership::is_voter(ReplicaId id) const {
  const Member* member = find(id);
  return member != nullptr && member->voter;
}

std::size_t Membership::voters() const {
  return static_cast<std::size_t>(std::count_if(members.begin(), members.end(),
                                                [](const Member& member) { return member.voter; }));
}

bool Membership::is_one_step_from(const Membership& other) const {
  const auto count_missing = [](const Membership& from, const Membership& in) {
    return std::count_if(from.members.begin(), from.members.end(), [&in](const Member& member) {
      return member.voter && !in.is_voter(member.id);
    });
  };
  return count_missing(*this, other) + count_missing(other, *this) <= 1;
}

}  // namespace planktray::consensus

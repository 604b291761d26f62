#include "routing/crowded_owners.hpp"

#include <algorithm>
#include <utility>

namespace planktray::routing {

void CrowdedOwners::on_leader_list(common::TimePoint now,
                                   const std::vector<AdmittedShare>& shares) {
  constexpr double kPermille = 1000.0;
  valid_until_ = now + options_.lease;
  std::unordered_map<BackendId, Owner> previous = std::exchange(owners_, {});
  for (const AdmittedShare& listed : shares) {
    Owner& owner = owners_[listed.backend];
    owner = previous[listed.backend];
    owner.share = std::min(1.0, listed.permille / kPermille);
  }
}

bool CrowdedOwners::admits(common::TimePoint now, BackendId owner, common::RandomEngine& random) {
  const auto found = owners_.find(owner);
  if (!has_current_list(now) || found == owners_.end()) {
    return true;
  }
  return found->second.admitted.admits(found->second.share, random);
}

}  // namespace planktray::routing

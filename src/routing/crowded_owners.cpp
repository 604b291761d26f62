#include "routing/crowded_owners.hpp"

#include <algorithm>
#include <utility>

namespace planktray::routing {

void CrowdedOwners::on_leader_list(common::TimePoint now, const std::vector<AdmittedShare>& parts) {
  constexpr double kPermille = 1000.0;
  told_until_ = now + options_.lease;
  std::unordered_map<BackendId, Owner> before = std::exchange(owners_, {});
  for (const AdmittedShare& told : parts) {
    Owner& owner = owners_[told.backend];
    owner = before[told.backend];
    owner.part = std::min(1.0, told.permille / kPermille);
  }
}

bool CrowdedOwners::admits(common::TimePoint now, BackendId owner, common::RandomEngine& random) {
  const auto found = owners_.find(owner);
  if (!has_current_list(now) || found == owners_.end()) {
    return true;
  }
  return found->second.admitted.admits(found->second.part, random);
}

}  // namespace planktray::routing

#include "routing/controller_directory.hpp"

#include <algorithm>
#include <utility>

namespace planktray::routing {

void ControllerDirectory::set_seeds(std::vector<std::string> seeds) {
  seeds_ = std::move(seeds);
  combine();
}

bool ControllerDirectory::update(const ControllerList& list) {
  const bool is_leaders_own =
      !list.leader.empty() && list.sender == list.leader && list.term >= leader_term_;
  if (list.addresses.empty() || (!is_leaders_own && list.index <= index_)) {
    return false;
  }
  index_ = list.index;
  leader_term_ = is_leaders_own ? list.term : leader_term_;
  if (list.addresses == members_) {
    return false;
  }
  members_ = list.addresses;
  combine();
  return true;
}

bool ControllerDirectory::contains(const std::string& address) const {
  return std::find(all_.begin(), all_.end(), address) != all_.end();
}

void ControllerDirectory::combine() {
  all_ = members_;
  for (const std::string& seed : seeds_) {
    if (!contains(seed)) {
      all_.push_back(seed);
    }
  }
}

}  // namespace planktray::routing

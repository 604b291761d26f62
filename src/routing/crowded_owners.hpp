#pragma once
/// Owners of keys whose queues are too long, as the leader tells it to all routers: each sends the
/// same part of the requests for their keys, whatever time these bring.

#include <unordered_map>
#include <vector>

#include "common/ids.hpp"
#include "common/random.hpp"
#include "common/time.hpp"
#include "routing/even_share.hpp"
#include "routing/table_messages.hpp"

namespace planktray::routing {

struct CrowdedOwnersOptions {
  /// The leader's word is used for this long. Longer than two hellos of the largest fleet (1.25 s
  /// apart), so that one late answer does not end it.
  common::Duration lease = std::chrono::milliseconds(2500);
  /// Safeguard; off only in mutants.
  bool is_enabled = true;
};

class CrowdedOwners {
 public:
  explicit CrowdedOwners(CrowdedOwnersOptions options) : options_(options) {}

  /// The leader's list; owners that it lacks are not crowded.
  void on_leader_list(common::TimePoint now, const std::vector<AdmittedShare>& parts);
  /// Whether one more request for keys of this owner may be sent; to be asked once a request.
  bool admits(common::TimePoint now, BackendId owner, common::RandomEngine& random);
  /// True while the leader's word holds.
  bool has_current_list(common::TimePoint now) const {
    return options_.is_enabled && now < told_until_;
  }
  std::size_t count(common::TimePoint now) const {
    return has_current_list(now) ? owners_.size() : 0;
  }

 private:
  struct Owner {
    double part = 1;
    EvenShare admitted;
  };

  CrowdedOwnersOptions options_;
  common::TimePoint told_until_;
  std::unordered_map<BackendId, Owner> owners_;
};

}  // namespace planktray::routing

#pragma once
/// Owners of keys whose queues are too long ("crowded"), as published by the leader. Every router
/// sends the same share of the requests for their keys, regardless of the deadlines of the
/// requests.

#include <unordered_map>
#include <vector>

#include "common/ids.hpp"
#include "common/random.hpp"
#include "common/time.hpp"
#include "routing/even_share.hpp"
#include "routing/table_messages.hpp"

namespace planktray::routing {

struct CrowdedOwnersOptions {
  /// How long a list from the leader is valid. Longer than two hello intervals of the largest fleet
  /// (1.25 s each), so that one late answer does not invalidate the list.
  common::Duration lease = std::chrono::milliseconds(2500);
  /// Safeguard; disabled only in mutants.
  bool is_enabled = true;
};

class CrowdedOwners {
 public:
  explicit CrowdedOwners(CrowdedOwnersOptions options) : options_(options) {}

  /// Replaces the list by the leader's; owners that are not in `shares` are not crowded.
  void on_leader_list(common::TimePoint now, const std::vector<AdmittedShare>& shares);
  /// Whether one more request for keys of this owner may be sent. To be called once per request,
  /// since each call counts as one.
  bool admits(common::TimePoint now, BackendId owner, common::RandomEngine& random);
  /// True while the last list from the leader is valid.
  bool has_current_list(common::TimePoint now) const {
    return options_.is_enabled && now < valid_until_;
  }
  std::size_t count(common::TimePoint now) const {
    return has_current_list(now) ? owners_.size() : 0;
  }

 private:
  struct Owner {
    double share = 1;
    EvenShare admitted;
  };

  CrowdedOwnersOptions options_;
  common::TimePoint valid_until_;
  std::unordered_map<BackendId, Owner> owners_;
};

}  // namespace planktray::routing

#pragma once
/// Limits how many targets of a keyed service own keys.
///
/// Each owner costs the leader renewals, holdings to look through and a grant when the leader
/// changes, however few requests its keys get. A service with more targets than the leader can
/// renew in time, and than its load needs, therefore has its keys at a part of them. The others
/// wait without keys and take those of owners that leave or are lost.
///
/// Invariants:
///  - An owner stays admitted, whatever the limit: the limit moves no keys.
///  - A service that has no more targets than the limit is not limited.

#include <cstddef>
#include <functional>
#include <map>
#include <set>
#include <vector>

#include "ownership/cell_state.hpp"

namespace planktray::ownership {

class OwnerLimit {
 public:
  /// Returns true if the back end may get keys.
  using Eligibility = std::function<bool(const BackendRecord&)>;

  /// @param maximum number of owners of all keyed services together; each service may have the part
  ///   that its share of their targets is.
  OwnerLimit(const CellState& state, std::size_t maximum, const Eligibility& is_eligible);

  /// Returns true if the back end, which must be eligible, may get keys within the limit.
  bool admits(const BackendRecord& backend) const;
  /// Returns true if as many targets of the service are known as may become owners.
  bool is_reached(const common::PoolName& service) const;

 private:
  struct Service {
    std::vector<BackendId> eligible;  ///< in ascending order
    std::size_t maximum = 0;
    std::set<BackendId> admitted;
  };
  /// Admits present owners, then those that registered last: while the targets of a service are
  /// replaced one after the other, these are the ones that stay.
  static void admit(Service& service, const std::set<BackendId>& owners);

  std::map<common::PoolName, Service> services_;
};

}  // namespace planktray::ownership

#pragma once
/// Which back ends an update of the table changes, so that a router that knows thousands of them
/// looks at these alone.

#include <set>

#include "routing/table_messages.hpp"

namespace planktray::routing {

struct TargetChanges {
  /// Any back end may have changed: the update has a snapshot, or changes services or zones.
  bool may_be_any = false;
  std::set<BackendId> changed;  ///< new or changed
  std::set<BackendId> removed;

  bool empty() const { return !may_be_any && changed.empty() && removed.empty(); }
};

TargetChanges changes_in(const TableUpdate& update);

}  // namespace planktray::routing

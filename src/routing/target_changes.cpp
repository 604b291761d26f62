#include "routing/target_changes.hpp"

namespace planktray::routing {

TargetChanges changes_in(const TableUpdate& update) {
  TargetChanges changes;
  for (const TableDelta& delta : update.deltas) {
    const bool changes_services = !delta.services.empty() || !delta.removed_services.empty() ||
                                  !delta.routed_services.empty() ||
                                  !delta.removed_routed_services.empty();
    changes.may_be_any |= delta.is_snapshot || changes_services || !delta.zones.empty();
    for (const BackendRoute& backend : delta.backends) {
      changes.changed.insert(backend.id);
    }
    for (const WarmthRoute& warmth : delta.warmth) {
      changes.changed.insert(warmth.backend);
    }
    changes.removed.insert(delta.removed_backends.begin(), delta.removed_backends.end());
  }
  return changes;
}

}  // namespace planktray::routing

/// RouterCore: the paths to the back ends of each service.

#include <algorithm>
#include <vector>

#include "router/core/router_core.hpp"

namespace planktray::router {

using routing::AttemptEnd;

void RouterCore::record_path(TimePoint now, const Request& request, const Attempt& attempt,
                             const AttemptResult& result) {
  const bool found_no_connection = result.end == AttemptEnd::kNotSent;
  const bool lost_connection = result.end == AttemptEnd::kBroken && result.connection_ended;
  counters_.unsent_attempts += found_no_connection ? 1 : 0;
  counters_.broken_attempts += result.end == AttemptEnd::kBroken ? 1 : 0;
  if (found_no_connection || lost_connection) {
    paths_.on_failed(now, request.service, attempt.backend);
  } else if (result.end != AttemptEnd::kBroken) {
    paths_.on_answered(now, request.service, attempt.backend, result.is_new_connection);
  }
  report_path_changes();
}

void RouterCore::on_path_probed(TimePoint now, BackendId backend, bool is_reachable) {
  paths_.on_probed(now, backend, is_reachable);
  report_path_changes();
}

void RouterCore::probe_paths(TimePoint now) {
  for (const common::ServiceId service : paths_.due(now)) {
    for (const BackendId id :
         paths_.choose_probes(now, service, working_backends(now, service), random_)) {
      ++counters_.path_probes;
      output_.path_probes.push_back({id, table_.find_backend(id)->address});
    }
  }
  report_path_changes();
}

void RouterCore::report_path_changes() {
  for (const routing::PathChange& change : paths_.take_changes()) {
    const auto* service = table_.routes().find_service(change.service);
    output_.path_notices.push_back(
        {service == nullptr ? "" : service->route.config.name.value, change});
  }
}

std::vector<BackendId> RouterCore::working_backends(TimePoint now,
                                                    common::ServiceId service) const {
  const auto* routed = table_.routes().find_service(service);
  std::vector<BackendId> working;
  if (routed != nullptr) {
    std::copy_if(routed->targets.begin(), routed->targets.end(), std::back_inserter(working),
                 [&](BackendId id) {
                   const routing::BackendRoute* backend = table_.find_backend(id);
                   return backend != nullptr && backend->accepts_work() && !has_ended(now, id);
                 });
  }
  return working;
}

}  // namespace planktray::router

/// RouterCore: crashes, limits, backoffs and departures that the results of attempts show.

#include <optional>

#include "router/core/router_core.hpp"

namespace planktray::router {

using routing::AttemptEnd;

void RouterCore::record_crash(TimePoint now, const Attempt& attempt, const AttemptResult& result) {
  if (result.end == AttemptEnd::kAnswered && result.digest != 0) {
    suspects_.on_answered(now, result.digest);
  }
  if (!result.connection_ended) {
    return;
  }
  if (suspects_.on_connection_ended({result.digest, attempt.backend, attempt.sent, now})) {
    const routing::BackendRoute* backend = table_.find_backend(attempt.backend);
    if (backend != nullptr) {
      output_.reachability_probes.push_back({attempt.backend, backend->address});
    }
  }
}

void RouterCore::on_reachability_probed(TimePoint now, BackendId backend,
                                        std::optional<bool> listens) {
  // Without a path, a refused connection does not show that the back end has ended.
  if (listens.value_or(true) || is_path_doubtful(backend)) {
    return suspects_.on_target_alive(backend);
  }
  ++counters_.crashes_seen;
  if (suspects_.on_target_gone(now, backend)) {
    expedite_hello(now);
  }
}

void RouterCore::record_limit(TimePoint now, BackendId target, const AttemptResult& result) {
  if (!limited_.on_answer(now, target, result.limit)) {
    return;
  }
  expedite_hello(now);  // the leader moves keys and informs all routers
  if (const routing::BackendRoute* backend = table_.find_backend(target); backend != nullptr) {
    output_.limit_changes.push_back(
        {backend->address, backend->incarnation, result.limit.per_second});
  }
}

void RouterCore::record_backoff(TimePoint now, const Attempt& attempt,
                                const AttemptResult& result) {
  if (!result.backoff.has_value()) {
    return;
  }
  ++counters_.backoff_requests;
  const routing::BackendRoute* backend = table_.find_backend(attempt.backend);
  if (backend == nullptr ||
      !backoffs_.on_requested(now, attempt.backend, *result.backoff, random_)) {
    return;
  }
  output_.backoffs.push_back({backend->address, backend->incarnation, *result.backoff});
  expedite_hello(now);  // the leader may move the back end's keys
  recall_unstarted(now, attempt.backend);
}

void RouterCore::record_stated_departure(TimePoint now, const Attempt& attempt,
                                         const AttemptResult& result) {
  const routing::BackendRoute* backend = table_.find_backend(attempt.backend);
  if (!result.is_leaving || backend == nullptr ||
      !stated_departures_.on_stated(now, attempt.backend) || !backend->accepts_work()) {
    return;
  }
  ++counters_.stated_departures;
  output_.stated_departures.push_back({backend->address, backend->incarnation});
  expedite_hello(now);  // the leader moves the back end's keys and informs all routers
  const auto* service = table_.routed_service_of(*backend);
  if (service != nullptr && !service->route.config.keyed) {
    recall_unstarted(now, attempt.backend);
  }
}

}  // namespace planktray::router

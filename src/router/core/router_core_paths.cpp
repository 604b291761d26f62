/// RouterCore: the paths to the back ends of each service.

#include <algorithm>
#include <iterator>
#include <vector>

#include "router/core/router_core.hpp"

namespace planktray::router {

using routing::AttemptEnd;

namespace {

/// Time after which the owner of a key that is leaving by a peer's table is tried again. The next
/// table may name another owner.
constexpr Duration kClosedRecheckInterval = std::chrono::milliseconds(20);

}  // namespace

void RouterCore::record_path(TimePoint now, const Request& request, const Attempt& attempt,
                             const AttemptResult& result) {
  if (!attempt.peer.empty()) {
    return;  // speaks of the peer's path
  }
  const bool found_no_connection = result.end == AttemptEnd::kNotSent;
  const bool lost_connection = result.end == AttemptEnd::kBroken && result.connection_ended;
  counters_.unsent_attempts += found_no_connection ? 1 : 0;
  counters_.broken_attempts += result.end == AttemptEnd::kBroken ? 1 : 0;
  if (found_no_connection || lost_connection) {
    paths_.on_failed(now, request.service, attempt.backend);
  } else if (result.end != AttemptEnd::kBroken) {
    paths_.on_answered(now, request.service, attempt.backend, result.is_new_connection);
  }
  report_path_changes(now);
}

void RouterCore::on_path_probed(TimePoint now, const routing::PathProbe& probe, bool is_reachable) {
  paths_.on_probed(now, probe, is_reachable);
  report_path_changes(now);
  dispatch_waiting(now);
}

void RouterCore::probe_paths(TimePoint now) {
  for (const common::ServiceId service : paths_.due(now)) {
    for (routing::PathProbe& probe : paths_.choose_probes(
             now, service, working_backends(now, service), peers_.listed_addresses(), random_)) {
      ++counters_.path_probes;
      if (probe.backend.value != 0) {
        probe.address = table_.find_backend(probe.backend)->address;
      }
      output_.path_probes.push_back(std::move(probe));
    }
  }
  report_path_changes(now);
}

void RouterCore::report_path_changes(TimePoint now) {
  for (const routing::PathChange& change : paths_.take_changes()) {
    const auto* service = table_.routes().find_service(change.service);
    output_.path_notices.push_back(
        {service == nullptr ? "" : service->route.config.name.value, change});
    expedite_hello(now);  // peers of other routers depend on it
    if (change.is_lost) {
      recall_unwritten(now, change.service);
    }
  }
}

void RouterCore::recall_unwritten(TimePoint now, common::ServiceId service) {
  std::vector<AttemptId> unwritten;
  for (const auto& [id, attempt] : attempts_) {
    const Request& request = requests_.at(attempt.handle);
    const bool is_own = request.routed && !request.caller.relay.has_value();
    if (is_own && request.service == service && attempt.peer.empty() && writes_.is_unstarted(id)) {
      unwritten.push_back(id);
    }
  }
  std::sort(unwritten.begin(), unwritten.end());
  for (const AttemptId id : unwritten) {
    if (attempts_.contains(id)) {
      recall(now, id);
    }
  }
}

bool RouterCore::avoids_direct_path(const Request& request) const {
  return paths_.is_lost(request.service) ||
         (paths_.is_doubtful(request.service) && request.failed_connections > 0);
}

std::optional<std::string> RouterCore::choose_peer(TimePoint now, const Request& request,
                                                   BackendId backend) {
  if (request.relays >= options_.maximum_relays) {
    return std::nullopt;
  }
  return peers_.choose(now, request.service, backend, request.tried_peers, random_);
}

bool RouterCore::may_use_open_connection(TimePoint now, const Request& request,
                                         BackendId backend) const {
  return paths_.has_live_connections(request.service) &&
         !paths_.blocked_until(now, backend).has_value();
}

bool RouterCore::is_unreachable(TimePoint now, const Request& request,
                                const routing::RoutedTableService& service) {
  const auto stays_unreachable = [&](BackendId id) {
    if (availability(now, request, id, service) != Availability::kUnreachable) {
      return false;
    }
    if (may_use_open_connection(now, request, id)) {
      return false;
    }
    const auto blocked_until = paths_.blocked_until(now, id);
    const bool is_blocked_too_long =
        paths_.is_lost(request.service) ||
        (blocked_until.has_value() && *blocked_until >= request.wait_until);
    return is_blocked_too_long && !choose_peer(now, request, id).has_value();
  };
  if (request.keyed) {
    return stays_unreachable(table_.routes().owner_of(request.service, request.key));
  }
  const auto is_gone = [&](BackendId id) {
    return availability(now, request, id, service) == Availability::kGone;
  };
  return !std::all_of(service.targets.begin(), service.targets.end(), is_gone) &&
         std::all_of(service.targets.begin(), service.targets.end(), [&](BackendId id) {
           return is_gone(id) || request.refused_by.contains(id) || stays_unreachable(id);
         });
}

void RouterCore::on_relay_done(TimePoint now, Request& request, const Attempt& attempt,
                               const AttemptResult& result) {
  if (result.peer_failed) {
    ++counters_.relays_failed;
    request.tried_peers.insert(attempt.peer);
    return peers_.on_failed(now, attempt.peer);
  }
  if (result.relay_refusal == routing::RelayRefusal::kNone) {
    counters_.relays_answered += result.end == AttemptEnd::kAnswered ? 1 : 0;
    return peers_.on_answered(now, attempt.peer, result.peer_load);
  }
  ++counters_.relays_refused;
  request.tried_peers.insert(attempt.peer);
  if (result.relay_refusal == routing::RelayRefusal::kClosed) {
    request.refused_by.insert(attempt.backend);
    request.not_before = now + kClosedRecheckInterval;
  }
  peers_.on_refused(now, attempt.peer, result.relay_refusal, request.service, attempt.backend);
}

bool RouterCore::is_path_doubtful(BackendId backend) const {
  const routing::BackendRoute* route = table_.find_backend(backend);
  const auto* service = route == nullptr ? nullptr : table_.routed_service_of(*route);
  return service != nullptr && paths_.is_doubtful(service->route.id);
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

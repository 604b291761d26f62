/// RouterCore: availability of back ends for requests on routes, and the choice among them.

#include <algorithm>
#include <set>
#include <vector>

#include "router/core/router_core.hpp"

namespace planktray::router {

RouterCore::Availability RouterCore::availability(TimePoint now, const Request& request,
                                                  BackendId id,
                                                  const routing::RoutedTableService& service) {
  const routing::BackendRoute* backend = table_.find_backend(id);
  if (backend == nullptr || has_ended(now, id) || is_closed(now, request, *backend)) {
    return Availability::kGone;
  }
  if (backoffs_.ends_at(now, id).has_value()) {
    return Availability::kBackoff;
  }
  if (routed_service(request.service).targets.is_blocked(now, id)) {
    return Availability::kBlocked;
  }
  const bool has_capacity = !backoffs_.is_on_trial(id) && has_connection(request, id, service) &&
                            allows_cold(now, *backend, service);
  if (!has_capacity) {
    return Availability::kBusy;
  }
  const bool is_reached =
      !paths_.is_lost(request.service) && !paths_.blocked_until(now, id).has_value();
  return is_reached ? Availability::kAvailable : Availability::kUnreachable;
}

bool RouterCore::is_closed(TimePoint now, const Request& request,
                           const routing::BackendRoute& backend) const {
  const auto evacuated = evacuations_.find(backend.zone);
  const bool is_evacuated = evacuated != evacuations_.end() && options_.avoid_evacuated_zones;
  if (!request.keyed) {
    return backend.draining || stated_departures_.has_stated(backend.id) || is_evacuated;
  }
  const TimePoint arrival = now + arrival_time(request);
  const auto is_late_for = [arrival](const std::optional<TimePoint>& closes) {
    return closes.has_value() && arrival >= *closes;
  };
  const bool would_be_late = is_late_for(writes_.closes_at(backend.id)) ||
                             is_late_for(stated_departures_.closes_at(backend.id));
  const bool handover_has_ended =
      is_evacuated && now >= evacuated->second + options_.evacuation_grace;
  return would_be_late || handover_has_ended;
}

Duration RouterCore::arrival_time(const Request& request) const {
  return options_.arrival_time + send_window_.passing_time(request.caller.body_bytes);
}

bool RouterCore::allows_cold(TimePoint now, const routing::BackendRoute& backend,
                             const routing::RoutedTableService& service) {
  return !backend.cold || cold_limit_.allows(now, backend.id, service.route.config.cold_rate,
                                             fleet_size_.largest(), random_);
}

bool RouterCore::has_connection(const Request& request, BackendId backend,
                                const routing::RoutedTableService& service) {
  const std::uint32_t all = service.route.config.connections;
  if (all == 0) {
    return true;
  }
  const std::uint32_t share = std::max<std::uint32_t>(1, all / fleet_size_.largest());
  return routed_service(request.service).targets.outstanding(backend) < share;
}

bool RouterCore::is_admitted(TimePoint now, Request& request, BackendId owner) {
  if (request.admission.has_value() && request.admission->owner == owner) {
    return request.admission->admitted;
  }
  if (!crowded_.admits(now, owner, random_)) {
    request.admission = {owner, false, true};
    return false;
  }
  const std::optional<bool> admitted = limited_.admits(now, owner, random_);
  if (!admitted.has_value()) {
    return limited_.has_share(now, owner, fleet_size_.largest(), random_);
  }
  request.admission = {owner, *admitted};
  return *admitted;
}

bool RouterCore::is_blocked_by_limits(TimePoint now, const Request& request,
                                      const routing::RoutedTableService& service) const {
  const auto is_limited_or_unavailable = [&](BackendId id) {
    const routing::BackendRoute* backend = table_.find_backend(id);
    const bool accepts_work =
        backend != nullptr && !has_ended(now, id) && !is_closed(now, request, *backend);
    return !accepts_work || limited_.is_limited(id);
  };
  if (request.keyed) {
    const BackendId owner = table_.routes().owner_of(request.service, request.key);
    return limited_.is_limited(owner) && !request.refused_by.contains(owner);
  }
  return std::all_of(service.targets.begin(), service.targets.end(), is_limited_or_unavailable) &&
         std::any_of(service.targets.begin(), service.targets.end(),
                     [this](BackendId id) { return limited_.is_limited(id); });
}

std::optional<TimePoint> RouterCore::backoff_end(TimePoint now, const Request& request,
                                                 const routing::RoutedTableService& service) {
  if (backoffs_.empty()) {
    return std::nullopt;
  }
  std::optional<TimePoint> end;
  const auto candidates =
      request.keyed ? std::vector<BackendId>{table_.routes().owner_of(request.service, request.key)}
                    : service.targets;
  for (const BackendId id : candidates) {
    const Availability found = availability(now, request, id, service);
    if (found == Availability::kGone) {
      continue;
    }
    if (found != Availability::kBackoff) {
      return std::nullopt;
    }
    const TimePoint ends = *backoffs_.ends_at(now, id);
    end = std::min(end.value_or(ends), ends);
  }
  return end;
}

std::optional<TargetChoice> RouterCore::choose_target(TimePoint now, Request& request,
                                                      const routing::RoutedTableService& service) {
  if (request.keyed) {
    return choose_owner(now, request, service);
  }
  const auto has = [&](BackendId id, Availability wanted) {
    return availability(now, request, id, service) == wanted;
  };
  if (!avoids_direct_path(request)) {
    const auto is_available = [&](BackendId id) { return has(id, Availability::kAvailable); };
    fit_subset_to_traffic(now, routed_service(request.service));
    auto best = choose_cheapest(now, request, routed_service(request.service).subset, is_available);
    best = best.has_value() ? best : choose_cheapest(now, request, service.targets, is_available);
    if (best.has_value()) {
      return TargetChoice{*best};
    }
  }
  const auto needs_relay = [&](BackendId id) {
    const bool may_need_it = has(id, Availability::kUnreachable) ||
                             (avoids_direct_path(request) && has(id, Availability::kAvailable));
    return may_need_it && choose_peer(now, request, id).has_value();
  };
  if (const auto best = choose_cheapest(now, request, service.targets, needs_relay)) {
    return TargetChoice{*best, choose_peer(now, request, *best).value_or("")};
  }
  const auto may_have_connection = [&](BackendId id) {
    return has(id, Availability::kUnreachable) && may_use_open_connection(now, request, id);
  };
  const auto best = choose_cheapest(now, request, service.targets, may_have_connection);
  return best.has_value() ? std::optional(TargetChoice{*best}) : std::nullopt;
}

std::optional<TargetChoice> RouterCore::choose_owner(TimePoint now, Request& request,
                                                     const routing::RoutedTableService& service) {
  const BackendId owner = table_.routes().owner_of(request.service, request.key);
  const bool refuses = request.refused_by.contains(owner) && now < request.not_before;
  if (owner.value == 0 || refuses) {
    return std::nullopt;
  }
  const Availability found = availability(now, request, owner, service);
  const bool is_direct = found == Availability::kAvailable && !avoids_direct_path(request);
  if (!is_direct && found != Availability::kAvailable && found != Availability::kUnreachable) {
    return std::nullopt;
  }
  auto peer = is_direct ? std::optional<std::string>("") : choose_peer(now, request, owner);
  if (!peer.has_value() && may_use_open_connection(now, request, owner)) {
    peer = "";
  }
  if (!peer.has_value() || !is_admitted(now, request, owner)) {
    return std::nullopt;
  }
  return TargetChoice{owner, *peer};
}

template <typename IsUsable>
std::optional<BackendId> RouterCore::choose_cheapest(TimePoint now, const Request& request,
                                                     const std::vector<BackendId>& candidates,
                                                     const IsUsable& is_usable) {
  const routing::TargetBook& book = routed_service(request.service).targets;
  std::optional<BackendId> best;
  double best_cost = 0;
  for (const BackendId id : candidates) {
    const routing::BackendRoute* route = table_.find_backend(id);
    if (!is_usable(id) || request.refused_by.contains(id) ||
        !limited_.has_share(now, id, fleet_size_.largest(), random_)) {
      continue;
    }
    constexpr double kCostNoise = 0.2;
    double cost = static_cast<double>(book.expected_latency(now, id).count());
    cost *= 1.0 + kCostNoise * common::uniform_real(random_);
    cost *= route->zone == options_.zone ? 1.0 : 1.0 + options_.other_zone_cost;
    if (!best.has_value() || cost < best_cost) {
      best = id;
      best_cost = cost;
    }
  }
  return best;
}

void RouterCore::update_routed_targets(TimePoint now, const routing::TargetChanges& changes) {
  std::erase_if(routed_, [this](const auto& item) {
    return table_.routes().find_service(item.first) == nullptr;
  });
  std::set<common::ServiceId> changed_services;
  for_each_changed(changes, [&](BackendId id, const routing::BackendRoute& backend) {
    const auto* service = table_.routed_service_of(backend);
    if (backend.self_registered && service != nullptr) {
      routed_service(service->route.id).targets.add(id, backend.slots, backend.cold);
      changed_services.insert(service->route.id);
    }
  });
  update_evacuations(now);
  cold_limit_.keep_only([this](BackendId id) {
    const routing::BackendRoute* backend = table_.find_backend(id);
    return backend != nullptr && backend->cold;
  });
  const auto is_known = [this](BackendId id) { return table_.find_backend(id) != nullptr; };
  limited_.keep_only(now, is_known);
  backoffs_.keep_only(is_known);
  stated_departures_.keep_only(is_known);
  paths_.keep_only(is_known);
  peers_.keep_only(is_known);
  const bool may_have_removed = changes.may_be_any || !changes.removed.empty();
  for (auto& [id, service] : routed_) {
    if (may_have_removed) {
      service.targets.drop_unless(
          [this](BackendId backend) { return table_.find_backend(backend) != nullptr; });
    }
    if (may_have_removed || changed_services.contains(id)) {
      update_zone_subset(*table_.routes().find_service(id));
    }
  }
}

void RouterCore::update_evacuations(TimePoint now) {
  const auto& zones = table_.evacuated_zones();
  std::erase_if(evacuations_, [&](const auto& item) { return !zones.contains(item.first); });
  for (const common::ZoneName& zone : zones) {
    evacuations_.try_emplace(zone, now);
  }
}

void RouterCore::update_zone_subset(const routing::RoutedTableService& service) {
  if (service.route.config.keyed) {
    return;
  }
  RoutedService& routed = routed_service(service.route.id);
  std::vector<routing::ZonedTarget> available;
  for (const BackendId id : service.targets) {
    const routing::BackendRoute* route = table_.find_backend(id);
    if (route->accepts_work() && !table_.is_evacuated(*route)) {
      available.push_back({id, route->zone == options_.zone});
    }
  }
  if (available != routed.available) {
    routed.available = std::move(available);
    routed.subset_size = 0;
  }
}

void RouterCore::fit_subset_to_traffic(TimePoint now, RoutedService& service) {
  const auto requests = service.retries.requests_per_window(now);
  const routing::ZoneSubsetOptions options =
      requests.has_value() ? routing::scaled_to_traffic(options_.zone_subset, *requests)
                           : options_.zone_subset;
  // A service with few targets is used whole.
  const bool is_small = service.available.size() <= options_.zone_subset.size();
  const std::size_t size = is_small ? options_.zone_subset.size() : options.size();
  if (size != service.subset_size) {
    service.subset = routing::choose_zone_subset(service.available, options_.name.value,
                                                 is_small ? options_.zone_subset : options);
    service.subset_size = size;
  }
}

}  // namespace planktray::router

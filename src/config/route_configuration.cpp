#include "config/route_configuration.hpp"

#include <cmath>
#include <set>
#include <utility>

namespace planktray::config {
namespace {

tl::unexpected<common::Error> invalid(const std::string& item, const std::string& message) {
  return common::fail(common::ErrorCode::kInvalid, "check routes", "", item + ": " + message);
}

common::Result<void> check_route(const Route& route, const RouteConfiguration& configuration) {
  const std::string item = "route " + route.name;
  if (route.host.empty()) {
    return invalid(item, "host is empty");
  }
  const std::string& prefix = route.path_prefix;
  if (prefix.empty() || prefix.front() != '/' || prefix.back() != '/') {
    return invalid(item, "path prefix must begin and end with a slash");
  }
  if (route.parts.empty()) {
    return invalid(item, "no service is named");
  }
  if (route.maximum_attempts == 0) {
    return invalid(item, "attempts must be at least 1");
  }
  for (const RoutePart& part : route.parts) {
    if (!configuration.services.contains(part.service.value)) {
      return invalid(item, "service " + part.service.value + " is not known");
    }
    if (!std::isfinite(part.weight) || part.weight < 0) {
      return invalid(item, "weight of " + part.service.value + " must be finite and not negative");
    }
  }
  return {};
}

common::Result<void> check(const RouteConfiguration& configuration) {
  std::set<std::pair<std::string, std::string>> hosts_and_prefixes;
  for (const auto& [name, route] : configuration.routes) {
    if (auto valid = check_route(route, configuration); !valid) {
      return valid;
    }
    if (!hosts_and_prefixes.insert({route.host, route.path_prefix}).second) {
      return invalid("route " + name, "another route has the same host and path prefix");
    }
  }
  return {};
}

}  // namespace

common::Result<RouteConfiguration> apply_change(const RouteConfiguration& current,
                                                const RouteChange& change) {
  if (change.version <= current.version) {
    return invalid("version",
                   "must be above the current version, " + std::to_string(current.version));
  }
  RouteConfiguration next = change.replaces_all ? RouteConfiguration() : current;
  next.version = change.version;
  next.base_version = change.base_version;
  for (const std::string& name : change.removed_routes) {
    next.routes.erase(name);
  }
  for (const std::string& name : change.removed_services) {
    next.services.erase(name);
  }
  std::set<std::string> seen_names;
  for (const Route& route : change.routes) {
    if (!seen_names.insert(route.name).second) {
      return invalid("route " + route.name, "is named twice");
    }
    next.routes[route.name] = route;
  }
  seen_names.clear();
  for (const RoutedService& service : change.services) {
    if (!seen_names.insert(service.name.value).second) {
      return invalid("service " + service.name.value, "is named twice");
    }
    next.services[service.name.value] = service;
  }
  if (!change.limits.empty()) {
    next.limits = change.limits.front();
  }
  if (auto valid = check(next); !valid) {
    return tl::unexpected(valid.error());
  }
  return next;
}

}  // namespace planktray::config

#pragma once
/// The route configuration of a cell: maps hosts and path prefixes to services and limits requests.
/// A change replaces the whole configuration or updates single items by name, and states the
/// version that it is based on.

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "common/error.hpp"
#include "common/ids.hpp"

namespace planktray::config {

/// Number of keys of a keyed service; keys are 0 to kKeyCount - 1.
inline constexpr std::uint32_t kKeyCount = 65'536;

/// One service of a route, with its share of the route's requests.
struct RoutePart {
  common::ServiceName service;
  double weight = 1.0;  ///< relative to the sum of the weights of the route
  auto operator<=>(const RoutePart&) const = default;
  MSGPACK_DEFINE_ARRAY(service, weight)
};

/// Properties of a route's requests, as declared by operators.
struct RequestKind {
  bool repeatable = false;     ///< a request may run more than once
  bool large_request = false;  ///< request bodies may occupy a router's link for a long time
  bool large_answer = false;   ///< response bodies may occupy a router's link for a long time
  auto operator<=>(const RequestKind&) const = default;
};

/// Sends the requests for a host and path prefix to one or more services.
struct Route {
  std::string name;
  std::string host;
  std::string path_prefix;  ///< begins and ends with a slash
  RequestKind kind;
  std::uint32_t timeout_ms = 0;    ///< longest time that a request may be held; 0: no limit
  std::uint32_t objective_ms = 0;  ///< an answer within it has its full value; 0: none stated
  std::uint32_t priority = 0;      ///< 0 is the highest
  std::uint32_t maximum_attempts = 1;
  std::vector<RoutePart> parts;
  std::string document;  ///< the declaration in the operator's original text
  bool operator==(const Route&) const = default;
  /// The body size flags come last: logs and snapshots that lack them decode as small bodies.
  MSGPACK_DEFINE_ARRAY(name, host, path_prefix, kind.repeatable, timeout_ms, objective_ms, priority,
                       maximum_attempts, parts, document, kind.large_request, kind.large_answer)
};

/// A routed service. Its back ends register themselves.
struct RoutedService {
  common::ServiceName name;
  std::uint32_t connections = 0;  ///< total per back end, from all routers; 0: no limit
  bool keyed = false;             ///< only the owner of its key runs a request
  std::uint32_t warm_up_ms = 0;   ///< slow period of keys that changed owner without a handover
  double cold_rate = 0;  ///< requests per second that a cold back end sustains; 0: no limit
  std::string document;
  bool operator==(const RoutedService&) const = default;
  MSGPACK_DEFINE_ARRAY(name, connections, keyed, warm_up_ms, cold_rate, document)
};

/// Size limits and timeouts for requests of callers. 0: the router's default.
struct RequestLimits {
  std::uint64_t header_bytes = 0;
  std::uint64_t body_bytes = 0;
  std::uint32_t header_timeout_ms = 0;
  std::uint32_t idle_timeout_ms = 0;
  std::string document;
  bool operator==(const RequestLimits&) const = default;
  MSGPACK_DEFINE_ARRAY(header_bytes, body_bytes, header_timeout_ms, idle_timeout_ms, document)
};

/// A complete, validated configuration.
struct RouteConfiguration {
  std::uint64_t version = 0;  ///< 0: no configuration was accepted yet
  std::uint64_t base_version = 0;
  std::map<std::string, Route> routes;            ///< by name
  std::map<std::string, RoutedService> services;  ///< by name
  RequestLimits limits;
  MSGPACK_DEFINE_ARRAY(version, base_version, routes, services, limits)
};

/// A change of the route configuration: a complete replacement, or items to set and remove by name.
struct RouteChange {
  std::uint64_t version = 0;
  std::uint64_t base_version = 0;
  bool replaces_all = false;
  std::vector<Route> routes;
  std::vector<RoutedService> services;
  std::vector<RequestLimits> limits;  ///< at most one element
  std::vector<std::string> removed_routes;
  std::vector<std::string> removed_services;
  /// Digest of the exact content of the change; identifies a resend.
  std::uint64_t digest = 0;
  MSGPACK_DEFINE_ARRAY(version, base_version, replaces_all, routes, services, limits,
                       removed_routes, removed_services, digest)
};

/// Applies a change to the current configuration.
/// @return the new configuration, or kInvalid with the invalid item and field.
common::Result<RouteConfiguration> apply_change(const RouteConfiguration& current,
                                                const RouteChange& change);

}  // namespace planktray::config

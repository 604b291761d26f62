#pragma once
/// The route configuration of a cell: which host and path go to which services, and what operators
/// allow. It is changed as a whole or by named items, each change naming the version it builds on.

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "common/error.hpp"
#include "common/ids.hpp"

namespace planktray::config {

/// Keys of a service that is divided by key: 0 to kKeyCount - 1.
inline constexpr std::uint32_t kKeyCount = 65'536;

/// The share of a route's requests that one service gets.
struct RoutePart {
  common::ServiceName service;
  double weight = 1.0;  ///< relative to the sum over the route's parts
  auto operator<=>(const RoutePart&) const = default;
  MSGPACK_DEFINE_ARRAY(service, weight)
};

/// What operators declare of the requests of a route.
struct RequestKind {
  bool repeatable = false;     ///< its requests may run more than once
  bool large_request = false;  ///< bodies of requests may take a router's link for long
  bool large_answer = false;   ///< bodies of answers may take a router's link for long
  auto operator<=>(const RequestKind&) const = default;
};

struct Route {
  std::string name;
  std::string host;
  std::string path_prefix;  ///< begins and ends with a slash
  RequestKind kind;
  std::uint32_t timeout_ms = 0;    ///< the longest a request may be held; 0: no bound
  std::uint32_t objective_ms = 0;  ///< within it an answer earns its full worth; 0: none stated
  std::uint32_t priority = 0;      ///< 0 is the highest
  std::uint32_t maximum_attempts = 1;
  std::vector<RoutePart> parts;
  std::string document;  ///< the declaration as the operator wrote it
  bool operator==(const Route&) const = default;
  /// The sizes come last: logs and snapshots without them are read as those of small bodies.
  MSGPACK_DEFINE_ARRAY(name, host, path_prefix, kind.repeatable, timeout_ms, objective_ms, priority,
                       maximum_attempts, parts, document, kind.large_request, kind.large_answer)
};

/// A service whose back ends register themselves.
struct RoutedService {
  common::ServiceName name;
  std::uint32_t connections = 0;  ///< that a back end accepts from all routers; 0: no bound
  bool keyed = false;             ///< a request runs only at the owner of its key
  std::uint32_t warm_up_ms = 0;   ///< keys that change owner without a handover are slow this long
  double cold_rate = 0;           ///< requests a second that a cold back end bears; 0: no bound
  std::string document;
  bool operator==(const RoutedService&) const = default;
  MSGPACK_DEFINE_ARRAY(name, connections, keyed, warm_up_ms, cold_rate, document)
};

/// What callers may send, and how long they may take. 0: the router's own default.
struct RequestLimits {
  std::uint64_t header_bytes = 0;
  std::uint64_t body_bytes = 0;
  std::uint32_t header_timeout_ms = 0;
  std::uint32_t idle_timeout_ms = 0;
  std::string document;
  bool operator==(const RequestLimits&) const = default;
  MSGPACK_DEFINE_ARRAY(header_bytes, body_bytes, header_timeout_ms, idle_timeout_ms, document)
};

struct RouteConfiguration {
  std::uint64_t version = 0;  ///< 0: none was taken yet
  std::uint64_t base_version = 0;
  std::map<std::string, Route> routes;            ///< by name
  std::map<std::string, RoutedService> services;  ///< by name
  RequestLimits limits;
  MSGPACK_DEFINE_ARRAY(version, base_version, routes, services, limits)
};

/// A change of the route configuration: everything anew, or items to put and to remove by name.
struct RouteChange {
  std::uint64_t version = 0;
  std::uint64_t base_version = 0;
  bool replaces_all = false;
  std::vector<Route> routes;
  std::vector<RoutedService> services;
  std::vector<RequestLimits> limits;  ///< one at most
  std::vector<std::string> removed_routes;
  std::vector<std::string> removed_services;
  /// Digest of the change's exact content, by which a resend is known.
  std::uint64_t digest = 0;
  MSGPACK_DEFINE_ARRAY(version, base_version, replaces_all, routes, services, limits,
                       removed_routes, removed_services, digest)
};

/// The configuration that a change makes of `present`.
/// @return kInvalid with the item and field where the result would not be valid.
common::Result<RouteConfiguration> apply_change(const RouteConfiguration& present,
                                                const RouteChange& change);

}  // namespace planktray::config

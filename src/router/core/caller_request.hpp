#pragma once
/// A caller's request as the router's shell passes it to RouterCore.

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>

#include "common/ids.hpp"
#include "routing/crash_ledger.hpp"

namespace planktray::router {

/// Identifies a request within this router.
using RequestHandle = std::uint64_t;
/// Identifies one attempt to send a request, within this router.
using AttemptId = std::uint64_t;

/// Destination of a request on a route.
struct RouteCall {
  std::string host;
  std::string path;                  ///< without the query
  std::optional<std::uint32_t> key;  ///< for keyed services
};

/// Destination of a request that another router relays, since it cannot reach the back end itself.
/// That router has decided it and retries it; this one only passes it on.
struct RelayCall {
  common::BackendId backend;
  bool repeatable = false;
  common::LogIndex table_index;  ///< of the other router's table; for logs
};

/// One request of a caller: for a native service, or on a route if `route` is set.
struct CallerRequest {
  RequestHandle handle = 0;
  common::ServiceKey service;
  std::string key;  ///< empty: none given
  std::string method;
  std::uint32_t timeout_ms = 0;                   ///< 0: the default of the service or the route
  std::optional<RouteCall> route = std::nullopt;  ///< if set, the service follows from the route
  routing::RequestDigest digest = 0;              ///< 0: not known; see RouterCore::needs_digests
  std::size_t body_bytes = 0;
  std::optional<RelayCall> relay = std::nullopt;  ///< set if another router relays the request
};

}  // namespace planktray::router

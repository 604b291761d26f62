#pragma once
/// A caller's request as the router's shell hands it to the router's decisions.

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>

#include "common/ids.hpp"
#include "routing/crash_ledger.hpp"

namespace planktray::router {

/// Identity of a request inside this router.
using RequestHandle = std::uint64_t;
/// Identity of one attempt to send a request, inside this router.
using AttemptId = std::uint64_t;

/// Where a request on a route wants to go.
struct RouteCall {
  std::string host;
  std::string path;                  ///< without the query
  std::optional<std::uint32_t> key;  ///< for services divided by key
};

/// One try of a caller: a request for a native service, or on a route where `route` is set.
struct CallerRequest {
  RequestHandle handle = 0;
  common::ServiceKey service;
  std::string key;  ///< empty: none given
  std::string method;
  std::uint32_t timeout_ms = 0;                   ///< 0: the service's or the route's default
  std::optional<RouteCall> route = std::nullopt;  ///< set: the service follows from it
  routing::RequestDigest digest = 0;              ///< 0: not known; see RouterCore::needs_digests
  std::size_t body_bytes = 0;
};

}  // namespace planktray::router

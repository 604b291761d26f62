#pragma once
/// Requests on routes under virtual time: many routers against back ends that end without a word,
/// whose addresses pass to back ends of other services, that shed, fail and lose answers, while
/// routers are cut off from the leader and their tables grow old.
///
/// What is judged is what back ends and callers could see: which request arrived where, what ran,
/// and what its caller was told. A router's own counts are never asked.

#include <cstdint>
#include <string>
#include <vector>

#include "router/core/router_core.hpp"

namespace planktray::sim {

enum class RouteFault : std::uint8_t {
  kReusedAddresses,   ///< owners of keys end, their addresses pass to another service
  kCutRouters,        ///< routers lose the leader for some seconds
  kLostAnswers,       ///< for some seconds, half of what runs loses its answer
  kRestartedRouters,  ///< a router forgets all it knows, its retry window too
  kCrashingRequests,  ///< requests that end each back end which begins to run them come again
  kLimits             ///< a few back ends name how many requests a second they take
};

struct RouteWorldOptions {
  std::uint64_t seed = 1;
  common::Duration length = std::chrono::seconds(40);
  std::size_t routers = 12;
  /// Requests a second; most go to the service with keys, the fewest to the one that takes over
  /// the addresses of its back ends.
  double requests_per_second = 900;
  router::RouterOptions router;
  routing::CrashLedgerOptions crash_ledger;  ///< of the leader
  std::vector<RouteFault> faults = {RouteFault::kReusedAddresses,  RouteFault::kCutRouters,
                                    RouteFault::kLostAnswers,      RouteFault::kRestartedRouters,
                                    RouteFault::kCrashingRequests, RouteFault::kLimits};
};

struct RouteWorldResult {
  std::vector<std::string> violations;  ///< empty: the promises were kept
  std::uint64_t requests = 0;
  std::uint64_t answered = 0;
  std::uint64_t repeats = 0;          ///< arrivals at a service beyond the first of their request
  std::uint64_t misdirected = 0;      ///< arrivals at another incarnation than was asked
  std::uint64_t ended_owners = 0;     ///< whose addresses were taken over
  std::uint64_t crashes = 0;          ///< of back ends, by requests that crash them
  std::uint64_t crashing = 0;         ///< different requests that have crashed three or more
  std::uint64_t wrongly_refused = 0;  ///< other requests that were refused as crashing
  std::uint64_t limited = 0;          ///< arrivals that limits counted
};

RouteWorldResult run_route_world(const RouteWorldOptions& options);

/// A safeguard of requests on routes taken away.
struct RouteMutant {
  const char* name;
  const char* safeguard;
  void (*apply)(RouteWorldOptions& options);
};

const std::vector<RouteMutant>& all_route_mutants();

}  // namespace planktray::sim

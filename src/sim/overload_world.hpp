#pragma once
/// Requests on routes at a service whose demand is above its room, under virtual time: many routers
/// and a leader against back ends with a few slots, a queue in order of arrival, and a refusal
/// where that is full. Kinds of callers differ in the time that they bring.
///
/// What is judged is what callers get. A router's own counts are never asked.

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "controller/core/owner_admission.hpp"
#include "router/core/router_core.hpp"

namespace planktray::sim {

/// Callers of one route.
struct CallerKind {
  std::string name;  ///< of the route as well
  double share = 1;  ///< of all requests, relative to the other kinds
  common::Duration stated_time{0};
  std::uint32_t timeout_ms = 0;  ///< of the route
  std::uint32_t objective_ms = 0;
  bool repeatable = true;
};

struct OverloadOptions {
  std::uint64_t seed = 1;
  /// Answers count for requests that come after `warm_up`.
  common::Duration warm_up = std::chrono::seconds(6);
  common::Duration length = std::chrono::seconds(24);
  std::size_t routers = 12;
  std::size_t backends = 24;
  bool keyed = true;
  /// Demand relative to what the back ends can answer.
  double demand = 2.0;
  /// The same in the first half of `warm_up`; nothing: as afterwards.
  std::optional<double> crowd_demand;
  /// Half of the keys' owners get this many times as many requests as the other half.
  double skew = 1.0;
  common::Duration mean_work = std::chrono::milliseconds(240);
  std::uint32_t slots = 4;
  std::size_t queue = 16;
  router::RouterOptions router;
  controller::OwnerAdmissionOptions admission;  ///< of the leader
  std::vector<CallerKind> kinds;
  /// How often refused callers come again; each time as the router says.
  std::uint32_t returns = 1;
};

/// What the callers of one kind got.
struct KindResult {
  std::uint64_t requests = 0;      ///< first tries
  std::uint64_t answered = 0;      ///< of these, within the time that they stated
  std::uint64_t returned = 0;      ///< answered within it at a later try
  std::uint64_t in_objective = 0;  ///< at any try, within the route's objective
  double share() const;            ///< answered / requests
};

struct OverloadResult {
  std::map<std::string, KindResult> kinds;
  double used = 0;  ///< part of the back ends' time that went into answers which were delivered
  std::uint64_t turned_away = 0;  ///< by back ends whose queue was full
};

OverloadResult run_overload_world(const OverloadOptions& options);

}  // namespace planktray::sim

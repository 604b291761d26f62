#pragma once
/// Options of a router's decisions.

#include <cstddef>
#include <cstdint>
#include <string>

#include "common/ids.hpp"
#include "common/time.hpp"
#include "limits/memory_account.hpp"
#include "link/send_window.hpp"
#include "router/core/write_guard.hpp"
#include "routing/crash_suspects.hpp"
#include "routing/crowded_owners.hpp"
#include "routing/leader_search.hpp"
#include "routing/limited_targets.hpp"
#include "routing/path_monitor.hpp"
#include "routing/rate_share.hpp"
#include "routing/relay_peers.hpp"
#include "routing/requested_backoffs.hpp"
#include "routing/retry_budget.hpp"
#include "routing/retry_window.hpp"
#include "routing/table_freshness.hpp"
#include "routing/target_book.hpp"
#include "routing/target_choice.hpp"
#include "routing/zone_subset.hpp"

namespace planktray::router {

/// Retry-After of requests that cannot run before a table or an owner is available.
inline constexpr Duration kRetryAfterUnavailable = std::chrono::milliseconds(1000);

struct RouterOptions {
  common::CellName cell;
  common::RouterName name;
  std::string address;  ///< at which callers reach the router
  common::ZoneName zone;
  Duration hello_interval = std::chrono::milliseconds(100);
  Duration load_interval = std::chrono::milliseconds(1000);
  /// How long the table may be used after its last confirmation; the same value as in the
  /// controllers' settings.
  Duration table_lease = std::chrono::milliseconds(3000);
  routing::LeaderSearchOptions leader_search;
  /// Bounds the age of the table for requests on routes, so that changes of routes and back ends
  /// take effect within the promised time.
  routing::FreshnessOptions freshness;
  /// Bounds the time until the last byte of a request on a route is written.
  WriteGuardOptions writes;
  /// A back end is chosen for a large request only once the link has capacity for the request.
  link::SendWindowOptions send_window;
  /// Longest time from the choice of a request's back end until the request has arrived there,
  /// without the transmission time of a large request on the link.
  Duration arrival_time = std::chrono::milliseconds(500);
  /// Initial wait after a refusal or a failed connection; doubles up to the maximum.
  Duration minimum_backoff = std::chrono::milliseconds(5);
  Duration maximum_backoff = std::chrono::milliseconds(100);
  /// Time over which a target that is added after the first table ramps up to its full share.
  Duration warm_up = std::chrono::milliseconds(5000);
  routing::RetryBudgetOptions retry_budget;
  /// For requests on routes.
  routing::RetryWindowOptions retry_window;
  routing::TargetBookOptions targets;
  routing::RateShareOptions cold_limit;
  routing::LimitedTargetsOptions limited_targets;
  routing::CrowdedOwnersOptions crowded_owners;
  routing::RequestedBackoffOptions backoffs;
  routing::CrashSuspectsOptions crash_suspects;
  routing::PathMonitorOptions paths;
  /// "IP:port" at which other routers may relay requests; empty: it takes none.
  std::string relay_address;
  routing::RelayPeersOptions relay_peers;
  /// Maximum number of times that one request is relayed.
  std::uint32_t maximum_relays = 3;
  /// Maximum number of requests of other routers in flight.
  std::size_t maximum_peer_requests = 256;
  /// Retry-After of requests that crash their targets; long, since no change is expected soon.
  Duration crashing_retry_after = std::chrono::seconds(60);
  /// How long the largest reported number of routers is kept after a smaller one is reported.
  /// Longer than the table lease, within which a new leader has received a hello from every serving
  /// router.
  Duration fleet_size_retention = std::chrono::milliseconds(6000);
  /// How long the owner of a key in a zone under evacuation may get requests after the router has
  /// learned of the evacuation, so that its keys can be handed over first. 0: not at all.
  Duration evacuation_grace = std::chrono::milliseconds(2000);
  /// A request that is not sent within this fraction of its latency objective is refused.
  double max_wait_fraction = 0.2;
  /// The same limit as a time, where no route of the service states an objective.
  Duration default_max_wait = std::chrono::milliseconds(60);
  /// A request is refused if its answer is expected later than this fraction of its remaining time.
  double usable_deadline_fraction = 0.9;
  /// A request is not sent if its answer is expected later than this fraction of the shortest
  /// objective among the routes of its service: longer queues would serve only the callers with the
  /// longest timeouts. 0: no such bound.
  double latency_bound_fraction = 0.65;
  /// That bound is at least this multiple of the service's typical processing time.
  double minimum_bound_factor = 2.0;
  /// How long a back end gets no requests after another incarnation has answered at its address,
  /// unless the table drops the back end before. The block expires since the sign may have been
  /// misread; its duration bounds the cost of such a mistake. Leaders give up a holder within a
  /// hold (9 s at most), so a router sends to the same ended back end at most twice.
  Duration ended_retention = std::chrono::milliseconds(5000);
  /// Retry-After of requests without memory: clients that make no progress have given theirs up by
  /// then.
  Duration memory_retry_after = limits::kStallTime;
  /// Retry-After for callers that should retry soon.
  Duration short_retry_after = std::chrono::milliseconds(150);
  /// Retry-After of requests whose key has no owner: requests at the previous owner have to end,
  /// and the next owner has to be notified, before the key is served again. Derived from running
  /// times of 0.2 s and more. Each caller gets a random time between this and twice as much, so
  /// that retries do not coincide.
  Duration ownerless_retry_after = std::chrono::milliseconds(300);
  /// Retry-After of requests that arrive before the first table; each caller gets a random time
  /// between this and twice as much, so that retries do not coincide.
  Duration unavailable_retry_after = std::chrono::milliseconds(500);
  /// Relative cost that is added to the expected latency of a target in another zone.
  double other_zone_cost = 0.05;
  /// Maximum number of ended back ends in one hello, and of back ends that announced that they
  /// leave.
  std::size_t maximum_reported_ended = 64;
  /// Delay before a back end that was found to have ended is reported: other routers are about to
  /// find it too, and all back ends found within the delay share one report.
  Duration ended_report_delay = std::chrono::milliseconds(5);
  /// Maximum number of such reports in a hello interval, so that routers that find many ended back
  /// ends do not flood the leader with hellos.
  int ended_reports_per_hello = 4;
  /// Maximum number of keys in one load report.
  std::size_t maximum_reported_keys = 400;
  routing::SubsetPolicy subset = routing::SubsetPolicy::kDeterministicAperture;
  routing::ChoicePolicy choice = routing::ChoicePolicy::kPowerOfTwoChoices;
  /// Minimum number of targets that a router uses, where a service has more.
  std::uint32_t minimum_subset = 20;
  /// The same for services of the route configuration that are not keyed.
  routing::ZoneSubsetOptions zone_subset;
  /// Maximum number of shards in one load report.
  std::size_t maximum_reported_shards = 500;
  // Safeguards; only mutants of the simulator change them.
  bool resend_unknown = false;        ///< also resend requests that may have run
  bool keep_table_forever = false;    ///< serve from a table that is no longer confirmed
  bool claim_not_run = false;         ///< report unknown outcomes as "not run"
  bool avoid_evacuated_zones = true;  ///< send no requests to back ends of evacuated zones
};

}  // namespace planktray::router

#pragma once
/// What a router's decisions are set to.

#include <cstddef>
#include <cstdint>
#include <string>

#include "common/ids.hpp"
#include "common/time.hpp"
#include "link/send_window.hpp"
#include "router/core/write_guard.hpp"
#include "routing/crash_suspects.hpp"
#include "routing/crowded_owners.hpp"
#include "routing/leader_search.hpp"
#include "routing/limited_targets.hpp"
#include "routing/rate_share.hpp"
#include "routing/requested_backoffs.hpp"
#include "routing/retry_budget.hpp"
#include "routing/retry_window.hpp"
#include "routing/table_freshness.hpp"
#include "routing/target_book.hpp"
#include "routing/target_choice.hpp"
#include "routing/zone_subset.hpp"

namespace planktray::router {

/// Told to callers whose request cannot run before a table or an owner is there.
inline constexpr Duration kRetryAfterUnavailable = std::chrono::milliseconds(1000);

struct RouterOptions {
  common::CellName cell;
  common::RouterName name;
  std::string address;  ///< where callers reach it
  common::ZoneName zone;
  Duration hello_interval = std::chrono::milliseconds(100);
  Duration load_interval = std::chrono::milliseconds(1000);
  /// How long the table may be used after its last confirmation; the controllers' value.
  Duration table_lease = std::chrono::milliseconds(3000);
  routing::LeaderSearchOptions leader_search;
  /// For requests on routes: their routes and back ends are promised to be in use in time.
  routing::FreshnessOptions freshness;
  /// The same for their last bytes.
  WriteGuardOptions writes;
  /// Large requests look for a back end when their turn at the link has come.
  link::SendWindowOptions send_window;
  /// The longest that a request takes from the choice of its back end to its arrival, beside what a
  /// large one takes at the link.
  Duration arrival_time = std::chrono::milliseconds(500);
  /// First wait after a refusal or a failed connection; doubles up to the maximum.
  Duration minimum_backoff = std::chrono::milliseconds(5);
  Duration maximum_backoff = std::chrono::milliseconds(100);
  /// A target that appears after the first table reaches its full share over this time.
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
  /// Told to callers whose request crashes its targets: nothing gets better soon.
  Duration crashing_retry_after = std::chrono::seconds(60);
  /// For how long a larger count of routers is kept. Beyond the table lease, within which a new
  /// leader has heard of every router that serves.
  Duration fleet_size_retention = std::chrono::milliseconds(6000);
  /// The owner of a key in a zone that is being evacuated may get requests for this long after the
  /// router has learnt of it, so that its keys can be handed over first. 0: none.
  Duration evacuation_grace = std::chrono::milliseconds(2000);
  /// A request that is not sent within this part of its objective is refused.
  double max_wait_fraction = 0.2;
  /// The same where its route states no objective.
  Duration default_max_wait = std::chrono::milliseconds(60);
  /// A request is refused where its answer is expected later than this part of the time it has.
  double usable_deadline_fraction = 0.9;
  /// Nothing is sent where an answer is expected later than this part of the shortest objective
  /// among the routes of the service: longer queues would serve only those callers who bring the
  /// most time. 0: no such bound.
  double latency_bound_fraction = 0.65;
  /// A queue is not bounded below this many times the usual work time of its service.
  double minimum_bound_factor = 2.0;
  /// A back end whose address another incarnation answers at gets nothing for this long, unless the
  /// table drops it before. It ends with certainty, but the sign of it may have been misread: then
  /// this is what the mistake costs. Leaders give up a holder within a hold (9 s at most), so a
  /// router meets the same ended back end twice at most.
  Duration ended_retention = std::chrono::milliseconds(5000);
  /// Told to callers who should come back soon.
  Duration short_retry_after = std::chrono::milliseconds(150);
  /// Told to callers whose key has no owner: what ran on it has to end, and the next owner has to
  /// be told, before it runs again. Worked out from running times of 0.2 s and more, not measured.
  /// Each caller is told a time of its own between this and twice as much, so that they do not come
  /// back together.
  Duration ownerless_retry_after = std::chrono::milliseconds(300);
  /// Told to callers who come before a table is there; each is told a time of its own between this
  /// and twice as much, so that they do not come back together.
  Duration unavailable_retry_after = std::chrono::milliseconds(500);
  /// A target in another zone counts as slower by this part.
  double other_zone_cost = 0.05;
  /// Ended back ends named in one hello at most, and as many that said that they leave.
  std::size_t maximum_reported_ended = 64;
  /// A back end found to have ended is reported after this time: other routers are about to ask it
  /// too, and those found within it go together.
  Duration ended_report_delay = std::chrono::milliseconds(5);
  /// Such reports are at least this part of a hello's interval apart, so that routers which find
  /// many do not bury the leader in hellos.
  int ended_reports_per_hello = 4;
  /// Requests for the same key counted in one load report at most.
  std::size_t maximum_reported_keys = 400;
  routing::SubsetPolicy subset = routing::SubsetPolicy::kDeterministicAperture;
  routing::ChoicePolicy choice = routing::ChoicePolicy::kPowerOfTwoChoices;
  /// Targets a router uses at least, where a service has more.
  std::uint32_t minimum_subset = 20;
  /// The same for services of the route configuration that are not divided by key.
  routing::ZoneSubsetOptions zone_subset;
  /// Shards named in one load report at most.
  std::size_t maximum_reported_shards = 500;
  /// Safeguards; off only in mutants.
  bool resend_unknown = false;        ///< also resend what may have run
  bool keep_table_forever = false;    ///< serve without confirmation
  bool claim_not_run = false;         ///< call unknown outcomes "not run"
  bool avoid_evacuated_zones = true;  ///< send nothing to the back ends of an evacuated zone
};

}  // namespace planktray::router

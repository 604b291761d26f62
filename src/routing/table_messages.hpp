#pragma once
/// What controllers tell routers: the routing table as a snapshot or as deltas, each with the log
/// index it was taken at, and what routers tell controllers.

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "common/codec.hpp"
#include "common/ids.hpp"
#include "config/declaration.hpp"
#include "config/route_configuration.hpp"
#include "routing/shared_list.hpp"

namespace planktray::routing {

using common::BackendId;
using common::Epoch;
using common::LogIndex;
using common::ServiceId;
using common::ShardNumber;

/// A back end that may receive requests.
struct BackendRoute {
  BackendId id;
  common::MachineName machine;
  std::string address;
  common::ZoneName zone;
  common::Incarnation incarnation;
  bool draining = false;
  common::PoolName pool{};  ///< self-registered: the name of its service
  std::uint32_t slots = 0;  ///< requests it runs at once; 0: as its service says
  bool cold = false;        ///< it is slow, and bears few requests a second
  bool self_registered = false;
  bool ended = false;  ///< its address has another incarnation: it gets nothing
  /// True where it may get requests of any kind.
  bool takes_work() const { return !draining && !ended; }
  MSGPACK_DEFINE_ARRAY(id, machine, address, zone, incarnation, draining, pool, slots, cold,
                       self_registered, ended)
};

struct ServiceRoute {
  ServiceId id;
  config::ServiceConfig config;
  std::vector<BackendId> targets;
  MSGPACK_DEFINE_ARRAY(id, config, targets)
};

/// Where one shard is. A moving shard takes no requests until its next owner is known.
struct ShardRoute {
  ServiceId service;
  ShardNumber shard;
  BackendId owner;
  Epoch epoch;
  bool moving = false;
  MSGPACK_DEFINE_ARRAY(service, shard, owner, epoch, moving)
};

/// Revision of a tenant's declaration; withdrawn tenants stay listed without services.
struct TenantRevision {
  common::TenantName tenant;
  common::Revision revision;
  MSGPACK_DEFINE_ARRAY(tenant, revision)
};

/// A service of the route configuration; its targets are the back ends that registered for it.
struct RoutedServiceRoute {
  ServiceId id;
  config::RoutedService config;
  MSGPACK_DEFINE_ARRAY(id, config)
};

/// Who gets the requests for keys `first` to `last`; 0 while nobody does.
struct KeyRangeRoute {
  ServiceId service;
  std::uint32_t first = 0;
  std::uint32_t last = 0;
  BackendId owner;
  MSGPACK_DEFINE_ARRAY(service, first, last, owner)
};

/// Whether requests are kept off the back ends of a zone. Where that is taken back, all back ends
/// that the table has there become cold.
struct ZoneRoute {
  common::ZoneName zone;
  bool evacuated = false;
  MSGPACK_DEFINE_ARRAY(zone, evacuated)
};

/// A back end that turns cold, or is warm again.
struct WarmthRoute {
  BackendId backend;
  bool cold = false;
  MSGPACK_DEFINE_ARRAY(backend, cold)
};

/// Changes of the table from one log index to another; a snapshot starts from nothing.
struct TableDelta {
  bool is_snapshot = false;
  LogIndex from;
  LogIndex to;
  std::vector<BackendRoute> backends;
  std::vector<BackendId> removed_backends;
  std::vector<ServiceRoute> services;
  std::vector<ServiceId> removed_services;
  std::vector<ShardRoute> shards;
  std::vector<TenantRevision> tenants;
  std::vector<config::Route> routes;
  std::vector<std::string> removed_routes;
  std::vector<RoutedServiceRoute> routed_services;
  std::vector<ServiceId> removed_routed_services;
  std::vector<KeyRangeRoute> ranges;
  std::vector<config::RequestLimits> limits;  ///< one at most
  std::uint64_t routes_version = 0;           ///< 0: unchanged
  std::vector<ZoneRoute> zones;
  std::vector<WarmthRoute> warmth;
  MSGPACK_DEFINE_ARRAY(is_snapshot, from, to, backends, removed_backends, services,
                       removed_services, shards, tenants, routes, removed_routes, routed_services,
                       removed_routed_services, ranges, limits, routes_version, zones, warmth)

  /// True where nothing changes but the index.
  bool empty() const;
};

/// Requests that a router saw for one key since its last report.
struct KeyLoad {
  ServiceId service;
  std::uint32_t key = 0;
  std::uint32_t requests = 0;
  MSGPACK_DEFINE_ARRAY(service, key, requests)
};

/// How long a router's requests took at one back end since its last report, without waiting there,
/// and what the back end said of its queue meanwhile.
struct TargetTime {
  BackendId backend;
  std::uint32_t time_us = 0;  ///< mean; 0 where nothing was answered
  std::uint32_t samples = 0;  ///< answered requests
  std::uint32_t reports = 0;  ///< answers and refusals that told the queue
  std::uint32_t waiting = 0;  ///< sum over the reports of requests that waited there
  MSGPACK_DEFINE_ARRAY(backend, time_us, samples, reports, waiting)
};

/// Limits named in one hello or update at most.
inline constexpr std::size_t kMaxLimits = 256;

/// What a back end has told one router of its limit: so many requests a second from all routers
/// together, or that it names none any more.
struct LimitReport {
  BackendId backend;
  bool is_limited = false;
  double per_second = 0;
  std::uint64_t age_us = 0;  ///< since an answer said so
  MSGPACK_DEFINE_ARRAY(backend, is_limited, per_second, age_us)
};

/// A limit that a back end names, as the leader knows it from all routers.
struct TargetLimit {
  BackendId backend;
  double per_second = 0;
  bool has_admission = false;
  /// Part of the requests for its keys that each router may send.
  double admission = 1;
  MSGPACK_DEFINE_ARRAY(backend, per_second, has_admission, admission)
};

/// Crowded owners named in one update at most.
inline constexpr std::size_t kMaxCrowdedOwners = 256;

/// An owner of keys whose queue is too long: the part of the requests for its keys that each router
/// may send.
struct AdmittedShare {
  BackendId backend;
  std::uint32_t permille = 1000;
  MSGPACK_DEFINE_ARRAY(backend, permille)
};

/// Requests that crash their targets named in one update, and crashes in one hello, at most.
inline constexpr std::size_t kMaxSuspects = 64;

/// A connection to a back end ended while a request waited there for its answer.
struct CrashReport {
  std::uint64_t digest = 0;  ///< of the request: see RequestDigest
  BackendId backend;
  std::uint64_t sent_age_us = 0;   ///< since it was sent there
  std::uint64_t ended_age_us = 0;  ///< since the connection ended
  MSGPACK_DEFINE_ARRAY(digest, backend, sent_age_us, ended_age_us)
};

/// A request that was listed as crashing its targets has had a good answer.
struct AnsweredSuspect {
  std::uint64_t digest = 0;
  std::uint64_t age_us = 0;  ///< since the answer
  MSGPACK_DEFINE_ARRAY(digest, age_us)
};

/// A request that has crashed targets; to be refused for `blocked_for_ms` (0: only watched).
struct SuspectRequest {
  std::uint64_t digest = 0;
  std::uint32_t blocked_for_ms = 0;
  std::uint32_t crashes = 0;  ///< in a row
  MSGPACK_DEFINE_ARRAY(digest, blocked_for_ms, crashes)
};

/// Back ends named in one hello at most that have asked to be left alone.
inline constexpr std::size_t kMaxBackoffs = 64;

/// An owner of keys that wants nothing from this router for a while.
struct BackoffReport {
  BackendId backend;
  std::uint32_t left_ms = 0;
  MSGPACK_DEFINE_ARRAY(backend, left_ms)
};

/// Requests that a router saw for one shard since its last report.
struct ShardLoad {
  ServiceId service;
  ShardNumber shard;
  std::uint32_t requests = 0;
  MSGPACK_DEFINE_ARRAY(service, shard, requests)
};

/// Router to every controller, as heartbeat, acknowledgement and load report in one.
struct RouterHello {
  common::CellName cell;
  common::RouterName router;
  std::string address;        ///< where callers reach it, for the operators' view
  std::int64_t clock_us = 0;  ///< the router's clock at sending, echoed back
  LogIndex table_index;       ///< the table the router serves from; 0 is none
  bool serving = false;
  std::vector<ShardLoad> loads;
  std::vector<KeyLoad> key_loads;
  std::vector<TargetTime> target_times;
  /// Back ends at whose address another incarnation has answered, and named itself.
  std::vector<BackendId> ended;
  bool lacks_update = false;  ///< an update has come that does not lead on from this table
  std::vector<LimitReport> limits;
  std::vector<CrashReport> crashes;
  std::vector<AnsweredSuspect> suspects_answered;
  std::vector<SuspectRequest> suspects_listed;  ///< by a leader before this one
  /// Back ends that said in an answer that they are leaving, and that the table has as taking work.
  std::vector<BackendId> leaving;
  std::vector<BackoffReport> backoffs;
  MSGPACK_DEFINE_ARRAY(cell, router, address, clock_us, table_index, serving, loads, key_loads,
                       target_times, ended, lacks_update, limits, crashes, suspects_answered,
                       suspects_listed, leaving, backoffs)
};

/// Controller to router: confirmation that the table is current, and what changed.
struct TableUpdate {
  common::CellName cell;
  common::Term term;
  std::int64_t echo_clock_us = 0;  ///< from the newest hello
  LogIndex base_index;             ///< the deltas lead on from here; 0: a snapshot comes first
  LogIndex current_index;          ///< index the leader has applied
  std::uint32_t router_rank = 0;   ///< this router's place among the live ones, from 0
  std::uint32_t router_count = 1;  ///< live routers, for subsets of targets
  SharedList<TableDelta> deltas;
  std::uint32_t hello_interval_ms = 0;  ///< the leader asks for hellos this far apart; 0: any
  /// In the router's clock: what was acknowledged to anybody before this moment is in the table at
  /// `current_index`. 0: the sender cannot tell.
  std::int64_t as_of_clock_us = 0;
  /// The sender follows; it tells what it has committed and nothing of the fleet, and extends no
  /// table lease: `router_rank`, `router_count`, `hello_interval_ms` and `echo_clock_us` say
  /// nothing.
  bool by_follower = false;
  std::vector<TargetLimit> limits;
  /// True where `limits` holds all that the leader knows; never from followers.
  bool limits_are_complete = false;
  /// Not from followers.
  std::vector<SuspectRequest> suspects;
  /// All other owners are not crowded, where queues are known; never from followers.
  std::vector<AdmittedShare> crowded;
  bool queues_are_known = false;
  MSGPACK_DEFINE_ARRAY(cell, term, echo_clock_us, base_index, current_index, router_rank,
                       router_count, deltas, hello_interval_ms, as_of_clock_us, by_follower, limits,
                       limits_are_complete, suspects, crowded, queues_are_known)
};

/// Follower to router, in place of an answer to its hello: where the controllers of the cell are.
/// A router starts with a few of them only, and the leader may be another.
struct ControllerList {
  common::CellName cell;
  std::vector<std::string> addresses;  ///< "IP:port" of their sockets for peers
  common::Term term{};                 ///< the newest that the sender knows
  std::string leader{};                ///< address of its leader; empty: none is known
  MSGPACK_DEFINE_ARRAY(cell, addresses, term, leader)
};

}  // namespace planktray::routing

#pragma once
/// Messages between controllers and routers: the routing table as a snapshot or as deltas, each
/// with its log index, and the routers' hellos.

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
  common::PoolName pool{};  ///< service name if self-registered
  std::uint32_t slots = 0;  ///< concurrent requests; 0: as configured for the service
  bool cold = false;        ///< slow after its start, accepts only a low request rate
  bool self_registered = false;
  bool ended = false;  ///< its address has another incarnation: gets no requests
  /// True if the back end may get requests.
  bool accepts_work() const { return !draining && !ended; }
  MSGPACK_DEFINE_ARRAY(id, machine, address, zone, incarnation, draining, pool, slots, cold,
                       self_registered, ended)
};

struct ServiceRoute {
  ServiceId id;
  config::ServiceConfig config;
  std::vector<BackendId> targets;
  MSGPACK_DEFINE_ARRAY(id, config, targets)
};

/// Owner of one shard. A moving shard gets no requests until its next owner is known.
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

/// Owner of the keys `first` to `last`; 0 if they have none.
struct KeyRangeRoute {
  ServiceId service;
  std::uint32_t first = 0;
  std::uint32_t last = 0;
  BackendId owner;
  MSGPACK_DEFINE_ARRAY(service, first, last, owner)
};

/// Whether a zone is evacuated, so that its back ends get no requests. When the evacuation ends,
/// all back ends of the zone in the table become cold.
struct ZoneRoute {
  common::ZoneName zone;
  bool evacuated = false;
  MSGPACK_DEFINE_ARRAY(zone, evacuated)
};

/// A back end that has become cold or warm.
struct WarmthRoute {
  BackendId backend;
  bool cold = false;
  MSGPACK_DEFINE_ARRAY(backend, cold)
};

/// Changes of the table from one log index to another. A snapshot replaces the whole table.
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
  std::vector<config::RequestLimits> limits;  ///< at most one
  std::uint64_t routes_version = 0;           ///< 0: unchanged
  std::vector<ZoneRoute> zones;
  std::vector<WarmthRoute> warmth;
  MSGPACK_DEFINE_ARRAY(is_snapshot, from, to, backends, removed_backends, services,
                       removed_services, shards, tenants, routes, removed_routes, routed_services,
                       removed_routed_services, ranges, limits, routes_version, zones, warmth)

  /// True if nothing changes but the index.
  bool empty() const;
};

/// Requests for one key at a router since its last report.
struct KeyLoad {
  ServiceId service;
  std::uint32_t key = 0;
  std::uint32_t requests = 0;
  MSGPACK_DEFINE_ARRAY(service, key, requests)
};

/// Mean work time of a router's requests at one back end since its last report, without queueing,
/// and the queue lengths that the back end has stated since then.
struct TargetTime {
  BackendId backend;
  std::uint32_t time_us = 0;  ///< mean; 0 without answers
  std::uint32_t samples = 0;  ///< number of answered requests
  std::uint32_t reports = 0;  ///< answers and refusals that stated the queue length
  std::uint32_t waiting = 0;  ///< sum of the queue lengths over the reports
  MSGPACK_DEFINE_ARRAY(backend, time_us, samples, reports, waiting)
};

/// Maximum number of limits in one hello or update.
inline constexpr std::size_t kMaxLimits = 256;

/// The limit that a back end has stated to one router, for the requests per second of all routers
/// together, or the end of its limit.
struct LimitReport {
  BackendId backend;
  bool is_limited = false;
  double per_second = 0;
  std::uint64_t age_us = 0;  ///< time since the answer that stated it
  MSGPACK_DEFINE_ARRAY(backend, is_limited, per_second, age_us)
};

/// The limit of a back end, combined by the leader from the reports of all routers.
struct TargetLimit {
  BackendId backend;
  double per_second = 0;
  bool has_admission = false;
  /// Share of its requests for the back end's keys that each router may send.
  double admission = 1;
  MSGPACK_DEFINE_ARRAY(backend, per_second, has_admission, admission)
};

/// Maximum number of crowded owners in one update.
inline constexpr std::size_t kMaxCrowdedOwners = 256;

/// A crowded owner of keys, whose queue is too long, and the share of the requests for its keys
/// that each router may send.
struct AdmittedShare {
  BackendId backend;
  std::uint32_t permille = 1000;
  MSGPACK_DEFINE_ARRAY(backend, permille)
};

/// Maximum number of suspect requests in one update, and of crashes in one hello.
inline constexpr std::size_t kMaxSuspects = 64;

/// A connection to a back end ended while a request waited there for its answer.
struct CrashReport {
  std::uint64_t digest = 0;  ///< see RequestDigest
  BackendId backend;
  std::uint64_t sent_age_us = 0;   ///< time since the request was sent
  std::uint64_t ended_age_us = 0;  ///< time since the connection ended
  MSGPACK_DEFINE_ARRAY(digest, backend, sent_age_us, ended_age_us)
};

/// A request that was listed as suspect has been answered successfully.
struct AnsweredSuspect {
  std::uint64_t digest = 0;
  std::uint64_t age_us = 0;  ///< time since the answer
  MSGPACK_DEFINE_ARRAY(digest, age_us)
};

/// A request that has crashed targets, and for how long it is refused (0: not refused yet).
struct SuspectRequest {
  std::uint64_t digest = 0;
  std::uint32_t blocked_for_ms = 0;
  std::uint32_t crashes = 0;  ///< consecutive
  MSGPACK_DEFINE_ARRAY(digest, blocked_for_ms, crashes)
};

/// Maximum number of requested backoffs in one hello.
inline constexpr std::size_t kMaxBackoffs = 64;

/// A backoff that an owner of keys has requested from this router.
struct BackoffReport {
  BackendId backend;
  std::uint32_t remaining_ms = 0;
  MSGPACK_DEFINE_ARRAY(backend, remaining_ms)
};

/// Requests for one shard at a router since its last report.
struct ShardLoad {
  ServiceId service;
  ShardNumber shard;
  std::uint32_t requests = 0;
  MSGPACK_DEFINE_ARRAY(service, shard, requests)
};

/// Maximum number of relay peers in one update.
inline constexpr std::size_t kMaxRelayPeers = 8;

/// A router to which others may relay requests for back ends that they cannot reach themselves.
struct RelayPeer {
  std::string address;  ///< "IP:port" of its relay interface
  common::ZoneName zone;
  std::vector<ServiceId> unreachable;  ///< services whose back ends it cannot reach either
  MSGPACK_DEFINE_ARRAY(address, zone, unreachable)
  friend bool operator==(const RelayPeer&, const RelayPeer&) = default;
};

/// Returns a digest of a list of peers by which a router tells the leader which one it has; 0 for
/// an empty list.
std::uint64_t digest_of(const std::vector<RelayPeer>& peers);

/// Message from a router to controllers: heartbeat, acknowledgement and load report.
struct RouterHello {
  common::CellName cell;
  common::RouterName router;
  std::string address;        ///< for callers; shown to operators
  std::int64_t clock_us = 0;  ///< the router's clock when sending; echoed in updates
  LogIndex table_index;       ///< index of the router's table; 0: none
  bool serving = false;
  std::vector<ShardLoad> loads;
  std::vector<KeyLoad> key_loads;
  std::vector<TargetTime> target_times;
  /// Back ends at whose address another incarnation has answered and identified itself.
  std::vector<BackendId> ended;
  bool lacks_update = false;  ///< an update was received that leaves a gap
  std::vector<LimitReport> limits;
  std::vector<CrashReport> crashes;
  std::vector<AnsweredSuspect> suspects_answered;
  std::vector<SuspectRequest> suspects_listed;  ///< by a previous leader
  /// Back ends that have stated in an answer that they are leaving, but still get requests
  /// according to the table.
  std::vector<BackendId> leaving;
  std::vector<BackoffReport> backoffs;
  std::string relay_address{};  ///< "IP:port" for relayed requests; empty: it takes none
  common::ZoneName zone{};
  std::vector<ServiceId> unreachable{};  ///< services none of whose back ends it can reach
  std::uint64_t peers_digest = 0;        ///< of the relay peers that it has; see digest_of()
  common::Term leader_term{};            ///< newest term in which it knows the leader
  LogIndex controllers_index{};          ///< `index` of the newest list of controllers that it has
  bool reads_compressed = false;         ///< it can read compressed lists of deltas
  bool requests_snapshots = false;       ///< it requests a snapshot that it is offered
  bool wants_snapshot = false;           ///< it requests a snapshot from the receiver
  bool polls_followers = false;          ///< it gets changes of its table from followers
  std::uint64_t clock_id = 0;            ///< of the clock of `clock_us`; 0: not stated
  MSGPACK_DEFINE_ARRAY(cell, router, address, clock_us, table_index, serving, loads, key_loads,
                       target_times, ended, lacks_update, limits, crashes, suspects_answered,
                       suspects_listed, leaving, backoffs, relay_address, zone, unreachable,
                       peers_digest, leader_term, controllers_index, reads_compressed,
                       requests_snapshots, wants_snapshot, polls_followers, clock_id)
};

/// A TableUpdate::as_of_clock_us of an update that extends the table lease only: the leader has
/// read the router's hello, and the router gets the changes that it lacks from a follower.
inline constexpr std::int64_t kLeaseOnly = -1;

/// Message from a controller to a router: confirms that the table is current, with its changes.
struct TableUpdate {
  common::CellName cell;
  common::Term term;
  std::int64_t echo_clock_us = 0;  ///< `clock_us` of the newest hello
  LogIndex base_index;             ///< index before the deltas; 0: the first is a snapshot
  LogIndex current_index;          ///< index that the leader has applied
  std::uint32_t router_rank = 0;   ///< rank of this router among the live routers, from 0
  std::uint32_t router_count = 1;  ///< number of live routers, for subsets of targets
  SharedList<TableDelta> deltas;
  std::uint32_t hello_interval_ms = 0;  ///< requested by the leader; 0: any
  /// Time of the router's clock: the table at `current_index` contains every change that was
  /// acknowledged before. 0: not known to the sender; kLeaseOnly: the table may be old.
  std::int64_t as_of_clock_us = 0;
  /// The sender is a follower. It sends committed changes but has no data about the fleet, and does
  /// not extend the table lease: `router_rank`, `router_count`, `hello_interval_ms` and
  /// `echo_clock_us` have no meaning.
  bool by_follower = false;
  std::vector<TargetLimit> limits;
  /// True if `limits` contains all limits that the leader knows; never set by followers.
  bool limits_are_complete = false;
  /// Never set by followers.
  std::vector<SuspectRequest> suspects;
  /// All crowded owners, if `queues_are_known`; never set by followers.
  std::vector<AdmittedShare> crowded;
  bool queues_are_known = false;
  /// All relay peers of this router, if `peers_are_listed`; never set by followers.
  std::vector<RelayPeer> peers{};
  bool peers_are_listed = false;
  /// How often the router should poll a follower for changes, as the leader sends it nothing but
  /// answers to hellos; 0: not at all.
  std::uint32_t poll_interval_ms = 0;
  common::ZoneName sender_zone{};  ///< set by followers
  /// `clock_id` of the hello whose clock the times above are of; 0: not stated.
  std::uint64_t clock_id = 0;
  MSGPACK_DEFINE_ARRAY(cell, term, echo_clock_us, base_index, current_index, router_rank,
                       router_count, deltas, hello_interval_ms, as_of_clock_us, by_follower, limits,
                       limits_are_complete, suspects, crowded, queues_are_known, peers,
                       peers_are_listed, poll_interval_ms, sender_zone, clock_id)
};

/// Message from a follower to a router, in place of an answer to its hello: the addresses of the
/// cell's controllers. A router starts with only a few of them, which may not include the leader.
struct ControllerList {
  common::CellName cell;
  std::vector<std::string> addresses;  ///< "IP:port" for peer connections
  common::Term term{};                 ///< newest term that the sender knows
  std::string leader{};                ///< address of the leader of `term`; empty: not known
  std::string sender{};                ///< address of the sender
  common::ZoneName sender_zone{};
  LogIndex index{};  ///< log index of the membership that `addresses` are of
  /// The router needs a snapshot, which the sender sends on request: any one controller should send
  /// it, as it is large.
  bool offers_snapshot = false;
  MSGPACK_DEFINE_ARRAY(cell, addresses, term, leader, sender, sender_zone, index, offers_snapshot)
};

}  // namespace planktray::routing

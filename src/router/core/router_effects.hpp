#pragma once
/// Results of attempts, which go into a router's decisions, and the effects that come out of them.

#include <array>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "common/ids.hpp"
#include "common/time.hpp"
#include "router/core/caller_request.hpp"
#include "router/core/write_guard.hpp"
#include "routing/limited_targets.hpp"
#include "routing/outcome.hpp"
#include "routing/path_monitor.hpp"
#include "routing/retry_window.hpp"
#include "routing/table_messages.hpp"
#include "routing/target_book.hpp"

namespace planktray::router {

/// Effect: send the request to this back end.
struct Forward {
  AttemptId attempt = 0;
  RequestHandle handle = 0;
  std::string address;
  common::MachineName machine;
  common::Incarnation incarnation;
  bool keyed = false;
  common::ShardNumber shard;
  common::Epoch epoch;
  Duration time_left{0};
  bool repeatable = false;  ///< false: must not be sent on a reused connection
  common::BackendId backend{};
  std::string peer{};  ///< address of the router that is to relay the attempt; empty: none
  // For logs.
  std::string service{};           ///< service of the request, whose retry budget repeats count in
  std::uint32_t number = 1;        ///< 1: the first attempt of the request
  common::LogIndex table_index{};  ///< of the table that named the back end
  routing::RetryUsage budget{};    ///< of a repeat on a route: the budget spent, including it
};

/// Effect: answer the caller.
struct Answer {
  RequestHandle handle = 0;
  routing::Outcome outcome = routing::Outcome::kUnknown;
  AttemptId attempt = 0;  ///< if answered: the attempt whose answer is forwarded
  routing::NotRunReason reason = routing::NotRunReason::kNone;
  bool can_never_run = false;  ///< a retry cannot succeed
  Duration retry_after{0};
  /// Of a relayed request that was not passed on.
  routing::RelayRefusal relay_refusal = routing::RelayRefusal::kNone;
  /// Of a relayed request whose outcome is unknown: the back end's connection has ended.
  bool connection_ended = false;
  // For logs; set if the request was accepted.
  std::string service{};
  std::uint32_t attempts = 0;      ///< number of times the request was sent
  common::LogIndex table_index{};  ///< of the table that the decision is based on
  std::string route{};
  /// Expected time until the answer, at the last estimate.
  std::optional<Duration> expected{};
};

/// Response header about the back end that the router does not recognize or cannot parse.
struct UnrecognizedHeader {
  std::string name;
  std::string value;
};

struct AttemptResult {
  routing::AttemptEnd end = routing::AttemptEnd::kBroken;
  routing::Refusal refusal = routing::Refusal::kShed;
  bool is_failure = false;  ///< answered with a failure of the back end
  std::optional<routing::LoadReport> load = std::nullopt;
  common::Incarnation answered_by{};  ///< incarnation that refused, if the answer names it
  routing::AnswerLimit limit{};
  bool is_leaving = false;  ///< the answer announces the departure of its back end
  /// Time for which the back end requests a backoff of this router; nothing if it requests none.
  std::optional<Duration> backoff = std::nullopt;
  bool connection_ended = false;   ///< broken because the connection was closed or reset
  bool is_new_connection = false;  ///< the connection had carried no other request
  /// Why the peer to which the attempt was relayed did not pass it on; its end is kNotSent then.
  routing::RelayRefusal relay_refusal = routing::RelayRefusal::kNone;
  bool peer_failed = false;  ///< the connection to that peer failed
  /// Number of relays that the peer states to have in flight.
  std::optional<std::uint32_t> peer_load = std::nullopt;
  routing::RequestDigest digest = 0;  ///< of the request; 0: not known
  std::string unparsed_load{};        ///< the raw load report, if not all of it could be parsed
  std::vector<UnrecognizedHeader> unrecognized_headers{};
};

/// Effect: check whether a process listens at the back end's address, and report the result to
/// on_reachability_probed().
struct ReachabilityProbe {
  common::BackendId backend;
  std::string address;
};

/// Effect, for logs: this router has lost or regained its path to the back ends of a service.
struct PathNotice {
  std::string service;
  routing::PathChange change;
};

/// Effect, for logs: an answer of a back end has changed the limit that this router has for it.
struct LimitChange {
  std::string address;
  common::Incarnation incarnation;
  std::optional<double> per_second;  ///< nothing: the back end no longer names a limit
};

/// Effect, for logs: a back end that accepted requests has requested a backoff.
struct BackoffRequest {
  std::string address;
  common::Incarnation incarnation;
  Duration time{0};
};

/// Effect, for logs: a back end has announced in an answer that it leaves, before the table did.
struct StatedDeparture {
  std::string address;
  common::Incarnation incarnation;
};

/// Effect, for logs: the table says that a back end accepts no new work from now on.
struct Departure {
  common::BackendId backend;
  std::string address;
  common::Incarnation incarnation;
  /// Age of the last table in which the back end accepted work; nothing if that table was never
  /// confirmed.
  std::optional<Duration> previous_table_age;
  common::LogIndex table_index;
};

struct RouterOutput {
  std::vector<Forward> forwards;
  std::vector<AttemptId> cancels;
  /// Attempts that have ended by themselves. After the answers of this output, nothing of them is
  /// used any more. Each attempt is listed once, here or in `cancels`.
  std::vector<AttemptId> ended;
  /// Decisions about attempts that are not completely written. The shell carries out holds and
  /// resumes; the others are also in `cancels` and are listed here for logs.
  std::vector<WriteDecision> write_decisions;
  std::vector<Answer> answers;
  std::vector<LimitChange> limit_changes;
  std::vector<Departure> departures;
  std::vector<StatedDeparture> stated_departures;
  std::vector<BackoffRequest> backoffs;
  std::vector<ReachabilityProbe> reachability_probes;
  /// Probes whose results go to on_path_probed().
  std::vector<routing::PathProbe> path_probes;
  std::vector<PathNotice> path_notices;
  std::optional<routing::RouterHello> hello;
  bool hello_to_all = false;          ///< send the hello to every controller
  std::vector<std::string> hello_to;  ///< otherwise, send it to these addresses

  /// Returns true if there is nothing to carry out.
  bool empty() const {
    return forwards.empty() && cancels.empty() && ended.empty() && write_decisions.empty() &&
           answers.empty() && limit_changes.empty() && departures.empty() &&
           stated_departures.empty() && backoffs.empty() && reachability_probes.empty() &&
           path_probes.empty() && path_notices.empty() && !hello.has_value();
  }
};

/// Numbers of requests on routes by outcome.
struct OutcomeCounts {
  std::uint64_t answered = 0;
  std::uint64_t not_run = 0;
  std::uint64_t unknown = 0;
};

/// Upper bounds of the buckets in which requests on routes are counted by their timeout: the lesser
/// of the caller's and the route's. One more bucket lies above the last bound.
inline constexpr std::array<Duration, 4> kTimeoutBuckets = {
    std::chrono::milliseconds(500), std::chrono::milliseconds(1000),
    std::chrono::milliseconds(2000), std::chrono::milliseconds(5000)};

struct RouterCounters {
  std::uint64_t requests = 0;
  std::uint64_t answered = 0;
  std::uint64_t not_run = 0;
  std::uint64_t unknown = 0;
  std::uint64_t retries = 0;         ///< attempts that may repeat one that arrived
  std::uint64_t ended_backends = 0;  ///< detected by the answer of another incarnation
  std::uint64_t refusals = 0;
  std::uint64_t table_updates = 0;
  std::uint64_t cancelled = 0;
  std::uint64_t follower_polls = 0;        ///< polls of followers for changes of the table
  std::uint64_t leader_queries = 0;        ///< queries to other controllers about a silent leader
  std::uint64_t leader_announcements = 0;  ///< new leaders, named by any controller
  std::uint64_t crash_refusals = 0;        ///< requests refused because they crash their targets
  std::uint64_t crashes_seen = 0;          ///< back ends that ended with requests in flight
  std::uint64_t limit_refusals = 0;        ///< requests refused because of the target's limit
  std::uint64_t owner_queue_refusals = 0;  ///< requests refused because of the owner's long queue
  std::uint64_t stale_refusals = 0;        ///< requests on routes refused because of a stale table
  std::uint64_t stated_departures = 0;     ///< back ends that announced it before the table did
  std::uint64_t backoff_requests = 0;      ///< answers that requested a backoff
  std::uint64_t backoff_refusals = 0;  ///< requests all of whose targets had requested a backoff
  std::uint64_t recalled = 0;          ///< attempts withdrawn before their first byte
  std::uint64_t held_writes = 0;       ///< attempts whose remaining bytes waited for a newer table
  std::uint64_t aborted_writes = 0;    ///< attempts aborted because their back end was leaving
  std::uint64_t follower_updates = 0;  ///< updates of the table that followers sent
  std::uint64_t unsent_attempts = 0;   ///< attempts that found no connection
  std::uint64_t broken_attempts = 0;   ///< attempts that were written and ended without an answer
  std::uint64_t path_probes = 0;       ///< connections opened to find out about a path
  std::uint64_t relays_sent = 0;       ///< attempts relayed to a peer
  std::uint64_t relays_answered = 0;   ///< of these, answered by their back ends
  std::uint64_t relays_refused = 0;    ///< of these, not passed on by the peer
  std::uint64_t relays_failed = 0;     ///< of these, ended with the connection to the peer
  std::uint64_t path_refusals = 0;     ///< requests refused at once since no target is reachable
  std::uint64_t peer_requests = 0;     ///< requests that peers relayed to this router
  std::uint64_t peer_refusals = 0;     ///< of these, not passed on
  std::array<OutcomeCounts, kTimeoutBuckets.size() + 1> outcomes_by_timeout{};
};

}  // namespace planktray::router

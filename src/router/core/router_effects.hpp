#pragma once
/// What goes into a router's decisions beside requests and tables, and what comes out of them.

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
  bool repeatable = false;  ///< false: never on a connection that was used before
  // For logs.
  std::string service{};           ///< whose request it is, and whose budget a repeat counts in
  std::uint32_t number = 1;        ///< 1: the first attempt of its request
  common::LogIndex table_index{};  ///< the table that named the back end
  routing::RetryUsage budget{};    ///< of a repeat on a route: what is spent, with it
};

/// Effect: tell the caller.
struct Answer {
  RequestHandle handle = 0;
  routing::Outcome outcome = routing::Outcome::kUnknown;
  AttemptId attempt = 0;  ///< answered: the attempt whose answer is passed on
  routing::NotRunReason reason = routing::NotRunReason::kNone;
  bool can_never_run = false;  ///< asking again makes no sense
  Duration retry_after{0};
  // For logs; set where the request was taken in.
  std::string service{};
  std::uint32_t attempts = 0;      ///< how often it was sent
  common::LogIndex table_index{};  ///< the table that decided it
  std::string route{};
  /// When an answer was expected, from the moment at which this was last looked at.
  std::optional<Duration> expected{};
};

/// A header of an answer that says something of the back end, and that nothing here reads.
struct UnrecognizedHeader {
  std::string name;
  std::string value;
};

struct AttemptResult {
  routing::AttemptEnd end = routing::AttemptEnd::kBroken;
  routing::Refusal refusal = routing::Refusal::kShed;
  bool is_failure = false;  ///< answered, but by a failure of the back end
  std::optional<routing::LoadReport> load = std::nullopt;
  common::Incarnation answered_by{};  ///< who refused, where the answer names it
  routing::AnswerLimit limit{};
  bool is_leaving = false;  ///< the answer says so of its back end
  /// The back end wants nothing from this router for so long; nothing where it does not say.
  std::optional<Duration> backoff = std::nullopt;
  bool connection_ended = false;      ///< broken, since the connection was closed or reset
  routing::RequestDigest digest = 0;  ///< of the request; 0: not known
  std::string unparsed_load{};  ///< the load report as it came, where not all of it could be read
  std::vector<UnrecognizedHeader> unrecognized_headers{};
};

/// Effect: find out whether anybody listens at the back end's address, and tell
/// on_reachability_probed().
struct ReachabilityProbe {
  common::BackendId backend;
  std::string address;
};

/// Effect, for logs: an answer of a back end has changed what this router knows of its limit.
struct LimitChange {
  std::string address;
  common::Incarnation incarnation;
  std::optional<double> per_second;  ///< none: it names no limit any more
};

/// Effect, for logs: a back end that took requests wants none for a while.
struct BackoffRequest {
  std::string address;
  common::Incarnation incarnation;
  Duration time{0};
};

/// Effect, for logs: a back end has said in an answer that it is leaving, before the table did.
struct StatedDeparture {
  std::string address;
  common::Incarnation incarnation;
};

/// Effect, for logs: the table says that a back end takes no new work from now on.
struct Departure {
  common::BackendId backend;
  std::string address;
  common::Incarnation incarnation;
  /// Age of the last table that said otherwise; nothing where it was never confirmed.
  std::optional<Duration> previous_table_age;
  common::LogIndex table_index;
};

struct RouterOutput {
  std::vector<Forward> forwards;
  std::vector<AttemptId> cancels;
  /// Of attempts that are not written whole. Those that are held or resumed are for the shell to
  /// carry out; the others are among the cancels as well, and stand here for logs.
  std::vector<WriteDecision> write_decisions;
  std::vector<Answer> answers;
  std::vector<LimitChange> limit_changes;
  std::vector<Departure> departures;
  std::vector<StatedDeparture> stated_departures;
  std::vector<BackoffRequest> backoffs;
  std::vector<ReachabilityProbe> reachability_probes;
  std::optional<routing::RouterHello> hello;
  bool hello_to_all = false;          ///< to every controller
  std::vector<std::string> hello_to;  ///< else to these addresses

  /// True where there is nothing to carry out.
  bool empty() const {
    return forwards.empty() && cancels.empty() && write_decisions.empty() && answers.empty() &&
           limit_changes.empty() && departures.empty() && stated_departures.empty() &&
           backoffs.empty() && reachability_probes.empty() && !hello.has_value();
  }
};

/// How requests on routes have ended.
struct OutcomeCounts {
  std::uint64_t answered = 0;
  std::uint64_t not_run = 0;
  std::uint64_t unknown = 0;
};

/// Upper ends of the classes in which requests on routes are counted by the time that they bring:
/// the lesser of what their caller states and their route's timeout. One more class lies above.
inline constexpr std::array<Duration, 4> kTimeoutBuckets = {
    std::chrono::milliseconds(500), std::chrono::milliseconds(1000),
    std::chrono::milliseconds(2000), std::chrono::milliseconds(5000)};

struct RouterCounters {
  std::uint64_t requests = 0;
  std::uint64_t answered = 0;
  std::uint64_t not_run = 0;
  std::uint64_t unknown = 0;
  std::uint64_t retries = 0;         ///< attempts that may have been repeats of an arrival
  std::uint64_t ended_backends = 0;  ///< found by another incarnation's answer
  std::uint64_t refusals = 0;
  std::uint64_t table_updates = 0;
  std::uint64_t cancelled = 0;
  std::uint64_t leader_queries = 0;  ///< the leader was silent, others were asked
  std::uint64_t leader_announcements =
      0;                             ///< a new leader was named by itself or another controller
  std::uint64_t crash_refusals = 0;  ///< refused since it crashes its targets
  std::uint64_t crashes_seen = 0;    ///< back ends found to have ended with requests under way
  std::uint64_t limit_refusals = 0;  ///< refused since the target's limit left no room
  std::uint64_t owner_queue_refusals = 0;  ///< refused since the owner's queue is too long
  std::uint64_t stale_refusals = 0;  ///< requests on routes that came while the table was too old
  std::uint64_t stated_departures = 0;  ///< back ends that said so before the table did
  std::uint64_t backoff_requests = 0;   ///< answers that asked for a time without requests
  std::uint64_t backoff_refusals = 0;   ///< refused since all that could run it had asked for it
  std::uint64_t recalled = 0;           ///< attempts taken back before their first byte
  std::uint64_t held_writes = 0;        ///< attempts whose rest waited for a newer table
  std::uint64_t aborted_writes = 0;     ///< attempts cut off since their back end was leaving
  std::uint64_t follower_updates = 0;   ///< updates of the table that followers brought
  std::array<OutcomeCounts, kTimeoutBuckets.size() + 1> outcomes_by_timeout{};
};

}  // namespace planktray::router

#pragma once
/// All decisions of one router: which back end gets a request, when it waits, when it is tried
/// again, and what the caller is told. A plain state machine driven by the shell or the simulator.
///
/// Invariants:
///  - A request that is not declared repeatable is sent again only after proof that it did not run.
///  - "Not run" is told only where no attempt may have run.
///  - Once the outcome is decided it is told at once.

#include <algorithm>
#include <array>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include "common/random.hpp"
#include "common/time.hpp"
#include "link/send_window.hpp"
#include "router/core/caller_request.hpp"
#include "router/core/write_guard.hpp"
#include "routing/crash_suspects.hpp"
#include "routing/crowded_owners.hpp"
#include "routing/fleet_size.hpp"
#include "routing/leader_search.hpp"
#include "routing/limited_targets.hpp"
#include "routing/outcome.hpp"
#include "routing/rate_share.hpp"
#include "routing/requested_backoffs.hpp"
#include "routing/retry_budget.hpp"
#include "routing/retry_window.hpp"
#include "routing/stated_departures.hpp"
#include "routing/table.hpp"
#include "routing/table_freshness.hpp"
#include "routing/target_book.hpp"
#include "routing/target_choice.hpp"
#include "routing/zone_subset.hpp"

namespace planktray::router {

using common::BackendId;
using common::Duration;
using common::TimePoint;

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
  Duration fleet_size_memory = std::chrono::milliseconds(6000);
  /// The owner of a key in a zone that is being evacuated may get requests for this long after the
  /// router has learnt of it, so that its keys can be handed over first. 0: none.
  Duration evacuation_grace = std::chrono::milliseconds(2000);
  /// A request that is not sent within this part of its objective is refused.
  double patience = 0.2;
  /// The same where its route states no objective.
  Duration default_patience = std::chrono::milliseconds(60);
  /// A request is refused where its answer is expected later than this part of the time it has.
  double usable_time = 0.9;
  /// Nothing is sent where an answer is expected later than this part of the shortest objective
  /// among the routes of the service: longer queues would serve only those callers who bring the
  /// most time. 0: no such bound.
  double queue_bound = 0.65;
  /// A queue is not bounded below this many times the usual work time of its service.
  double shortest_queue = 2.0;
  /// A back end whose address another incarnation answers at gets nothing for this long, unless the
  /// table drops it before. It ends with certainty, but the sign of it may have been misread: then
  /// this is what the mistake costs. Leaders give up a holder within a hold (9 s at most), so a
  /// router meets the same ended back end twice at most.
  Duration ended_memory = std::chrono::milliseconds(5000);
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
  int reports_per_hello = 4;
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
  bool resend_unknown = false;      ///< also resend what may have run
  bool keep_table_forever = false;  ///< serve without confirmation
  bool claim_not_run = false;       ///< call unknown outcomes "not run"
  bool keep_off_evacuated = true;   ///< send nothing to the back ends of an evacuated zone
};

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
struct UnreadHeader {
  std::string name;
  std::string value;
};

struct AttemptResult {
  routing::AttemptEnd end = routing::AttemptEnd::kBroken;
  routing::Refusal refusal = routing::Refusal::kShed;
  bool is_failure = false;  ///< answered, but by a failure of the back end
  std::optional<routing::LoadReport> load = std::nullopt;
  common::Incarnation answered_by{};  ///< who refused, where the answer names it
  routing::LimitWord limit{};
  bool is_leaving = false;  ///< the answer says so of its back end
  /// The back end wants nothing from this router for so long; nothing where it does not say.
  std::optional<Duration> backoff = std::nullopt;
  bool connection_ended = false;      ///< broken, since the connection was closed or reset
  routing::RequestDigest digest = 0;  ///< of the request; 0: not known
  std::string unread_load{};  ///< the load report as it came, where not all of it could be read
  std::vector<UnreadHeader> unread_headers{};
};

/// Effect: find out whether anybody listens at the back end's address, and tell on_reach_checked().
struct ReachInquiry {
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
  std::optional<Duration> known_before;
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
  std::vector<ReachInquiry> reach_inquiries;
  std::optional<routing::RouterHello> hello;
  bool hello_to_all = false;          ///< to every controller
  std::vector<std::string> hello_to;  ///< else to these addresses

  /// True where there is nothing to carry out.
  bool empty() const {
    return forwards.empty() && cancels.empty() && write_decisions.empty() && answers.empty() &&
           limit_changes.empty() && departures.empty() && stated_departures.empty() &&
           backoffs.empty() && reach_inquiries.empty() && !hello.has_value();
  }
};

/// How requests on routes have ended.
struct RequestEnds {
  std::uint64_t answered = 0;
  std::uint64_t not_run = 0;
  std::uint64_t unknown = 0;
};

/// Upper ends of the classes in which requests on routes are counted by the time that they bring:
/// the lesser of what their caller states and their route's timeout. One more class lies above.
inline constexpr std::array<Duration, 4> kTimeClasses = {
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
  std::uint64_t inquiries = 0;       ///< the leader was silent, others were asked
  std::uint64_t leaders_named = 0;   ///< a new leader was named by itself or another controller
  std::uint64_t crash_refusals = 0;  ///< refused since it crashes its targets
  std::uint64_t crashes_seen = 0;    ///< back ends found to have ended with requests under way
  std::uint64_t limit_refusals = 0;  ///< refused since the target's limit left no room
  std::uint64_t crowd_refusals = 0;  ///< refused since the owner's queue is too long
  std::uint64_t stale_refusals = 0;  ///< requests on routes that came while the table was too old
  std::uint64_t stated_departures = 0;  ///< back ends that said so before the table did
  std::uint64_t backoff_requests = 0;   ///< answers that asked for a time without requests
  std::uint64_t backoff_refusals = 0;   ///< refused since all that could run it had asked for it
  std::uint64_t recalled = 0;           ///< attempts taken back before their first byte
  std::uint64_t held_writes = 0;        ///< attempts whose rest waited for a newer table
  std::uint64_t cut_writes = 0;         ///< attempts cut off since their back end was leaving
  std::uint64_t follower_updates = 0;   ///< updates of the table that followers brought
  std::array<RequestEnds, kTimeClasses.size() + 1> ends_by_time{};
};

class RouterCore {
 public:
  RouterCore(RouterOptions options, common::RandomEngine random, TimePoint now);

  void tick(TimePoint now);
  /// A controller that the router may ask. More than a few dozen are not taken.
  void add_controller(const std::string& address);
  const std::vector<std::string>& controllers() const { return controllers_; }
  /// @param from address of the controller that sent it.
  void on_table_update(TimePoint now, const routing::TableUpdate& update,
                       const std::string& from = "");
  void on_controller_list(TimePoint now, const routing::ControllerList& list);
  void on_request(TimePoint now, const CallerRequest& request);
  void on_attempt_done(TimePoint now, AttemptId attempt, const AttemptResult& result);
  /// The system has taken the first byte of an attempt. Until then it may be taken back.
  void on_attempt_begun(AttemptId attempt) { writes_.on_begun(attempt); }
  /// The system has taken the last byte of an attempt.
  void on_attempt_written(AttemptId attempt);
  /// Whether anybody listens at a back end's address; nothing where that cannot be said.
  void on_reach_checked(TimePoint now, BackendId backend, std::optional<bool> listens);
  /// The caller went away; its attempt is cancelled.
  void on_caller_gone(RequestHandle handle);
  /// Takes no new requests; those in flight finish.
  void begin_drain() { draining_ = true; }
  bool is_drained() const { return requests_.empty(); }

  /// The request an attempt belongs to; nothing where the attempt has ended.
  std::optional<RequestHandle> handle_of(AttemptId attempt) const {
    const auto found = attempts_.find(attempt);
    return found == attempts_.end() ? std::nullopt : std::optional(found->second.handle);
  }

  RouterOutput take_output() { return std::exchange(output_, {}); }
  /// When tick() next has something to do, if no input comes before.
  TimePoint next_due() const { return std::min(next_planned(), send_window_.next_due()); }
  /// True where the table holds a route configuration.
  bool has_routes() const { return table_.routes().version() > 0; }

  /// True where the table is confirmed recently enough.
  bool is_serving(TimePoint now) const;
  const routing::RoutingTable& table() const { return table_; }
  const routing::TableFreshness& freshness() const { return freshness_; }
  const RouterCounters& counters() const { return counters_; }
  /// True where arriving requests and answers are to come with digests. What ended a connection
  /// always is.
  bool needs_digests() const { return suspects_.any(); }
  std::size_t blocked_requests(TimePoint now) const { return suspects_.blocked(now); }
  /// Targets that want nothing from this router now.
  std::size_t backoffs(TimePoint now) const { return backoffs_.count(now); }
  /// Targets that name a limit, as far as this router knows.
  std::size_t limited_targets() const { return limited_.count(); }
  /// Owners of keys whose queues are too long, as the leader tells.
  std::size_t crowded_owners(TimePoint now) const { return crowded_.count(now); }
  std::size_t in_flight() const { return attempts_.size(); }
  std::size_t waiting() const { return requests_.size() - attempts_.size(); }
  /// Of these, large requests that wait for their turn at the link.
  std::size_t waiting_for_link() const { return send_window_.waiting(); }
  const RouterOptions& options() const { return options_; }

 private:
  /// When tick() next has something to do that was planned for a time.
  TimePoint next_planned() const;
  /// Where a request waits: for one back end, or for any target of a service (back end 0).
  using QueueKey = std::pair<common::ServiceId, BackendId>;

  struct Request {
    CallerRequest caller;
    common::ServiceId service;
    common::ShardNumber shard;
    bool keyed = false;
    bool repeatable = false;
    bool may_have_run = false;  ///< an attempt ended without proof of not run
    bool is_queued = false;
    QueueKey queue;
    TimePoint deadline;
    AttemptId attempt = 0;    ///< 0: waiting
    std::uint32_t sends = 0;  ///< attempts so far, also those that were never sent
    std::set<BackendId> refused_by;
    Duration backoff{0};
    // Requests on routes only.
    bool routed = false;
    std::string route;
    Duration time_brought{0};
    std::optional<Duration> expected;  ///< time until its answer, when last looked at
    std::uint32_t key = 0;
    std::uint32_t attempts = 0;  ///< targets it was sent to
    std::uint32_t maximum_attempts = 1;
    bool repeat_owed = false;  ///< it has arrived: its next send is counted as a repeat
    Duration patience{0};      ///< how long it may wait for a target
    TimePoint patience_until;  ///< it is refused where it cannot be sent before
    TimePoint not_before;      ///< an owner that refused it is not asked again before
    /// Whether the limit and the queue of this owner leave room for it; decided once for each
    /// owner.
    struct Admission {
      BackendId owner;
      bool admitted = true;
      bool is_crowded = false;  ///< not admitted for the queue
    };
    std::optional<Admission> admission;
  };
  struct Attempt {
    RequestHandle handle;
    BackendId backend;
    TimePoint sent;
  };
  /// What the router keeps of one routed service.
  struct RoutedService {
    RoutedService(const routing::TargetBookOptions& book, const routing::RetryWindowOptions& window)
        : targets(book), retries(window) {}
    routing::TargetBook targets;
    routing::RetryWindow retries;
    /// Targets that take new work, and those of them that this router works with.
    std::vector<routing::ZonedTarget> available;
    std::vector<BackendId> subset;
  };
  struct Target {
    std::uint32_t outstanding = 0;
    Duration latency{0};  ///< smoothed
    TimePoint blocked_until;
    Duration block{0};
    TimePoint first_seen;
    bool is_warm = false;
  };

  void dispatch(TimePoint now, Request& request);
  /// @return the back end to send to now, or nothing where the request has to wait on `queue`.
  std::optional<BackendId> pick(TimePoint now, const Request& request,
                                const routing::TableService& service, QueueKey& queue);
  std::optional<BackendId> pick_free(TimePoint now, const Request& request,
                                     const routing::TableService& service);
  bool has_room(TimePoint now, BackendId backend, const routing::TableService& service);
  void forward(TimePoint now, Request& request, BackendId backend,
               const routing::TableService& service);
  void wait(TimePoint now, Request& request, QueueKey queue, const routing::TableService& service);
  void retry_later(TimePoint now, Request& request);
  void drain_queue(TimePoint now, const QueueKey& key);
  void redispatch_all(TimePoint now);
  void expire(TimePoint now, Request& request);

  // Requests on routes.
  void on_route_request(TimePoint now, const CallerRequest& caller);
  void dispatch_routed(TimePoint now, Request& request);
  /// The same for a request whose turn at the link has come.
  void dispatch_in_turn(TimePoint now, Request& request);
  /// Puts a large request among those that wait for the link, or refuses it where it would be late.
  void wait_for_link(TimePoint now, Request& request);
  /// Large requests whose turn at the link has come look for a back end.
  void serve_link(TimePoint now);
  void send_routed(TimePoint now, Request& request, BackendId backend);
  /// How long a request may wait for a target; the same for all requests of a service.
  Duration patience(const config::Route& route, const routing::RoutedTableService& service) const;
  /// The latest that an answer may be expected for a request to be sent.
  Duration usable_time(TimePoint now, const Request& request,
                       const routing::RoutedTableService& service);
  Duration retry_after(routing::NotRunReason reason);
  /// A time from `least` to twice as much, so that callers do not come back together.
  Duration spread(Duration least);
  void wait_routed(TimePoint now, Request& request, routing::NotRunReason reason);
  void on_routed_attempt_done(TimePoint now, AttemptId id, const Attempt& attempt,
                              const AttemptResult& result);
  void retry_routed(TimePoint now, Request& request);
  /// The service that a request of this route goes to: parts take turns by their weights.
  const routing::RoutedTableService* choose_part(const config::Route& route);
  std::optional<BackendId> choose_target(TimePoint now, Request& request,
                                         const routing::RoutedTableService& service);
  bool has_connection(const Request& request, BackendId backend,
                      const routing::RoutedTableService& service);
  RoutedService& routed_service(common::ServiceId id);
  void note_routed_targets(TimePoint now);
  void note_evacuations(TimePoint now);
  /// What keeps a request from a back end at this moment.
  enum class Hindrance : std::uint8_t {
    kNone,
    kGone,     ///< for good, as far as is known: it ends, leaves, or its zone is evacuated
    kBackoff,  ///< it has asked for a time without requests
    kBlocked,  ///< it failed lately
    kBusy,     ///< it has no connection to spare, or is cold and bears no more now
  };
  /// Every choice of a back end for a request on a route asks here.
  Hindrance hindrance(TimePoint now, const Request& request, BackendId id,
                      const routing::RoutedTableService& service);
  /// True where the back end is to get no request of this kind any more. Owners of keys get some
  /// for a while, so that their keys can be handed over first.
  bool is_closed(TimePoint now, const Request& request, const routing::BackendRoute& backend) const;
  /// The longest that the request takes to a back end that is chosen now.
  Duration arrival_time(const Request& request) const;
  /// True where the back end is not cold, or bears one more request of this router.
  bool bears(TimePoint now, const routing::BackendRoute& backend,
             const routing::RoutedTableService& service);
  /// True where the owner of the request's key has room for it: by the limit that it names, if any,
  /// and by its queue.
  bool is_admitted(TimePoint now, Request& request, BackendId owner);
  /// When the first of the targets that could run the request may be asked again, where all of them
  /// have asked for a time without requests.
  std::optional<TimePoint> backoff_end(TimePoint now, const Request& request,
                                       const routing::RoutedTableService& service);
  /// Refuses a request at once whose targets want none for longer than it may wait.
  /// @return false where there are others, or it may wait.
  bool refuse_for_backoff(TimePoint now, Request& request);
  void note_stated_departure(TimePoint now, const Attempt& attempt, const AttemptResult& result);
  /// Takes attempts back of which nothing was written to the back end.
  void recall_unbegun(TimePoint now, BackendId backend);
  void note_backoff(TimePoint now, const Attempt& attempt, const AttemptResult& result);
  /// True where only limits that targets name keep the request from being sent.
  bool is_held_by_limits(TimePoint now, const Request& request,
                         const routing::RoutedTableService& service) const;
  void note_crash(TimePoint now, const Attempt& attempt, const AttemptResult& result);
  void note_limit(TimePoint now, BackendId target, const AttemptResult& result);
  void draw_zone_subset(const routing::RoutedTableService& service);
  void dispatch_waiting(TimePoint now);
  void drop_attempt(Request& request);
  /// Takes back, holds, resumes and cuts off attempts whose back ends leave or may have left.
  void review_writes(TimePoint now);
  /// Takes an attempt back of which nothing was written, and looks for a back end anew.
  void recall(TimePoint now, AttemptId id);
  /// Ends an attempt of which some was written, and that has no time left to be written whole.
  void cut(TimePoint now, AttemptId id);
  void report_key_loads(routing::RouterHello& hello);
  void report_target_times(routing::RouterHello& hello);

  /// The parts of a Forward that do not depend on the kind of service.
  Forward begin_attempt(TimePoint now, Request& request, BackendId backend);
  std::string service_name(const Request& request) const;
  void answer_not_run(const Request& request, routing::NotRunReason reason, Duration retry_after);
  void answer_unknown(const Request& request);
  /// The parts of an answer that is not a back end's, for logs.
  Answer own_answer(const Request& request, routing::Outcome outcome) const;
  RequestEnds& ends_of(const Request& request);
  void finish(RequestHandle handle);
  void block(TimePoint now, BackendId backend);
  /// Notes that another incarnation answers at the back end's address. @param is_named it said
  /// which one it is: proof that the leader may act upon.
  void note_ended(TimePoint now, BackendId backend, bool is_named);
  void report_ended(TimePoint now, routing::RouterHello& hello) const;
  void report_stated_departures(routing::RouterHello& hello) const;
  void report_backoffs(TimePoint now, routing::RouterHello& hello) const;
  /// True where the back end's process has ended: nothing is sent to it.
  bool has_ended(TimePoint now, BackendId backend) const;
  /// Rough time until a request behind `queued` others would be answered.
  Duration expected_wait(const Request& request, std::size_t queued, BackendId backend,
                         const routing::TableService& service);
  void wake_when_unblocked(TimePoint now, const QueueKey& queue,
                           const routing::TableService& service);
  void leave_queue(Request& request);
  void release_target(BackendId backend);
  void count_load(const Request& request);
  void make_hello(TimePoint now);
  /// Brings the next hello forward, as far as hellos may follow each other.
  void hasten_hello(TimePoint now);
  /// Takes from an update of the leader what only that tells. @return true where the router's place
  /// among all changed.
  bool take_leaders_word(TimePoint now, const routing::TableUpdate& update,
                         const std::string& from);
  /// Says hello at once where an update did not lead on from the table, or was a snapshot.
  void report_lacks(TimePoint now, bool is_snapshot, common::LogIndex current);
  /// Ends or goes on with the questions to other controllers, by how old the table is.
  void plan_inquiry(TimePoint now);
  /// What every hello says, without a report of loads.
  routing::RouterHello plain_hello(TimePoint now);
  /// Asks some controllers other than the silent leader whom they follow.
  void inquire(TimePoint now);
  void note_targets(TimePoint now);
  /// Back ends that take new work by the table, and no more by an update.
  std::vector<Departure> departures_in(TimePoint now, const routing::TableUpdate& update) const;
  /// Tells the guard of writes what an installed update says of back ends.
  void note_departures(const std::vector<Departure>& departures,
                       std::optional<TimePoint> known_until);
  const std::vector<routing::WeightedTarget>& subset_of(const routing::TableService& service);

  RouterOptions options_;
  common::RandomEngine random_;
  routing::RoutingTable table_;
  routing::TableFreshness freshness_;
  WriteGuard writes_;
  link::SendWindow send_window_;
  routing::RetryBudget budget_;
  bool draining_ = false;
  bool had_table_ = false;
  TimePoint confirmed_until_;
  std::uint32_t router_rank_ = 0;
  std::uint32_t router_count_ = 1;

  std::unordered_map<RequestHandle, Request> requests_;
  std::unordered_map<AttemptId, Attempt> attempts_;
  std::unordered_map<BackendId, Target> targets_;
  struct Ended {
    TimePoint remembered_until;
    bool is_named = false;
  };
  /// Back ends found to have ended.
  std::unordered_map<BackendId, Ended> ended_;
  std::unordered_map<common::ServiceId, Duration> service_latency_;
  std::map<QueueKey, std::deque<RequestHandle>> queues_;
  std::unordered_map<common::ServiceId, std::uint32_t> queued_;
  std::set<std::pair<TimePoint, RequestHandle>> deadlines_;
  std::set<std::pair<TimePoint, RequestHandle>> retries_;
  std::set<std::pair<TimePoint, QueueKey>> wakeups_;
  std::unordered_map<common::ServiceId, std::vector<routing::WeightedTarget>> subsets_;
  std::map<common::ShardRef, std::uint32_t> loads_;
  std::map<common::ServiceId, RoutedService> routed_;
  routing::RateShare cold_limit_;
  routing::LimitedTargets limited_;
  routing::CrowdedOwners crowded_;
  routing::StatedDepartures stated_departures_;
  routing::RequestedBackoffs backoffs_;
  routing::CrashSuspects suspects_;
  routing::FleetSize fleet_size_;
  std::map<common::ZoneName, TimePoint> evacuations_;        ///< when this router learnt of each
  std::map<std::string, std::vector<double>> part_credits_;  ///< by route name
  std::map<std::pair<common::ServiceId, std::uint32_t>, std::uint32_t> key_loads_;
  std::set<RequestHandle> routed_waiting_;
  TimePoint next_hello_;
  TimePoint last_hello_;
  std::vector<std::string> controllers_;   ///< addresses
  std::string leader_;                     ///< address of the one that leads, as far as known
  common::Term leader_term_;               ///< of the newest leader that was heard or named
  std::optional<TimePoint> leader_heard_;  ///< when it sent the last update, or was named
  std::string helper_;                     ///< the follower that brought the table last
  /// When others are asked, unless the leader is heard before; max: no hello waits.
  TimePoint next_inquiry_ = TimePoint::max();
  Duration inquiry_interval_{0};
  bool lacks_update_ = false;  ///< the last update did not lead on from the table
  Duration hello_interval_;
  TimePoint next_load_;
  AttemptId next_attempt_ = 1;
  std::uint64_t turn_ = 0;
  RouterCounters counters_;
  RouterOutput output_;
};

}  // namespace planktray::router

#pragma once
/// All decisions of one router: which back end gets a request, when it waits, when it is tried
/// again, and what the caller is told. A plain state machine driven by the shell or the simulator.
///
/// Invariants:
///  - A request that is not declared repeatable is sent again only after proof that it did not run.
///  - "Not run" is told only where no attempt may have run.
///  - Once the outcome is decided it is told at once.

#include <algorithm>
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
#include "router/core/router_effects.hpp"
#include "router/core/router_options.hpp"
#include "router/core/write_guard.hpp"
#include "routing/crash_suspects.hpp"
#include "routing/crowded_owners.hpp"
#include "routing/fleet_size.hpp"
#include "routing/limited_targets.hpp"
#include "routing/rate_share.hpp"
#include "routing/requested_backoffs.hpp"
#include "routing/retry_budget.hpp"
#include "routing/retry_window.hpp"
#include "routing/stated_departures.hpp"
#include "routing/table.hpp"
#include "routing/table_freshness.hpp"
#include "routing/target_book.hpp"
#include "routing/zone_subset.hpp"

namespace planktray::router {

using common::BackendId;
using common::Duration;
using common::TimePoint;

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
  void on_attempt_started(AttemptId attempt) { writes_.on_begun(attempt); }
  /// The system has taken the last byte of an attempt.
  void on_attempt_written(AttemptId attempt);
  /// Whether anybody listens at a back end's address; nothing where that cannot be said.
  void on_reachability_probed(TimePoint now, BackendId backend, std::optional<bool> listens);
  /// The caller went away; its attempt is cancelled.
  void on_caller_disconnected(TimePoint now, RequestHandle handle);
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
    kBusy,     ///< it is on trial, has no connection to spare, or is cold and bears no more now
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
  /// Nobody waits for the request's attempt any longer.
  void give_up_attempt(TimePoint now, Request& request);
  /// The attempt of a request on a route is not to be written to its end.
  void take_back_attempt(Request& request);
  /// Cancels the request's attempt. What its target may tell is taken before.
  void forget_attempt(Request& request);
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
  OutcomeCounts& outcome_counts(const Request& request);
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

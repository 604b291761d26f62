#pragma once
/// All decisions of one router: which back end gets a request, when a request waits, when it is
/// retried, and how the caller is answered. A plain state machine driven by the shell or the
/// simulator.
///
/// Invariants:
///  - A request that is not declared repeatable is resent only after proof that it did not run.
///  - "Not run" is reported only if no attempt may have run.
///  - Once the outcome is decided, the caller is answered at once.

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
#include "router/core/pending_request.hpp"
#include "router/core/router_effects.hpp"
#include "router/core/router_options.hpp"
#include "router/core/write_guard.hpp"
#include "routing/controller_directory.hpp"
#include "routing/crash_suspects.hpp"
#include "routing/crowded_owners.hpp"
#include "routing/failure_block.hpp"
#include "routing/fleet_size.hpp"
#include "routing/follower_polls.hpp"
#include "routing/limited_targets.hpp"
#include "routing/path_monitor.hpp"
#include "routing/rate_share.hpp"
#include "routing/relay_peers.hpp"
#include "routing/requested_backoffs.hpp"
#include "routing/retry_budget.hpp"
#include "routing/retry_window.hpp"
#include "routing/stated_departures.hpp"
#include "routing/table.hpp"
#include "routing/table_freshness.hpp"
#include "routing/target_book.hpp"
#include "routing/target_changes.hpp"
#include "routing/traffic_splits.hpp"
#include "routing/zone_subset.hpp"

namespace planktray::router {

using common::BackendId;
using common::Duration;
using common::TimePoint;

class RouterCore {
 public:
  RouterCore(RouterOptions options, common::RandomEngine random, TimePoint now);

  void tick(TimePoint now);
  /// Sets the controllers that the settings name. @param seeds "IP:port" for peer connections.
  void set_seeds(std::vector<std::string> seeds) { directory_.set_seeds(std::move(seeds)); }
  /// Returns the addresses of the controllers that hellos may go to: the members of the newest
  /// list, the seeds, and the last known leader.
  std::vector<std::string> controllers() const;
  /// @param from address of the controller that sent the update.
  void on_table_update(TimePoint now, const routing::TableUpdate& update,
                       const std::string& from = "");
  void on_controller_list(TimePoint now, const routing::ControllerList& list);
  void on_request(TimePoint now, const CallerRequest& request);
  /// Refuses a request whose body is not read: for the reason that its head gives, or else for lack
  /// of memory.
  void on_unread_request(TimePoint now, const CallerRequest& request);
  /// Returns whether the table has a route for the call, and is young enough to say so.
  bool has_route(TimePoint now, const RouteCall& call) const;
  void on_attempt_done(TimePoint now, AttemptId attempt, const AttemptResult& result);
  /// The operating system has taken the first byte of an attempt. Until then the attempt may be
  /// recalled.
  void on_attempt_started(AttemptId attempt) { writes_.on_started(attempt); }
  /// The operating system has taken the last byte of an attempt.
  void on_attempt_written(AttemptId attempt);
  /// Takes the result of a ReachabilityProbe. @param listens whether a process listens at the back
  /// end's address; nothing if the probe was inconclusive.
  void on_reachability_probed(TimePoint now, BackendId backend, std::optional<bool> listens);
  /// Takes the result of a path probe. @param is_reachable a connection was established.
  void on_path_probed(TimePoint now, const routing::PathProbe& probe, bool is_reachable);
  /// The caller has disconnected; its attempt is cancelled.
  void on_caller_disconnected(TimePoint now, RequestHandle handle);
  /// Takes no more requests that other routers relay, and has them choose other peers.
  void stop_relaying(TimePoint now);
  /// The process ends at `end`, or when all requests have finished: those that cannot be answered
  /// by then are refused as soon as that is known.
  void set_end(TimePoint now, TimePoint end);
  /// Rejects new requests; those in flight finish.
  void begin_drain() { draining_ = true; }
  /// Answers all requests, since the process ends: those that have reached no back end are refused,
  /// the outcome of the others is unknown.
  void answer_all(TimePoint now);
  bool is_drained() const { return requests_.empty(); }

  /// Returns the request that an attempt belongs to; nothing if the attempt has ended.
  std::optional<RequestHandle> handle_of(AttemptId attempt) const {
    const auto found = attempts_.find(attempt);
    return found == attempts_.end() ? std::nullopt : std::optional(found->second.handle);
  }

  RouterOutput take_output() { return std::exchange(output_, {}); }
  /// Time at which tick() is next needed, if no input comes before.
  TimePoint next_due() const {
    return std::min({next_timer(), send_window_.next_due(), paths_.next_due()});
  }
  /// Returns true if the table holds a route configuration.
  bool has_routes() const { return table_.routes().version() > 0; }

  /// Returns true if the table was confirmed recently enough.
  bool is_serving(TimePoint now) const;
  const routing::RoutingTable& table() const { return table_; }
  const routing::TableFreshness& freshness() const { return freshness_; }
  /// Address of the controller that has stated freshness().as_of(); empty before the first.
  const std::string& confirmed_by() const { return confirmed_by_; }
  const RouterCounters& counters() const { return counters_; }
  /// Returns true if requests and answers must come with digests. The result of an attempt whose
  /// connection ended always must.
  bool needs_digests() const { return suspects_.any(); }
  std::size_t blocked_requests(TimePoint now) const { return suspects_.blocked(now); }
  /// Returns the number of targets that this router currently backs off from at their request.
  std::size_t backoffs(TimePoint now) const { return backoffs_.count(now); }
  /// Returns the number of targets that this router has a limit for.
  std::size_t limited_targets() const { return limited_.count(); }
  /// Returns the number of services none of whose back ends this router can reach.
  std::size_t lost_paths() const { return paths_.lost().size(); }
  /// Returns the number of owners of keys whose queues are too long, as reported by the leader.
  std::size_t crowded_owners(TimePoint now) const { return crowded_.count(now); }
  /// Returns the number of requests in flight that other routers relayed.
  std::size_t peer_requests() const { return peer_requests_; }
  std::size_t in_flight() const { return attempts_.size(); }
  std::size_t waiting() const { return requests_.size() - attempts_.size(); }
  /// Returns the number of waiting requests that are large and wait for capacity of the link.
  std::size_t waiting_for_link() const { return send_window_.waiting(); }
  const RouterOptions& options() const { return options_; }

 private:
  /// Returns the time of the next planned action of tick().
  TimePoint next_timer() const;
  /// State of one routed service.
  struct RoutedService {
    RoutedService(const routing::TargetBookOptions& book, const routing::RetryWindowOptions& window)
        : targets(book), retries(window) {}
    routing::TargetBook targets;
    routing::RetryWindow retries;
    /// Targets that accept new work, and the subset of them that this router uses.
    std::vector<routing::ZonedTarget> available;
    std::vector<BackendId> subset;
    std::size_t subset_size = 0;  ///< size that the subset was chosen with
  };
  struct Target {
    std::uint32_t outstanding = 0;
    Duration latency{0};  ///< smoothed
    routing::FailureBlock block;
    TimePoint first_seen;
    bool is_warm = false;
  };

  void dispatch(TimePoint now, Request& request);
  /// @return the back end to send to now, or nothing if the request has to wait in `queue`.
  std::optional<BackendId> choose_backend(TimePoint now, const Request& request,
                                          const routing::TableService& service, QueueKey& queue);
  std::optional<BackendId> choose_unkeyed_backend(TimePoint now, const Request& request,
                                                  const routing::TableService& service);
  bool has_free_slot(TimePoint now, BackendId backend, const routing::TableService& service);
  void forward(TimePoint now, Request& request, BackendId backend,
               const routing::TableService& service);
  void enqueue(TimePoint now, Request& request, QueueKey queue,
               const routing::TableService& service);
  void retry_later(TimePoint now, Request& request);
  void drain_queue(TimePoint now, const QueueKey& key);
  void redispatch_all(TimePoint now);
  void expire(TimePoint now, Request& request);
  /// Refuses a request that no back end has got a byte of, since the process ends.
  void refuse_unsent(TimePoint now, Request& request);
  /// Returns how long the request may still take: until its deadline, or until the process ends.
  Duration usable_time(TimePoint now, const Request& request) const {
    return std::min(request.deadline, end_) - now;
  }

  // Requests on routes.
  void on_route_request(TimePoint now, const CallerRequest& caller);
  void dispatch_routed(TimePoint now, Request& request);
  /// Dispatches a request that the link has capacity for.
  void dispatch_to_target(TimePoint now, Request& request);
  /// Queues a large request for the link, or refuses a request that would be late.
  void wait_for_link(TimePoint now, Request& request);
  /// Dispatches the large requests that the link now has capacity for.
  void dispatch_link_queue(TimePoint now);
  void send_routed(TimePoint now, Request& request, const TargetChoice& target);
  /// Returns how long a request may wait for a target; the same for all requests of a service.
  Duration max_wait(const config::Route& route, const routing::RoutedTableService& service) const;
  /// Returns the longest expected time until the answer with which the request is still sent.
  Duration latency_limit(TimePoint now, const Request& request,
                         const routing::RoutedTableService& service);
  Duration retry_after(routing::NotRunReason reason);
  /// Returns a random time from `least` to twice as much, so that retries do not coincide.
  Duration add_jitter(Duration least);
  /// Waits for a target, or refuses the request if it has waited long enough.
  void wait_for_target(TimePoint now, Request& request, routing::NotRunReason reason);
  void on_routed_attempt_done(TimePoint now, AttemptId id, const Attempt& attempt,
                              const AttemptResult& result);
  /// @param owner_had_room the owner of the key has refused although it has room: it is asked again
  ///   at once.
  void retry_routed(TimePoint now, Request& request, bool owner_had_room);
  /// Chooses the service for a request on the route, by the weights of its parts.
  const routing::RoutedTableService* choose_service(const config::Route& route);
  std::optional<TargetChoice> choose_target(TimePoint now, Request& request,
                                            const routing::RoutedTableService& service);
  std::optional<TargetChoice> choose_owner(TimePoint now, Request& request,
                                           const routing::RoutedTableService& service);
  /// Returns the cheapest of the candidates that have the given availability.
  template <typename IsUsable>
  std::optional<BackendId> choose_cheapest(TimePoint now, const Request& request,
                                           const std::vector<BackendId>& candidates,
                                           const IsUsable& is_usable);
  /// Returns true if the request should not try the direct path, since it will fail.
  bool avoids_direct_path(const Request& request) const;
  /// Chooses a peer that may reach the back end; nothing if the request must not be relayed.
  std::optional<std::string> choose_peer(TimePoint now, const Request& request, BackendId backend);
  /// Returns true if an open connection may still carry the request although no new one comes up.
  bool may_use_open_connection(TimePoint now, const Request& request, BackendId backend) const;
  /// Returns true if no way to a target is expected before the request has waited long enough.
  bool is_unreachable(TimePoint now, const Request& request,
                      const routing::RoutedTableService& service);
  void on_relay_done(TimePoint now, Request& request, const Attempt& attempt,
                     const AttemptResult& result);
  /// Recalls the attempts on a lost path of which no byte was written. Those that were written may
  /// still be answered.
  void recall_unwritten(TimePoint now, common::ServiceId service);

  // Requests that other routers relay.
  void on_peer_request(TimePoint now, const CallerRequest& caller);
  /// Returns why a relayed request cannot be passed on now.
  routing::RelayRefusal peer_request_hindrance(TimePoint now, const CallerRequest& caller);
  void on_peer_attempt_done(TimePoint now, AttemptId id, const Attempt& attempt,
                            const AttemptResult& result);
  void refuse_peer_request(const CallerRequest& caller, routing::RelayRefusal refusal);
  bool has_connection(const Request& request, BackendId backend,
                      const routing::RoutedTableService& service);
  RoutedService& routed_service(common::ServiceId id);
  void update_routed_targets(TimePoint now, const routing::TargetChanges& changes);
  void update_evacuations(TimePoint now);
  /// Whether a back end may get a request now, or why not.
  enum class Availability : std::uint8_t {
    kAvailable,
    kGone,         ///< permanently, as far as is known: it ends, leaves, or its zone is evacuated
    kBackoff,      ///< it has requested a backoff
    kBlocked,      ///< it failed recently
    kUnreachable,  ///< it could accept the request, but this router does not reach it
    kBusy,         ///< it is on trial, has no free connection, or is cold and at its rate limit
  };
  /// Every choice of a back end for a request on a route depends on this check.
  Availability availability(TimePoint now, const Request& request, BackendId id,
                            const routing::RoutedTableService& service);
  /// Returns true if the back end must get no more requests of this kind. Owners of keys still get
  /// some for a while, so that their keys can be handed over first.
  bool is_closed(TimePoint now, const Request& request, const routing::BackendRoute& backend) const;
  /// Returns the longest time for the request to arrive at a back end that is chosen now.
  Duration arrival_time(const Request& request) const;
  /// Returns true if the back end is not cold, or may get one more request of this router.
  bool allows_cold(TimePoint now, const routing::BackendRoute& backend,
                   const routing::RoutedTableService& service);
  /// Returns true if the owner of the request's key has capacity for the request, by the limit that
  /// the owner names, if any, and by its queue.
  bool is_admitted(TimePoint now, Request& request, BackendId owner);
  /// Returns the earliest end of the backoffs of all targets that could run the request; nothing
  /// unless all of them have requested a backoff.
  std::optional<TimePoint> backoff_end(TimePoint now, const Request& request,
                                       const routing::RoutedTableService& service);
  /// Refuses a request at once if all its targets have requested backoffs that end later than the
  /// request may wait. @return false if the request was not refused.
  bool refuse_for_backoff(TimePoint now, Request& request);
  void record_stated_departure(TimePoint now, const Attempt& attempt, const AttemptResult& result);
  /// Recalls the attempts at the back end of which no byte was written.
  void recall_unstarted(TimePoint now, BackendId backend);
  void record_backoff(TimePoint now, const Attempt& attempt, const AttemptResult& result);
  /// Returns true if only limits that targets name keep the request from being sent.
  bool is_blocked_by_limits(TimePoint now, const Request& request,
                            const routing::RoutedTableService& service) const;
  /// Records what the result shows about the path to the back end.
  void record_path(TimePoint now, const Request& request, const Attempt& attempt,
                   const AttemptResult& result);
  /// Probes back ends of services whose path is in doubt or lost.
  void probe_paths(TimePoint now);
  void report_path_changes(TimePoint now);
  /// Returns true if several back ends of the service of this one cannot be reached.
  bool is_path_doubtful(BackendId backend) const;
  /// Returns the back ends of the service that may get requests.
  std::vector<BackendId> working_backends(TimePoint now, common::ServiceId service) const;
  void record_crash(TimePoint now, const Attempt& attempt, const AttemptResult& result);
  void record_limit(TimePoint now, BackendId target, const AttemptResult& result);
  void update_zone_subset(const routing::RoutedTableService& service);
  /// Chooses the subset anew if the router's traffic to the service has changed much.
  void fit_subset_to_traffic(TimePoint now, RoutedService& service);
  void dispatch_waiting(TimePoint now);
  /// Cancels the request's attempt since its deadline has passed or its caller has disconnected.
  void abandon_attempt(TimePoint now, Request& request);
  /// Cancels the attempt of a request on a route before it is completely written.
  void withdraw_attempt(TimePoint now, Request& request);
  /// Cancels the request's attempt. What the attempt shows about its target is recorded before.
  void cancel_attempt(TimePoint now, Request& request);
  /// Recalls, holds, resumes and aborts attempts whose back ends leave or may have left.
  void review_writes(TimePoint now);
  /// Withdraws an attempt of which no byte was written, and chooses a back end anew.
  void recall(TimePoint now, AttemptId id);
  /// Withdraws an attempt that was partly written and cannot be completed in time.
  void abort_write(TimePoint now, AttemptId id);
  void report_key_loads(routing::RouterHello& hello);
  void report_target_times(routing::RouterHello& hello);

  /// Starts an attempt and sets the fields of Forward that all kinds of services have.
  Forward begin_attempt(TimePoint now, Request& request, BackendId backend);
  std::string service_name(const Request& request) const;
  void answer_not_run(const Request& request, routing::NotRunReason reason, Duration retry_after);
  void answer_unknown(const Request& request);
  /// Returns an answer that does not come from a back end, with the fields for logs set.
  Answer make_answer(const Request& request, routing::Outcome outcome) const;
  OutcomeCounts& outcome_counts(const Request& request);
  void finish(RequestHandle handle);
  void block(TimePoint now, BackendId backend);
  /// Records that another incarnation answers at the back end's address. @param is_named the answer
  /// names that incarnation: proof that the leader may act upon.
  void record_ended(TimePoint now, BackendId backend, bool is_named);
  void report_ended(TimePoint now, routing::RouterHello& hello) const;
  void report_stated_departures(routing::RouterHello& hello) const;
  void report_backoffs(TimePoint now, routing::RouterHello& hello) const;
  /// Returns true if the back end's process has ended: it gets no requests.
  bool has_ended(TimePoint now, BackendId backend) const;
  /// Returns a rough estimate of the time until a request behind `queued` others is answered.
  Duration expected_wait(const Request& request, std::size_t queued, BackendId backend,
                         const routing::TableService& service);
  void wake_when_unblocked(TimePoint now, const QueueKey& queue,
                           const routing::TableService& service);
  void leave_queue(Request& request);
  void release_slot(BackendId backend);
  void count_load(const Request& request);
  void make_hello(TimePoint now);
  /// Sends the next hello as early as the minimum interval between hellos allows.
  void expedite_hello(TimePoint now);
  /// Applies the parts of an update that only the leader sends. @return true if this router's rank
  /// or the number of routers changed.
  bool apply_leader_state(TimePoint now, const routing::TableUpdate& update,
                          const std::string& from);
  /// Sends a hello at once if the update did not apply to the table, or was a snapshot.
  void report_missing_update(TimePoint now, bool is_snapshot, common::LogIndex current);
  /// Stops the queries to other controllers once the table is fresh.
  void stop_queries_if_fresh(TimePoint now);
  /// Returns a hello without the reports that only full hellos have.
  routing::RouterHello make_basic_hello(TimePoint now);
  /// Queries some controllers other than the silent leader for the leader they follow.
  void query_controllers(TimePoint now);
  /// Requests the snapshot that a controller offers, from one of the own zone if one offers it
  /// soon.
  void consider_offer(TimePoint now, const routing::ControllerList& list);
  /// Directs the hello to controllers that may know the leader, less often the longer none is
  /// found.
  void search_for_leader(TimePoint now);
  /// Returns a random part of these controllers, as many as a query is sent to.
  std::vector<std::string> some_of(std::vector<std::string> controllers);
  /// Asks a follower for changes of the table.
  void poll_follower(TimePoint now);
  /// Returns these addresses without that of the leader.
  std::vector<std::string> without_leader(std::vector<std::string> controllers) const;
  void update_targets(TimePoint now, const routing::TargetChanges& changes);
  /// Calls `visit(id, backend)` for the back ends of the table that may have changed.
  template <typename Visit>
  void for_each_changed(const routing::TargetChanges& changes, const Visit& visit) const {
    if (changes.may_be_any) {
      for (const auto& [id, backend] : table_.backends()) {
        visit(id, backend);
      }
      return;
    }
    for (const BackendId id : changes.changed) {
      if (const routing::BackendRoute* backend = table_.find_backend(id)) {
        visit(id, *backend);
      }
    }
  }
  /// Returns the back ends that accept new work according to the table, but not after the update.
  std::vector<Departure> departures_in(TimePoint now, const routing::TableUpdate& update) const;
  /// Reports to the write guard which back ends leave or accept work after an installed update.
  void update_write_guard(const std::vector<Departure>& departures,
                          std::optional<TimePoint> known_until,
                          const routing::TargetChanges& changes);
  const std::vector<routing::WeightedTarget>& subset_of(const routing::TableService& service);

  RouterOptions options_;
  common::RandomEngine random_;
  routing::RoutingTable table_;
  routing::TableFreshness freshness_;
  std::string confirmed_by_;
  std::uint64_t clock_id_;  ///< of this process's clock readings
  WriteGuard writes_;
  link::SendWindow send_window_;
  routing::RetryBudget budget_;
  bool draining_ = false;
  TimePoint end_ = TimePoint::max();  ///< of the process, once it is known
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
  /// Back ends that were found to have ended.
  std::unordered_map<BackendId, Ended> ended_;
  std::unordered_map<common::ServiceId, Duration> service_latency_;
  std::map<QueueKey, std::deque<RequestHandle>> queues_;
  std::unordered_map<common::ServiceId, std::uint32_t> queue_sizes_;
  std::set<std::pair<TimePoint, RequestHandle>> deadlines_;
  std::set<std::pair<TimePoint, RequestHandle>> retries_;
  std::set<std::pair<TimePoint, QueueKey>> wakeups_;
  std::unordered_map<common::ServiceId, std::vector<routing::WeightedTarget>> subsets_;
  std::map<common::ShardRef, std::uint32_t> shard_loads_;
  std::map<common::ServiceId, RoutedService> routed_;
  routing::RateShare cold_limit_;
  routing::LimitedTargets limited_;
  routing::CrowdedOwners crowded_;
  routing::StatedDepartures stated_departures_;
  routing::RequestedBackoffs backoffs_;
  routing::CrashSuspects suspects_;
  routing::PathMonitor paths_;
  routing::RelayPeers peers_;
  std::size_t peer_requests_ = 0;
  bool relays_for_peers_ = true;
  routing::FleetSize fleet_size_;
  /// Evacuated zones, with the time at which this router learned of each evacuation.
  std::map<common::ZoneName, TimePoint> evacuations_;
  routing::TrafficSplits splits_;
  std::map<std::pair<common::ServiceId, std::uint32_t>, std::uint32_t> key_loads_;
  std::set<RequestHandle> routed_waiting_;
  TimePoint next_hello_;
  TimePoint last_hello_;
  routing::ControllerDirectory directory_;
  std::string leader_;        ///< address of the last known leader
  common::Term leader_term_;  ///< of the newest leader that sent an update or was named
  /// Time at which the leader sent its last update or was named.
  std::optional<TimePoint> leader_last_seen_;
  std::string last_follower_;  ///< address of the follower that sent the last update
  /// Time of the next query to other controllers unless the table gets fresh before; max: no hello
  /// is unanswered.
  TimePoint next_query_ = TimePoint::max();
  Duration query_interval_{0};
  TimePoint first_offer_;  ///< of a snapshot
  TimePoint offer_expires_;
  TimePoint next_snapshot_request_;
  Duration search_interval_;  ///< until the next hello while no leader is known
  routing::FollowerPolls polls_;
  bool lacks_update_ = false;  ///< the last update did not apply to the table
  Duration hello_interval_;
  TimePoint next_load_;
  AttemptId next_attempt_ = 1;
  std::uint64_t round_robin_turn_ = 0;
  RouterCounters counters_;
  RouterOutput output_;
};

}  // namespace planktray::router

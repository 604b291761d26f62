#pragma once
/// Runs a RouterCore: connects it to callers and back ends over HTTP and to controllers over
/// ZeroMQ.

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

#include "config/machine_limits.hpp"
#include "limits/connection_limits.hpp"
#include "limits/memory_account.hpp"
#include "router/arrival_time.hpp"
#include "router/core/router_core.hpp"
#include "router/drain_plan.hpp"
#include "router/relay_codec.hpp"
#include "router/request_dialect.hpp"
#include "router/request_log.hpp"
#include "transport/event_loop.hpp"
#include "transport/http_client.hpp"
#include "transport/http_server.hpp"
#include "transport/limit_report.hpp"
#include "transport/link_pacer.hpp"
#include "transport/metrics.hpp"
#include "transport/reach_check.hpp"
#include "transport/settings_watch.hpp"
#include "transport/zmq_socket.hpp"

namespace planktray::router {

struct RouterSettings {
  RouterOptions options;
  std::vector<std::string> controllers;  ///< ZeroMQ endpoints
  config::MachineLimits machine;
  std::size_t maximum_body = 8 * 1024 * 1024;
  int connections_per_backend = 130;
  /// A connection attempt to a back end fails after this time; nothing was sent then.
  common::Duration connect_timeout = std::chrono::milliseconds(5000);
  /// Non-repeatable requests are only written on a connection that has been up for this long.
  common::Duration settle_time{0};
  /// A connection with unacknowledged bytes is closed after this time, and its request ends with
  /// it; 0: never.
  common::Duration unacknowledged_timeout{0};
  common::Duration drain_timeout = std::chrono::milliseconds(30'000);
  /// How long new connections are still accepted while draining, as callers notice a stop late.
  common::Duration accept_while_draining{0};
  /// "IP:port" of readiness and metrics; empty: they are served at the callers' address.
  std::string status_address;
  std::string ready_path = "/readyz";
  /// The router is ready once it has a route configuration, rather than a confirmed table.
  bool readiness_requires_routes = false;
  std::string settings_path;  ///< file whose changes trigger a reload
  /// Reads the settings again; empty: the settings are never reloaded.
  std::function<common::Result<RouterSettings>()> reload;
};

/// Returns the upper bound for these settings of the time from the choice of a request's back end
/// until the request arrives there.
ArrivalTime arrival_time(const RouterSettings& settings);

class RouterProcess {
 public:
  RouterProcess(RouterSettings settings, std::unique_ptr<RequestDialect> dialect);

  common::Result<void> start();
  int run();

 private:
  /// A caller that waits for an answer.
  struct Caller {
    transport::ExchangePointer exchange;
    ParsedRequest parsed;
    common::TimePoint arrived;
    std::string relayed_attempt{};  ///< of the router that relays the request; empty: none does
  };
  /// An attempt that is in flight, or whose response has not been sent to the caller yet.
  struct PendingAttempt {
    std::uint64_t call = 0;
    SentAttempt attempt;
    transport::HttpResponse response;
  };

  common::Result<void> listen();
  common::Result<void> listen_for_relays();
  common::Result<void> connect_controller(const std::string& address);
  /// Connects to the controllers that the core knows. @return the number of new connections.
  std::size_t connect_controllers();
  /// Closes connections to controllers that the core does not know any more. Not called while a
  /// message of one of them is handled.
  void close_unused_connections();
  /// Connects to controllers that are not in the settings.
  void on_controller_list(const routing::ControllerList& list);
  void on_table_update(const routing::TableUpdate& update, const std::string& from);
  void tick();
  void on_http(const transport::ExchangePointer& exchange);
  /// Takes a request that another router relays.
  void on_relayed_http(const transport::ExchangePointer& exchange, transport::UnreadReason unread);
  /// Hands a complete request to the core.
  void accept_request(const transport::ExchangePointer& exchange, ParsedRequest parsed,
                      std::string relayed_attempt,
                      transport::UnreadReason unread = transport::UnreadReason::kNone);
  /// Answers a request whose body is not read.
  void on_unread(const transport::ExchangePointer& exchange, transport::UnreadReason reason);
  /// Returns how many body bytes are read for a request with this head.
  std::size_t body_limit(const transport::HttpMessage& head) const;
  /// Whether the request may run concurrently with others of its connection: its route is
  /// repeatable and has small answers.
  bool may_run_concurrently(const transport::HttpMessage& request) const;
  /// Returns the maximum time that the request may be in flight by its deadline and its route;
  /// nullopt if neither limits it.
  std::optional<common::Duration> longest_time(const CallerRequest& request) const;
  /// Answers "not run" if this router may stop before the request ends. @return false if the
  /// request has to be processed.
  bool refuse_while_draining(const transport::ExchangePointer& exchange,
                             const ParsedRequest& parsed);
  bool answer_status(const transport::ExchangePointer& exchange);
  bool is_ready() const;
  void flush();
  void execute(const RouterOutput& output);
  void execute(const WriteDecision& decision);
  void probe_reachability(const ReachabilityProbe& probe);
  void probe_path(const routing::PathProbe& probe);
  /// Logs changes of serving and contact state, and applies changed request limits.
  void check_state_changes();
  void log_contact_change();
  void apply_limits();
  void send_forward(const Forward& forward);
  void on_response(AttemptId attempt, transport::HttpResponse& response);
  /// Determines the result of an attempt that a peer relayed, and removes what the peer added.
  AttemptResult read_relayed(const Caller& caller, const SentAttempt& attempt,
                             transport::HttpResponse& response);
  void on_progress(AttemptId attempt, transport::SendStage stage);
  /// Logs attempts that are not completely written to a back end that is leaving or removed.
  void log_departure(const Departure& departure);
  void send_answer(const Answer& answer);
  /// Answers a request that another router relays.
  void answer_relayed(const Caller& caller, const Answer& answer);
  void reload();
  void begin_drain();
  void continue_drain();
  /// Answers the requests that are still in hand when the time for the stop is over.
  void answer_last(common::TimePoint now);
  std::string metrics_text();
  void add_link_metrics();
  void add_time_metrics();
  void add_path_metrics();

  RouterSettings settings_;
  std::unique_ptr<RequestDialect> dialect_;
  transport::EventLoop loop_;
  transport::Alarm alarm_;
  std::unique_ptr<transport::SettingsWatch> settings_watch_;
  zmq::context_t context_;
  RouterCore core_;
  transport::Metrics metrics_;
  prometheus::Histogram& latency_;
  prometheus::Histogram& read_time_;
  prometheus::Histogram& table_age_;
  prometheus::Histogram& write_begun_;
  prometheus::Histogram& write_done_;
  limits::MemoryAccount memory_;  ///< of all connections
  transport::LimitReport limit_report_{memory_};
  limits::RouterConnections connections_;
  std::unique_ptr<transport::LinkPacer> pacer_;  ///< nullptr if the link rate is not stated
  std::unique_ptr<transport::HttpServer> server_;
  std::unique_ptr<transport::HttpServer> status_server_;
  std::unique_ptr<transport::HttpServer> relay_server_;  ///< nullptr: takes no relayed requests
  std::unique_ptr<transport::HttpClient> client_;
  transport::ReachChecker reach_checker_;
  transport::ReachChecker path_checker_;
  std::map<std::string, std::unique_ptr<transport::ZmqSocket>> controllers_;  ///< by endpoint
  transport::SocketCounters closed_controllers_;  ///< sums of the connections that were closed
  std::unordered_map<RequestHandle, Caller> callers_;
  std::unordered_map<AttemptId, PendingAttempt> attempts_;
  RequestLog request_log_;
  RequestHandle next_handle_ = 1;
  config::RequestLimits limits_;
  bool was_serving_ = false;
  bool was_in_contact_ = true;
  bool flushing_ = false;
  bool draining_ = false;
  bool accepting_ = true;
  DrainPlan drain_plan_;
  std::uint64_t refused_while_draining_ = 0;
  std::uint64_t rejected_relays_ = 0;  ///< malformed, or not from a router of this cell
};

}  // namespace planktray::router

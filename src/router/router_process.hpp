#pragma once
/// The shell around RouterCore: HTTP towards callers and back ends, ZeroMQ towards controllers.

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

#include "config/machine_limits.hpp"
#include "router/arrival_time.hpp"
#include "router/core/router_core.hpp"
#include "router/drain_plan.hpp"
#include "router/request_dialect.hpp"
#include "router/request_log.hpp"
#include "transport/event_loop.hpp"
#include "transport/http_client.hpp"
#include "transport/http_server.hpp"
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
  /// A connection to a back end that is not up by then has failed; nothing was sent.
  common::Duration connect_timeout = std::chrono::milliseconds(5000);
  /// What may not be repeated is written on a connection that has been up for this long.
  common::Duration settle_time{0};
  /// A connection that has gone silent ends after this time, and its request with it; 0: never.
  common::Duration unacknowledged_timeout{0};
  common::Duration drain_timeout = std::chrono::milliseconds(30'000);
  /// At a stop, new connections are still taken for this long: callers notice late.
  common::Duration accept_while_draining{0};
  /// "IP:port" of readiness and metrics; empty: they stand beside the callers' paths.
  std::string status_address;
  std::string ready_path = "/readyz";
  /// Ready with a route configuration, rather than with a confirmed table.
  bool readiness_requires_routes = false;
  std::string settings_path;  ///< file whose change is a reason to read the settings anew
  /// Reads the settings anew; none: they never change.
  std::function<common::Result<RouterSettings>()> reload;
};

/// What these settings allow a request to take from the choice of its back end to its arrival.
ArrivalTime arrival_time(const RouterSettings& settings);

class RouterProcess {
 public:
  RouterProcess(RouterSettings settings, std::unique_ptr<RequestDialect> dialect);

  common::Result<void> start();
  int run();

 private:
  /// A caller that waits.
  struct Caller {
    transport::ExchangePointer exchange;
    ParsedRequest parsed;
    common::TimePoint arrived;
  };
  /// An attempt that is under way, or whose answer waits to be passed on.
  struct Sent {
    std::uint64_t call = 0;
    SentAttempt attempt;
    transport::HttpResponse response;
  };

  common::Result<void> listen();
  common::Result<void> connect_controller(const std::string& address);
  /// Connects to controllers that the settings do not name.
  void learn_controllers(const routing::ControllerList& list);
  void take_update(const routing::TableUpdate& update, const std::string& from);
  void tick();
  void on_http(const transport::ExchangePointer& exchange);
  /// True where the request's route says that it may be repeated and its answer is small.
  bool runs_beside_others(const transport::HttpMessage& request) const;
  /// The longest that the request may be under way, by its deadline and its route;
  /// nothing where neither bounds it.
  std::optional<common::Duration> longest_time(const CallerRequest& request) const;
  /// Answers "not run" where this router may stop before the request ends. @return false where it
  /// has to be taken.
  bool refuse_while_draining(const transport::ExchangePointer& exchange,
                             const ParsedRequest& parsed);
  bool answer_status(const transport::ExchangePointer& exchange);
  bool is_ready() const;
  void flush();
  void carry_out(const RouterOutput& output);
  void carry_out(const WriteDecision& decision);
  void check_reach(const ReachabilityProbe& inquiry);
  void note_changes();
  void note_contact();
  void adopt_limits();
  void send_forward(const Forward& forward);
  void on_response(AttemptId attempt, transport::HttpResponse& response);
  void on_progress(AttemptId attempt, transport::SendStage stage);
  void note_departure(const Departure& departure);
  void send_answer(const Answer& answer);
  void reload();
  void begin_drain();
  void continue_drain();
  std::string metrics_text();
  void add_link_metrics();
  void add_time_metrics();

  RouterSettings settings_;
  std::unique_ptr<RequestDialect> dialect_;
  transport::EventLoop loop_;
  transport::Alarm alarm_;
  std::unique_ptr<transport::SettingsWatch> settings_watch_;
  zmq::context_t context_;
  RouterCore core_;
  transport::Metrics metrics_;
  prometheus::Histogram& latency_;
  prometheus::Histogram& unread_;
  prometheus::Histogram& table_age_;
  prometheus::Histogram& write_begun_;
  prometheus::Histogram& write_done_;
  std::unique_ptr<transport::LinkPacer> pacer_;  ///< none where the link's speed is not stated
  std::unique_ptr<transport::HttpServer> server_;
  std::unique_ptr<transport::HttpServer> status_server_;
  std::unique_ptr<transport::HttpClient> client_;
  transport::ReachChecker reach_checker_;
  std::map<std::string, std::unique_ptr<transport::ZmqSocket>> controllers_;  ///< by endpoint
  std::unordered_map<RequestHandle, Caller> callers_;
  std::unordered_map<AttemptId, Sent> sent_;
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
};

}  // namespace planktray::router

#include "router/router_process.hpp"

#include <algorithm>
#include <random>
#include <utility>

#include "transport/logging.hpp"
#include "transport/machine_settings.hpp"
#include "transport/turn_budget.hpp"

namespace planktray::router {
namespace {

using transport::boot_time_now;
using transport::log_event;

/// Delay from the end of a back end's connection until a probe whether it still listens, as an
/// ending process closes its connections first. About fifty times the time that a process takes to
/// end.
constexpr common::Duration kReachabilityDelay = std::chrono::milliseconds(50);
/// Timeout of a probe. A running machine refuses a connection immediately; this is ten round trips.
constexpr common::Duration kReachabilityTimeout = std::chrono::milliseconds(300);

/// How long a probe's connection has to stay up: what lies in between may accept it, and reset it
/// some time later.
constexpr common::Duration kPathSettleTime = std::chrono::milliseconds(100);

/// How often connections to controllers that are no members any more are closed: each of them
/// costs two attempts to reconnect a second.
constexpr common::Duration kConnectionReview = std::chrono::milliseconds(5000);

constexpr unsigned kStatusOk = 200;
constexpr unsigned kStatusUnavailable = 503;

common::RandomEngine seeded_engine() {
  std::random_device device;
  return common::RandomEngine((static_cast<std::uint64_t>(device()) << 32U) | device());
}

transport::HttpClientOptions client_options(const RouterSettings& settings,
                                            transport::LinkPacer* pacer,
                                            limits::MemoryAccount* memory) {
  transport::HttpClientOptions options;
  options.connections_per_server = static_cast<std::size_t>(settings.connections_per_backend);
  options.connect_timeout = settings.connect_timeout;
  options.unacknowledged_timeout = settings.unacknowledged_timeout;
  options.limits.body_bytes = settings.maximum_body;
  options.pacer = pacer;
  options.memory = memory;
  return options;
}

}  // namespace

ArrivalTime arrival_time(const RouterSettings& settings) {
  ArrivalTime arrival;
  arrival.connection = settings.connect_timeout;
  arrival.settling = settings.settle_time;
  arrival.loop_turns = 2 * transport::kLongestTurn;
  return arrival;
}

RouterProcess::RouterProcess(RouterSettings settings, std::unique_ptr<RequestDialect> dialect)
    : settings_(std::move(settings)),
      dialect_(std::move(dialect)),
      alarm_([this] { tick(); }),
      core_(settings_.options, seeded_engine(), boot_time_now()),
      latency_(metrics_.latency_histogram("planktray_request_seconds",
                                          "Time from arrival to the caller's answer.")),
      read_time_(metrics_.latency_histogram(
          "planktray_unread_seconds", "Time from a request's first byte until it has been read.")),
      table_age_(metrics_.latency_histogram("planktray_choice_table_age_seconds",
                                            "Age of the table by which back ends were chosen.")),
      write_begun_(metrics_.latency_histogram(
          "planktray_write_begun_seconds",
          "Time from the choice of a back end until the system had taken a request's first byte.")),
      write_done_(metrics_.latency_histogram(
          "planktray_write_done_seconds",
          "Time from the choice of a back end until the system had taken a request's last byte.")),
      memory_(limits::connection_memory(settings_.machine.memory_bytes)),
      connections_(limits::router_connections(transport::descriptor_limit(settings_.machine))),
      reach_checker_(kReachabilityDelay, kReachabilityTimeout),
      path_checker_(common::Duration(0), std::min(settings_.connect_timeout, kReachabilityTimeout),
                    kPathSettleTime) {}

common::Result<void> RouterProcess::start() {
  transport::return_free_memory();
  const double link_rate = settings_.machine.link_bytes_per_second();
  if (link_rate > 0) {
    pacer_ = std::make_unique<transport::LinkPacer>(link_rate);
  }
  if (auto listening = listen(); !listening) {
    return listening;
  }
  client_ =
      std::make_unique<transport::HttpClient>(client_options(settings_, pacer_.get(), &memory_));
  core_.set_seeds(settings_.controllers);
  for (const std::string& address : settings_.controllers) {
    if (auto connected = connect_controller(address); !connected) {
      return connected;
    }
  }
  loop_.every(kConnectionReview, [this] {
    close_unused_connections();
    limit_report_.log_changes({server_.get(), relay_server_.get(), status_server_.get()});
  });
  log_event("started", {{"address", settings_.options.address}});
  return {};
}

common::Result<void> RouterProcess::listen() {
  transport::HttpServerOptions options = transport::options_with_body_limit(settings_.maximum_body);
  options.pacer = pacer_.get();
  options.memory = &memory_;
  options.max_connections = connections_.callers;
  auto server = transport::HttpServer::listen(
      settings_.options.address, options,
      [this](const transport::ExchangePointer& exchange) { on_http(exchange); });
  if (!server.has_value()) {
    return tl::unexpected(server.error());
  }
  server_ = std::move(*server);
  server_->run_concurrently(
      [this](const transport::HttpMessage& request) { return may_run_concurrently(request); });
  server_->check_heads([this](const transport::HttpMessage& head) { return body_limit(head); },
                       [this](const transport::ExchangePointer& exchange,
                              transport::UnreadReason reason) { on_unread(exchange, reason); });
  if (auto relays = listen_for_relays(); !relays) {
    return relays;
  }
  if (settings_.status_address.empty()) {
    return {};
  }
  transport::HttpServerOptions status_options = transport::options_with_body_limit(0);
  status_options.memory = &memory_;
  status_options.max_connections = connections_.status;
  auto status = transport::HttpServer::listen(
      settings_.status_address, status_options, [this](const transport::ExchangePointer& exchange) {
        if (!answer_status(exchange)) {
          exchange->respond_error(
              {common::ErrorCode::kNotFound, "route request", "", "no such page"});
        }
      });
  if (!status.has_value()) {
    return tl::unexpected(status.error());
  }
  status_server_ = std::move(*status);
  return {};
}

int RouterProcess::run() {
  tick();
  loop_.on_terminate([this] { begin_drain(); });
  settings_watch_ = std::make_unique<transport::SettingsWatch>(loop_, settings_.settings_path,
                                                               [this] { reload(); });
  loop_.run();
  log_event("stopped", {{"unfinished", std::to_string(server_->unfinished())},
                        {"refused_while_draining", std::to_string(refused_while_draining_)}});
  return 0;
}

void RouterProcess::tick() {
  core_.tick(boot_time_now());
  flush();
}

void RouterProcess::reload() {
  if (!settings_.reload) {
    return;
  }
  const auto fresh = settings_.reload();
  if (!fresh.has_value()) {
    return transport::log_error("settings_refused", fresh.error());
  }
  // Only these settings apply to a running process. All others take effect at its next start.
  settings_.drain_timeout = fresh->drain_timeout;
  settings_.accept_while_draining = fresh->accept_while_draining;
  core_.set_seeds(fresh->controllers);
  log_event("settings_reloaded", {{"controllers_added", std::to_string(connect_controllers())}});
}

// ---------------------------------------------------------------- callers

bool RouterProcess::is_ready() const {
  const bool has_table =
      settings_.readiness_requires_routes ? core_.has_routes() : core_.is_serving(boot_time_now());
  return has_table && !draining_;
}

bool RouterProcess::answer_status(const transport::ExchangePointer& exchange) {
  const std::string path = exchange->path();
  if (path == "/metrics") {
    exchange->respond_text(kStatusOk, "text/plain; version=0.0.4", metrics_text());
  } else if (path == "/healthz") {
    exchange->respond_text(kStatusOk, "text/plain", "ok\n");
  } else if (path == settings_.ready_path) {
    const bool ready = is_ready();
    exchange->respond_text(ready ? kStatusOk : kStatusUnavailable, "text/plain",
                           ready ? "ready\n" : "no confirmed table\n");
  } else {
    return false;
  }
  return true;
}

void RouterProcess::on_http(const transport::ExchangePointer& exchange) {
  if (settings_.status_address.empty() && answer_status(exchange)) {
    return;
  }
  auto parsed = dialect_->parse(*exchange);
  if (!parsed.has_value()) {
    return dialect_->refuse(*exchange, parsed.error());
  }
  if (draining_ && refuse_while_draining(exchange, *parsed)) {
    return;
  }
  const common::Duration read_time = boot_time_now() - exchange->first_byte();
  read_time_.Observe(std::chrono::duration<double>(read_time).count());
  accept_request(exchange, std::move(*parsed), "");
}

std::size_t RouterProcess::body_limit(const transport::HttpMessage& head) const {
  const auto call = dialect_->route_call(head);
  const bool may_run = !call.has_value() || core_.has_route(boot_time_now(), *call);
  return may_run ? server_->options().limits.body_bytes : 0;
}

void RouterProcess::on_unread(const transport::ExchangePointer& exchange,
                              transport::UnreadReason reason) {
  auto parsed = dialect_->parse(*exchange);
  if (!parsed.has_value()) {
    return dialect_->refuse(*exchange, parsed.error());
  }
  accept_request(exchange, std::move(*parsed), "", reason);
}

void RouterProcess::accept_request(const transport::ExchangePointer& exchange, ParsedRequest parsed,
                                   std::string relayed_attempt, transport::UnreadReason unread) {
  const RequestHandle handle = next_handle_++;
  parsed.request.handle = handle;
  parsed.request.body_bytes = exchange->body().size();
  if (core_.needs_digests()) {
    parsed.request.digest = dialect_->digest(*exchange);
  }
  const Caller& caller =
      callers_[handle] = {exchange, std::move(parsed), boot_time_now(), std::move(relayed_attempt)};
  exchange->on_gone([this, handle] {
    callers_.erase(handle);
    core_.on_caller_disconnected(boot_time_now(), handle);
    flush();
  });
  if (unread == transport::UnreadReason::kNone) {
    core_.on_request(boot_time_now(), caller.parsed.request);
  } else {
    core_.on_unread_request(boot_time_now(), caller.parsed.request);
  }
  flush();
}

bool RouterProcess::may_run_concurrently(const transport::HttpMessage& request) const {
  const std::string_view host = transport::find_header(request.headers, "Host");
  const std::string_view path =
      std::string_view(request.target).substr(0, request.target.find('?'));
  const config::Route* route = core_.table().routes().find(host, path);
  // A large answer that had to wait for earlier ones would be buffered completely.
  return route != nullptr && route->kind.repeatable && !route->kind.large_answer;
}

std::optional<common::Duration> RouterProcess::longest_time(const CallerRequest& request) const {
  std::optional<common::Duration> longest;
  const auto bound_by = [&longest](std::uint32_t timeout_ms) {
    const common::Duration timeout = std::chrono::milliseconds(timeout_ms);
    if (timeout_ms > 0) {
      longest = std::min(longest.value_or(timeout), timeout);
    }
  };
  bound_by(request.timeout_ms);
  if (request.route.has_value()) {
    const config::Route* route =
        core_.table().routes().find(request.route->host, request.route->path);
    bound_by(route != nullptr ? route->timeout_ms : 0);
  }
  return longest;
}

// ---------------------------------------------------------------- effects

void RouterProcess::flush() {
  if (flushing_) {
    return;
  }
  flushing_ = true;
  for (RouterOutput output = core_.take_output(); !output.empty(); output = core_.take_output()) {
    execute(output);
  }
  flushing_ = false;
  check_state_changes();
  alarm_.set(core_.next_due());
}

void RouterProcess::execute(const RouterOutput& output) {
  if (output.hello.has_value()) {
    for (const std::string& address : output.hello_to_all ? core_.controllers() : output.hello_to) {
      const auto controller = controllers_.find(address);
      if (controller != controllers_.end()) {
        controller->second->send(transport::WireMessage(*output.hello));
      }
    }
  }
  for (const LimitChange& change : output.limit_changes) {
    request_log_.limit_changed(boot_time_now(), change);
  }
  for (const StatedDeparture& departure : output.stated_departures) {
    request_log_.departure_stated(boot_time_now(), departure);
  }
  for (const BackoffRequest& request : output.backoffs) {
    request_log_.backoff_requested(boot_time_now(), request);
  }
  for (const Departure& departure : output.departures) {
    log_departure(departure);
  }
  for (const ReachabilityProbe& probe : output.reachability_probes) {
    probe_reachability(probe);
  }
  for (const routing::PathProbe& probe : output.path_probes) {
    probe_path(probe);
  }
  for (const PathNotice& notice : output.path_notices) {
    request_log_.path_changed(notice);
  }
  for (const WriteDecision& decision : output.write_decisions) {
    execute(decision);
  }
  for (const AttemptId attempt : output.cancels) {
    const auto found = attempts_.find(attempt);
    if (found != attempts_.end()) {
      client_->cancel(found->second.call);
      attempts_.erase(found);
    }
  }
  for (const Answer& answer : output.answers) {
    send_answer(answer);
  }
  for (const AttemptId attempt : output.ended) {
    attempts_.erase(attempt);
  }
  for (const Forward& forward : output.forwards) {
    const bool is_cancelled = !core_.handle_of(forward.attempt).has_value();
    if (!is_cancelled) {
      send_forward(forward);
    }
  }
}

void RouterProcess::execute(const WriteDecision& decision) {
  const auto found = attempts_.find(decision.attempt);
  if (found == attempts_.end()) {
    return;
  }
  const bool is_held = decision.verdict == WriteVerdict::kHold;
  if (is_held || decision.verdict == WriteVerdict::kResume) {
    client_->hold(found->second.call, is_held);
  }
  request_log_.write_decided(boot_time_now(), decision.verdict, found->second.attempt);
}

void RouterProcess::probe_reachability(const ReachabilityProbe& probe) {
  reach_checker_.check(probe.address, [this, backend = probe.backend](transport::Reach reach) {
    std::optional<bool> listens;
    if (reach != transport::Reach::kUnknown) {
      listens = reach == transport::Reach::kListens;
    }
    core_.on_reachability_probed(boot_time_now(), backend, listens);
    flush();
  });
}

void RouterProcess::probe_path(const routing::PathProbe& probe) {
  path_checker_.check(probe.address, [this, probe](transport::Reach reach) {
    core_.on_path_probed(boot_time_now(), probe, reach == transport::Reach::kListens);
    flush();
  });
}

void RouterProcess::check_state_changes() {
  const bool serving = core_.is_serving(boot_time_now());
  if (serving != was_serving_) {
    was_serving_ = serving;
    log_event(serving ? "serving" : "not_serving",
              {{"table_index", std::to_string(core_.table().index().value)}});
  }
  log_contact_change();
  const config::RequestLimits& limits = core_.table().routes().limits();
  if (limits != limits_) {
    limits_ = limits;
    apply_limits();
  }
}

void RouterProcess::log_contact_change() {
  const common::TimePoint now = boot_time_now();
  const routing::TableFreshness& freshness = core_.freshness();
  const bool in_contact = freshness.status(now) != routing::TableStatus::kOutOfContact;
  if (in_contact == was_in_contact_) {
    return;
  }
  was_in_contact_ = in_contact;
  ContactChange change{in_contact, core_.table().index(), freshness.age(now)};
  if (pacer_ != nullptr) {
    change.outbound_backlog = pacer_->outbound().scheduler().backlog();
    change.inbound_backlog = pacer_->inbound().scheduler().backlog();
  }
  request_log_.contact_changed(change);
}

void RouterProcess::apply_limits() {
  transport::HttpServerOptions options = server_->options();
  if (limits_.header_bytes > 0) {
    options.limits.header_bytes = limits_.header_bytes;
  }
  if (limits_.body_bytes > 0) {
    options.limits.body_bytes = limits_.body_bytes;
  }
  if (limits_.header_timeout_ms > 0) {
    options.request_timeout = std::chrono::milliseconds(limits_.header_timeout_ms);
  }
  if (limits_.idle_timeout_ms > 0) {
    options.idle_timeout = std::chrono::milliseconds(limits_.idle_timeout_ms);
  }
  server_->set_options(options);
  if (relay_server_ != nullptr) {
    // The configured times are those for callers; routers reuse idle connections for longer.
    transport::HttpServerOptions relay_options = relay_server_->options();
    relay_options.limits = options.limits;
    relay_options.limits.header_bytes += kRelayHeaderBytes;
    relay_server_->set_options(relay_options);
  }
}

}  // namespace planktray::router

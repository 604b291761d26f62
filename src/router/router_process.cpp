#include "router/router_process.hpp"

#include <algorithm>
#include <array>
#include <charconv>
#include <nlohmann/json.hpp>
#include <random>
#include <utility>

#include "transport/logging.hpp"

namespace planktray::router {
namespace {

using transport::boot_time_now;
using transport::log_event;

constexpr common::Duration kTick = std::chrono::milliseconds(2);
constexpr const char* kRequestId = "Planktray-Request-Id";
constexpr const char* kOutcome = "Planktray-Outcome";
constexpr std::size_t kMaxRequestIdLength = 128;
constexpr std::size_t kMaxKeyLength = 1024;

constexpr unsigned kStatusOk = 200;
constexpr unsigned kStatusBadRequest = 400;
constexpr unsigned kStatusNotFound = 404;
constexpr unsigned kStatusUnavailable = 503;
constexpr unsigned kStatusTimeout = 504;

common::RandomEngine seeded_engine() {
  std::random_device device;
  return common::RandomEngine((static_cast<std::uint64_t>(device()) << 32U) | device());
}

/// Headers that belong to one connection, or that this router sets itself (RFC 9110, 7.6.1).
bool is_passed_on(std::string_view name) {
  constexpr std::array<std::string_view, 12> kOwn = {"Connection",
                                                     "Keep-Alive",
                                                     "Proxy-Connection",
                                                     "Transfer-Encoding",
                                                     "TE",
                                                     "Trailer",
                                                     "Upgrade",
                                                     "Host",
                                                     "Content-Length",
                                                     "Expect",
                                                     "Date",
                                                     "Server"};
  constexpr std::string_view kPrefix = "Planktray-";
  const bool is_ours = name.size() >= kPrefix.size() &&
                       transport::equals_ignoring_case(name.substr(0, kPrefix.size()), kPrefix);
  return !is_ours && std::none_of(kOwn.begin(), kOwn.end(), [&](std::string_view own) {
    return transport::equals_ignoring_case(own, name);
  });
}

transport::HeaderList passed_on(const transport::HeaderList& headers) {
  transport::HeaderList kept;
  std::copy_if(headers.begin(), headers.end(), std::back_inserter(kept),
               [](const auto& header) { return is_passed_on(header.first); });
  return kept;
}

/// "/tenant/service/..." @return false where the path has no two parts.
bool parse_path(const std::string& path, common::ServiceKey& service) {
  const auto first = path.find('/', 1);
  if (path.empty() || path[0] != '/' || first == std::string::npos) {
    return false;
  }
  const auto second = path.find('/', first + 1);
  service.tenant.value = path.substr(1, first - 1);
  service.service.value =
      path.substr(first + 1, second == std::string::npos ? second : second - first - 1);
  return !service.tenant.value.empty() && !service.service.value.empty();
}

std::string new_request_id() {
  char* text = g_uuid_string_random();
  std::string id(text);
  g_free(text);
  return id;
}

std::string retry_after_seconds(common::Duration wait) {
  const auto seconds = std::chrono::ceil<std::chrono::seconds>(wait).count();
  return std::to_string(std::max<std::int64_t>(1, seconds));
}

transport::HttpClientOptions client_options(const RouterSettings& settings) {
  transport::HttpClientOptions options;
  options.connections_per_server = static_cast<std::size_t>(settings.connections_per_backend);
  options.limits.body_bytes = settings.maximum_body;
  return options;
}

}  // namespace

RouterProcess::RouterProcess(RouterSettings settings)
    : settings_(std::move(settings)),
      core_(settings_.options, seeded_engine(), boot_time_now()),
      latency_(metrics_.latency_histogram("planktray_request_seconds",
                                          "Time from arrival to the caller's answer.")) {}

common::Result<void> RouterProcess::start() {
  auto server = transport::HttpServer::listen(
      settings_.options.address, transport::options_with_body_limit(settings_.maximum_body),
      [this](const transport::ExchangePointer& exchange) { on_http(exchange); });
  if (!server.has_value()) {
    return tl::unexpected(server.error());
  }
  server_ = std::move(*server);
  client_ = std::make_unique<transport::HttpClient>(client_options(settings_));
  const std::string identity = "router/" + settings_.options.name.value;
  for (const std::string& address : settings_.controllers) {
    auto socket = transport::ZmqSocket::connect(
        context_, address, identity, [this](const std::string& /*identity*/, const auto& message) {
          if (const auto* update = std::get_if<routing::TableUpdate>(&message.value)) {
            core_.on_table_update(boot_time_now(), *update);
            flush();
          }
        });
    if (!socket.has_value()) {
      return tl::unexpected(socket.error());
    }
    controllers_.push_back(std::move(*socket));
  }
  log_event("started", {{"address", settings_.options.address}});
  return {};
}

int RouterProcess::run() {
  loop_.every(kTick, [this] {
    core_.tick(boot_time_now());
    flush();
    const bool finished = callers_.empty() && server_->unfinished() == 0;
    if (draining_ && (finished || boot_time_now() >= drain_until_)) {
      loop_.quit();
    }
  });
  loop_.on_terminate([this] { begin_drain(); });
  loop_.run();
  log_event("stopped", {{"unfinished", std::to_string(server_->unfinished())}});
  return 0;
}

void RouterProcess::begin_drain() {
  if (draining_) {
    return;
  }
  draining_ = true;
  drain_until_ = boot_time_now() + settings_.drain_timeout;
  core_.begin_drain();
  server_->stop_listening();
  log_event("draining", {{"in_flight", std::to_string(callers_.size())}});
}

// ---------------------------------------------------------------- callers

void RouterProcess::on_http(const transport::ExchangePointer& exchange) {
  if (exchange->path() == "/metrics") {
    return exchange->respond_text(kStatusOk, "text/plain; version=0.0.4", metrics_text());
  }
  if (exchange->path() == "/healthz") {
    return exchange->respond_text(kStatusOk, "text/plain", "ok\n");
  }
  if (exchange->path() == "/readyz") {
    const bool ready = core_.is_serving(boot_time_now()) && !draining_;
    return exchange->respond_text(ready ? kStatusOk : kStatusUnavailable, "text/plain",
                                  ready ? "ready\n" : "no confirmed table\n");
  }
  on_caller(exchange);
}

void RouterProcess::refuse_bad_request(const transport::ExchangePointer& exchange,
                                       const std::string& message) {
  const nlohmann::json body = {{"error", message}, {"step", "read request"}, {"peer", ""}};
  exchange->respond_json(
      kStatusBadRequest, body.dump(),
      {{kOutcome, "not-run"}, {kRequestId, std::string(exchange->header(kRequestId))}});
}

void RouterProcess::on_caller(const transport::ExchangePointer& exchange) {
  CallerRequest request;
  if (!parse_path(exchange->path(), request.service)) {
    return refuse_bad_request(exchange, "the path must be /tenant/service/...");
  }
  const std::string_view timeout = exchange->header("Planktray-Timeout-Ms");
  if (!timeout.empty()) {
    const char* end = timeout.data() + timeout.size();
    const auto parsed = std::from_chars(timeout.data(), end, request.timeout_ms);
    if (parsed.ec != std::errc() || parsed.ptr != end || request.timeout_ms == 0 ||
        request.timeout_ms > config::kMaxTimeoutMs) {
      return refuse_bad_request(exchange, "Planktray-Timeout-Ms must be from 1 to " +
                                              std::to_string(config::kMaxTimeoutMs));
    }
  }
  const std::string_view given_id = exchange->header(kRequestId);
  const std::string_view key = exchange->header("Planktray-Key");
  if (given_id.size() > kMaxRequestIdLength || key.size() > kMaxKeyLength) {
    return refuse_bad_request(exchange, "Planktray-Request-Id or Planktray-Key is too long");
  }
  request.handle = next_handle_++;
  request.key = std::string(key);
  request.method = std::string(exchange->method());
  callers_[request.handle] = {exchange, given_id.empty() ? new_request_id() : std::string(given_id),
                              request.key, request.service, boot_time_now()};
  exchange->on_gone([this, handle = request.handle] {
    callers_.erase(handle);
    core_.on_caller_gone(handle);
    flush();
  });
  core_.on_request(boot_time_now(), request);
  flush();
}

// ---------------------------------------------------------------- effects

void RouterProcess::flush() {
  if (flushing_) {
    return;
  }
  flushing_ = true;
  while (true) {
    RouterOutput output = core_.take_output();
    if (output.forwards.empty() && output.cancels.empty() && output.answers.empty() &&
        !output.hello.has_value()) {
      break;
    }
    if (output.hello.has_value()) {
      for (const auto& controller : controllers_) {
        controller->send(transport::WireMessage(*output.hello));
      }
    }
    for (const AttemptId attempt : output.cancels) {
      const auto found = sent_.find(attempt);
      if (found != sent_.end()) {
        client_->cancel(found->second.call);
        sent_.erase(found);
      }
    }
    for (const Answer& answer : output.answers) {
      send_answer(answer);
    }
    for (const Forward& forward : output.forwards) {
      send_forward(forward);
    }
  }
  flushing_ = false;
  const bool serving = core_.is_serving(boot_time_now());
  if (serving != was_serving_) {
    was_serving_ = serving;
    log_event(serving ? "serving" : "not_serving",
              {{"table_index", std::to_string(core_.table().index().value)}});
  }
}

void RouterProcess::send_forward(const Forward& forward) {
  const auto found = callers_.find(forward.handle);
  if (found == callers_.end()) {
    return;
  }
  const Caller& caller = found->second;
  transport::HttpRequest request;
  request.method = std::string(caller.exchange->method());
  request.address = forward.address;
  request.target = caller.exchange->target();
  request.headers = passed_on(caller.exchange->headers());
  request.body = std::string(caller.exchange->body());
  request.fresh_connection = !forward.repeatable;
  const auto left =
      std::chrono::duration_cast<std::chrono::milliseconds>(forward.time_left).count();
  request.headers.insert(request.headers.end(),
                         {{kRequestId, caller.request_id},
                          {"Planktray-Tenant", caller.service.tenant.value},
                          {"Planktray-Service", caller.service.service.value},
                          {"Planktray-Timeout-Ms", std::to_string(std::max<std::int64_t>(1, left))},
                          {"Planktray-Incarnation", forward.incarnation.value}});
  if (forward.keyed) {
    request.headers.insert(request.headers.end(),
                           {{"Planktray-Key", caller.key},
                            {"Planktray-Shard", std::to_string(forward.shard.value)},
                            {"Planktray-Epoch", std::to_string(forward.epoch.value)}});
  }
  const AttemptId attempt = forward.attempt;
  sent_[attempt].call = client_->send(
      request, [this, attempt](const auto& response) { on_response(attempt, response); });
}

AttemptResult RouterProcess::judge(const Caller& caller,
                                   const transport::HttpResponse& response) const {
  if (!response.is_whole()) {
    return {response.was_sent ? routing::AttemptEnd::kBroken : routing::AttemptEnd::kNotSent, {}};
  }
  AttemptResult result;
  if (routing::parse_refusal(response.header("Planktray-Not-Run"), result.refusal)) {
    result.end = routing::AttemptEnd::kRefused;
  } else if (response.header(kRequestId) == caller.request_id) {
    result.end = routing::AttemptEnd::kAnswered;
  } else {
    result.end = routing::AttemptEnd::kForeign;
  }
  return result;
}

void RouterProcess::on_response(AttemptId attempt, const transport::HttpResponse& response) {
  const auto found = sent_.find(attempt);
  const auto handle = core_.handle_of(attempt);
  if (found == sent_.end() || !handle.has_value()) {
    return;
  }
  const auto caller = callers_.find(*handle);
  if (caller == callers_.end()) {
    sent_.erase(found);
    return;
  }
  const AttemptResult result = judge(caller->second, response);
  if (result.end == routing::AttemptEnd::kAnswered) {
    found->second.response = response;
  } else {
    sent_.erase(found);
  }
  core_.on_attempt_done(boot_time_now(), attempt, result);
  flush();
}

void RouterProcess::send_answer(const Answer& answer) {
  const auto found = callers_.find(answer.handle);
  if (found == callers_.end()) {
    return;
  }
  const Caller caller = std::move(found->second);
  callers_.erase(found);
  const std::chrono::duration<double> took = boot_time_now() - caller.arrived;
  latency_.Observe(took.count());
  transport::HeaderList headers;
  if (answer.outcome == routing::Outcome::kAnswered) {
    const auto sent = sent_.find(answer.attempt);
    headers = passed_on(sent->second.response.headers);
    headers.emplace_back(kOutcome, "answered");
    headers.emplace_back(kRequestId, caller.request_id);
    caller.exchange->respond(sent->second.response.status, headers, sent->second.response.body);
    sent_.erase(sent);
    return;
  }
  headers = {{kOutcome, std::string(routing::to_string(answer.outcome))},
             {kRequestId, caller.request_id}};
  nlohmann::json body = {{"step", "route request"}, {"peer", settings_.options.name.value}};
  if (answer.outcome == routing::Outcome::kUnknown) {
    body["error"] = "the request was sent, but no whole answer came; it may have run";
    return caller.exchange->respond_json(kStatusTimeout, body.dump(), headers);
  }
  body["error"] = "not run: " + std::string(routing::to_string(answer.reason));
  unsigned status = kStatusUnavailable;
  if (answer.can_never_run) {
    status =
        answer.reason == routing::NotRunReason::kKeyMissing ? kStatusBadRequest : kStatusNotFound;
  } else {
    headers.emplace_back("Retry-After", retry_after_seconds(answer.retry_after));
  }
  caller.exchange->respond_json(status, body.dump(), headers);
}

std::string RouterProcess::metrics_text() {
  const RouterCounters& counters = core_.counters();
  metrics_.set_counter("planktray_requests_total", "Requests from callers.", counters.requests);
  metrics_.set_counter("planktray_answered_total", "Requests answered by a back end.",
                       counters.answered);
  metrics_.set_counter("planktray_not_run_total", "Requests refused with proof of not run.",
                       counters.not_run);
  metrics_.set_counter("planktray_unknown_total", "Requests that may have run.", counters.unknown);
  metrics_.set_counter("planktray_retries_total", "Attempts after the first.", counters.retries);
  metrics_.set_counter("planktray_refusals_total", "Refusals by back ends.", counters.refusals);
  metrics_.set_counter("planktray_table_updates_total", "Changes of the routing table.",
                       counters.table_updates);
  metrics_.set_counter("planktray_requests_cancelled_total", "Callers that went away.",
                       counters.cancelled);
  metrics_.set_counter("planktray_requests_rejected_total", "Requests too long to read.",
                       server_->refused());
  metrics_.set_gauge("planktray_table_index", "Log index of the table served.",
                     static_cast<double>(core_.table().index().value));
  metrics_.set_gauge("planktray_serving", "1 where the table is confirmed.",
                     core_.is_serving(boot_time_now()) ? 1 : 0);
  metrics_.set_gauge("planktray_requests_in_flight", "Attempts under way.",
                     static_cast<double>(core_.in_flight()));
  metrics_.set_gauge("planktray_requests_waiting", "Requests that wait for a target.",
                     static_cast<double>(core_.waiting()));
  std::uint64_t bytes = 0;
  std::uint64_t refused = 0;
  for (const auto& controller : controllers_) {
    bytes += controller->counters().bytes_sent + controller->counters().bytes_received;
    refused += controller->counters().refused;
  }
  metrics_.set_counter("planktray_control_bytes_total", "ZeroMQ body bytes, both ways.", bytes);
  metrics_.set_counter("planktray_messages_refused_total",
                       "Damaged messages and foreign protocol versions.", refused);
  return metrics_.serialize();
}

}  // namespace planktray::router

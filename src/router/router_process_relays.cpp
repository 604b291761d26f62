/// RouterProcess: requests that go over another router, and those that other routers relay.

#include <utility>

#include "router/router_process.hpp"
#include "transport/logging.hpp"

namespace planktray::router {
namespace {

using transport::boot_time_now;

/// Longer than the client of another router reuses a connection (HttpClientOptions::idle_timeout),
/// so that no request is written on a connection that is being closed.
constexpr common::Duration kRelayIdleTimeout = std::chrono::seconds(60);

constexpr unsigned kStatusBadRequest = 400;
constexpr unsigned kStatusUnavailable = 503;
constexpr unsigned kStatusGatewayTimeout = 504;

}  // namespace

common::Result<void> RouterProcess::listen_for_relays() {
  if (settings_.options.relay_address.empty()) {
    return {};
  }
  transport::HttpServerOptions options = transport::options_with_body_limit(settings_.maximum_body);
  options.limits.header_bytes += kRelayHeaderBytes;
  options.pacer = pacer_.get();
  options.idle_timeout = kRelayIdleTimeout;
  options.memory = &memory_;
  options.max_connections = connections_.relays;
  auto server = transport::HttpServer::listen(
      settings_.options.relay_address, options, [this](const transport::ExchangePointer& exchange) {
        on_relayed_http(exchange, transport::UnreadReason::kNone);
      });
  if (!server.has_value()) {
    return tl::unexpected(server.error());
  }
  relay_server_ = std::move(*server);
  relay_server_->check_heads(
      [this](const transport::HttpMessage& head) {
        const bool is_relayed = decode_relay(settings_.options.cell, head.headers).has_value();
        return is_relayed ? relay_server_->options().limits.body_bytes : 0;
      },
      [this](const transport::ExchangePointer& exchange, transport::UnreadReason reason) {
        on_relayed_http(exchange, reason);
      });
  return {};
}

void RouterProcess::on_relayed_http(const transport::ExchangePointer& exchange,
                                    transport::UnreadReason unread) {
  const auto relayed = decode_relay(settings_.options.cell, exchange->headers());
  if (!relayed.has_value()) {
    ++rejected_relays_;
    request_log_.relay_rejected(boot_time_now(), relayed.error());
    return exchange->respond_error(relayed.error());
  }
  auto parsed = dialect_->parse(*exchange);
  if (!parsed.has_value()) {
    ++rejected_relays_;
    request_log_.relay_rejected(boot_time_now(), parsed.error());
    return exchange->respond(kStatusBadRequest, encode_statement(relayed->attempt, {}), "");
  }
  parsed->request.relay = relayed->call;
  accept_request(exchange, std::move(*parsed), relayed->attempt, unread);
}

AttemptResult RouterProcess::read_relayed(const Caller& caller, const SentAttempt& attempt,
                                          transport::HttpResponse& response) {
  AttemptResult result;
  if (!response.is_whole()) {
    result.end = response.was_sent ? routing::AttemptEnd::kBroken : routing::AttemptEnd::kNotSent;
    result.peer_failed = true;
    return result;
  }
  const auto statement = decode_statement(response);
  if (!statement.has_value()) {
    response.error = statement.error();
    result.end = routing::AttemptEnd::kBroken;
    result.peer_failed = true;
    return result;
  }
  strip_relay_headers(response.headers);
  if (statement->is_answer) {
    result = dialect_->classify(caller.parsed, attempt.incarnation, response);
  } else if (statement->refusal != routing::RelayRefusal::kNone) {
    result.end = routing::AttemptEnd::kNotSent;
    result.relay_refusal = statement->refusal;
  } else {
    result.end = routing::AttemptEnd::kBroken;
    result.digest = statement->connection_ended ? dialect_->digest(*caller.exchange) : 0;
  }
  result.peer_load = statement->load;
  return result;
}

void RouterProcess::answer_relayed(const Caller& caller, const Answer& answer) {
  RelayStatement statement;
  statement.load = static_cast<std::uint32_t>(core_.peer_requests());
  statement.refusal = answer.relay_refusal;
  if (answer.outcome == routing::Outcome::kAnswered) {
    const transport::HttpResponse response = std::move(attempts_.at(answer.attempt).response);
    statement.is_answer = true;
    transport::HeaderList headers = forwardable_headers(response.headers, kRelayPrefix);
    for (auto& header : encode_statement(caller.relayed_attempt, statement)) {
      headers.push_back(std::move(header));
    }
    return caller.exchange->respond(response.status, headers, response.body);
  }
  const bool is_refused = answer.outcome == routing::Outcome::kNotRun;
  if (is_refused) {
    request_log_.relay_refused(boot_time_now(), caller.parsed, answer);
  }
  statement.connection_ended = answer.connection_ended;
  caller.exchange->respond(is_refused ? kStatusUnavailable : kStatusGatewayTimeout,
                           encode_statement(caller.relayed_attempt, statement), "");
}

}  // namespace planktray::router

#include "router/request_log.hpp"

#include "transport/logging.hpp"

namespace planktray::router {
namespace {

using transport::log_event;

std::string milliseconds_text(common::Duration value) {
  return std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(value).count());
}

std::string milliseconds_text(const std::optional<common::Duration>& value) {
  return value.has_value() ? milliseconds_text(*value) : "none";
}

std::string key_text(const ParsedRequest& parsed) {
  const auto& route = parsed.request.route;
  if (!route.has_value()) {
    return parsed.request.key;
  }
  return route->key.has_value() ? std::to_string(*route->key) : "";
}

}  // namespace

void RequestLog::contact_changed(const ContactChange& change) {
  log_event(change.in_contact ? "contact_back" : "contact_lost",
            {{"table_index", std::to_string(change.table_index.value)},
             {"table_age_ms", milliseconds_text(change.table_age)},
             {"outbound_backlog_ms", milliseconds_text(change.outbound_backlog)},
             {"inbound_backlog_ms", milliseconds_text(change.inbound_backlog)}});
}

void RequestLog::request_repeated(common::TimePoint now, const ParsedRequest& parsed,
                                  const Forward& forward) {
  if (!limit_.allows(now)) {
    return;
  }
  log_event("request_repeated",
            {{"request", parsed.request_id},
             {"attempt", std::to_string(forward.number)},
             {"service", forward.service},
             {"key", key_text(parsed)},
             {"peer", forward.address},
             {"instance", forward.incarnation.value},
             {"table_index", std::to_string(forward.table_index.value)},
             {"budget_repeats", std::to_string(forward.budget.repeats)},
             {"budget_allowed", std::to_string(static_cast<int>(forward.budget.allowed))},
             {"time_left_ms", milliseconds_text(forward.time_left)}});
}

void RequestLog::attempt_failed(common::TimePoint now, const ParsedRequest& parsed,
                                const SentAttempt& attempt, const AttemptResult& result,
                                const transport::HttpResponse& response) {
  if (!limit_.allows(now)) {
    return;
  }
  const bool refused = result.end == routing::AttemptEnd::kRefused;
  log_event("attempt_failed",
            {{"request", parsed.request_id},
             {"attempt", std::to_string(attempt.number)},
             {"service", attempt.service},
             {"peer", attempt.address},
             {"instance", attempt.incarnation.value},
             {"outcome", std::string(routing::to_string(result.end))},
             {"refusal", refused ? std::string(routing::to_string(result.refusal)) : "none"},
             {"status", std::to_string(response.status)},
             {"answered_by", result.answered_by.value},
             {"relay", attempt.peer},
             {"relay_refusal", std::string(routing::to_string(result.relay_refusal))},
             {"took_ms", milliseconds_text(now - attempt.sent_at)},
             {"error", response.error.message}});
}

void RequestLog::written_late(common::TimePoint now, const SentAttempt& attempt) {
  ++late_writes_;
  if (!write_limit_.allows(now)) {
    return;
  }
  log_event("written_late", {{"request", attempt.request_id},
                             {"attempt", std::to_string(attempt.number)},
                             {"service", attempt.service},
                             {"peer", attempt.address},
                             {"instance", attempt.incarnation.value},
                             {"bytes", std::to_string(attempt.bytes)},
                             {"table_age_ms", milliseconds_text(attempt.table_age)},
                             {"connected_ms", milliseconds_text(attempt.connected)},
                             {"begun_ms", milliseconds_text(attempt.begun)},
                             {"written_ms", milliseconds_text(attempt.written)}});
}

void RequestLog::write_decided(common::TimePoint now, WriteVerdict verdict,
                               const SentAttempt& attempt) {
  if (!limit_.allows(now)) {
    return;
  }
  log_event("write_decided", {{"request", attempt.request_id},
                              {"attempt", std::to_string(attempt.number)},
                              {"verdict", std::string(to_string(verdict))},
                              {"service", attempt.service},
                              {"peer", attempt.address},
                              {"instance", attempt.incarnation.value},
                              {"bytes", std::to_string(attempt.bytes)},
                              {"since_choice_ms", milliseconds_text(now - attempt.sent_at)}});
}

void RequestLog::leaving_while_written(common::TimePoint now, const Departure& departure,
                                       const UnwrittenAttempts& unwritten) {
  if (!write_limit_.allows(now)) {
    return;
  }
  log_event("leaving_while_written",
            {{"peer", departure.address},
             {"instance", departure.incarnation.value},
             {"known_before_ms", milliseconds_text(departure.previous_table_age)},
             {"table_index", std::to_string(departure.table_index.value)},
             {"attempts", std::to_string(unwritten.attempts)},
             {"begun", std::to_string(unwritten.begun)},
             {"bytes", std::to_string(unwritten.bytes)}});
}

void RequestLog::load_unread(common::TimePoint now, const SentAttempt& attempt,
                             const std::string& text) {
  ++unparsed_loads_;
  if (!load_limit_.allows(now)) {
    return;
  }
  constexpr std::size_t kMaxTextLength = 64;
  log_event("load_unread", {{"service", attempt.service},
                            {"peer", attempt.address},
                            {"instance", attempt.incarnation.value},
                            {"text", text.substr(0, kMaxTextLength)},
                            {"total", std::to_string(unparsed_loads_)}});
}

void RequestLog::header_unread(common::TimePoint now, const SentAttempt& attempt,
                               const UnrecognizedHeader& header) {
  constexpr std::size_t kMaxNames = 32;
  ++unrecognized_headers_;
  const bool is_new =
      unrecognized_names_.size() < kMaxNames && unrecognized_names_.insert(header.name).second;
  if (!is_new && !load_limit_.allows(now)) {
    return;
  }
  constexpr std::size_t kMaxTextLength = 64;
  log_event("header_unread", {{"service", attempt.service},
                              {"peer", attempt.address},
                              {"instance", attempt.incarnation.value},
                              {"name", header.name.substr(0, kMaxTextLength)},
                              {"text", header.value.substr(0, kMaxTextLength)},
                              {"total", std::to_string(unrecognized_headers_)}});
}

void RequestLog::limit_changed(common::TimePoint now, const LimitChange& change) {
  if (!limit_.allows(now)) {
    return;
  }
  log_event("limit_changed",
            {{"peer", change.address},
             {"instance", change.incarnation.value},
             {"per_second",
              change.per_second.has_value() ? std::to_string(*change.per_second) : "none"}});
}

void RequestLog::request_relayed(common::TimePoint now, const ParsedRequest& parsed,
                                 const Forward& forward) {
  if (!relay_limit_.allows(now)) {
    return;
  }
  log_event("request_relayed", {{"request", parsed.request_id},
                                {"attempt", std::to_string(forward.number)},
                                {"service", forward.service},
                                {"peer", forward.address},
                                {"instance", forward.incarnation.value},
                                {"relay", forward.peer},
                                {"table_index", std::to_string(forward.table_index.value)},
                                {"time_left_ms", milliseconds_text(forward.time_left)}});
}

void RequestLog::relay_refused(common::TimePoint now, const ParsedRequest& parsed,
                               const Answer& answer) {
  if (!relay_limit_.allows(now)) {
    return;
  }
  const RelayCall& call = *parsed.request.relay;
  log_event("relay_refused", {{"request", parsed.request_id},
                              {"backend", std::to_string(call.backend.value)},
                              {"reason", std::string(routing::to_string(answer.relay_refusal))},
                              {"their_table_index", std::to_string(call.table_index.value)},
                              {"table_index", std::to_string(answer.table_index.value)}});
}

void RequestLog::relay_rejected(common::TimePoint now, const common::Error& error) {
  if (relay_limit_.allows(now)) {
    transport::log_error("relay_rejected", error);
  }
}

void RequestLog::path_changed(const PathNotice& notice) {
  if (notice.change.is_lost) {
    log_event("path_lost", {{"service", notice.service},
                            {"failed_backends", std::to_string(notice.change.failed_backends)},
                            {"failing_for_ms", milliseconds_text(notice.change.since)}});
  } else {
    log_event("path_back", {{"service", notice.service},
                            {"lost_for_ms", milliseconds_text(notice.change.since)}});
  }
}

void RequestLog::departure_stated(common::TimePoint now, const StatedDeparture& departure) {
  if (!limit_.allows(now)) {
    return;
  }
  log_event("departure_stated",
            {{"peer", departure.address}, {"instance", departure.incarnation.value}});
}

void RequestLog::backoff_requested(common::TimePoint now, const BackoffRequest& request) {
  if (!limit_.allows(now)) {
    return;
  }
  log_event("backoff_requested", {{"peer", request.address},
                                  {"instance", request.incarnation.value},
                                  {"time_ms", milliseconds_text(request.time)}});
}

void RequestLog::request_refused(common::TimePoint now, const ParsedRequest& parsed,
                                 const Answer& answer, const RefusalContext& context) {
  if (!limit_.allows(now)) {
    return;
  }
  log_event("request_refused",
            {{"request", parsed.request_id},
             {"outcome", std::string(routing::to_string(answer.outcome))},
             {"reason", std::string(routing::to_string(answer.reason))},
             {"service", answer.service},
             {"key", key_text(parsed)},
             {"attempts", std::to_string(answer.attempts)},
             {"took_ms", milliseconds_text(context.took)},
             {"route", answer.route},
             {"stated_ms", std::to_string(parsed.request.timeout_ms)},
             {"unread_ms", milliseconds_text(context.read_time)},
             {"expected_ms",
              answer.expected.has_value() ? milliseconds_text(*answer.expected) : "unknown"},
             {"retry_after_ms", milliseconds_text(answer.retry_after)},
             {"table_index", std::to_string(answer.table_index.value)},
             {"table_age_ms",
              context.table_age.has_value() ? milliseconds_text(*context.table_age) : "unknown"},
             {"confirmed_by", context.confirmed_by},
             {"routes_version", std::to_string(context.routes_version)}});
}

void RequestLog::table_late(const LateUpdate& late) {
  if (!late_limit_.allows(late.now)) {
    return;
  }
  log_event("table_late", {{"peer", late.peer},
                           {"delay_ms", milliseconds_text(late.delay)},
                           {"age_before_ms", milliseconds_text(late.age_before)},
                           {"table_index", std::to_string(late.table_index.value)},
                           {"longest_turn_ms", milliseconds_text(late.longest_turn)}});
}

}  // namespace planktray::router

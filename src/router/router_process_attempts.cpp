/// The part of RouterProcess that sends attempts to back ends and answers callers.

#include <string>
#include <utility>

#include "router/router_process.hpp"

namespace planktray::router {
namespace {

using transport::boot_time_now;

/// Requests whose last byte was written this long after the table confirmed their back end are
/// logged: half of the time after which a leaving back end must not receive anything.
constexpr common::Duration kLateWrite = std::chrono::milliseconds(1000);

}  // namespace

void RouterProcess::send_forward(const Forward& forward) {
  const auto found = callers_.find(forward.handle);
  if (found == callers_.end()) {
    return;
  }
  const Caller& caller = found->second;
  transport::HttpRequest request = dialect_->to_backend(*caller.exchange, caller.parsed, forward);
  request.address = forward.address;
  if (!forward.repeatable) {
    request.settle_time = settings_.settle_time;
  }
  const AttemptId attempt = forward.attempt;
  const common::TimePoint now = boot_time_now();
  if (forward.peer.empty()) {
    strip_relay_headers(request.headers);
  } else {
    encode_relay(settings_.options.cell, forward, request);
    request_log_.request_relayed(now, caller.parsed, forward);
  }
  if (forward.number > 1) {
    request_log_.request_repeated(now, caller.parsed, forward);
  }
  SentAttempt& sent = attempts_[attempt].attempt;
  sent.address = forward.address;
  sent.incarnation = forward.incarnation;
  sent.peer = forward.peer;
  sent.service = forward.service;
  sent.request_id = caller.parsed.request_id;
  sent.number = forward.number;
  sent.sent_at = now;
  sent.bytes = request.body.size();
  sent.table_age = core_.freshness().age(now);
  if (sent.table_age.has_value()) {
    table_age_.Observe(std::chrono::duration<double>(*sent.table_age).count());
  }
  attempts_[attempt].call = client_->send(
      std::move(request),
      [this, attempt](transport::HttpResponse& response) { on_response(attempt, response); },
      [this, attempt](transport::SendStage stage) { on_progress(attempt, stage); });
}

void RouterProcess::on_progress(AttemptId attempt, transport::SendStage stage) {
  const auto found = attempts_.find(attempt);
  if (found == attempts_.end()) {
    return;
  }
  const common::TimePoint now = boot_time_now();
  SentAttempt& sent = found->second.attempt;
  const common::Duration took = now - sent.sent_at;
  if (stage == transport::SendStage::kConnected) {
    sent.connected = took;
    return;
  }
  if (stage == transport::SendStage::kBegun) {
    sent.begun = took;
    core_.on_attempt_started(attempt);
    write_begun_.Observe(std::chrono::duration<double>(took).count());
    return;
  }
  sent.written = took;
  core_.on_attempt_written(attempt);
  if (core_.waiting_for_link() > 0) {
    alarm_.set(core_.next_due());
  }
  write_done_.Observe(std::chrono::duration<double>(took).count());
  if (sent.table_age.value_or(common::Duration(0)) + took >= kLateWrite) {
    request_log_.written_late(now, sent);
  }
}

void RouterProcess::log_departure(const Departure& departure) {
  UnwrittenAttempts unwritten;
  for (const auto& [id, pending] : attempts_) {
    const SentAttempt& sent = pending.attempt;
    const bool is_unwritten =
        sent.incarnation == departure.incarnation && !sent.written.has_value();
    if (is_unwritten) {
      ++unwritten.attempts;
      unwritten.begun += sent.begun.has_value() ? 1 : 0;
      unwritten.bytes += sent.bytes;
    }
  }
  if (unwritten.attempts > 0) {
    request_log_.leaving_while_written(boot_time_now(), departure, unwritten);
  }
}

void RouterProcess::on_response(AttemptId attempt, transport::HttpResponse& response) {
  const auto found = attempts_.find(attempt);
  const auto handle = core_.handle_of(attempt);
  if (found == attempts_.end() || !handle.has_value()) {
    return;
  }
  const auto caller = callers_.find(*handle);
  if (caller == callers_.end()) {
    return;  // the core cancels the attempt
  }
  const SentAttempt& sent = found->second.attempt;
  AttemptResult result = sent.peer.empty()
                             ? dialect_->classify(caller->second.parsed, sent.incarnation, response)
                             : read_relayed(caller->second, sent, response);
  if (result.connection_ended || core_.needs_digests()) {
    result.digest = dialect_->digest(*caller->second.exchange);
  }
  result.is_new_connection = response.is_whole() && !response.used_before;
  const common::TimePoint now = boot_time_now();
  if (!result.unparsed_load.empty()) {
    request_log_.load_unread(now, found->second.attempt, result.unparsed_load);
  }
  for (const UnrecognizedHeader& header : result.unrecognized_headers) {
    request_log_.header_unread(now, found->second.attempt, header);
  }
  // What a relayed request's back end has answered goes back in any case.
  const bool is_passed_on = result.end == routing::AttemptEnd::kAnswered ||
                            (!caller->second.relayed_attempt.empty() && response.is_whole());
  if (is_passed_on) {
    found->second.response = std::move(response);
  } else {
    request_log_.attempt_failed(now, caller->second.parsed, found->second.attempt, result,
                                response);
  }
  core_.on_attempt_done(now, attempt, result);
  flush();
}

void RouterProcess::send_answer(const Answer& answer) {
  const auto found = callers_.find(answer.handle);
  if (found == callers_.end()) {
    return;
  }
  const Caller caller = std::move(found->second);
  callers_.erase(found);
  if (!caller.relayed_attempt.empty()) {
    return answer_relayed(caller, answer);
  }
  const common::TimePoint now = boot_time_now();
  const common::Duration took = now - caller.arrived;
  latency_.Observe(std::chrono::duration<double>(took).count());
  if (answer.outcome == routing::Outcome::kAnswered) {
    dialect_->forward_response(*caller.exchange, caller.parsed,
                               attempts_.at(answer.attempt).response);
    return;
  }
  const common::Duration read_time = caller.arrived - caller.exchange->first_byte();
  request_log_.request_refused(now, caller.parsed, answer,
                               {took, read_time, core_.freshness().age(now), core_.confirmed_by(),
                                core_.table().routes().version()});
  dialect_->answer(*caller.exchange, caller.parsed, answer);
}

}  // namespace planktray::router

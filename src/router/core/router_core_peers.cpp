/// RouterCore: requests that other routers relay, since they cannot reach the back end themselves.
///
/// The other router has taken the request from its caller: it chose the back end, counts the
/// request in all limits and budgets and decides about retries. This router passes the request on
/// once, or states that it did not.

#include "router/core/router_core.hpp"

namespace planktray::router {

using routing::AttemptEnd;
using routing::Outcome;
using routing::RelayRefusal;

void RouterCore::on_peer_request(TimePoint now, const CallerRequest& caller) {
  ++counters_.peer_requests;
  const RelayRefusal refusal = peer_request_hindrance(now, caller);
  if (refusal != RelayRefusal::kNone) {
    return refuse_peer_request(caller, refusal);
  }
  const routing::BackendRoute& backend = *table_.find_backend(caller.relay->backend);
  const auto* service = table_.routed_service_of(backend);
  Request request;
  request.caller = caller;
  request.routed = true;
  request.service = service->route.id;
  request.keyed = service->route.config.keyed;
  request.timeout = std::chrono::milliseconds(caller.timeout_ms);
  request.deadline = now + request.timeout;
  deadlines_.insert({request.deadline, caller.handle});
  ++peer_requests_;
  Request& stored = requests_[caller.handle] = std::move(request);
  Forward effect = begin_attempt(now, stored, backend.id);
  effect.repeatable = caller.relay->repeatable;
  writes_.add(now, effect.attempt, backend.id, stored.keyed, freshness_);
  if (send_window_.is_limited(caller.body_bytes)) {
    send_window_.bind(now, caller.handle, caller.body_bytes);
  }
  backoffs_.on_sent(now, backend.id);
  output_.forwards.push_back(std::move(effect));
}

RelayRefusal RouterCore::peer_request_hindrance(TimePoint now, const CallerRequest& caller) {
  const bool is_link_full =
      send_window_.is_limited(caller.body_bytes) && !send_window_.admits(now, caller.body_bytes);
  const Duration passing = send_window_.passing_time(caller.body_bytes);
  const routing::BackendRoute* backend = table_.find_backend(caller.relay->backend);
  const auto* service = backend == nullptr ? nullptr : table_.routed_service_of(*backend);
  if (draining_ || !relays_for_peers_) {
    return RelayRefusal::kDraining;
  }
  if (freshness_.status(now, passing) == routing::TableStatus::kTooOld) {
    return RelayRefusal::kTableTooOld;
  }
  if (peer_requests_ >= options_.maximum_peer_requests || is_link_full) {
    return RelayRefusal::kBusy;
  }
  if (service == nullptr || has_ended(now, backend->id)) {
    return RelayRefusal::kClosed;
  }
  Request request;
  request.caller = caller;
  request.keyed = service->route.config.keyed;
  if (is_closed(now, request, *backend)) {
    return RelayRefusal::kClosed;
  }
  if (backoffs_.ends_at(now, backend->id).has_value() || backoffs_.is_on_trial(backend->id)) {
    return RelayRefusal::kBackoff;
  }
  if (paths_.is_lost(service->route.id)) {
    return RelayRefusal::kNoPath;
  }
  return paths_.blocked_until(now, backend->id).has_value() ? RelayRefusal::kUnreachable
                                                            : RelayRefusal::kNone;
}

void RouterCore::on_peer_attempt_done(TimePoint now, AttemptId id, const Attempt& attempt,
                                      const AttemptResult& result) {
  Request& request = requests_.at(attempt.handle);
  request.attempt = 0;
  record_path(now, request, attempt, result);
  record_limit(now, attempt.backend, result);
  record_stated_departure(now, attempt, result);
  record_backoff(now, attempt, result);
  record_crash(now, attempt, result);
  if (result.end == AttemptEnd::kNotSent || result.end == AttemptEnd::kBroken) {
    backoffs_.on_ended(attempt.backend, attempt.sent);
  } else {
    backoffs_.on_answered(attempt.backend, attempt.sent);
  }
  if (result.end == AttemptEnd::kRefused && result.refusal == routing::Refusal::kWrongIncarnation) {
    record_ended(now, attempt.backend, !result.answered_by.value.empty());
  }
  const CallerRequest caller = request.caller;
  if (result.end == AttemptEnd::kNotSent) {
    finish(caller.handle);
    return refuse_peer_request(caller, RelayRefusal::kUnreachable);
  }
  // The other router judges what the back end has answered.
  Answer answer = make_answer(
      request, result.end == AttemptEnd::kBroken ? Outcome::kUnknown : Outcome::kAnswered);
  answer.attempt = id;
  answer.connection_ended = result.connection_ended;
  output_.answers.push_back(std::move(answer));
  finish(caller.handle);
}

void RouterCore::refuse_peer_request(const CallerRequest& caller, RelayRefusal refusal) {
  ++counters_.peer_refusals;
  Answer answer;
  answer.handle = caller.handle;
  answer.outcome = Outcome::kNotRun;
  answer.relay_refusal = refusal;
  answer.table_index = table_.index();
  output_.answers.push_back(std::move(answer));
}

void RouterCore::stop_relaying(TimePoint now) {
  relays_for_peers_ = false;
  expedite_hello(now);
}

}  // namespace planktray::router

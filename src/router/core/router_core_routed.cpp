/// RouterCore: choice of the service, sending, retries and refusals of requests on routes.

#include <algorithm>
#include <vector>

#include "router/core/router_core.hpp"

namespace planktray::router {
namespace {

using routing::AttemptEnd;
using routing::NotRunReason;
using routing::Outcome;
using routing::Refusal;
using routing::TableStatus;

/// Interval at which a waiting request tries again to find a target.
constexpr Duration kRecheckInterval = std::chrono::milliseconds(20);

/// Returns true if a back end has shed a request although, by its own report, slots are free and
/// nothing waits: the next request may well be taken.
bool had_room(const AttemptResult& result) {
  const auto& load = result.load;
  return result.refusal == Refusal::kShed && load.has_value() && load->running < load->slots &&
         load->waiting == 0;
}

}  // namespace

RouterCore::RoutedService& RouterCore::routed_service(common::ServiceId id) {
  return routed_.try_emplace(id, options_.targets, options_.retry_window).first->second;
}

void RouterCore::on_route_request(TimePoint now, const CallerRequest& caller) {
  std::string route_name;
  const auto refuse = [&](NotRunReason reason, bool never, Duration retry_after) {
    ++counters_.not_run;
    Answer answer{caller.handle, Outcome::kNotRun, 0, reason, never, retry_after};
    answer.table_index = table_.index();
    answer.route = route_name;
    output_.answers.push_back(std::move(answer));
  };
  if (!has_routes()) {
    return refuse(NotRunReason::kNotServing, false, add_jitter(options_.unavailable_retry_after));
  }
  const TableStatus status = freshness_.status(now);
  if (status == TableStatus::kTooOld) {
    // A newer table may be acknowledged already, so neither a route nor its absence is certain.
    ++counters_.stale_refusals;
    expedite_hello(now);
    return refuse(NotRunReason::kTableTooOld, false, options_.short_retry_after);
  }
  const bool is_final = status == TableStatus::kCurrent;
  const config::Route* route = table_.routes().find(caller.route->host, caller.route->path);
  if (route == nullptr) {
    return is_final ? refuse(NotRunReason::kUnknownRoute, true, Duration(0))
                    : refuse(NotRunReason::kTableTooOld, false, kRetryAfterUnavailable);
  }
  route_name = route->name;
  if (suspects_.is_blocked(now, caller.digest)) {
    ++counters_.crash_refusals;
    return refuse(NotRunReason::kCrashesTargets, false, options_.crashing_retry_after);
  }
  const routing::RoutedTableService* service = choose_service(*route);
  if (service == nullptr) {
    return refuse(NotRunReason::kNoTarget, false, kRetryAfterUnavailable);
  }
  if (service->route.config.keyed && !caller.route->key.has_value()) {
    return is_final ? refuse(NotRunReason::kKeyMissing, true, Duration(0))
                    : refuse(NotRunReason::kTableTooOld, false, kRetryAfterUnavailable);
  }
  Request request;
  request.caller = caller;
  request.routed = true;
  request.service = service->route.id;
  request.keyed = service->route.config.keyed;
  request.key = caller.route->key.value_or(0);
  request.repeatable = route->kind.repeatable;
  request.maximum_attempts = route->maximum_attempts;
  const std::uint32_t stated = caller.timeout_ms > 0 ? caller.timeout_ms : config::kMaxTimeoutMs;
  const std::uint32_t allowed = route->timeout_ms > 0 ? route->timeout_ms : stated;
  request.route = std::move(route_name);
  request.timeout = std::chrono::milliseconds(std::min(stated, allowed));
  request.deadline = now + request.timeout;
  request.max_wait = max_wait(*route, *service);
  request.wait_until = std::min(now + request.max_wait, request.deadline);
  routed_service(request.service).retries.on_request(now);
  if (request.keyed) {
    ++key_loads_[{request.service, request.key}];
  }
  deadlines_.insert({request.deadline, caller.handle});
  Request& stored = requests_[caller.handle] = std::move(request);
  dispatch_routed(now, stored);
}

bool RouterCore::has_route(TimePoint now, const RouteCall& call) const {
  return has_routes() && freshness_.status(now) != TableStatus::kTooOld &&
         table_.routes().find(call.host, call.path) != nullptr;
}

void RouterCore::on_unread_request(TimePoint now, const CallerRequest& caller) {
  const bool is_routed = caller.route.has_value() && !caller.relay.has_value();
  if (is_routed && !has_route(now, *caller.route)) {
    return on_request(now, caller);  // refused by its head
  }
  ++counters_.not_run;
  Answer answer{caller.handle, Outcome::kNotRun,           0, NotRunReason::kNoMemory,
                false,         options_.memory_retry_after};
  answer.relay_refusal = routing::RelayRefusal::kBusy;
  answer.table_index = table_.index();
  output_.answers.push_back(std::move(answer));
}

const routing::RoutedTableService* RouterCore::choose_service(const config::Route& route) {
  if (route.parts.size() == 1) {
    return table_.routes().find_service(route.parts.front().service);
  }
  const auto part = splits_.choose(route, random_);
  return part.has_value() ? table_.routes().find_service(route.parts[*part].service) : nullptr;
}

void RouterCore::dispatch_routed(TimePoint now, Request& request) {
  const std::size_t bytes = request.caller.body_bytes;
  if (send_window_.is_limited(bytes) && !send_window_.admits(now, bytes)) {
    return wait_for_link(now, request);
  }
  dispatch_to_target(now, request);
}

void RouterCore::dispatch_to_target(TimePoint now, Request& request) {
  routed_waiting_.erase(request.caller.handle);
  const routing::RoutedTableService* service = table_.routes().find_service(request.service);
  if (service == nullptr) {
    return answer_not_run(request, NotRunReason::kNoTarget, kRetryAfterUnavailable);
  }
  const Duration passing = send_window_.passing_time(request.caller.body_bytes);
  if (freshness_.status(now, passing) == TableStatus::kTooOld) {
    // The target may be leaving by now. An accepted request waits for the next table update.
    expedite_hello(now);
    return wait_for_target(now, request, NotRunReason::kTableTooOld);
  }
  const auto target = choose_target(now, request, *service);
  if (!target.has_value()) {
    const BackendId owner = table_.routes().owner_of(request.service, request.key);
    if (refuse_for_backoff(now, request)) {
      return;
    }
    const bool ownerless =
        request.keyed && availability(now, request, owner, *service) == Availability::kGone;
    if (!ownerless && request.admission.has_value() && request.admission->is_crowded) {
      ++counters_.owner_queue_refusals;
      return answer_not_run(request, NotRunReason::kOverload, retry_after(NotRunReason::kOverload));
    }
    if (!ownerless && is_blocked_by_limits(now, request, *service)) {
      ++counters_.limit_refusals;
      return answer_not_run(request, NotRunReason::kTargetLimit,
                            retry_after(NotRunReason::kTargetLimit));
    }
    if (!ownerless && is_unreachable(now, request, *service)) {
      ++counters_.path_refusals;
      return answer_not_run(request, NotRunReason::kNoPath, retry_after(NotRunReason::kNoPath));
    }
    return wait_for_target(now, request,
                           ownerless ? NotRunReason::kNoOwner : NotRunReason::kNoTarget);
  }
  request.expected = routed_service(request.service).targets.expected_latency(now, target->backend);
  if (*request.expected > latency_limit(now, request, *service)) {
    return wait_for_target(now, request, NotRunReason::kOverload);
  }
  send_routed(now, request, *target);
}

Duration RouterCore::max_wait(const config::Route& route,
                              const routing::RoutedTableService& service) const {
  std::optional<Duration> objective = service.shortest_objective;
  if (options_.latency_bound_fraction <= 0) {
    const Duration own = std::chrono::milliseconds(route.objective_ms);
    objective = own.count() > 0 ? std::optional(own) : std::nullopt;
  }
  return objective.has_value()
             ? std::chrono::duration_cast<Duration>(*objective * options_.max_wait_fraction)
             : options_.default_max_wait;
}

Duration RouterCore::latency_limit(TimePoint now, const Request& request,
                                   const routing::RoutedTableService& service) {
  const auto scale = [](Duration whole, double factor) {
    return std::chrono::duration_cast<Duration>(whole * factor);
  };
  const Duration own = scale(usable_time(now, request), options_.usable_deadline_fraction);
  const bool is_bounded_by_leader = request.keyed && crowded_.has_current_list(now);
  if (options_.latency_bound_fraction <= 0 || is_bounded_by_leader ||
      !service.shortest_objective.has_value()) {
    return own;
  }
  const Duration least =
      scale(routed_service(request.service).targets.typical_time(), options_.minimum_bound_factor);
  const Duration common = scale(*service.shortest_objective, options_.latency_bound_fraction);
  return std::min(own, std::max(common, least));
}

void RouterCore::send_routed(TimePoint now, Request& request, const TargetChoice& target) {
  const BackendId backend = target.backend;
  RoutedService& service = routed_service(request.service);
  if (request.next_send_is_repeat && !service.retries.take(now, fleet_size_.largest())) {
    return answer_not_run(request, NotRunReason::kBudgetSpent, options_.short_retry_after);
  }
  counters_.retries += request.next_send_is_repeat ? 1 : 0;
  request.next_send_is_repeat = false;
  Forward effect = begin_attempt(now, request, backend);
  writes_.add(now, effect.attempt, backend, request.keyed, freshness_);
  if (!target.peer.empty()) {
    effect.peer = target.peer;
    attempts_.at(effect.attempt).peer = target.peer;
    peers_.on_sent(now, target.peer);
    ++request.relays;
    ++counters_.relays_sent;
  }
  if (send_window_.is_limited(request.caller.body_bytes)) {
    send_window_.bind(now, request.caller.handle, request.caller.body_bytes);
  }
  ++request.attempts;
  service.targets.on_sent(now, backend);
  backoffs_.on_sent(now, backend);
  if (table_.find_backend(backend)->cold) {
    const auto* routed = table_.routes().find_service(request.service);
    cold_limit_.on_sent(now, backend, routed->route.config.cold_rate, fleet_size_.largest());
  }
  limited_.on_sent(now, backend, fleet_size_.largest());
  if (effect.number > 1) {
    effect.budget = service.retries.usage(now, fleet_size_.largest());
  }
  output_.forwards.push_back(std::move(effect));
}

bool RouterCore::refuse_for_backoff(TimePoint now, Request& request) {
  const routing::RoutedTableService* service = table_.routes().find_service(request.service);
  const auto end = service == nullptr ? std::nullopt : backoff_end(now, request, *service);
  if (!end.has_value() || *end < request.wait_until) {
    return false;
  }
  ++counters_.backoff_refusals;
  // The end of the backoff is known; jitter keeps retries from coinciding.
  const Duration jitter =
      add_jitter(options_.ownerless_retry_after) - options_.ownerless_retry_after;
  answer_not_run(request, NotRunReason::kTargetBackoff, *end - now + jitter);
  return true;
}

Duration RouterCore::retry_after(NotRunReason reason) {
  // Capacity at a limited target is also freed by moving keys, so callers wait as long as for a new
  // owner.
  const bool waits_for_keys =
      reason == NotRunReason::kNoOwner || reason == NotRunReason::kTargetLimit;
  return waits_for_keys ? add_jitter(options_.ownerless_retry_after) : options_.short_retry_after;
}

Duration RouterCore::add_jitter(Duration least) {
  return least + std::chrono::duration_cast<Duration>(least * common::uniform_real(random_));
}

void RouterCore::wait_for_target(TimePoint now, Request& request, NotRunReason reason) {
  if (now >= request.wait_until) {
    return answer_not_run(request, reason, retry_after(reason));
  }
  routed_waiting_.insert(request.caller.handle);
  retries_.insert({std::min(request.wait_until, now + kRecheckInterval), request.caller.handle});
}

void RouterCore::on_routed_attempt_done(TimePoint now, AttemptId id, const Attempt& attempt,
                                        const AttemptResult& result) {
  Request& request = requests_.at(attempt.handle);
  if (request.caller.relay.has_value()) {
    return on_peer_attempt_done(now, id, attempt, result);
  }
  request.attempt = 0;
  if (!attempt.peer.empty()) {
    on_relay_done(now, request, attempt, result);
  }
  record_path(now, request, attempt, result);
  record_limit(now, attempt.backend, result);
  record_stated_departure(now, attempt, result);
  record_backoff(now, attempt, result);
  record_crash(now, attempt, result);
  routing::TargetBook& book = routed_service(request.service).targets;
  if (result.end == AttemptEnd::kAnswered) {
    book.on_answered(now, attempt.backend, attempt.sent, result.load);
    backoffs_.on_answered(attempt.backend, attempt.sent);
    const bool should_retry =
        result.is_failure && request.repeatable && request.attempts < request.maximum_attempts;
    if (should_retry && routed_service(request.service).retries.take(now, fleet_size_.largest())) {
      request.may_have_run = true;
      request.refused_by.insert(attempt.backend);
      ++counters_.retries;
      return dispatch_routed(now, request);
    }
    ++counters_.answered;
    ++outcome_counts(request).answered;
    output_.answers.push_back(
        {attempt.handle, Outcome::kAnswered, id, NotRunReason::kNone, false, Duration(0)});
    return finish(attempt.handle);
  }
  book.on_ended(attempt.backend, attempt.sent);
  backoffs_.on_ended(attempt.backend, attempt.sent);
  if (result.end == AttemptEnd::kNotSent) {
    --request.attempts;  // the request has not arrived: no repeat
    ++request.failed_connections;
    return dispatch_routed(now, request);
  }
  request.refused_by.insert(attempt.backend);
  switch (result.end) {
    case AttemptEnd::kRefused:
      ++counters_.refusals;
      if (result.load.has_value() && result.refusal != Refusal::kWrongIncarnation) {
        book.on_refused(attempt.backend, *result.load);
      }
      if (result.refusal == Refusal::kExpired) {
        return answer_not_run(request, NotRunReason::kDeadline, Duration(0));
      }
      if (result.refusal == Refusal::kWrongIncarnation) {
        record_ended(now, attempt.backend, !result.answered_by.value.empty());
      } else if (result.refusal == Refusal::kShed && !backoffs_.ends_at(now, attempt.backend) &&
                 !(request.keyed && had_room(result))) {
        book.block(now, attempt.backend);
      }
      request.next_send_is_repeat = true;
      return retry_routed(now, request, had_room(result));
    case AttemptEnd::kBroken:
    case AttemptEnd::kForeign:
    case AttemptEnd::kAnswered:
    case AttemptEnd::kNotSent:
      // A lost connection speaks of the path, or of the peer, unless the back end has ended.
      if (!result.connection_ended && !result.peer_failed) {
        book.block(now, attempt.backend);
      }
      request.may_have_run = true;
      if (!request.repeatable || suspects_.may_be_suspect(result.digest)) {
        return answer_unknown(request);
      }
      request.next_send_is_repeat = true;
      return retry_routed(now, request, false);
  }
}

void RouterCore::retry_routed(TimePoint now, Request& request, bool owner_had_room) {
  if (refuse_for_backoff(now, request)) {
    return;
  }
  if (request.attempts >= request.maximum_attempts) {
    return answer_not_run(request, NotRunReason::kNoTarget, options_.short_retry_after);
  }
  if (!request.keyed || owner_had_room) {
    return dispatch_routed(now, request);
  }
  // The owner has refused: a newer table or a short wait is needed.
  request.not_before = now + kRecheckInterval;
  wait_for_target(now, request, NotRunReason::kNoOwner);
}

}  // namespace planktray::router

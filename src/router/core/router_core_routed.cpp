/// Requests on routes in RouterCore: which service, which target, how often, and when not at all.

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

/// A request that waits for a target looks again this often.
constexpr Duration kLookAgain = std::chrono::milliseconds(20);

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
    return refuse(NotRunReason::kNotServing, false, spread(options_.unavailable_retry_after));
  }
  const TableStatus status = freshness_.status(now);
  if (status == TableStatus::kTooOld) {
    // A newer table may be acknowledged already: neither a route nor its absence is known.
    ++counters_.stale_refusals;
    hasten_hello(now);
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
  const routing::RoutedTableService* service = choose_part(*route);
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
  request.time_brought = std::chrono::milliseconds(std::min(stated, allowed));
  request.deadline = now + request.time_brought;
  request.patience = patience(*route, *service);
  request.patience_until = std::min(now + request.patience, request.deadline);
  routed_service(request.service).retries.on_request(now);
  if (request.keyed) {
    ++key_loads_[{request.service, request.key}];
  }
  deadlines_.insert({request.deadline, caller.handle});
  Request& stored = requests_[caller.handle] = std::move(request);
  dispatch_routed(now, stored);
}

const routing::RoutedTableService* RouterCore::choose_part(const config::Route& route) {
  if (route.parts.size() == 1) {
    return table_.routes().find_service(route.parts.front().service);
  }
  // Smooth weighted round robin: each part gains its weight, the richest pays the whole.
  std::vector<double>& credits = part_credits_[route.name];
  credits.resize(route.parts.size(), 0.0);
  double total = 0;
  std::size_t richest = 0;
  for (std::size_t i = 0; i < route.parts.size(); ++i) {
    credits[i] += route.parts[i].weight;
    total += route.parts[i].weight;
    richest = credits[i] > credits[richest] ? i : richest;
  }
  if (total <= 0) {
    return nullptr;
  }
  credits[richest] -= total;
  return table_.routes().find_service(route.parts[richest].service);
}

void RouterCore::dispatch_routed(TimePoint now, Request& request) {
  const std::size_t bytes = request.caller.body_bytes;
  if (send_window_.is_bounded(bytes) && !send_window_.admits(now, bytes)) {
    return wait_for_link(now, request);
  }
  dispatch_in_turn(now, request);
}

void RouterCore::dispatch_in_turn(TimePoint now, Request& request) {
  routed_waiting_.erase(request.caller.handle);
  const routing::RoutedTableService* service = table_.routes().find_service(request.service);
  if (service == nullptr) {
    return answer_not_run(request, NotRunReason::kNoTarget, kRetryAfterUnavailable);
  }
  const Duration passing = send_window_.passing_time(request.caller.body_bytes);
  if (freshness_.status(now, passing) == TableStatus::kTooOld) {
    // Its target may be leaving by now. A request that had a place waits for the next word.
    hasten_hello(now);
    return wait_routed(now, request, NotRunReason::kTableTooOld);
  }
  const auto target = choose_target(now, request, *service);
  if (!target.has_value()) {
    const BackendId owner = table_.routes().owner_of(request.service, request.key);
    if (refuse_for_backoff(now, request)) {
      return;
    }
    const bool ownerless =
        request.keyed && hindrance(now, request, owner, *service) == Hindrance::kGone;
    if (!ownerless && request.admission.has_value() && request.admission->is_crowded) {
      ++counters_.owner_queue_refusals;
      return answer_not_run(request, NotRunReason::kOverload, retry_after(NotRunReason::kOverload));
    }
    if (!ownerless && is_held_by_limits(now, request, *service)) {
      ++counters_.limit_refusals;
      return answer_not_run(request, NotRunReason::kTargetLimit,
                            retry_after(NotRunReason::kTargetLimit));
    }
    return wait_routed(now, request, ownerless ? NotRunReason::kNoOwner : NotRunReason::kNoTarget);
  }
  request.expected = routed_service(request.service).targets.expected_latency(now, *target);
  if (*request.expected > usable_time(now, request, *service)) {
    return wait_routed(now, request, NotRunReason::kOverload);
  }
  send_routed(now, request, *target);
}

Duration RouterCore::patience(const config::Route& route,
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

Duration RouterCore::usable_time(TimePoint now, const Request& request,
                                 const routing::RoutedTableService& service) {
  const auto part = [](Duration whole, double share) {
    return std::chrono::duration_cast<Duration>(whole * share);
  };
  const Duration own = part(request.deadline - now, options_.usable_deadline_fraction);
  const bool is_bounded_by_leader = request.keyed && crowded_.has_current_list(now);
  if (options_.latency_bound_fraction <= 0 || is_bounded_by_leader ||
      !service.shortest_objective.has_value()) {
    return own;
  }
  const Duration least =
      part(routed_service(request.service).targets.typical_time(), options_.minimum_bound_factor);
  const Duration common = part(*service.shortest_objective, options_.latency_bound_fraction);
  return std::min(own, std::max(common, least));
}

void RouterCore::send_routed(TimePoint now, Request& request, BackendId backend) {
  RoutedService& service = routed_service(request.service);
  if (request.repeat_owed && !service.retries.take(now, fleet_size_.largest())) {
    return answer_not_run(request, NotRunReason::kBudgetSpent, options_.short_retry_after);
  }
  counters_.retries += request.repeat_owed ? 1 : 0;
  request.repeat_owed = false;
  Forward effect = begin_attempt(now, request, backend);
  writes_.add(now, effect.attempt, backend, request.keyed, freshness_);
  if (send_window_.is_bounded(request.caller.body_bytes)) {
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
  if (!end.has_value() || *end < request.patience_until) {
    return false;
  }
  ++counters_.backoff_refusals;
  // The time is known; each caller adds one of its own, so that they do not come back together.
  const Duration own = spread(options_.ownerless_retry_after) - options_.ownerless_retry_after;
  answer_not_run(request, NotRunReason::kTargetBackoff, *end - now + own);
  return true;
}

Duration RouterCore::retry_after(NotRunReason reason) {
  // Room at a limited target comes as its keys move on, too.
  const bool waits_for_keys =
      reason == NotRunReason::kNoOwner || reason == NotRunReason::kTargetLimit;
  return waits_for_keys ? spread(options_.ownerless_retry_after) : options_.short_retry_after;
}

Duration RouterCore::spread(Duration least) {
  return least + std::chrono::duration_cast<Duration>(least * common::uniform_real(random_));
}

void RouterCore::wait_routed(TimePoint now, Request& request, NotRunReason reason) {
  if (now >= request.patience_until) {
    return answer_not_run(request, reason, retry_after(reason));
  }
  routed_waiting_.insert(request.caller.handle);
  retries_.insert({std::min(request.patience_until, now + kLookAgain), request.caller.handle});
}

void RouterCore::on_routed_attempt_done(TimePoint now, AttemptId id, const Attempt& attempt,
                                        const AttemptResult& result) {
  Request& request = requests_.at(attempt.handle);
  request.attempt = 0;
  note_limit(now, attempt.backend, result);
  note_stated_departure(now, attempt, result);
  note_backoff(now, attempt, result);
  note_crash(now, attempt, result);
  routing::TargetBook& book = routed_service(request.service).targets;
  if (result.end == AttemptEnd::kAnswered) {
    book.on_answered(now, attempt.backend, attempt.sent, result.load);
    backoffs_.on_answered(attempt.backend, attempt.sent);
    const bool again =
        result.is_failure && request.repeatable && request.attempts < request.maximum_attempts;
    if (again && routed_service(request.service).retries.take(now, fleet_size_.largest())) {
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
        note_ended(now, attempt.backend, !result.answered_by.value.empty());
      } else if (result.refusal == Refusal::kShed && !backoffs_.ends_at(now, attempt.backend)) {
        book.block(now, attempt.backend);
      }
      request.repeat_owed = true;
      return retry_routed(now, request);
    case AttemptEnd::kNotSent:
      book.block(now, attempt.backend);
      --request.attempts;
      return retry_routed(now, request);  // it has not arrived: no repeat
    case AttemptEnd::kBroken:
    case AttemptEnd::kForeign:
    case AttemptEnd::kAnswered:
      book.block(now, attempt.backend);
      request.may_have_run = true;
      if (!request.repeatable || suspects_.may_be_suspect(result.digest)) {
        return answer_unknown(request);
      }
      request.repeat_owed = true;
      return retry_routed(now, request);
  }
}

void RouterCore::retry_routed(TimePoint now, Request& request) {
  if (refuse_for_backoff(now, request)) {
    return;
  }
  if (request.attempts >= request.maximum_attempts) {
    return answer_not_run(request, NotRunReason::kNoTarget, options_.short_retry_after);
  }
  if (!request.keyed) {
    return dispatch_routed(now, request);
  }
  // The owner has refused: what it takes is a newer table, or a moment.
  request.not_before = now + kLookAgain;
  wait_routed(now, request, NotRunReason::kNoOwner);
}

}  // namespace planktray::router

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
using routing::TableStanding;

/// Told to callers whose request cannot run before a table is there.
constexpr Duration kRetryAfterUnavailable = std::chrono::milliseconds(1000);
/// A request that waits for a target looks again this often.
constexpr Duration kLookAgain = std::chrono::milliseconds(20);

}  // namespace

RouterCore::RoutedService& RouterCore::routed_service(common::ServiceId id) {
  return routed_.try_emplace(id, options_.targets, options_.retry_window).first->second;
}

void RouterCore::note_routed_targets(TimePoint now) {
  std::erase_if(routed_, [this](const auto& item) {
    return table_.routes().find_service(item.first) == nullptr;
  });
  for (const auto& [id, backend] : table_.backends()) {
    const auto* service = table_.routes().find_service(common::ServiceName(backend.pool.value));
    if (!backend.self_registered || service == nullptr) {
      continue;
    }
    routed_service(service->route.id).targets.add(id, backend.slots, backend.cold);
  }
  note_evacuations(now);
  cold_limit_.keep_only([this](BackendId id) {
    const routing::BackendRoute* backend = table_.find_backend(id);
    return backend != nullptr && backend->cold;
  });
  const auto is_known = [this](BackendId id) { return table_.find_backend(id) != nullptr; };
  limited_.keep_only(now, is_known);
  backoffs_.keep_only(is_known);
  stated_departures_.keep_only(is_known);
  for (auto& [id, service] : routed_) {
    service.targets.drop_unless(
        [this](BackendId backend) { return table_.find_backend(backend) != nullptr; });
    draw_zone_subset(*table_.routes().find_service(id));
  }
}

void RouterCore::note_evacuations(TimePoint now) {
  const auto& zones = table_.evacuated_zones();
  std::erase_if(evacuations_, [&](const auto& item) { return !zones.contains(item.first); });
  for (const common::ZoneName& zone : zones) {
    evacuations_.try_emplace(zone, now);
  }
}

RouterCore::Hindrance RouterCore::hindrance(TimePoint now, const Request& request, BackendId id,
                                            const routing::RoutedTableService& service) {
  const routing::BackendRoute* backend = table_.find_backend(id);
  if (backend == nullptr || has_ended(now, id) || is_closed(now, request, *backend)) {
    return Hindrance::kGone;
  }
  if (backoffs_.ends_at(now, id).has_value()) {
    return Hindrance::kBackoff;
  }
  const routing::TargetBook& book = routed_service(request.service).targets;
  if (book.is_blocked(now, id)) {
    return Hindrance::kBlocked;
  }
  if (!backoffs_.is_proven(id) && book.outstanding(id) > 0) {
    return Hindrance::kBusy;
  }
  const bool has_room = has_connection(request, id, service) && bears(now, *backend, service);
  return has_room ? Hindrance::kNone : Hindrance::kBusy;
}

bool RouterCore::is_closed(TimePoint now, const Request& request,
                           const routing::BackendRoute& backend) const {
  const auto evacuated = evacuations_.find(backend.zone);
  const bool is_evacuated = evacuated != evacuations_.end() && options_.keep_off_evacuated;
  if (!request.keyed) {
    return backend.draining || stated_departures_.has_said(backend.id) || is_evacuated;
  }
  const TimePoint arrival = now + arrival_time(request);
  const auto is_late_for = [arrival](const std::optional<TimePoint>& closes) {
    return closes.has_value() && arrival >= *closes;
  };
  const bool would_be_late = is_late_for(writes_.closes_at(backend.id)) ||
                             is_late_for(stated_departures_.closes_at(backend.id));
  const bool has_handed_over = is_evacuated && now >= evacuated->second + options_.evacuation_grace;
  return would_be_late || has_handed_over;
}

Duration RouterCore::arrival_time(const Request& request) const {
  return options_.arrival_time + send_window_.passing_time(request.caller.body_bytes);
}

bool RouterCore::bears(TimePoint now, const routing::BackendRoute& backend,
                       const routing::RoutedTableService& service) {
  return !backend.cold || cold_limit_.allows(now, backend.id, service.route.config.cold_rate,
                                             fleet_size_.largest(), random_);
}

bool RouterCore::is_admitted(TimePoint now, Request& request, BackendId owner) {
  if (request.admission.has_value() && request.admission->owner == owner) {
    return request.admission->admitted;
  }
  if (!crowded_.admits(now, owner, random_)) {
    request.admission = {owner, false, true};
    return false;
  }
  const std::optional<bool> admitted = limited_.admits(now, owner, random_);
  if (!admitted.has_value()) {
    return limited_.has_part(now, owner, fleet_size_.largest(), random_);
  }
  request.admission = {owner, *admitted};
  return *admitted;
}

bool RouterCore::is_held_by_limits(TimePoint now, const Request& request,
                                   const routing::RoutedTableService& service) const {
  const auto holds = [&](BackendId id) {
    const routing::BackendRoute* backend = table_.find_backend(id);
    const bool takes_work =
        backend != nullptr && !has_ended(now, id) && !is_closed(now, request, *backend);
    return !takes_work || limited_.is_limited(id);
  };
  if (request.keyed) {
    const BackendId owner = table_.routes().owner_of(request.service, request.key);
    return limited_.is_limited(owner) && !request.refused_by.contains(owner);
  }
  return std::all_of(service.targets.begin(), service.targets.end(), holds) &&
         std::any_of(service.targets.begin(), service.targets.end(),
                     [this](BackendId id) { return limited_.is_limited(id); });
}

void RouterCore::note_crash(TimePoint now, const Attempt& attempt, const AttemptResult& result) {
  if (result.end == AttemptEnd::kAnswered && result.digest != 0) {
    suspects_.on_answered(now, result.digest);
  }
  if (!result.connection_ended) {
    return;
  }
  if (suspects_.on_connection_ended({result.digest, attempt.backend, attempt.sent, now})) {
    const routing::BackendRoute* backend = table_.find_backend(attempt.backend);
    if (backend != nullptr) {
      output_.reach_inquiries.push_back({attempt.backend, backend->address});
    }
  }
}

void RouterCore::on_reach_checked(TimePoint now, BackendId backend, std::optional<bool> listens) {
  if (listens.value_or(true)) {
    return suspects_.on_alive(backend);
  }
  ++counters_.crashes_seen;
  if (suspects_.on_gone(now, backend)) {
    hasten_hello(now);
  }
}

void RouterCore::note_limit(TimePoint now, BackendId target, const AttemptResult& result) {
  if (!limited_.on_answer(now, target, result.limit)) {
    return;
  }
  hasten_hello(now);  // the leader moves keys and tells all routers
  if (const routing::BackendRoute* backend = table_.find_backend(target); backend != nullptr) {
    output_.limit_changes.push_back(
        {backend->address, backend->incarnation, result.limit.per_second});
  }
}

void RouterCore::note_backoff(TimePoint now, const Attempt& attempt, const AttemptResult& result) {
  if (!result.backoff.has_value()) {
    return;
  }
  ++counters_.backoff_requests;
  const routing::BackendRoute* backend = table_.find_backend(attempt.backend);
  if (backend == nullptr ||
      !backoffs_.on_requested(now, attempt.backend, *result.backoff, random_)) {
    return;
  }
  output_.backoffs.push_back({backend->address, backend->incarnation, *result.backoff});
  hasten_hello(now);  // the leader may give its keys to others
  recall_unbegun(now, attempt.backend);
}

void RouterCore::note_stated_departure(TimePoint now, const Attempt& attempt,
                                       const AttemptResult& result) {
  const routing::BackendRoute* backend = table_.find_backend(attempt.backend);
  if (!result.is_leaving || backend == nullptr ||
      !stated_departures_.on_said(now, attempt.backend) || !backend->takes_work()) {
    return;
  }
  ++counters_.stated_departures;
  output_.stated_departures.push_back({backend->address, backend->incarnation});
  hasten_hello(now);  // the leader gives its keys to others, and tells all routers
  const auto* service = table_.routes().find_service(common::ServiceName(backend->pool.value));
  if (service != nullptr && !service->route.config.keyed) {
    recall_unbegun(now, attempt.backend);
  }
}

void RouterCore::recall_unbegun(TimePoint now, BackendId backend) {
  for (const AttemptId unbegun : writes_.unbegun_at(backend)) {
    output_.write_decisions.push_back({unbegun, WriteVerdict::kRecall});
    recall(now, unbegun);
  }
}

void RouterCore::draw_zone_subset(const routing::RoutedTableService& service) {
  if (service.route.config.keyed) {
    return;
  }
  RoutedService& routed = routed_service(service.route.id);
  std::vector<routing::ZonedTarget> available;
  for (const BackendId id : service.targets) {
    const routing::BackendRoute* route = table_.find_backend(id);
    if (route->takes_work() && !table_.is_evacuated(*route)) {
      available.push_back({id, route->zone == options_.zone});
    }
  }
  if (available != routed.available) {
    routed.subset =
        routing::choose_zone_subset(available, options_.name.value, options_.zone_subset);
    routed.available = std::move(available);
  }
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
  const TableStanding standing = freshness_.standing(now);
  if (standing == TableStanding::kTooOld) {
    // A newer table may be acknowledged already: neither a route nor its absence is known.
    ++counters_.stale_refusals;
    hasten_hello(now);
    return refuse(NotRunReason::kTableTooOld, false, options_.short_retry_after);
  }
  const bool is_final = standing == TableStanding::kCurrent;
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

void RouterCore::wait_for_link(TimePoint now, Request& request) {
  routed_waiting_.erase(request.caller.handle);
  const std::size_t bytes = request.caller.body_bytes;
  const Duration typical = routed_service(request.service).targets.typical_time();
  request.expected = send_window_.delay(bytes) + typical;
  if (*request.expected > (request.deadline - now) * options_.usable_time) {
    return answer_not_run(request, NotRunReason::kOverload, retry_after(NotRunReason::kOverload));
  }
  send_window_.wait(request.caller.handle, bytes);
}

void RouterCore::serve_link(TimePoint now) {
  while (const auto handle = send_window_.next(now)) {
    Request& request = requests_.at(*handle);
    // What it waited for was the link, not a target.
    request.patience_until =
        std::max(request.patience_until, std::min(now + request.patience, request.deadline));
    dispatch_in_turn(now, request);
  }
}

void RouterCore::on_attempt_written(AttemptId attempt) {
  writes_.remove(attempt);
  const auto found = attempts_.find(attempt);
  if (found != attempts_.end()) {
    send_window_.release(found->second.handle);
  }
}

void RouterCore::dispatch_in_turn(TimePoint now, Request& request) {
  routed_waiting_.erase(request.caller.handle);
  const routing::RoutedTableService* service = table_.routes().find_service(request.service);
  if (service == nullptr) {
    return answer_not_run(request, NotRunReason::kNoTarget, kRetryAfterUnavailable);
  }
  const Duration passing = send_window_.passing_time(request.caller.body_bytes);
  if (freshness_.standing(now, passing) == TableStanding::kTooOld) {
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
      ++counters_.crowd_refusals;
      return answer_not_run(request, NotRunReason::kOverload, retry_after(NotRunReason::kOverload));
    }
    if (!ownerless && is_held_by_limits(now, request, *service)) {
      ++counters_.limit_refusals;
      return answer_not_run(request, NotRunReason::kTargetLimit,
                            retry_after(NotRunReason::kTargetLimit));
    }
    return wait_routed(now, request, ownerless ? NotRunReason::kNoOwner : NotRunReason::kNoTarget);
  }
  request.expected = routed_service(request.service).targets.projected(now, *target);
  if (*request.expected > usable_time(now, request, *service)) {
    return wait_routed(now, request, NotRunReason::kOverload);
  }
  send_routed(now, request, *target);
}

Duration RouterCore::patience(const config::Route& route,
                              const routing::RoutedTableService& service) const {
  std::optional<Duration> objective = service.shortest_objective;
  if (options_.queue_bound <= 0) {
    const Duration own = std::chrono::milliseconds(route.objective_ms);
    objective = own.count() > 0 ? std::optional(own) : std::nullopt;
  }
  return objective.has_value()
             ? std::chrono::duration_cast<Duration>(*objective * options_.patience)
             : options_.default_patience;
}

Duration RouterCore::usable_time(TimePoint now, const Request& request,
                                 const routing::RoutedTableService& service) {
  const auto part = [](Duration whole, double share) {
    return std::chrono::duration_cast<Duration>(whole * share);
  };
  const Duration own = part(request.deadline - now, options_.usable_time);
  const bool is_bounded_by_leader = request.keyed && crowded_.is_told(now);
  if (options_.queue_bound <= 0 || is_bounded_by_leader ||
      !service.shortest_objective.has_value()) {
    return own;
  }
  const Duration least =
      part(routed_service(request.service).targets.typical_time(), options_.shortest_queue);
  const Duration common = part(*service.shortest_objective, options_.queue_bound);
  return std::min(own, std::max(common, least));
}

bool RouterCore::has_connection(const Request& request, BackendId backend,
                                const routing::RoutedTableService& service) {
  const std::uint32_t all = service.route.config.connections;
  if (all == 0) {
    return true;
  }
  const std::uint32_t share = std::max<std::uint32_t>(1, all / fleet_size_.largest());
  return routed_service(request.service).targets.outstanding(backend) < share;
}

std::optional<BackendId> RouterCore::choose_target(TimePoint now, Request& request,
                                                   const routing::RoutedTableService& service) {
  const routing::TargetBook& book = routed_service(request.service).targets;
  const auto is_usable = [&](BackendId id) {
    return hindrance(now, request, id, service) == Hindrance::kNone;
  };
  if (request.keyed) {
    const BackendId owner = table_.routes().owner_of(request.service, request.key);
    const bool refuses = request.refused_by.contains(owner) && now < request.not_before;
    const bool takes_it =
        owner.value != 0 && !refuses && is_usable(owner) && is_admitted(now, request, owner);
    return takes_it ? std::optional(owner) : std::nullopt;
  }
  const auto cheapest_of = [&](const std::vector<BackendId>& candidates) {
    std::optional<BackendId> best;
    double best_cost = 0;
    for (const BackendId id : candidates) {
      const routing::BackendRoute* route = table_.find_backend(id);
      if (!is_usable(id) || request.refused_by.contains(id) ||
          !limited_.has_part(now, id, fleet_size_.largest(), random_)) {
        continue;
      }
      constexpr double kNoise = 0.2;
      double cost = static_cast<double>(book.projected(now, id).count());
      cost *= 1.0 + kNoise * common::uniform_real(random_);
      cost *= route->zone == options_.zone ? 1.0 : 1.0 + options_.other_zone_cost;
      if (!best.has_value() || cost < best_cost) {
        best = id;
        best_cost = cost;
      }
    }
    return best;
  };
  const auto best = cheapest_of(routed_service(request.service).subset);
  return best.has_value() ? best : cheapest_of(service.targets);
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

std::optional<TimePoint> RouterCore::backoff_end(TimePoint now, const Request& request,
                                                 const routing::RoutedTableService& service) {
  std::optional<TimePoint> end;
  const auto candidates =
      request.keyed ? std::vector<BackendId>{table_.routes().owner_of(request.service, request.key)}
                    : service.targets;
  for (const BackendId id : candidates) {
    const Hindrance found = hindrance(now, request, id, service);
    if (found == Hindrance::kGone) {
      continue;
    }
    if (found != Hindrance::kBackoff) {
      return std::nullopt;
    }
    const TimePoint ends = *backoffs_.ends_at(now, id);
    end = std::min(end.value_or(ends), ends);
  }
  return end;
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

void RouterCore::review_writes(TimePoint now) {
  for (const WriteDecision& decision : writes_.review(now, freshness_)) {
    output_.write_decisions.push_back(decision);
    switch (decision.verdict) {
      case WriteVerdict::kRecall:
        recall(now, decision.attempt);
        break;
      case WriteVerdict::kCut:
        cut(now, decision.attempt);
        break;
      case WriteVerdict::kHold:
        ++counters_.held_writes;
        break;
      case WriteVerdict::kResume:
        break;
    }
  }
}

void RouterCore::recall(TimePoint now, AttemptId id) {
  ++counters_.recalled;
  Request& request = requests_.at(attempts_.at(id).handle);
  drop_attempt(request);
  --request.attempts;  // it has not arrived
  dispatch_routed(now, request);
}

void RouterCore::cut(TimePoint now, AttemptId id) {
  ++counters_.cut_writes;
  const Attempt attempt = attempts_.at(id);
  Request& request = requests_.at(attempt.handle);
  drop_attempt(request);
  request.may_have_run = true;
  if (!request.repeatable) {
    return answer_unknown(request);
  }
  request.refused_by.insert(attempt.backend);
  request.repeat_owed = true;
  retry_routed(now, request);
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
    ++ends_of(request).answered;
    output_.answers.push_back(
        {attempt.handle, Outcome::kAnswered, id, NotRunReason::kNone, false, Duration(0)});
    return finish(attempt.handle);
  }
  book.on_ended(attempt.backend, attempt.sent);
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

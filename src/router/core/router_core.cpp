#include "router/core/router_core.hpp"

#include <algorithm>

namespace planktray::router {
namespace {

using routing::AttemptEnd;
using routing::NotRunReason;
using routing::Outcome;
using routing::Refusal;

/// A new observation has a weight of 1 / kLatencyDivisor in the smoothed latency of a target.
constexpr int kLatencyDivisor = 8;

}  // namespace

RouterCore::RouterCore(RouterOptions options, common::RandomEngine random, TimePoint now)
    : options_(std::move(options)),
      random_(random),
      freshness_(options_.freshness),
      clock_id_(random() | 1U),
      writes_(options_.writes),
      send_window_(options_.send_window),
      budget_(options_.retry_budget),
      confirmed_until_(now),
      cold_limit_(options_.cold_limit),
      limited_(options_.limited_targets),
      crowded_(options_.crowded_owners),
      stated_departures_(options_.writes.departure_deadline),
      backoffs_(options_.backoffs),
      suspects_(options_.crash_suspects),
      paths_(options_.paths),
      peers_(options_.relay_peers, options_.zone),
      fleet_size_(options_.fleet_size_retention),
      next_hello_(now),
      last_hello_(now),
      search_interval_(options_.hello_interval),
      polls_(options_.zone),
      hello_interval_(options_.hello_interval),
      next_load_(now) {}

bool RouterCore::is_serving(TimePoint now) const {
  return table_.index().value > 0 && (now < confirmed_until_ || options_.keep_table_forever);
}

void RouterCore::tick(TimePoint now) {
  freshness_.on_woken(now, next_timer());
  while (!deadlines_.empty() && deadlines_.begin()->first <= now) {
    const RequestHandle handle = deadlines_.begin()->second;
    expire(now, requests_.at(handle));
  }
  while (!retries_.empty() && retries_.begin()->first <= now) {
    const RequestHandle handle = retries_.begin()->second;
    retries_.erase(retries_.begin());
    const auto found = requests_.find(handle);
    if (found != requests_.end() && found->second.attempt == 0) {
      dispatch(now, found->second);
    }
  }
  while (!wakeups_.empty() && wakeups_.begin()->first <= now) {
    const QueueKey key = wakeups_.begin()->second;
    wakeups_.erase(wakeups_.begin());
    drain_queue(now, key);
  }
  if (now >= writes_.next_review()) {
    review_writes(now);
  }
  dispatch_link_queue(now);
  probe_paths(now);
  if (now >= next_hello_) {
    make_hello(now);
  } else if (now >= next_query_) {
    query_controllers(now);
  } else if (now >= polls_.next_due()) {
    poll_follower(now);
  }
}

TimePoint RouterCore::next_timer() const {
  TimePoint due = std::min({next_hello_, next_query_, polls_.next_due(), writes_.next_review()});
  if (!deadlines_.empty()) {
    due = std::min(due, deadlines_.begin()->first);
  }
  if (!retries_.empty()) {
    due = std::min(due, retries_.begin()->first);
  }
  if (!wakeups_.empty()) {
    due = std::min(due, wakeups_.begin()->first);
  }
  return due;
}

void RouterCore::update_targets(TimePoint now, const routing::TargetChanges& changes) {
  std::erase_if(targets_, [this](const auto& item) {
    return item.second.outstanding == 0 && table_.find_backend(item.first) == nullptr;
  });
  std::erase_if(ended_,
                [this](const auto& item) { return table_.find_backend(item.first) == nullptr; });
  update_routed_targets(now, changes);
  for_each_changed(changes, [&](BackendId id, const routing::BackendRoute& backend) {
    if (!backend.self_registered && !targets_.contains(id)) {
      Target target;
      target.first_seen = now;
      target.is_warm = !had_table_;
      targets_[id] = target;
    }
  });
  had_table_ = true;
}

// ---------------------------------------------------------------- requests

void RouterCore::on_request(TimePoint now, const CallerRequest& caller) {
  if (caller.relay.has_value()) {
    return on_peer_request(now, caller);
  }
  ++counters_.requests;
  if (caller.route.has_value()) {
    return on_route_request(now, caller);
  }
  Request request;
  request.caller = caller;
  const auto refuse = [&](NotRunReason reason, bool never, Duration retry_after) {
    ++counters_.not_run;
    output_.answers.push_back({caller.handle, Outcome::kNotRun, 0, reason, never, retry_after});
  };
  if (draining_) {
    return refuse(NotRunReason::kDrainingRouter, false, options_.maximum_backoff);
  }
  if (!is_serving(now)) {
    return refuse(NotRunReason::kNotServing, false, kRetryAfterUnavailable);
  }
  const routing::TableService* service = table_.find_service(caller.service);
  if (service == nullptr) {
    return refuse(NotRunReason::kUnknownService, true, Duration(0));
  }
  const config::ServiceTemplate& parameters = service->route.config.parameters;
  if (parameters.keyed && caller.key.empty()) {
    return refuse(NotRunReason::kKeyMissing, true, Duration(0));
  }
  const std::uint32_t timeout_ms = caller.timeout_ms > 0
                                       ? std::min(caller.timeout_ms, config::kMaxTimeoutMs)
                                       : parameters.default_timeout_ms;
  request.service = service->route.id;
  request.keyed = parameters.keyed;
  request.shard =
      parameters.keyed ? routing::shard_of_key(caller.key, parameters) : common::ShardNumber();
  request.repeatable =
      std::find(parameters.repeatable_methods.begin(), parameters.repeatable_methods.end(),
                caller.method) != parameters.repeatable_methods.end();
  request.deadline = now + std::chrono::milliseconds(timeout_ms);
  budget_.on_first_attempt();
  count_load(request);
  deadlines_.insert({request.deadline, caller.handle});
  Request& stored = requests_[caller.handle] = std::move(request);
  dispatch(now, stored);
}

void RouterCore::dispatch(TimePoint now, Request& request) {
  if (request.routed) {
    return dispatch_routed(now, request);
  }
  const routing::TableService* service = table_.find_service(request.service);
  if (service == nullptr || !is_serving(now)) {
    const NotRunReason reason =
        service == nullptr ? NotRunReason::kUnknownService : NotRunReason::kNotServing;
    answer_not_run(request, reason, kRetryAfterUnavailable);
    return;
  }
  QueueKey queue{request.service, BackendId()};
  const auto backend = choose_backend(now, request, *service, queue);
  if (backend.has_value()) {
    forward(now, request, *backend, *service);
  } else {
    enqueue(now, request, queue, *service);
  }
}

Forward RouterCore::begin_attempt(TimePoint now, Request& request, BackendId backend) {
  const routing::BackendRoute& route = *table_.find_backend(backend);
  request.attempt = next_attempt_++;
  attempts_[request.attempt] = {request.caller.handle, backend, now};
  Forward effect;
  effect.attempt = request.attempt;
  effect.handle = request.caller.handle;
  effect.address = route.address;
  effect.machine = route.machine;
  effect.incarnation = route.incarnation;
  effect.keyed = request.keyed;
  effect.time_left = request.deadline - now;
  effect.repeatable = request.repeatable;
  effect.backend = backend;
  effect.service = service_name(request);
  effect.number = ++request.sends;
  effect.table_index = table_.index();
  return effect;
}

std::string RouterCore::service_name(const Request& request) const {
  if (!request.routed) {
    return request.caller.service.tenant.value + "/" + request.caller.service.service.value;
  }
  const auto* service = table_.routes().find_service(request.service);
  return service == nullptr ? "" : service->route.config.name.value;
}

void RouterCore::redispatch_all(TimePoint now) {
  std::vector<RequestHandle> handles;
  for (auto& [key, waiting] : queues_) {
    handles.insert(handles.end(), waiting.begin(), waiting.end());
  }
  for (const auto& [when, handle] : retries_) {
    handles.push_back(handle);
  }
  handles.insert(handles.end(), routed_waiting_.begin(), routed_waiting_.end());
  queues_.clear();
  queue_sizes_.clear();
  wakeups_.clear();
  retries_.clear();
  std::sort(handles.begin(), handles.end());
  handles.erase(std::unique(handles.begin(), handles.end()), handles.end());
  for (const RequestHandle handle : handles) {
    const auto found = requests_.find(handle);
    if (found != requests_.end() && found->second.attempt == 0) {
      found->second.is_queued = false;
      dispatch(now, found->second);
    }
  }
}

// ---------------------------------------------------------------- results of attempts

void RouterCore::on_attempt_done(TimePoint now, AttemptId id, const AttemptResult& result) {
  const auto found = attempts_.find(id);
  if (found == attempts_.end()) {
    return;  // cancelled, or reported twice
  }
  const Attempt attempt = found->second;
  on_attempt_written(id);  // nothing more of the attempt will be written
  attempts_.erase(found);
  output_.ended.push_back(id);
  if (requests_.at(attempt.handle).routed) {
    on_routed_attempt_done(now, id, attempt, result);
    return dispatch_waiting(now);
  }
  release_slot(attempt.backend);
  Target& target = targets_[attempt.backend];
  Request& request = requests_.at(attempt.handle);
  request.attempt = 0;
  const common::ServiceId service = request.service;
  const bool keyed = request.keyed;

  switch (result.end) {
    case AttemptEnd::kAnswered: {
      const Duration took = now - attempt.sent;
      target.latency += (took - target.latency) / kLatencyDivisor;
      Duration& smoothed = service_latency_[service];
      smoothed += (took - smoothed) / kLatencyDivisor;
      target.block.reset_length();
      target.is_warm = target.is_warm || now - target.first_seen >= options_.warm_up;
      ++counters_.answered;
      output_.answers.push_back(
          {attempt.handle, Outcome::kAnswered, id, NotRunReason::kNone, false, Duration(0)});
      finish(attempt.handle);
      break;
    }
    case AttemptEnd::kRefused:
      ++counters_.refusals;
      if (result.refusal == Refusal::kExpired) {
        answer_not_run(request, NotRunReason::kDeadline, Duration(0));
        break;
      }
      if (result.refusal == Refusal::kWrongIncarnation) {
        record_ended(now, attempt.backend, !result.answered_by.value.empty());
      } else if (result.refusal != Refusal::kShed || keyed) {
        block(now, attempt.backend);
      }
      request.refused_by.insert(attempt.backend);
      retry_later(now, request);
      break;
    case AttemptEnd::kNotSent:
      block(now, attempt.backend);
      request.refused_by.insert(attempt.backend);
      retry_later(now, request);
      break;
    case AttemptEnd::kBroken:
    case AttemptEnd::kForeign:
      block(now, attempt.backend);
      request.may_have_run = true;
      if (request.repeatable || options_.resend_unknown) {
        request.refused_by.insert(attempt.backend);
        retry_later(now, request);
      } else if (options_.claim_not_run) {
        answer_not_run(request, NotRunReason::kNoTarget, kRetryAfterUnavailable);
      } else {
        answer_unknown(request);
      }
      break;
  }
  drain_queue(now, {service, attempt.backend});
  if (!keyed) {
    drain_queue(now, {service, BackendId()});
  }
}

void RouterCore::record_ended(TimePoint now, BackendId backend, bool is_named) {
  if (has_ended(now, backend)) {
    return;
  }
  ++counters_.ended_backends;
  ended_[backend] = {now + options_.ended_retention, is_named};
  if (is_named) {
    const TimePoint soonest =
        std::max(now + options_.ended_report_delay,
                 last_hello_ + hello_interval_ / options_.ended_reports_per_hello);
    next_hello_ = std::min(next_hello_, soonest);
  }
}

void RouterCore::report_ended(TimePoint now, routing::RouterHello& hello) const {
  for (const auto& [id, ended] : ended_) {
    const routing::BackendRoute* route = table_.find_backend(id);
    const bool is_unreported = ended.is_named && now < ended.remembered_until && route != nullptr &&
                               route->self_registered && !route->ended;
    if (is_unreported && hello.ended.size() < options_.maximum_reported_ended) {
      hello.ended.push_back(id);
    }
  }
}

void RouterCore::report_stated_departures(routing::RouterHello& hello) const {
  stated_departures_.for_each([&](BackendId id) {
    const routing::BackendRoute* route = table_.find_backend(id);
    const bool is_unreported = route != nullptr && route->accepts_work();
    if (is_unreported && hello.leaving.size() < options_.maximum_reported_ended) {
      hello.leaving.push_back(id);
    }
  });
}

bool RouterCore::has_ended(TimePoint now, BackendId backend) const {
  const routing::BackendRoute* route = table_.find_backend(backend);
  const auto found = ended_.find(backend);
  const bool was_found = found != ended_.end() && now < found->second.remembered_until;
  return was_found || (route != nullptr && route->ended);
}

void RouterCore::expire(TimePoint now, Request& request) {
  if (request.attempt == 0) {
    answer_not_run(request, NotRunReason::kDeadline, kRetryAfterUnavailable);
    return;
  }
  const AttemptId attempt = request.attempt;
  const BackendId backend = attempts_.at(attempt).backend;
  const common::ServiceId service = request.service;
  if (request.routed) {
    abandon_attempt(now, request);
    return answer_unknown(request);
  }
  cancel_attempt(now, request);
  block(now, backend);
  if (options_.claim_not_run) {
    answer_not_run(request, NotRunReason::kDeadline, Duration(0));
  } else {
    answer_unknown(request);
  }
  drain_queue(now, {service, backend});
}

void RouterCore::on_caller_disconnected(TimePoint now, RequestHandle handle) {
  const auto found = requests_.find(handle);
  if (found == requests_.end()) {
    return;
  }
  ++counters_.cancelled;
  if (found->second.attempt != 0) {
    abandon_attempt(now, found->second);
  }
  finish(handle);
}

void RouterCore::abandon_attempt(TimePoint now, Request& request) {
  if (request.routed && !request.caller.relay.has_value()) {
    const Attempt& attempt = attempts_.at(request.attempt);
    routing::TargetBook& book = routed_service(request.service).targets;
    // Without a path, or behind a silent peer, the time says nothing about the back end.
    if (paths_.is_doubtful(request.service) || !attempt.peer.empty()) {
      book.on_ended(attempt.backend, attempt.sent);
    } else {
      book.on_given_up(now, attempt.backend, attempt.sent);
    }
  }
  cancel_attempt(now, request);
}

void RouterCore::withdraw_attempt(TimePoint now, Request& request) {
  const Attempt& attempt = attempts_.at(request.attempt);
  if (!request.caller.relay.has_value()) {
    routed_service(request.service).targets.on_ended(attempt.backend, attempt.sent);
  }
  cancel_attempt(now, request);
}

void RouterCore::cancel_attempt(TimePoint now, Request& request) {
  const auto attempt = attempts_.find(request.attempt);
  output_.cancels.push_back(request.attempt);
  if (!attempt->second.peer.empty()) {
    peers_.on_cancelled(now, attempt->second.peer);
  }
  if (request.routed) {
    backoffs_.on_ended(attempt->second.backend, attempt->second.sent);
  } else {
    release_slot(attempt->second.backend);
  }
  writes_.remove(attempt->first);
  send_window_.release(request.caller.handle);
  attempts_.erase(attempt);
  request.attempt = 0;
}

void RouterCore::dispatch_waiting(TimePoint now) {
  const std::set<RequestHandle> waiting = routed_waiting_;
  for (const RequestHandle handle : waiting) {
    const auto found = requests_.find(handle);
    if (found != requests_.end() && found->second.attempt == 0) {
      dispatch_routed(now, found->second);
    }
  }
}

void RouterCore::answer_not_run(const Request& request, NotRunReason reason, Duration retry_after) {
  if (request.may_have_run && !options_.claim_not_run) {
    answer_unknown(request);  // an earlier attempt may have run
    return;
  }
  ++counters_.not_run;
  ++outcome_counts(request).not_run;
  Answer answer = make_answer(request, Outcome::kNotRun);
  answer.reason = reason;
  answer.can_never_run = reason == NotRunReason::kUnknownService;
  answer.retry_after = retry_after;
  output_.answers.push_back(std::move(answer));
  finish(request.caller.handle);
}

void RouterCore::answer_unknown(const Request& request) {
  ++counters_.unknown;
  ++outcome_counts(request).unknown;
  output_.answers.push_back(make_answer(request, Outcome::kUnknown));
  finish(request.caller.handle);
}

Answer RouterCore::make_answer(const Request& request, Outcome outcome) const {
  Answer answer;
  answer.handle = request.caller.handle;
  answer.outcome = outcome;
  answer.service = service_name(request);
  answer.attempts = request.sends;
  answer.table_index = table_.index();
  answer.route = request.route;
  answer.expected = request.expected;
  return answer;
}

OutcomeCounts& RouterCore::outcome_counts(const Request& request) {
  const auto* found =
      std::lower_bound(kTimeoutBuckets.begin(), kTimeoutBuckets.end(), request.timeout);
  return counters_.outcomes_by_timeout[static_cast<std::size_t>(found - kTimeoutBuckets.begin())];
}

void RouterCore::finish(RequestHandle handle) {
  const auto found = requests_.find(handle);
  if (found == requests_.end()) {
    return;
  }
  peer_requests_ -= found->second.caller.relay.has_value() ? 1 : 0;
  leave_queue(found->second);
  routed_waiting_.erase(handle);
  send_window_.release(handle);
  deadlines_.erase({found->second.deadline, handle});
  requests_.erase(found);
}

}  // namespace planktray::router

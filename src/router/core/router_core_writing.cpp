/// RouterCore: the link queue for large requests on routes, and attempts that are recalled, held or
/// aborted before their last byte.

#include <algorithm>

#include "router/core/router_core.hpp"

namespace planktray::router {

using routing::NotRunReason;

void RouterCore::wait_for_link(TimePoint now, Request& request) {
  routed_waiting_.erase(request.caller.handle);
  const std::size_t bytes = request.caller.body_bytes;
  const Duration typical = routed_service(request.service).targets.typical_time();
  request.expected = send_window_.delay(bytes) + typical;
  if (*request.expected > usable_time(now, request) * options_.usable_deadline_fraction) {
    const bool is_ending = end_ < request.deadline;
    const NotRunReason reason = is_ending ? NotRunReason::kDrainingRouter : NotRunReason::kOverload;
    return answer_not_run(request, reason, retry_after(reason));
  }
  send_window_.wait(request.caller.handle, bytes);
}

void RouterCore::dispatch_link_queue(TimePoint now) {
  while (const auto handle = send_window_.next(now)) {
    Request& request = requests_.at(*handle);
    // Time spent waiting for the link does not count as waiting for a target.
    request.wait_until =
        std::max(request.wait_until, std::min(now + request.max_wait, request.deadline));
    dispatch_to_target(now, request);
  }
}

void RouterCore::on_attempt_written(AttemptId attempt) {
  writes_.remove(attempt);
  const auto found = attempts_.find(attempt);
  if (found != attempts_.end()) {
    send_window_.release(found->second.handle);
  }
}

void RouterCore::recall_unstarted(TimePoint now, BackendId backend) {
  for (const AttemptId unstarted : writes_.unstarted_at(backend)) {
    output_.write_decisions.push_back({unstarted, WriteVerdict::kRecall});
    recall(now, unstarted);
  }
}

void RouterCore::review_writes(TimePoint now) {
  for (const WriteDecision& decision : writes_.review(now, freshness_)) {
    output_.write_decisions.push_back(decision);
    switch (decision.verdict) {
      case WriteVerdict::kRecall:
        recall(now, decision.attempt);
        break;
      case WriteVerdict::kAbort:
        abort_write(now, decision.attempt);
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
  withdraw_attempt(now, request);
  if (request.caller.relay.has_value()) {
    const CallerRequest caller = request.caller;
    finish(caller.handle);
    return refuse_peer_request(caller, routing::RelayRefusal::kClosed);
  }
  --request.attempts;  // the request has not arrived
  dispatch_routed(now, request);
}

void RouterCore::abort_write(TimePoint now, AttemptId id) {
  ++counters_.aborted_writes;
  const Attempt attempt = attempts_.at(id);
  Request& request = requests_.at(attempt.handle);
  withdraw_attempt(now, request);
  request.may_have_run = true;
  if (!request.repeatable) {
    return answer_unknown(request);
  }
  request.refused_by.insert(attempt.backend);
  request.next_send_is_repeat = true;
  retry_routed(now, request, false);
}

}  // namespace planktray::router

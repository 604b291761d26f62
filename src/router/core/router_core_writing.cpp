/// Requests on routes in RouterCore between the choice of a back end and their last byte: turns at
/// the link, and what is taken back, held or cut off.

#include <algorithm>

#include "router/core/router_core.hpp"

namespace planktray::router {

using routing::NotRunReason;

void RouterCore::wait_for_link(TimePoint now, Request& request) {
  routed_waiting_.erase(request.caller.handle);
  const std::size_t bytes = request.caller.body_bytes;
  const Duration typical = routed_service(request.service).targets.typical_time();
  request.expected = send_window_.delay(bytes) + typical;
  if (*request.expected > (request.deadline - now) * options_.usable_deadline_fraction) {
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

void RouterCore::recall_unbegun(TimePoint now, BackendId backend) {
  for (const AttemptId unbegun : writes_.unbegun_at(backend)) {
    output_.write_decisions.push_back({unbegun, WriteVerdict::kRecall});
    recall(now, unbegun);
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
  take_back_attempt(request);
  --request.attempts;  // it has not arrived
  dispatch_routed(now, request);
}

void RouterCore::cut(TimePoint now, AttemptId id) {
  ++counters_.aborted_writes;
  const Attempt attempt = attempts_.at(id);
  Request& request = requests_.at(attempt.handle);
  take_back_attempt(request);
  request.may_have_run = true;
  if (!request.repeatable) {
    return answer_unknown(request);
  }
  request.refused_by.insert(attempt.backend);
  request.repeat_owed = true;
  retry_routed(now, request);
}

}  // namespace planktray::router

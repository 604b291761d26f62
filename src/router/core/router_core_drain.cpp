/// RouterCore: what a planned stop of the process does to the requests in hand.

#include <algorithm>
#include <vector>

#include "router/core/router_core.hpp"

namespace planktray::router {

using routing::NotRunReason;

void RouterCore::set_end(TimePoint now, TimePoint end) {
  end_ = end;
  for (const RequestHandle handle : send_window_.take_waiting()) {
    wait_for_link(now, requests_.at(handle));
  }
}

void RouterCore::answer_all(TimePoint now) {
  std::vector<RequestHandle> waiting;
  std::vector<RequestHandle> sent;
  for (const auto& [handle, request] : requests_) {
    const bool is_unsent = request.attempt == 0 || writes_.is_unstarted(request.attempt);
    (is_unsent ? waiting : sent).push_back(handle);
  }
  // Those that wait come first: the end of an attempt has others sent.
  for (const RequestHandle handle : waiting) {
    refuse_unsent(now, requests_.at(handle));
  }
  for (const RequestHandle handle : sent) {
    expire(now, requests_.at(handle));
  }
}

void RouterCore::refuse_unsent(TimePoint now, Request& request) {
  if (request.attempt != 0) {
    withdraw_attempt(now, request);
  }
  if (request.caller.relay.has_value()) {
    const CallerRequest caller = request.caller;
    finish(caller.handle);
    return refuse_peer_request(caller, routing::RelayRefusal::kDraining);
  }
  answer_not_run(request, NotRunReason::kDrainingRouter, options_.short_retry_after);
}

}  // namespace planktray::router

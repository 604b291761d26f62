/// The part of RouterProcess for a planned stop.

#include <string>

#include "router/router_process.hpp"
#include "transport/logging.hpp"

namespace planktray::router {
namespace {

using transport::boot_time_now;
using transport::log_event;

/// Interval at which a draining router checks whether it has finished.
constexpr common::Duration kDrainPoll = std::chrono::milliseconds(20);
/// After it has stopped accepting, a router keeps new connections open for this long, since their
/// first requests may still be in transit. About ten times the network latency of a caller, which
/// is a few milliseconds.
constexpr common::Duration kFirstRequestWait = std::chrono::milliseconds(150);

}  // namespace

void RouterProcess::begin_drain() {
  if (draining_) {
    return;
  }
  draining_ = true;
  drain_plan_ =
      DrainPlan::from(boot_time_now(), settings_.accept_while_draining, settings_.drain_timeout);
  server_->announce_close();
  core_.stop_relaying(boot_time_now());
  core_.set_end(boot_time_now(), drain_plan_.end_at);
  flush();
  if (relay_server_ != nullptr) {
    relay_server_->announce_close();
  }
  log_event("draining", {{"in_flight", std::to_string(callers_.size())}});
  loop_.every(kDrainPoll, [this] { continue_drain(); });
  continue_drain();
}

void RouterProcess::continue_drain() {
  const common::TimePoint now = boot_time_now();
  if (now < drain_plan_.accept_until) {
    return;
  }
  if (accepting_) {
    accepting_ = false;
    core_.begin_drain();
    server_->stop_listening();
    if (relay_server_ != nullptr) {
      relay_server_->stop_listening();
    }
  }
  if (now < drain_plan_.accept_until + kFirstRequestWait) {
    return;
  }
  server_->close_idle();
  std::size_t unfinished = server_->unfinished();
  if (relay_server_ != nullptr) {
    relay_server_->close_idle();
    unfinished += relay_server_->unfinished();
  }
  const bool finished = callers_.empty() && unfinished == 0;
  if (finished || now >= drain_plan_.end_at + kLastAnswerTime) {
    return loop_.quit();
  }
  if (now >= drain_plan_.end_at && !callers_.empty()) {
    answer_last(now);
  }
}

void RouterProcess::answer_last(common::TimePoint now) {
  log_event("answering_last", {{"requests", std::to_string(callers_.size())},
                               {"waiting_for_link", std::to_string(core_.waiting_for_link())},
                               {"in_flight", std::to_string(core_.in_flight())}});
  core_.answer_all(now);
  flush();
}

bool RouterProcess::refuse_while_draining(const transport::ExchangePointer& exchange,
                                          const ParsedRequest& parsed) {
  if (!parsed.request.route.has_value() ||
      drain_plan_.admits(boot_time_now(), longest_time(parsed.request))) {
    return false;  // the core refuses requests without a route
  }
  ++refused_while_draining_;
  Answer answer;
  answer.outcome = routing::Outcome::kNotRun;
  answer.reason = routing::NotRunReason::kDrainingRouter;
  answer.retry_after = settings_.options.short_retry_after;
  dialect_->answer(*exchange, parsed, answer);
  return true;
}

}  // namespace planktray::router

/// Metrics of RouterProcess.

#include <chrono>
#include <string>

#include "router/router_process.hpp"
#include "transport/containment.hpp"

namespace planktray::router {

using transport::boot_time_now;

std::string RouterProcess::metrics_text() {
  const RouterCounters& counters = core_.counters();
  metrics_.set_counter("planktray_requests_total", "Requests from callers.", counters.requests);
  metrics_.set_counter("planktray_contained_exceptions_total",
                       "Exceptions that input from peers has caused.",
                       transport::contained_exceptions());
  metrics_.set_counter("planktray_answered_total", "Requests answered by a back end.",
                       counters.answered);
  metrics_.set_counter("planktray_not_run_total", "Requests refused with proof of not run.",
                       counters.not_run);
  metrics_.set_counter("planktray_unknown_total", "Requests that may have run.", counters.unknown);
  metrics_.set_counter("planktray_retries_total", "Attempts after the first.", counters.retries);
  metrics_.set_counter("planktray_suspensions_total", "Suspensions of the machine.",
                       transport::suspensions_seen());
  metrics_.set_counter("planktray_stale_refusals_total",
                       "Requests on routes refused since the table was too old to decide with.",
                       counters.stale_refusals);
  metrics_.set_counter("planktray_crash_refusals_total",
                       "Requests refused since they crash their targets.", counters.crash_refusals);
  metrics_.set_counter("planktray_crashes_seen_total",
                       "Back ends found to have ended with requests under way.",
                       counters.crashes_seen);
  metrics_.set_gauge("planktray_blocked_requests",
                     "Different requests that are refused since they crash their targets.",
                     static_cast<double>(core_.blocked_requests(boot_time_now())));
  metrics_.set_counter("planktray_crowd_refusals_total",
                       "Requests on routes refused since the queue of their key's owner is long.",
                       counters.owner_queue_refusals);
  metrics_.set_gauge("planktray_crowded_owners",
                     "Owners of keys of whose requests only a part is sent.",
                     static_cast<double>(core_.crowded_owners(boot_time_now())));
  metrics_.set_counter("planktray_limit_refusals_total",
                       "Requests on routes refused since limits that back ends name left no room.",
                       counters.limit_refusals);
  metrics_.set_gauge("planktray_limited_backends",
                     "Back ends that name how many requests a second they take.",
                     static_cast<double>(core_.limited_targets()));
  metrics_.set_counter("planktray_follower_polls_total",
                       "Polls of followers for changes of the table.", counters.follower_polls);
  metrics_.set_counter("planktray_follower_updates_total",
                       "Updates of the table that followers brought.", counters.follower_updates);
  metrics_.set_counter("planktray_refusals_total", "Refusals by back ends.", counters.refusals);
  metrics_.set_counter("planktray_ended_backends_total",
                       "Back ends found to have ended by another incarnation's answer.",
                       counters.ended_backends);
  metrics_.set_counter("planktray_table_updates_total", "Changes of the routing table.",
                       counters.table_updates);
  metrics_.set_counter("planktray_requests_cancelled_total", "Callers that went away.",
                       counters.cancelled);
  metrics_.set_counter("planktray_requests_rejected_total", "Requests too long to read.",
                       server_->refused());
  metrics_.set_counter("planktray_requests_refused_draining_total",
                       "Requests refused since this router could stop before their end.",
                       refused_while_draining_);
  metrics_.set_counter("planktray_load_reports_unread_total",
                       "Load reports of back ends that could not be read whole.",
                       request_log_.unparsed_loads());
  metrics_.set_counter("planktray_headers_unread_total",
                       "Headers of back ends' answers that nothing here reads.",
                       request_log_.unrecognized_headers());
  metrics_.set_counter("planktray_stated_departures_total",
                       "Back ends that said in an answer that they leave before the table did.",
                       counters.stated_departures);
  metrics_.set_counter("planktray_backoff_requests_total",
                       "Answers of back ends that asked for a time without requests.",
                       counters.backoff_requests);
  metrics_.set_counter("planktray_backoff_refusals_total",
                       "Requests refused since all that could run them had asked for such a time.",
                       counters.backoff_refusals);
  metrics_.set_gauge("planktray_backoffs", "Back ends that want nothing from this router now.",
                     static_cast<double>(core_.backoffs(boot_time_now())));
  metrics_.set_counter("planktray_recalled_total",
                       "Attempts taken back before their first byte, for another back end.",
                       counters.recalled);
  metrics_.set_counter("planktray_held_writes_total",
                       "Attempts whose rest waited until a newer table named their back end.",
                       counters.held_writes);
  metrics_.set_counter("planktray_cut_writes_total",
                       "Attempts cut off while they were written, as their back end was leaving.",
                       counters.aborted_writes);
  metrics_.set_counter("planktray_late_writes_total",
                       "Requests written long after their back end was known to take them.",
                       request_log_.late_writes());
  metrics_.set_gauge("planktray_table_index", "Log index of the table served.",
                     static_cast<double>(core_.table().index().value));
  const auto age = core_.freshness().age(boot_time_now());
  metrics_.set_gauge("planktray_table_age_seconds",
                     "Time since the table was known to be up to date; -1: it never was.",
                     age.has_value() ? std::chrono::duration<double>(*age).count() : -1);
  metrics_.set_gauge("planktray_serving", "1 where the table is confirmed.",
                     core_.is_serving(boot_time_now()) ? 1 : 0);
  metrics_.set_gauge("planktray_attempts_kept", "Attempts that the process has a record of.",
                     static_cast<double>(attempts_.size()));
  metrics_.set_gauge("planktray_requests_in_flight", "Attempts under way.",
                     static_cast<double>(core_.in_flight()));
  metrics_.set_gauge("planktray_requests_waiting", "Requests that wait for a target.",
                     static_cast<double>(core_.waiting()));
  metrics_.set_gauge("planktray_requests_waiting_for_link",
                     "Large requests that wait for their turn at the link.",
                     static_cast<double>(core_.waiting_for_link()));
  transport::SocketCounters total = closed_controllers_;
  for (const auto& [address, controller] : controllers_) {
    total += controller->counters();
  }
  metrics_.set_gauge("planktray_controllers", "Controllers that the router is connected to.",
                     static_cast<double>(controllers_.size()));
  metrics_.set_counter("planktray_control_bytes_total", "ZeroMQ body bytes, both ways.",
                       total.bytes_sent + total.bytes_received);
  metrics_.set_counter("planktray_messages_refused_total",
                       "Damaged messages and foreign protocol versions.", total.refused);
  add_link_metrics();
  add_time_metrics();
  add_path_metrics();
  limit_report_.add_metrics(metrics_, {server_.get(), relay_server_.get(), status_server_.get()});
  return metrics_.serialize();
}

void RouterProcess::add_time_metrics() {
  const auto& classes = core_.counters().outcomes_by_timeout;
  for (std::size_t i = 0; i < classes.size(); ++i) {
    std::string name = "planktray_time_brought_above_";
    if (i < kTimeoutBuckets.size()) {
      name = "planktray_time_brought_up_to_";
      name += std::to_string(kTimeoutBuckets.at(i) / std::chrono::milliseconds(1));
      name += "ms_";
    }
    const auto add = [&](const char* end, std::uint64_t total) {
      metrics_.set_counter(name + end,
                           "Requests on routes by the time that they brought, and how they ended.",
                           total);
    };
    add("answered_total", classes.at(i).answered);
    add("not_run_total", classes.at(i).not_run);
    add("unknown_total", classes.at(i).unknown);
  }
}

void RouterProcess::add_path_metrics() {
  const RouterCounters& counters = core_.counters();
  metrics_.set_gauge("planktray_lost_paths",
                     "Services none of whose back ends this router can reach.",
                     static_cast<double>(core_.lost_paths()));
  metrics_.set_counter("planktray_path_probes_total",
                       "Connections opened to find out whether back ends can be reached.",
                       counters.path_probes);
  metrics_.set_counter("planktray_attempts_unsent_total",
                       "Attempts that found no connection to their back end.",
                       counters.unsent_attempts);
  metrics_.set_counter("planktray_attempts_broken_total",
                       "Attempts that were written and ended without an answer.",
                       counters.broken_attempts);
  metrics_.set_counter("planktray_relays_sent_total",
                       "Attempts that went to another router, to be passed on.",
                       counters.relays_sent);
  metrics_.set_counter("planktray_relays_answered_total", "Of these, answered by their back ends.",
                       counters.relays_answered);
  metrics_.set_counter("planktray_relays_refused_total",
                       "Of these, not passed on by the other router.", counters.relays_refused);
  metrics_.set_counter("planktray_relays_failed_total",
                       "Of these, ended with the connection to the other router.",
                       counters.relays_failed);
  metrics_.set_counter("planktray_path_refusals_total",
                       "Requests refused at once since no way leads to a target.",
                       counters.path_refusals);
  metrics_.set_counter("planktray_peer_requests_total", "Requests that other routers relayed here.",
                       counters.peer_requests);
  metrics_.set_counter("planktray_peer_refusals_total", "Of these, not passed on.",
                       counters.peer_refusals);
  metrics_.set_counter("planktray_relays_rejected_total",
                       "Messages at the relay interface that are no relayed request.",
                       rejected_relays_);
  metrics_.set_gauge("planktray_peer_requests", "Requests of other routers under way.",
                     static_cast<double>(core_.peer_requests()));
}

void RouterProcess::add_link_metrics() {
  if (pacer_ == nullptr) {
    return;
  }
  const auto add = [this](const std::string& direction, const link::LinkScheduler& scheduler) {
    metrics_.set_counter("planktray_link_" + direction + "_paced_bytes_total",
                         "Bytes of large bodies that passed at the link's pace.",
                         scheduler.bytes_passed());
    metrics_.set_gauge("planktray_link_" + direction + "_bodies_waiting", "Large bodies under way.",
                       static_cast<double>(scheduler.waiting()));
    metrics_.set_gauge("planktray_link_" + direction + "_backlog_seconds",
                       "Time that the bytes of large bodies under way take to pass.",
                       std::chrono::duration<double>(scheduler.backlog()).count());
  };
  add("inbound", pacer_->inbound().scheduler());
  add("outbound", pacer_->outbound().scheduler());
}

}  // namespace planktray::router

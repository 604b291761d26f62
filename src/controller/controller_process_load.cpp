/// The part of ControllerProcess that measures and reports its load.

#include <cmath>
#include <string>
#include <utility>

#include "controller/controller_process.hpp"
#include "transport/logging.hpp"

namespace planktray::controller {

using transport::boot_time_now;
using transport::log_event;

void ControllerProcess::sample_idle_time() {
  const common::TimePoint now = boot_time_now();
  const common::Duration idle = loop_.idle_time();
  const common::Duration length = now - std::exchange(sampled_at_, now);
  const common::Duration waited = idle - std::exchange(sampled_idle_, idle);
  if (length.count() > 0) {
    core_->on_idle_share(static_cast<double>(waited.count()) / static_cast<double>(length.count()));
  }
}

ControllerProcess::LoadTotals ControllerProcess::load_totals() const {
  LoadTotals totals;
  totals.processor = transport::process_time_used();
  totals.core = core_->counters();
  if (orders_ != nullptr) {
    totals.orders = orders_->counters();
  }
  totals.messages_sent = server_socket_->counters().sent;
  totals.bytes_sent = server_socket_->counters().bytes_sent;
  totals.accepted = control_server_ == nullptr ? 0 : control_server_->accepted();
  totals.gone_unread = control_server_ == nullptr ? 0 : control_server_->gone_unread();
  totals.idle = loop_.idle_time();
  totals.abandoned = control_ == nullptr ? 0 : control_->abandoned_heartbeats();
  return totals;
}

void ControllerProcess::log_load() {
  const LoadTotals totals = load_totals();
  const LoadTotals before = std::exchange(logged_totals_, totals);
  const ActivityMeter::Times times = meter_.take();
  const common::Duration longest_turn = loop_.take_longest_turn();
  const common::Duration latest_call = alarm_.take_latest_call();
  const common::Duration longest_persist = worker_->take_longest_persist();
  const bool leads = core_->raft().is_leader();
  const auto now = boot_time_now();
  const auto ms = [](common::Duration time) {
    return std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(time).count());
  };
  std::string times_text;
  for (std::size_t i = 0; i < times.size(); ++i) {
    times_text +=
        (i == 0 ? "" : ",") + std::string(to_string(static_cast<Activity>(i))) + ":" + ms(times[i]);
  }
  const auto increase = [](std::uint64_t to, std::uint64_t from) {
    return std::to_string(to - from);
  };
  if (leads) {
    log_promise_changes(core_->distributor().routers(now).size());
  }
  const auto slowest = leads ? core_->distributor().slowest_router(now) : std::nullopt;
  log_event(
      leads ? "leader_load" : "follower_load",
      {{"processor_ms", ms(totals.processor - before.processor)},
       {"loop_ms", times_text},
       {"idle_ms", ms(totals.idle - before.idle)},
       {"longest_turn_ms", ms(longest_turn)},
       {"latest_call_ms", ms(latest_call)},
       {"longest_persist_ms", ms(longest_persist)},
       {"entries", increase(totals.core.entries_applied, before.core.entries_applied)},
       {"plans", increase(totals.core.range_plans, before.core.range_plans)},
       {"hellos", increase(totals.core.hellos, before.core.hellos)},
       {"heartbeats", increase(totals.core.heartbeats, before.core.heartbeats)},
       {"relayed", increase(totals.core.heartbeats_relayed, before.core.heartbeats_relayed)},
       {"abandoned", increase(totals.abandoned, before.abandoned)},
       {"updates_pushed", increase(totals.core.updates_pushed, before.core.updates_pushed)},
       {"updates_answered", increase(totals.core.updates_answered, before.core.updates_answered)},
       {"gone_unread", increase(totals.gone_unread, before.gone_unread)},
       {"accepted", increase(totals.accepted, before.accepted)},
       {"connections",
        std::to_string(control_server_ == nullptr ? 0 : control_server_->connections())},
       {"messages", increase(totals.messages_sent, before.messages_sent)},
       {"bytes", increase(totals.bytes_sent, before.bytes_sent)},
       {"grants", increase(totals.orders.grants, before.orders.grants)},
       {"releases", increase(totals.orders.releases, before.orders.releases)},
       {"orders_failed", increase(totals.orders.failed, before.orders.failed)},
       {"grants_open", std::to_string(orders_ == nullptr ? 0 : orders_->grants_open())},
       {"releases_open", std::to_string(orders_ == nullptr ? 0 : orders_->releases_open())},
       {"ranges", std::to_string(core_->ranges().grants().holdings())},
       {"update_rate", std::to_string(std::lround(core_->update_pacer().rate()))},
       {"behind_ms", ms(slowest.has_value() ? slowest->age : common::Duration(0))},
       {"behind_router", slowest.has_value() ? slowest->router.value : ""}});
}

void ControllerProcess::log_promise_changes(std::size_t routers) {
  for (const Promise& promise : check_promises(settings_.promised, settings_.options, routers)) {
    const bool has_changed = promise.holds() ? violated_promises_.erase(promise.name) > 0
                                             : violated_promises_.insert(promise.name).second;
    if (!has_changed) {
      continue;
    }
    const auto ms = [](common::Duration time) { return std::to_string(time.count() / 1000); };
    log_event(promise.holds() ? "promise_kept_again" : "promise_at_risk",
              {{"promise", promise.name},
               {"promised_ms", ms(promise.promised)},
               {"worst_ms", ms(promise.worst_case)},
               {"routers", std::to_string(routers)},
               {"reason", promise.reason}});
  }
}

void ControllerProcess::update_metrics() {
  transport::SocketCounters total = server_socket_->counters();
  total += closed_dealers_;
  for (const auto& [address, socket] : dealers_) {
    total += socket->counters();
  }
  metrics_.set_counter("planktray_suspensions_total", "Suspensions of the machine.",
                       transport::suspensions_seen());
  metrics_.set_counter("planktray_messages_sent_total", "ZeroMQ messages sent.", total.sent);
  metrics_.set_counter("planktray_messages_dropped_total", "ZeroMQ messages not queued.",
                       total.send_dropped);
  metrics_.set_counter("planktray_messages_received_total", "ZeroMQ messages received.",
                       total.received);
  metrics_.set_counter("planktray_message_bytes_sent_total", "ZeroMQ body bytes sent.",
                       total.bytes_sent);
  metrics_.set_counter("planktray_message_bytes_received_total", "ZeroMQ body bytes received.",
                       total.bytes_received);
  metrics_.set_counter("planktray_messages_refused_total",
                       "Damaged messages and foreign protocol versions.", total.refused);
  metrics_.set_counter("planktray_messages_overdue_total",
                       "Messages of routers dropped, as too many others waited.", total.overdue);
  metrics_.set_counter("planktray_snapshots_damaged_total",
                       "Snapshots of the log that did not arrive as they were sent.",
                       core_->raft().damaged_snapshots());
  metrics_.set_counter("planktray_leases_sent_total", "Lease requests sent.", leases_sent_);
  metrics_.set_counter("planktray_lease_failures_total", "Lease requests without an answer.",
                       lease_failures_);
  limit_report_.add_metrics(metrics_, {control_server_.get(), http_server_.get()});
}

}  // namespace planktray::controller

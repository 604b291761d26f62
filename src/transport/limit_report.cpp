#include "transport/limit_report.hpp"

#include <string>

#include "transport/logging.hpp"

namespace planktray::transport {

LimitCounts LimitReport::count(std::initializer_list<const HttpServer*> servers) const {
  LimitCounts counts;
  counts.revoked = memory_.revoked();
  for (const HttpServer* server : servers) {
    if (server != nullptr) {
      counts.unread += server->unread();
      counts.evicted += server->evicted();
      counts.turned_away += server->turned_away();
    }
  }
  return counts;
}

void LimitReport::log_changes(std::initializer_list<const HttpServer*> servers) {
  const LimitCounts counts = count(servers);
  if (counts == logged_) {
    return;
  }
  logged_ = counts;
  log_event("clients_limited", {{"unread", std::to_string(counts.unread)},
                                {"revoked", std::to_string(counts.revoked)},
                                {"evicted", std::to_string(counts.evicted)},
                                {"turned_away", std::to_string(counts.turned_away)},
                                {"memory_held", std::to_string(memory_.held())},
                                {"memory_limit", std::to_string(memory_.capacity())}});
}

void LimitReport::add_metrics(Metrics& metrics,
                              std::initializer_list<const HttpServer*> servers) const {
  const LimitCounts counts = count(servers);
  metrics.set_gauge("planktray_connection_memory_bytes",
                    "Bytes that connections hold: requests, responses and what waits to be sent.",
                    static_cast<double>(memory_.held()));
  metrics.set_gauge("planktray_connection_memory_limit_bytes",
                    "Bytes that connections may hold; 0: unlimited.",
                    static_cast<double>(memory_.capacity()));
  metrics.set_counter("planktray_memory_revoked_total",
                      "Clients without progress whose request was refused or whose connection was "
                      "closed, since others needed the memory.",
                      counts.revoked);
  metrics.set_counter("planktray_requests_unread_total",
                      "Requests refused before their body was read whole.", counts.unread);
  metrics.set_counter("planktray_connections_evicted_total",
                      "Idle connections closed since new ones needed their descriptors.",
                      counts.evicted);
  metrics.set_counter("planktray_connections_turned_away_total",
                      "New connections closed since no descriptor was free for them.",
                      counts.turned_away);
}

}  // namespace planktray::transport

#include "controller/order_sender.hpp"

#include <string>
#include <utility>

#include "transport/logging.hpp"

namespace planktray::controller {
namespace {

using ownership::GrantOrder;
using ownership::OrderOutcome;
using ownership::OrderReply;
using ownership::ReleaseOrder;

/// The orders of one round follow each other within this time. A connection that has been idle for
/// longer may lead to a machine that is lost.
constexpr common::Duration kMaxIdleTime = std::chrono::milliseconds(50);

transport::HttpClientOptions client_options(const OrderSenderOptions& options) {
  transport::HttpClientOptions client;
  client.connections_per_server = options.connections_per_backend;
  client.connect_timeout = options.connect_timeout;
  client.idle_timeout = std::chrono::milliseconds(200);
  return client;
}

std::string keys_text(const ownership::KeyRange& keys) {
  return std::to_string(keys.first) + "-" + std::to_string(keys.last);
}

}  // namespace

OrderSender::OrderSender(OrderSenderOptions options, const ControlInterface& interface,
                         ReplyHandler on_reply)
    : options_(options),
      interface_(interface),
      on_reply_(std::move(on_reply)),
      client_(client_options(options)) {}

std::size_t OrderSender::grants_open() const {
  std::size_t count = 0;
  for (const auto& [backend, queue] : grants_) {
    count += queue.size();
  }
  return count;
}

void OrderSender::send(const GrantOrder& order) {
  ++counters_.grants;
  auto& queue = grants_[order.backend];
  queue.push_back(order);
  if (queue.size() == 1) {
    send_next_grant(order.backend);
  }
}

void OrderSender::send_next_grant(common::BackendId backend) {
  const GrantOrder& order = grants_.at(backend).front();
  transport::HttpRequest request = interface_.to_request(order);
  request.address = order.address;
  request.timeout = options_.grant_timeout;
  request.max_idle_time = kMaxIdleTime;
  client_.send(std::move(request), [this, order](const transport::HttpResponse& response) {
    on_grant_response(order, response);
  });
}

void OrderSender::on_grant_response(const GrantOrder& order,
                                    const transport::HttpResponse& response) {
  const OrderReply reply = interface_.read_reply(order.incarnation, response);
  log_grant(order, reply, response);
  auto& queue = grants_.at(order.backend);
  queue.pop_front();
  const bool failed =
      reply.outcome == OrderOutcome::kNotSent || reply.outcome == OrderOutcome::kUnanswered;
  counters_.failed += failed ? 1 : 0;
  const auto unsent_orders = failed ? std::exchange(queue, {}) : std::deque<GrantOrder>();
  if (queue.empty()) {
    grants_.erase(order.backend);
  } else {
    send_next_grant(order.backend);
  }
  on_reply_(order.id, reply);
  for (const GrantOrder& unsent : unsent_orders) {
    on_reply_(unsent.id, {OrderOutcome::kNotSent, ""});
  }
}

void OrderSender::send(const ReleaseOrder& order) {
  ++counters_.releases;
  ++releases_open_;
  releases_[order.backend].queued.push_back(order);
  send_queued_releases(order.backend);
}

void OrderSender::send_queued_releases(common::BackendId backend) {
  const auto found = releases_.find(backend);
  if (found == releases_.end()) {
    return;
  }
  Releases& releases = found->second;
  while (!releases.queued.empty() && releases.in_flight < options_.max_releases_in_flight) {
    const ReleaseOrder order = std::move(releases.queued.front());
    releases.queued.pop_front();
    ++releases.in_flight;
    send_release(order);
  }
  if (releases.in_flight == 0) {
    releases_.erase(found);
  }
}

void OrderSender::send_release(const ReleaseOrder& order) {
  transport::HttpRequest request = interface_.to_request(order);
  request.address = order.address;
  request.timeout = options_.release_timeout;
  request.fresh_connection = true;
  client_.send(std::move(request), [this, order](const transport::HttpResponse& response) {
    on_release_response(order, response);
  });
}

void OrderSender::on_release_response(const ReleaseOrder& order,
                                      const transport::HttpResponse& response) {
  const OrderReply reply = interface_.read_reply(order.incarnation, response);
  log_release(order, reply, response);
  Releases& releases = releases_.at(order.backend);
  --releases.in_flight;
  // If no connection can be established, the queued releases would fail in the same way.
  const auto unsent_orders = reply.outcome == OrderOutcome::kNotSent
                                 ? std::exchange(releases.queued, {})
                                 : std::deque<ReleaseOrder>();
  const bool failed =
      reply.outcome == OrderOutcome::kNotSent || reply.outcome == OrderOutcome::kUnanswered;
  counters_.failed += (failed ? 1 : 0) + unsent_orders.size();
  releases_open_ -= 1 + unsent_orders.size();
  send_queued_releases(order.backend);
  on_reply_(order.id, reply);
  for (const ReleaseOrder& unsent : unsent_orders) {
    on_reply_(unsent.id, {OrderOutcome::kNotSent, ""});
  }
}

void OrderSender::log_grant(const GrantOrder& order, const OrderReply& reply,
                            const transport::HttpResponse& response) const {
  if (reply.outcome == OrderOutcome::kAccepted) {
    return;  // not logged, as renewals are frequent
  }
  transport::log_event("grant_failed", {{"outcome", std::string(to_string(reply.outcome))},
                                        {"order", std::to_string(order.id)},
                                        {"backend", order.incarnation.value},
                                        {"peer", order.address},
                                        {"keys", keys_text(order.keys)},
                                        {"fence", std::to_string(order.fence.value)},
                                        {"status", std::to_string(response.status)},
                                        {"answered_by", reply.answered_by.value},
                                        {"error", response.error.message}});
}

void OrderSender::log_release(const ReleaseOrder& order, const OrderReply& reply,
                              const transport::HttpResponse& response) const {
  transport::log_event("release", {{"outcome", std::string(to_string(reply.outcome))},
                                   {"order", std::to_string(order.id)},
                                   {"backend", order.incarnation.value},
                                   {"peer", order.address},
                                   {"keys", keys_text(order.keys)},
                                   {"fence", std::to_string(order.fence.value)},
                                   {"status", std::to_string(response.status)},
                                   {"answered_by", reply.answered_by.value},
                                   {"error", response.error.message}});
}

}  // namespace planktray::controller

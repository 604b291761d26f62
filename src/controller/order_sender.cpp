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

/// The orders of one round follow each other within this time; a connection that has rested for
/// longer may be one to a machine that is gone.
constexpr common::Duration kLongestRest = std::chrono::milliseconds(50);

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
  for (const auto& [backend, queue] : waiting_) {
    count += queue.size();
  }
  return count;
}

void OrderSender::send(const GrantOrder& order) {
  ++counters_.grants;
  auto& queue = waiting_[order.backend];
  queue.push_back(order);
  if (queue.size() == 1) {
    send_next(order.backend);
  }
}

void OrderSender::send_next(common::BackendId backend) {
  const GrantOrder& order = waiting_.at(backend).front();
  transport::HttpRequest request = interface_.to_request(order);
  request.address = order.address;
  request.timeout = options_.grant_timeout;
  request.longest_rest = kLongestRest;
  client_.send(std::move(request), [this, order](const transport::HttpResponse& response) {
    on_grant_response(order, response);
  });
}

void OrderSender::on_grant_response(const GrantOrder& order,
                                    const transport::HttpResponse& response) {
  const OrderReply reply = interface_.read_reply(order.incarnation, response);
  log_grant(order, reply, response);
  auto& queue = waiting_.at(order.backend);
  queue.pop_front();
  const bool failed =
      reply.outcome == OrderOutcome::kNotSent || reply.outcome == OrderOutcome::kUnanswered;
  counters_.failed += failed ? 1 : 0;
  const auto given_up = failed ? std::exchange(queue, {}) : std::deque<GrantOrder>();
  if (queue.empty()) {
    waiting_.erase(order.backend);
  } else {
    send_next(order.backend);
  }
  on_reply_(order.id, reply);
  for (const GrantOrder& never_sent : given_up) {
    on_reply_(never_sent.id, {OrderOutcome::kNotSent, ""});
  }
}

void OrderSender::send(const ReleaseOrder& order) {
  ++counters_.releases;
  ++releases_open_;
  releases_[order.backend].waiting.push_back(order);
  send_waiting_releases(order.backend);
}

void OrderSender::send_waiting_releases(common::BackendId backend) {
  const auto found = releases_.find(backend);
  if (found == releases_.end()) {
    return;
  }
  Releases& releases = found->second;
  while (!releases.waiting.empty() && releases.under_way < options_.releases_at_once) {
    const ReleaseOrder order = std::move(releases.waiting.front());
    releases.waiting.pop_front();
    ++releases.under_way;
    send_now(order);
  }
  if (releases.under_way == 0) {
    releases_.erase(found);
  }
}

void OrderSender::send_now(const ReleaseOrder& order) {
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
  --releases.under_way;
  // Where no connection comes up, the others would only wait for the same.
  const auto given_up = reply.outcome == OrderOutcome::kNotSent
                            ? std::exchange(releases.waiting, {})
                            : std::deque<ReleaseOrder>();
  const bool failed =
      reply.outcome == OrderOutcome::kNotSent || reply.outcome == OrderOutcome::kUnanswered;
  counters_.failed += (failed ? 1 : 0) + given_up.size();
  releases_open_ -= 1 + given_up.size();
  send_waiting_releases(order.backend);
  on_reply_(order.id, reply);
  for (const ReleaseOrder& never_sent : given_up) {
    on_reply_(never_sent.id, {OrderOutcome::kNotSent, ""});
  }
}

void OrderSender::log_grant(const GrantOrder& order, const OrderReply& reply,
                            const transport::HttpResponse& response) const {
  if (reply.outcome == OrderOutcome::kAccepted) {
    return;  // renewals go on all the time
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

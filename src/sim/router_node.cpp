#include "sim/router_node.hpp"

#include "sim/controller_node.hpp"

namespace planktray::sim {
namespace {

constexpr Duration kTick = std::chrono::milliseconds(4);
constexpr Duration kStopCheck = std::chrono::milliseconds(20);

}  // namespace

RouterNode::RouterNode(Environment& environment, Directory& directory, HostId host,
                       router::RouterOptions options, Duration connect_time)
    : environment_(environment),
      directory_(directory),
      host_(host),
      options_(std::move(options)),
      connect_time_(connect_time) {
  options_.resend_unknown = !environment_.safeguards.unknown_is_not_resent;
  options_.claim_not_run = !environment_.safeguards.unknown_is_told;
  options_.keep_table_forever = !environment_.safeguards.tables_expire;
}

void RouterNode::start() {
  host().start();
  core_.emplace(options_, common::RandomEngine(environment_.random()), host().clock());
  stopping_ = false;
  tick();
}

void RouterNode::kill() {
  host().kill();
  core_.reset();
  calls_.clear();
  connections_.clear();
  observe_service();
}

void RouterNode::stop_as_planned() {
  if (!is_listening()) {
    return;
  }
  stopping_ = true;
  core_->begin_drain();
  if (!environment_.safeguards.stops_drain) {
    stop_now();
    return;
  }
  host().after(kStopCheck, [this] { check_stop(); });
}

void RouterNode::check_stop() {
  if (core_->is_drained()) {
    stop_now();
  } else {
    host().after(kStopCheck, [this] { check_stop(); });
  }
}

void RouterNode::stop_now() {
  environment_.observe(PlannedStop{options_.name.value, calls_.size()});
  kill();
}

void RouterNode::tick() {
  core_->tick(host().clock());
  flush();
  host().after(kTick, [this] { tick(); });
}

void RouterNode::receive(const CallerCall& call, CallHandler reply) {
  const router::RequestHandle handle = next_handle_++;
  calls_[handle] = {call.request, call.service, std::move(reply), {}};
  core_->on_request(host().clock(), {handle, call.service, call.key, call.method, call.timeout_ms});
  flush();
}

void RouterNode::receive(const routing::TableUpdate& update) {
  core_->on_table_update(host().clock(), update);
  flush();
  observe_service();
}

void RouterNode::flush() {
  router::RouterOutput output = core_->take_output();
  for (const router::Answer& told : output.answers) {
    answer(told);
  }
  for (const router::AttemptId attempt : output.cancels) {
    connections_.erase(attempt);
  }
  if (output.hello.has_value()) {
    for (ControllerNode* controller : directory_.controllers()) {
      environment_.network.send(host_, controller->host_id(), [controller, hello = *output.hello] {
        controller->receive(hello);
      });
    }
  }
  for (const router::Forward& next : output.forwards) {
    forward(next);
  }
}

void RouterNode::forward(const router::Forward& forward) {
  connections_[forward.attempt] = {forward.handle, false};
  host().after(forward.time_left, [this, attempt = forward.attempt] {
    const auto found = connections_.find(attempt);
    if (found != connections_.end()) {
      const auto end =
          found->second.written ? routing::AttemptEnd::kBroken : routing::AttemptEnd::kNotSent;
      end_attempt(attempt, {end, {}});
    }
  });
  BackendNode* backend = directory_.find_backend(forward.address);
  if (backend == nullptr) {
    end_attempt(forward.attempt, {routing::AttemptEnd::kNotSent, {}});
    return;
  }
  if (forward.repeatable && backend->is_up()) {
    // A pooled connection of the life that serves now.
    write(forward, backend, backend->accept_connection());
    return;
  }
  connect(forward, backend);
}

void RouterNode::connect(const router::Forward& forward, BackendNode* backend) {
  // The machine's kernel answers, also while the process is stopped; so this goes to the network's
  // scheduler and not through the host.
  environment_.network.send_once(host_, host_, [this, forward, backend] {
    Network& network = environment_.network;
    if (network.is_cut(host_, backend->host_id()) || network.is_cut(backend->host_id(), host_)) {
      return;  // the handshake stays unanswered
    }
    if (!backend->is_up()) {
      end_attempt(forward.attempt, {routing::AttemptEnd::kNotSent, {}});
      return;
    }
    const std::uint64_t connection = backend->accept_connection();
    host().after(connect_time_,
                 [this, forward, backend, connection] { write(forward, backend, connection); });
  });
}

void RouterNode::write(const router::Forward& forward, BackendNode* backend,
                       std::uint64_t connection) {
  const auto found = connections_.find(forward.attempt);
  if (found == connections_.end()) {
    return;
  }
  found->second.written = true;
  const Call& call = calls_.at(forward.handle);
  standin::WorkOrder order;
  order.request = common::RequestId(call.request);
  order.incarnation = forward.incarnation;
  order.service = call.service;
  order.keyed = forward.keyed;
  order.shard = forward.shard;
  order.epoch = forward.epoch;
  order.deadline = TimePoint() + forward.time_left;
  environment_.network.send_once(
      host_, backend->host_id(),
      [this, backend, connection, order, attempt = forward.attempt,
       generation = host().generation()] {
        backend->receive_work(connection, order,
                              [this, backend, attempt, generation](const WorkReply& reply) {
                                environment_.network.send_once(
                                    backend->host_id(), host_, [this, attempt, generation, reply] {
                                      if (generation == host().generation()) {
                                        take_reply(attempt, reply);
                                      }
                                    });
                              });
      });
}

void RouterNode::take_reply(router::AttemptId attempt, const WorkReply& reply) {
  const auto found = connections_.find(attempt);
  if (found == connections_.end()) {
    return;
  }
  Call& call = calls_.at(found->second.handle);
  const Safeguards& safeguards = environment_.safeguards;
  router::AttemptResult result;
  if (reply.broken || (!reply.whole && safeguards.answers_are_whole)) {
    result.end = routing::AttemptEnd::kBroken;
  } else if (reply.refusal.has_value()) {
    result.end = routing::AttemptEnd::kRefused;
    result.refusal = *reply.refusal;
  } else if (reply.answer_to != call.request && safeguards.answers_are_matched) {
    result.end = routing::AttemptEnd::kForeign;
  } else {
    result.end = routing::AttemptEnd::kAnswered;
    call.answers[attempt] = reply;
  }
  end_attempt(attempt, result);
}

void RouterNode::end_attempt(router::AttemptId attempt, const router::AttemptResult& result) {
  if (connections_.erase(attempt) > 0) {
    core_->on_attempt_done(host().clock(), attempt, result);
    flush();
  }
}

void RouterNode::answer(const router::Answer& answer) {
  const auto found = calls_.find(answer.handle);
  if (found == calls_.end()) {
    return;
  }
  CallerReply reply;
  reply.outcome = answer.outcome;
  if (answer.outcome == routing::Outcome::kAnswered) {
    const WorkReply& work = found->second.answers.at(answer.attempt);
    reply.answer_to = work.answer_to;
    reply.whole = work.whole;
  }
  found->second.reply(reply);
  calls_.erase(found);
}

void RouterNode::observe_service() {
  const bool serving = is_serving();
  if (!serving) {
    if (was_serving_) {
      environment_.observe(RouterStopped{options_.name.value});
    }
    was_serving_ = false;
    served_.clear();
    return;
  }
  was_serving_ = true;
  for (const auto& [tenant, revision] : core_->table().tenants()) {
    std::uint64_t& served = served_[tenant.value];
    if (served != revision.value) {
      served = revision.value;
      environment_.observe(
          RouterServes{options_.name.value, "tenant/" + tenant.value, revision.value});
    }
  }
}

}  // namespace planktray::sim

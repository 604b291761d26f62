#include "sim/callers.hpp"

#include <cmath>

#include "sim/router_node.hpp"

namespace planktray::sim {

Callers::Callers(Environment& environment, Directory& directory, HostId host,
                 const Deployment& deployment, CallerOptions options)
    : environment_(environment),
      directory_(directory),
      host_(host),
      deployment_(deployment),
      options_(options),
      random_(environment.random()) {}

void Callers::start() {
  running_ = true;
  next_shift_ = environment_.now() + options_.hot_shift;
  schedule_next();
}

void Callers::schedule_next() {
  const double wait_us = -std::log(1.0 - common::uniform_real(random_)) * 1e6 / options_.rate;
  environment_.scheduler.after(Duration(static_cast<Duration::rep>(wait_us) + 1), [this] {
    if (running_) {
      send_one();
      schedule_next();
    }
  });
}

const ServiceSize& Callers::draw_service() {
  double left = common::uniform_real(random_);
  for (const ServiceSize& service : deployment_.services) {
    left -= service.request_share;
    if (left < 0) {
      return service;
    }
  }
  return deployment_.services.back();
}

std::string Callers::draw_key() {
  if (options_.hot_shift.count() > 0 && environment_.now() >= next_shift_) {
    next_shift_ += options_.hot_shift;
    hot_key_ = common::uniform(random_, 0, options_.keys - 1);
  }
  if (common::chance(random_, options_.hot_share)) {
    return "key-" + std::to_string(hot_key_);
  }
  return "key-" + std::to_string(common::uniform(random_, 0, options_.keys - 1));
}

void Callers::send_one() {
  std::vector<RouterNode*> listening;
  for (RouterNode* router : directory_.routers()) {
    if (router->is_listening()) {
      listening.push_back(router);
    }
  }
  if (listening.empty()) {
    return;
  }
  RouterNode* router = listening[common::uniform(random_, 0, listening.size() - 1)];
  const ServiceSize& service = draw_service();
  CallerCall call;
  call.request = "r" + std::to_string(next_request_++);
  call.service = {common::TenantName(deployment_.tenant), common::ServiceName(service.name)};
  const bool writes = common::chance(random_, options_.write_share);
  call.method = writes ? "POST" : "GET";
  if (service.keyed) {
    call.key = draw_key();
  }
  environment_.observe(RequestSent{call.request, !writes});
  environment_.measures.on_sent();
  const TimePoint sent = environment_.now();
  environment_.network.send_once(host_, router->host_id(), [this, router, call, sent] {
    if (!router->is_up()) {
      return;
    }
    router->receive(call, [this, router, request = call.request, sent](const CallerReply& reply) {
      environment_.network.send_once(router->host_id(), host_, [this, request, sent, reply] {
        environment_.observe(RequestTold{request, reply.outcome, reply.answer_to, reply.whole});
        environment_.measures.on_told(reply.outcome, environment_.now() - sent);
      });
    });
  });
}

}  // namespace planktray::sim

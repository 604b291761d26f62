/// RouteWorld: requests, from their callers to back ends and back.

#include "sim/route_world_impl.hpp"

namespace planktray::sim::route_world {

void RouteWorld::ask_crashing() {
  if (now_ < next_crashing_ || !has(RouteFault::kCrashingRequests)) {
    return;
  }
  next_crashing_ = now_ + milliseconds(common::uniform(crash_random_, 150, 900));
  const std::uint64_t which = common::uniform(crash_random_, 0, kCrashingRequests - 1);
  Node& node = nodes_[common::uniform(crash_random_, 0, nodes_.size() - 1)];
  const std::size_t service = which % kServices;
  const auto key = static_cast<std::uint32_t>(which * kRangeKeys * 7);
  send_request(node, service, key, kCrashingDigests + which);
}

void RouteWorld::ask() {
  const double expected =
      options_.requests_per_second * std::chrono::duration<double>(kStep).count();
  for (double left = expected; left > 0; left -= 1) {
    if (left >= 1 || common::chance(random_, left)) {
      ask_one();
    }
  }
}

void RouteWorld::ask_one() {
  constexpr std::array<double, kServices> kUntil = {0.75, 0.83, 1.0};
  const double draw = common::uniform_real(random_);
  const auto service = static_cast<std::size_t>(
      std::find_if(kUntil.begin(), kUntil.end(), [&](double until) { return draw < until; }) -
      kUntil.begin());
  Node& node = nodes_[uniform(nodes_.size())];
  const auto key = service == kKeyed ? static_cast<std::uint32_t>(uniform(config::kKeyCount)) : 0U;
  const std::uint64_t digest = 1 + common::uniform(crash_random_, 0, kOrdinaryDigests - 1);
  send_request(node, service, key, digest);
}

void RouteWorld::send_request(Node& node, std::size_t service, std::uint32_t key,
                              std::uint64_t digest) {
  router::CallerRequest request;
  request.handle = ++last_request_;
  request.method = "GET";
  request.timeout_ms = 1200;
  request.route = router::RouteCall{kNames[service], "/x", std::nullopt};
  if (service == kKeyed) {
    request.route->key = key;
  }
  request.digest = node.core->needs_digests() ? digest : 0;
  ++result_.requests;
  stories_[request.handle] = {service, service != kSmall, 0, false, digest};
  audit_.on_request(now_, service);
  node.core->on_request(now_, request);
  flush(node);
}

void RouteWorld::flush(Node& node) {
  for (router::RouterOutput output = node.core->take_output(); !output.empty();
       output = node.core->take_output()) {
    for (const Answer& answer : output.answers) {
      on_answer(answer);
    }
    for (const router::ReachabilityProbe& probe : output.reachability_probes) {
      const auto place = static_cast<std::size_t>(&node - nodes_.data());
      after(kReachDelay, [this, place, life = node.life, probe] {
        Node& asker = nodes_[place];
        if (asker.life == life) {
          const bool listens = at_address_.contains(probe.address);
          asker.core->on_reachability_probed(now_, probe.backend, listens);
          flush(asker);
        }
      });
    }
    for (const routing::PathProbe& probe : output.path_probes) {
      const auto place = static_cast<std::size_t>(&node - nodes_.data());
      const bool listens = at_address_.contains(probe.address);
      after(listens ? 2 * kOneWay : kConnectFailure,
            [this, place, life = node.life, probe, listens] {
              Node& asker = nodes_[place];
              if (asker.life == life) {
                asker.core->on_path_probed(now_, probe, listens);
                flush(asker);
              }
            });
    }
    for (const Forward& forward : output.forwards) {
      const auto place = static_cast<std::size_t>(&node - nodes_.data());
      node.core->on_attempt_written(forward.attempt);
      after(kOneWay, [this, place, life = node.life, forward] { arrive(place, life, forward); });
    }
    if (output.hello.has_value() && now_ >= node.cut_until) {
      after(kOneWay, [this, &node, life = node.life, hello = *output.hello] {
        (void)suspects_.on_hello(now_, hello);
        node.read_clock_us = node.life == life ? hello.clock_us : node.read_clock_us;
      });
      for (const BackendId id : output.hello->ended) {
        after(kCommitTime, [this, id] { drop_owner(id); });
      }
    }
  }
}

void RouteWorld::on_answer(const Answer& answer) {
  Story& story = stories_.at(answer.handle);
  if (answer.outcome == routing::Outcome::kAnswered) {
    ++result_.answered;
  } else if (answer.outcome == routing::Outcome::kNotRun) {
    story.told_not_run = true;
    const bool is_proper = story.digest < kCrashingDigests;
    if (is_proper && answer.reason == routing::NotRunReason::kCrashesTargets) {
      ++result_.wrongly_refused;
      violate("request " + std::to_string(answer.handle) +
              " is refused as one that crashes its targets, and it is not");
    }
    if (story.runs > 0) {
      violate("request " + std::to_string(answer.handle) + " is called not run, and it has run");
    }
  }
}

void RouteWorld::reply(Duration wait, std::size_t place, std::uint64_t life,
                       router::AttemptId attempt, AttemptResult result) {
  after(wait + kOneWay, [this, place, life, attempt, result = std::move(result)] {
    Node& node = nodes_[place];
    if (node.life == life) {
      node.core->on_attempt_done(now_, attempt, result);
      flush(node);
    }
  });
}

AttemptResult RouteWorld::refusal(Refusal reason, const Process& process) {
  AttemptResult result;
  result.end = AttemptEnd::kRefused;
  result.refusal = reason;
  result.answered_by = process.incarnation;
  return result;
}

void RouteWorld::arrive(std::size_t place, std::uint64_t life, const Forward& forward) {
  const auto found = at_address_.find(forward.address);
  if (found == at_address_.end()) {
    AttemptResult result;
    result.end = AttemptEnd::kNotSent;
    return reply(kConnectFailure, place, life, forward.attempt, result);
  }
  Process& process = found->second;
  audit_.on_arrival(now_, process.service, forward.handle);
  if (process.incarnation != forward.incarnation) {
    ++result_.misdirected;
    return reply({}, place, life, forward.attempt, refusal(Refusal::kWrongIncarnation, process));
  }
  if (const Story& story = stories_.at(forward.handle); story.digest >= kCrashingDigests) {
    const Node& node = nodes_[place];
    const bool in_touch =
        now_ >= node.in_touch_since + kContact && now_ >= leader_since_ + kContact;
    crash_audit_.on_arrival(now_, story.digest, in_touch,
                            [this](const std::string& text) { violate(text); });
  }
  limits_.on_arrival(now_, process.id, place, [this](const std::string& text) { violate(text); });
  if (forward.keyed && now_ < process.granted) {
    return reply({}, place, life, forward.attempt, refusal(Refusal::kNotOwner, process));
  }
  if (process.running >= kSlots + kQueue) {
    return reply({}, place, life, forward.attempt, refusal(Refusal::kShed, process));
  }
  run_request(place, life, forward, process);
}

void RouteWorld::run_request(std::size_t place, std::uint64_t life, const Forward& forward,
                             Process& process) {
  Story& story = stories_.at(forward.handle);
  ++story.runs;
  if (story.runs > 1 && !story.repeatable) {
    violate("request " + std::to_string(forward.handle) + " runs again");
  }
  if (story.told_not_run) {
    violate("request " + std::to_string(forward.handle) + " runs, and was called not run");
  }
  ++process.running;
  const double queued = static_cast<double>(process.running) / kSlots;
  const Duration work(
      static_cast<Duration::rep>(kWorkMs[process.service] * 1000 * std::max(1.0, queued) *
                                 (0.6 + 0.8 * common::uniform_real(random_))));
  if (story.digest >= kCrashingDigests) {
    return crash(place, forward, story.digest);
  }
  running_[process.id].push_back({place, life, forward.attempt, story.digest});
  const bool lost = now_ < answers_lost_until_ && common::chance(random_, 0.5);
  AttemptResult result;
  result.end = lost ? AttemptEnd::kBroken : AttemptEnd::kAnswered;
  result.is_failure = !lost && common::chance(random_, 0.005);
  result.connection_ended = lost;
  result.digest = story.digest;
  result.limit = {!lost, lost ? std::nullopt : process.limit};
  const BackendId id = process.id;
  if (result.limit.per_second.has_value()) {
    after(work + kOneWay, [this, id, place, life] {
      if (nodes_[place].life == life) {
        limits_.on_told(now_, id, place);
      }
    });
  }
  after(work, [this, address = process.address, id, attempt = forward.attempt, place] {
    std::erase_if(running_[id], [&](const Running& running) {
      return running.attempt == attempt && running.place == place;
    });
    const auto present = at_address_.find(address);
    if (present != at_address_.end() && present->second.id == id) {
      --present->second.running;
    }
  });
  reply(work, place, life, forward.attempt, result);
}

}  // namespace planktray::sim::route_world

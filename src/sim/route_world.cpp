#include "sim/route_world_impl.hpp"

namespace planktray::sim {
namespace route_world {

RouteWorld::RouteWorld(const RouteWorldOptions& options)
    : options_(options),
      random_(options.seed),
      limit_random_(options.seed + kLimitStream),
      crash_random_(options.seed + kCrashStream),
      audit_(options.router.retry_window, kServices),
      suspects_(options.crash_ledger) {
  for (std::size_t service = 0; service < kServices; ++service) {
    for (std::size_t i = 0; i < kTargets[service]; ++i) {
      start_process(service, new_address());
    }
  }
  publish(first_table());
  for (std::size_t i = 0; i < options_.routers; ++i) {
    nodes_.emplace_back();
    start_router(nodes_.back());
  }
}

RouteWorldResult RouteWorld::run() {
  const TimePoint end = now_ + options_.length;
  while (now_ < end) {
    now_ += kStep;
    events_.run_due(now_);
    make_trouble();
    name_limits();
    change_leader();
    ask_crashing();
    send_tables();
    ask();
    for (Node& node : nodes_) {
      node.core->tick(now_);
      flush(node);
    }
  }
  audit_.judge([this](const std::string& text) { violate(text); });
  result_.repeats = audit_.repeats();
  result_.limited = limits_.counted();
  result_.crashing = crash_audit_.crashed_three();
  return result_;
}

bool RouteWorld::has(RouteFault fault) const {
  return std::find(options_.faults.begin(), options_.faults.end(), fault) != options_.faults.end();
}

void RouteWorld::violate(const std::string& text) {
  const auto when = std::chrono::duration_cast<milliseconds>(now_.time_since_epoch()).count();
  result_.violations.push_back("at " + std::to_string(when) + " ms " + text);
}

Duration RouteWorld::between(std::int64_t first_ms, std::int64_t last_ms) {
  return milliseconds(first_ms + static_cast<std::int64_t>(
                                     uniform(static_cast<std::uint64_t>(last_ms - first_ms))));
}

void RouteWorld::make_trouble() {
  if (now_ < next_trouble_) {
    return;
  }
  next_trouble_ = now_ + between(1000, 3000);
  const auto turn = static_cast<RouteFault>(uniform(4));
  Node& node = nodes_[uniform(nodes_.size())];
  if (turn == RouteFault::kReusedAddresses && has(turn)) {
    end_owners();
  } else if (turn == RouteFault::kCutRouters && has(turn)) {
    for (Node& cut : nodes_) {
      if (common::chance(random_, 0.4)) {
        cut.cut_until = now_ + between(2000, 7000);
        cut.in_touch_since = cut.cut_until;
        limits_.excuse(static_cast<std::size_t>(&cut - nodes_.data()));
      }
    }
  } else if (turn == RouteFault::kLostAnswers && has(turn)) {
    answers_lost_until_ = now_ + between(2000, 7000);
  } else if (turn == RouteFault::kRestartedRouters && has(turn)) {
    limits_.excuse(static_cast<std::size_t>(&node - nodes_.data()));
    start_router(node);
  }
}

void RouteWorld::start_router(Node& node) {
  router::RouterOptions options = options_.router;
  options.name = common::RouterName("r" + std::to_string(&node - nodes_.data()));
  options.zone = common::ZoneName("z");
  node.core = std::make_unique<router::RouterCore>(
      options, common::RandomEngine(options_.seed + ++lives_), now_);
  node.life = lives_;
  node.read_clock_us = 0;
  node.in_touch_since = now_;
}

void RouteWorld::send_tables() {
  if (now_ < next_tables_) {
    return;
  }
  next_tables_ = now_ + kCommitTime;
  for (std::size_t i = 0; i < nodes_.size(); ++i) {
    Node& node = nodes_[i];
    if (now_ < node.cut_until) {
      continue;
    }
    routing::TableUpdate update;
    update.cell = options_.router.cell;
    update.echo_clock_us = node.read_clock_us;
    update.router_rank = static_cast<std::uint32_t>(i);
    update.router_count = static_cast<std::uint32_t>(nodes_.size());
    update.term = common::Term(term_);
    update.suspects = suspects_.suspects(now_);
    update.base_index = node.core->table().index();
    update.current_index = deltas_.back().to;
    for (const routing::TableDelta& delta : deltas_) {
      if (delta.to > update.base_index) {
        update.deltas.push_back(delta);
      }
    }
    node.core->on_table_update(now_, update);
  }
}

void RouteWorld::change_leader() {
  if (now_ < next_leader_ || !has(RouteFault::kCrashingRequests)) {
    return;
  }
  next_leader_ = now_ + milliseconds(common::uniform(crash_random_, 8000, 20'000));
  ++term_;
  suspects_.begin_term();
  for (Node& node : nodes_) {
    node.read_clock_us = 0;
  }
  next_tables_ = now_ + milliseconds(common::uniform(crash_random_, 400, 1200));
  leader_since_ = next_tables_;
}

}  // namespace route_world

RouteWorldResult run_route_world(const RouteWorldOptions& options) {
  return route_world::RouteWorld(options).run();
}

const std::vector<RouteMutant>& all_route_mutants() {
  static const std::vector<RouteMutant> kMutants = {
      {"ended-owners-asked-again", "a back end that another incarnation answers for gets nothing",
       [](RouteWorldOptions& options) { options.router.ended_retention = common::Duration(0); }},
      {"repeats-without-bound", "repeats stay within the service's budget",
       [](RouteWorldOptions& options) { options.router.retry_window.spent_share = 20; }},
      {"unknown-called-not-run", "what may have run is never called not run",
       [](RouteWorldOptions& options) { options.router.claim_not_run = true; }},
      {"crashing-requests-go-on", "a request that crashes its targets is refused",
       [](RouteWorldOptions& options) { options.router.crash_suspects.is_enabled = false; }},
      {"lost-answers-are-crashes", "only the end of a target counts as a crash",
       [](RouteWorldOptions& options) { options.router.crash_suspects.probes_target = false; }},
      {"one-crash-is-proof", "what only shared a target's end is no suspect",
       [](RouteWorldOptions& options) {
         options.crash_ledger.threshold = 1;
         options.router.crash_suspects.ledger.threshold = 1;
       }},
      {"limits-not-kept", "all routers together keep to the limits that back ends name",
       [](RouteWorldOptions& options) { options.router.limited_targets.is_enabled = false; }},
      {"limit-for-each-router", "each router takes its part of a limit, not the whole",
       [](RouteWorldOptions& options) { options.router.limited_targets.share = 6; }},
  };
  return kMutants;
}

}  // namespace planktray::sim

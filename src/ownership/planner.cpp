#include "ownership/planner.hpp"

#include <algorithm>
#include <limits>
#include <optional>

#include "common/hash.hpp"

namespace planktray::ownership {
namespace {

constexpr std::uint64_t kVirtualNodes = 64;
/// A target below this fraction of the mean load, such as one that has just joined, is given shards
/// even if no target is above the limit.
constexpr double kUnderloadFraction = 0.5;

bool contains(const std::vector<BackendId>& ids, BackendId id) {
  return std::find(ids.begin(), ids.end(), id) != ids.end();
}

std::string shard_label(ShardNumber shard) { return std::to_string(shard.value); }

}  // namespace

struct Planner::Workspace {
  const ServiceRecord& service;
  std::vector<BackendId> targets;
  std::set<BackendId> lost;
  std::vector<double> weights;                  ///< by shard
  std::map<BackendId, double> assigned_weight;  ///< by target, with the effects of the plan
  std::uint32_t moving = 0;

  /// Returns the least loaded target, or nothing if there are no targets.
  std::optional<BackendId> least_loaded() const {
    std::optional<BackendId> best;
    double least = std::numeric_limits<double>::max();
    for (const auto& [id, weight] : assigned_weight) {
      if (weight < least) {
        least = weight;
        best = id;
      }
    }
    return best;
  }
  /// Adds the weight of a shard to its target.
  void add_weight(BackendId id, ShardNumber shard) {
    const auto found = assigned_weight.find(id);
    if (found != assigned_weight.end()) {
      found->second += weights[shard.value];
    }
  }
};

void Planner::begin_term() {
  budgets_.clear();
  moved_at_.clear();
}

ApplyPlan Planner::plan(common::TimePoint now, const PlannerInput& input) {
  ApplyPlan plan;
  plan.lost = input.lost;
  const std::set<BackendId> lost(input.lost.begin(), input.lost.end());
  for (const auto& [id, service] : input.state.services()) {
    Workspace work{service, choose_targets(service, input), lost, {}, {}, 0};
    if (!service.retired && work.targets != service.targets) {
      plan.targets.push_back({id, work.targets});
    }
    if (service.shards.empty()) {
      continue;
    }
    double total = 0;
    for (std::uint32_t i = 0; i < service.shards.size(); ++i) {
      work.weights.push_back(input.loads.rate(id, ShardNumber(i)));
      total += work.weights.back();
    }
    const double idle =
        options_.idle_weight * std::max(total / static_cast<double>(service.shards.size()), 1e-3);
    for (double& weight : work.weights) {
      weight += idle;
    }
    for (const BackendId target : work.targets) {
      work.assigned_weight[target] = 0;
    }
    for (std::uint32_t i = 0; i < service.shards.size(); ++i) {
      const ShardRecord& shard = service.shards[i];
      work.add_weight(shard.moving ? shard.move_to : shard.owner, ShardNumber(i));
      work.moving += shard.moving ? 1 : 0;
    }
    place_released(work, input, plan);
    place_unowned(work, plan);
    drain_non_targets(work, plan);
    if (input.balance && !service.retired) {
      balance(now, work, plan);
    }
  }
  return plan;
}

std::vector<BackendId> Planner::choose_targets(const ServiceRecord& service,
                                               const PlannerInput& input) const {
  const auto& wanted_zones = service.config.zones;
  const auto eligible = [&](const BackendRecord& backend) {
    const bool in_zone = wanted_zones.empty() || std::find(wanted_zones.begin(), wanted_zones.end(),
                                                           backend.zone) != wanted_zones.end();
    return in_zone && backend.pool == service.config.parameters.pool &&
           backend.has_contract(OwnershipContract::kHolderClockLease) &&
           !input.state.is_draining(backend) &&
           std::find(input.lost.begin(), input.lost.end(), backend.id) == input.lost.end();
  };
  std::vector<BackendId> targets;
  std::map<common::ZoneName, std::uint32_t> per_zone;
  std::set<common::MachineName> machines;
  const auto add_target = [&](const BackendRecord& backend) {
    targets.push_back(backend.id);
    ++per_zone[backend.zone];
    machines.insert(backend.machine);
  };
  if (service.retired) {
    return targets;
  }
  for (const BackendId id : service.targets) {
    const BackendRecord* backend = input.state.find_backend(id);
    if (backend != nullptr && eligible(*backend) && targets.size() < service.config.targets) {
      add_target(*backend);
    }
  }
  while (targets.size() < service.config.targets) {
    const BackendRecord* best = nullptr;
    for (const auto& [id, backend] : input.state.backends()) {
      if (!eligible(backend) || machines.contains(backend.machine)) {
        continue;
      }
      if (best == nullptr || per_zone[backend.zone] < per_zone[best->zone]) {
        best = &backend;
      }
    }
    if (best == nullptr) {
      break;
    }
    add_target(*best);
  }
  return targets;
}

void Planner::place_released(Workspace& work, const PlannerInput& input, ApplyPlan& plan) {
  if (work.moving == 0 || input.released.empty()) {
    return;
  }
  for (std::uint32_t i = 0; i < work.service.shards.size(); ++i) {
    const ShardRecord& shard = work.service.shards[i];
    const HeldShard held{work.service.config.key, ShardNumber(i), shard.epoch};
    if (!shard.moving || work.lost.contains(shard.owner) || !input.released.contains(held)) {
      continue;
    }
    BackendId owner = shard.move_to;
    if (!contains(work.targets, owner)) {
      owner = work.least_loaded().value_or(BackendId());
      work.add_weight(owner, ShardNumber(i));
    }
    plan.assignments.push_back({work.service.id, ShardNumber(i), shard.epoch, owner});
  }
}

void Planner::place_unowned(Workspace& work, ApplyPlan& plan) {
  if (work.service.retired) {
    return;
  }
  std::vector<ShardNumber> unowned;
  for (std::uint32_t i = 0; i < work.service.shards.size(); ++i) {
    const ShardRecord& shard = work.service.shards[i];
    if (shard.owner.value == 0 || work.lost.contains(shard.owner)) {
      unowned.emplace_back(i);
    }
  }
  // Heaviest first, each to the least loaded target (longest processing time rule, Graham 1969).
  std::stable_sort(unowned.begin(), unowned.end(), [&](ShardNumber a, ShardNumber b) {
    return work.weights[a.value] > work.weights[b.value];
  });
  for (const ShardNumber number : unowned) {
    const ShardRecord& shard = work.service.shards[number.value];
    BackendId owner = shard.moving ? shard.move_to : BackendId();
    if (!contains(work.targets, owner)) {
      const auto least_loaded = work.least_loaded();
      if (!least_loaded.has_value()) {
        return;
      }
      owner = options_.mode == BalanceMode::kBudgeted || options_.mode == BalanceMode::kGreedy
                  ? *least_loaded
                  : load_independent_owner(work, number);
      work.add_weight(owner, number);
    }
    plan.assignments.push_back({work.service.id, number, shard.epoch, owner});
  }
}

void Planner::drain_non_targets(Workspace& work, ApplyPlan& plan) {
  for (std::uint32_t i = 0; i < work.service.shards.size(); ++i) {
    const ShardRecord& shard = work.service.shards[i];
    const bool is_misplaced = shard.owner.value != 0 && !work.lost.contains(shard.owner) &&
                              !contains(work.targets, shard.owner);
    if (!is_misplaced || shard.moving) {
      continue;
    }
    if (work.moving >= options_.concurrent_moves) {
      return;
    }
    const auto to = work.least_loaded();
    if (!to.has_value() && !work.service.retired) {
      return;  // a leaving owner is better than no owner
    }
    ++work.moving;
    work.add_weight(to.value_or(BackendId()), ShardNumber(i));
    plan.moves.push_back({work.service.id, ShardNumber(i), shard.epoch, to.value_or(BackendId())});
  }
}

BackendId Planner::load_independent_owner(const Workspace& work, ShardNumber shard) const {
  if (options_.mode == BalanceMode::kModulo) {
    return work.targets[shard.value % work.targets.size()];
  }
  const std::uint64_t point = common::hash_bytes(shard_label(shard), 1);
  BackendId best;
  std::uint64_t best_distance = UINT64_MAX;
  for (const BackendId target : work.targets) {
    for (std::uint64_t i = 0; i < kVirtualNodes; ++i) {
      const std::uint64_t distance =
          common::hash_bytes(std::to_string(target.value) + ":" + std::to_string(i), 2) - point;
      if (distance < best_distance) {
        best_distance = distance;
        best = target;
      }
    }
  }
  return best;
}

void Planner::balance(common::TimePoint now, Workspace& work, ApplyPlan& plan) {
  const bool ignores_load =
      options_.mode == BalanceMode::kModulo || options_.mode == BalanceMode::kConsistentHash;
  if (work.assigned_weight.size() < 2 || work.moving >= options_.concurrent_moves) {
    return;
  }
  if (ignores_load) {
    for (std::uint32_t i = 0; i < work.service.shards.size(); ++i) {
      const ShardRecord& shard = work.service.shards[i];
      const BackendId wanted = load_independent_owner(work, ShardNumber(i));
      const bool is_settled = shard.moving || shard.owner.value == 0 || shard.owner == wanted ||
                              work.lost.contains(shard.owner);
      if (!is_settled && contains(work.targets, shard.owner) &&
          work.moving < options_.concurrent_moves) {
        ++work.moving;
        ++balancing_moves_;
        plan.moves.push_back({work.service.id, ShardNumber(i), shard.epoch, wanted});
      }
    }
    return;
  }
  const auto by_weight = [](const auto& a, const auto& b) { return a.second < b.second; };
  const auto [least_loaded, most_loaded] =
      std::minmax_element(work.assigned_weight.begin(), work.assigned_weight.end(), by_weight);
  double total = 0;
  for (const auto& [id, weight] : work.assigned_weight) {
    total += weight;
  }
  const double mean = total / static_cast<double>(work.assigned_weight.size());
  const config::BalancePolicy& policy = work.service.config.parameters.balance;
  const bool greedy = options_.mode == BalanceMode::kGreedy;
  const bool is_even = most_loaded->second <= policy.max_imbalance * mean &&
                       least_loaded->second >= kUnderloadFraction * mean;
  if (!greedy && is_even) {
    return;
  }
  // The shard whose move minimizes the higher load of the two targets.
  std::optional<ShardNumber> best;
  double best_peak = most_loaded->second - (greedy ? 0.0 : policy.minimum_gain * mean);
  for (std::uint32_t i = 0; i < work.service.shards.size(); ++i) {
    const ShardRecord& shard = work.service.shards[i];
    if (shard.owner != most_loaded->first || shard.moving ||
        (!greedy && must_stay(now, work.service, ShardNumber(i)))) {
      continue;
    }
    const double peak =
        std::max(most_loaded->second - work.weights[i], least_loaded->second + work.weights[i]);
    if (peak < best_peak) {
      best_peak = peak;
      best = ShardNumber(i);
    }
  }
  if (!best.has_value() || (!greedy && !spend_token(now, work.service))) {
    return;
  }
  ++balancing_moves_;
  moved_at_[{work.service.id, *best}] = now;
  plan.moves.push_back(
      {work.service.id, *best, work.service.shards[best->value].epoch, least_loaded->first});
}

bool Planner::must_stay(common::TimePoint now, const ServiceRecord& service,
                        ShardNumber shard) const {
  const auto moved = moved_at_.find({service.id, shard});
  const std::chrono::milliseconds stay(service.config.parameters.balance.minimum_stay_ms);
  return moved != moved_at_.end() && now - moved->second < stay;
}

bool Planner::spend_token(common::TimePoint now, const ServiceRecord& service) {
  const double per_minute = service.config.parameters.balance.moves_per_minute;
  const bool is_new = !budgets_.contains(service.id);
  Budget& budget = budgets_[service.id];
  if (is_new) {
    budget = {0.0, now};  // starts empty, as a new leader has no load reports yet
  }
  const double minutes =
      std::chrono::duration<double, std::ratio<60>>(now - budget.filled_at).count();
  budget.tokens = std::min(per_minute, budget.tokens + minutes * per_minute);
  budget.filled_at = now;
  if (budget.tokens < 1.0) {
    return false;
  }
  budget.tokens -= 1.0;
  return true;
}

}  // namespace planktray::ownership

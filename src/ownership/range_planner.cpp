#include "ownership/range_planner.hpp"

#include <algorithm>

namespace planktray::ownership {
namespace {

/// Load that a key counts beside what was seen of it, as a share of the mean: where nothing is
/// known, keys count alike.
constexpr double kIdleShare = 0.15;
constexpr double kSmallestTotal = 1.0;
/// A piece may exceed the load that is wanted by this factor.
constexpr double kWindowTolerance = 1.25;

}  // namespace

/// One service while it is planned.
struct RangePlanner::Workspace {
  const RangePlannerInput& input;
  const RoutedServiceRecord& service;
  double idle_rate = 0;                 ///< of one key, beside what was seen
  double total = 0;                     ///< of all keys
  std::map<BackendId, double> carried;  ///< by eligible target, with what the plan adds
  std::uint32_t moving = 0;

  Workspace(const RangePlannerInput& planner_input, const RoutedServiceRecord& record)
      : input(planner_input), service(record) {
    const KeyRange all;
    const double seen = input.loads.rate(service.id, all);
    idle_rate = kIdleShare * std::max(seen, kSmallestTotal) / config::kKeyCount;
    total = seen + idle_rate * config::kKeyCount;
    for (const auto& [id, backend] : input.state.backends()) {
      if (backend.pool.value == service.config.name.value && input.is_eligible(backend)) {
        carried[id] = 0;
      }
    }
    for (const auto& [first, range] : service.ranges.records()) {
      carry(range.moving ? range.move_to : range.owner, load(range.keys));
      moving += range.moving ? 1 : 0;
    }
  }

  double load(const KeyRange& keys) const {
    return input.loads.rate(service.id, keys) + idle_rate * keys.size();
  }
  bool is_target(BackendId id) const { return carried.contains(id); }
  void carry(BackendId id, double weight) {
    const auto found = carried.find(id);
    if (found != carried.end()) {
      found->second += weight;
    }
  }
  double mean() const { return total / static_cast<double>(carried.size()); }
  /// The target that carries the least.
  BackendId lightest() const {
    return std::min_element(carried.begin(), carried.end(),
                            [](const auto& a, const auto& b) { return a.second < b.second; })
        ->first;
  }
  /// The longest beginning of `keys` whose load stays within `room`, one key at least.
  KeyRange beginning(const KeyRange& keys, double room) const {
    std::uint32_t low = keys.first;
    std::uint32_t high = keys.last;
    while (low < high) {
      const std::uint32_t middle = low + (high - low + 1) / 2;
      if (load({keys.first, middle}) <= room) {
        low = middle;
      } else {
        high = middle - 1;
      }
    }
    return {keys.first, low};
  }

  /// The busy keys of `keys` that lie within `most_keys` and come closest to `wanted` load
  /// without much exceeding it; nothing where no key is busy.
  std::optional<KeyRange> window(const KeyRange& keys, double wanted,
                                 std::uint32_t most_keys) const {
    const std::vector<KeyRate> busy = input.loads.busy_keys(service.id, keys);
    std::optional<KeyRange> best;
    double best_sum = 0;
    double sum = 0;
    std::size_t left = 0;
    for (std::size_t right = 0; right < busy.size(); ++right) {
      sum += busy[right].rate;
      while (left <= right && (sum > kWindowTolerance * wanted ||
                               busy[right].key - busy[left].key + 1 > most_keys)) {
        sum -= busy[left++].rate;
      }
      if (left <= right && std::min(sum, wanted) > best_sum) {
        best_sum = std::min(sum, wanted);
        best = KeyRange{busy[left].key, busy[right].key};
      }
    }
    return best;
  }

  /// Cuts `keys` into pieces for the targets that carry the least.
  template <typename Take>
  void spread(KeyRange keys, const Take& take) {
    while (true) {
      const BackendId target = lightest();
      const double room = mean() - carried.at(target);
      KeyRange piece = beginning(keys, room);
      // What is left must be worth a range of its own.
      const bool rest_is_small =
          piece.last < keys.last && load({piece.last + 1, keys.last}) < kIdleShare * mean();
      if (rest_is_small) {
        piece.last = keys.last;
      }
      carry(target, load(piece));
      take(piece, target);
      if (piece.last == keys.last) {
        return;
      }
      keys.first = piece.last + 1;
    }
  }
};

ApplyRangePlan RangePlanner::plan(const RangePlannerInput& input) const {
  ApplyRangePlan plan;
  for (const auto& [id, service] : input.state.routed_services()) {
    if (service.retired || service.ranges.records().empty()) {
      continue;
    }
    Workspace work(input, service);
    if (work.carried.empty()) {
      continue;
    }
    assign_free(work, plan);
    empty_leaving(work, plan);
    if (input.balance) {
      balance(work, plan);
    }
  }
  return plan;
}

void RangePlanner::assign_free(Workspace& work, ApplyRangePlan& plan) const {
  for (const auto& [first, range] : work.service.ranges.records()) {
    if (range.owner.value != 0 && !range.moving) {
      continue;
    }
    const GrantManager::Verdict verdict = work.input.may_assign(work.service.id, range);
    if (!verdict.free) {
      continue;
    }
    if (work.is_target(range.move_to)) {
      plan.assignments.push_back(
          {work.service.id, range.keys, range.fence, range.move_to, verdict.handover});
      continue;
    }
    work.spread(range.keys, [&](const KeyRange& piece, BackendId target) {
      plan.assignments.push_back({work.service.id, piece, range.fence, target, verdict.handover});
    });
  }
}

void RangePlanner::empty_leaving(Workspace& work, ApplyRangePlan& plan) const {
  for (const auto& [first, range] : work.service.ranges.records()) {
    const BackendRecord* owner = work.input.state.find_backend(range.owner);
    if (range.moving || owner == nullptr || !owner->leaving) {
      continue;
    }
    work.spread(range.keys, [&](const KeyRange& piece, BackendId target) {
      plan.moves.push_back({work.service.id, piece, range.fence, target});
    });
  }
}

void RangePlanner::balance(Workspace& work, ApplyRangePlan& plan) const {
  auto budget = static_cast<std::uint32_t>(options_.moved_share * config::kKeyCount);
  while (work.moving < options_.concurrent_moves && work.carried.size() > 1) {
    const auto heaviest =
        std::max_element(work.carried.begin(), work.carried.end(),
                         [](const auto& a, const auto& b) { return a.second < b.second; });
    const double mean = work.mean();
    const double limit = std::max(options_.max_imbalance * mean, mean + options_.tolerated_excess);
    if (heaviest->second <= limit) {
      return;
    }
    const BackendId target = work.lightest();
    const double wanted = std::min(heaviest->second - mean, mean - work.carried.at(target));
    const auto piece = densest_piece(work, heaviest->first, wanted, budget, plan);
    if (!piece.has_value()) {
      return;
    }
    const double weight = work.load(piece->keys);
    heaviest->second -= weight;
    work.carry(target, weight);
    ++work.moving;
    budget -= piece->keys.size();
    plan.moves.push_back({work.service.id, piece->keys, piece->expected_fence, target});
  }
}

std::optional<RangeMove> RangePlanner::densest_piece(const Workspace& work, BackendId owner,
                                                     double wanted, std::uint32_t most_keys,
                                                     const ApplyRangePlan& plan) const {
  std::optional<RangeMove> best;
  double best_density = 0;
  for (const auto& [first, range] : work.service.ranges.records()) {
    const bool planned = std::any_of(plan.moves.begin(), plan.moves.end(), [&](const auto& move) {
      return move.service == work.service.id && move.keys.overlaps(range.keys);
    });
    if (range.owner != owner || range.moving || planned) {
      continue;
    }
    const auto window = work.window(range.keys, wanted, most_keys);
    if (!window.has_value()) {
      continue;
    }
    const double density = work.load(*window) / window->size();
    if (density > best_density) {
      best_density = density;
      best = RangeMove{work.service.id, *window, range.fence, BackendId()};
    }
  }
  return best;
}

}  // namespace planktray::ownership

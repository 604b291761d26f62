#include "ownership/range_workspace.hpp"

#include <algorithm>
#include <iterator>

namespace planktray::ownership {
namespace {

/// Load that a key counts beside what was seen of it, as a share of the mean: where nothing is
/// known, keys count alike.
constexpr double kIdleShare = 0.15;
constexpr double kSmallestTotal = 1.0;
/// A part may exceed the load that is wanted by this factor.
constexpr double kTolerance = 1.25;
/// A cluster is cut out of the middle of a range only if it is this many times denser.
constexpr double kDenseFactor = 5.0;
/// A part carries at least this much of what is wanted.
constexpr double kSmallestPart = 0.3;
/// Capacity of a target that may be given next to nothing: it stays above 0, as loads are divided
/// by it, and low enough to be worth one busy key at most.
constexpr double kLeastCapacity = 0.01;
/// The level rises as capacities are bounded, and with it what a bound is compared with.
constexpr int kBoundingRounds = 3;

}  // namespace

RangePlanner::Workspace::Workspace(const RangePlannerInput& input,
                                   const RoutedServiceRecord& service)
    : input_(input), service_(service) {
  busy_ = input.loads.busy_keys(service.id, KeyRange());
  sums_.push_back(0);
  for (const KeyRate& busy : busy_) {
    sums_.push_back(sums_.back() + busy.rate);
  }
  const double seen = sums_.back();
  idle_rate_ = kIdleShare * std::max(seen, kSmallestTotal) / config::kKeyCount;
  total_ = seen + idle_rate_ * config::kKeyCount;
  for (const auto& [id, backend] : input.state.backends()) {
    if (backend.pool.value == service.config.name.value && input.is_eligible(backend)) {
      targets_[id].capacity = input.capacity(backend);
      targets_[id].may_give_up = !input.can_notify || input.can_notify(id);
      targets_[id].max_load = input.max_load ? input.max_load(backend) : std::nullopt;
      total_capacity_ += targets_[id].capacity;
    }
  }
  bound_capacities();
  for (const auto& [first, range] : service.ranges.records()) {
    carry(range.moving ? range.move_to : range.owner, load(range.keys));
    moving_ += range.moving ? 1 : 0;
    if (!range.moving && range.owner.value != 0) {
      segments_.push_back({range.keys, range.owner, range.fence});
    }
  }
}

void RangePlanner::Workspace::bound_capacities() {
  for (int round = 0; round < kBoundingRounds; ++round) {
    const double present = level();
    total_capacity_ = 0;
    for (auto& [id, target] : targets_) {
      if (target.max_load.has_value()) {
        const double bounded = std::max(*target.max_load / present, kLeastCapacity);
        target.capacity = std::min(target.capacity, bounded);
      }
      total_capacity_ += target.capacity;
    }
  }
}

double RangePlanner::Workspace::load(const KeyRange& keys) const {
  const double seen = sums_[first_busy(keys.last + 1)] - sums_[first_busy(keys.first)];
  return seen + idle_rate_ * keys.size();
}

std::size_t RangePlanner::Workspace::first_busy(std::uint32_t key) const {
  const auto found =
      std::lower_bound(busy_.begin(), busy_.end(), key,
                       [](const KeyRate& busy, std::uint32_t wanted) { return busy.key < wanted; });
  return static_cast<std::size_t>(found - busy_.begin());
}

RangePlanner::Workspace::Targets::iterator RangePlanner::Workspace::lightest() {
  return std::min_element(targets_.begin(), targets_.end(), [](const auto& a, const auto& b) {
    return a.second.utilization() < b.second.utilization();
  });
}

RangePlanner::Workspace::Targets::iterator RangePlanner::Workspace::heaviest() {
  auto heaviest = targets_.end();
  for (auto target = targets_.begin(); target != targets_.end(); ++target) {
    const bool is_heavier =
        heaviest == targets_.end() || target->second.utilization() > heaviest->second.utilization();
    if (target->second.may_give_up && is_heavier) {
      heaviest = target;
    }
  }
  return heaviest;
}

bool RangePlanner::Workspace::may_give_up(BackendId id) const {
  const auto found = targets_.find(id);
  return found == targets_.end() || found->second.may_give_up;
}

void RangePlanner::Workspace::reserve(BackendId id, const KeyRange& keys) {
  const auto found = targets_.find(id);
  total_ = std::max(total_ - load(keys), idle_rate_ * config::kKeyCount);
  total_capacity_ -= found->second.capacity;
  targets_.erase(found);
}

void RangePlanner::Workspace::carry(BackendId id, double load) {
  const auto found = targets_.find(id);
  if (found != targets_.end()) {
    found->second.load += load;
  }
}

void RangePlanner::Workspace::move(ApplyRangePlan& plan, const KeyRange& keys, Epoch fence,
                                   BackendId from, BackendId to) {
  const double moved = load(keys);
  carry(from, -moved);
  carry(to, moved);
  ++moving_;
  cut_out(keys);
  plan.moves.push_back({service_.id, keys, fence, to});
}

void RangePlanner::Workspace::cut_out(const KeyRange& keys) {
  const auto found = std::find_if(segments_.begin(), segments_.end(), [&](const Segment& segment) {
    return segment.keys.contains(keys);
  });
  if (found == segments_.end()) {
    return;
  }
  const Segment whole = *found;
  segments_.erase(found);
  if (whole.keys.first < keys.first) {
    segments_.push_back({{whole.keys.first, keys.first - 1}, whole.owner, whole.fence});
  }
  if (keys.last < whole.keys.last) {
    segments_.push_back({{keys.last + 1, whole.keys.last}, whole.owner, whole.fence});
  }
}

KeyRange RangePlanner::Workspace::beginning(const KeyRange& keys, double room) const {
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

std::optional<KeyRange> RangePlanner::Workspace::cluster(const KeyRange& keys,
                                                         double wanted) const {
  std::optional<KeyRange> best;
  double best_sum = 0;
  double sum = 0;
  std::size_t left = first_busy(keys.first);
  const std::size_t end = first_busy(keys.last + 1);
  for (std::size_t right = left; right < end; ++right) {
    sum += busy_[right].rate;
    while (left <= right && sum > kTolerance * wanted) {
      sum -= busy_[left++].rate;
    }
    if (left > right) {
      continue;
    }
    const KeyRange run{busy_[left].key, busy_[right].key};
    const double worth = std::min(sum, wanted);
    const bool is_denser =
        !best.has_value() || worth * best->size() > best_sum * run.size() * kTolerance;
    if (sum >= kSmallestPart * wanted && is_denser) {
      best = run;
      best_sum = worth;
    }
  }
  return best;
}

std::optional<Segment> RangePlanner::Workspace::part_of(BackendId owner, double wanted) const {
  std::optional<Segment> best;
  double best_load = 0;
  for (const Segment& segment : segments_) {
    if (segment.owner != owner) {
      continue;
    }
    KeyRange part = beginning(segment.keys, wanted);
    const auto dense = cluster(segment.keys, wanted);
    const bool is_dense =
        dense.has_value() && load(*dense) * part.size() > kDenseFactor * load(part) * dense->size();
    part = is_dense ? *dense : part;
    const double part_load = load(part);
    const bool fits = part_load <= kTolerance * wanted && part_load >= kSmallestPart * wanted;
    if (fits && part_load > best_load) {
      best_load = part_load;
      best = Segment{part, owner, segment.fence};
    }
  }
  return best;
}

}  // namespace planktray::ownership

#include "ownership/range_workspace.hpp"

#include <algorithm>
#include <iterator>

namespace planktray::ownership {
namespace {

/// Load added to the observed load of each key, as a fraction of the mean load of a key, so that
/// keys without observations have equal loads.
constexpr double kIdleShare = 0.15;
/// Least total load from which the added load is derived, in requests per second.
constexpr double kMinTotalLoad = 1.0;
/// A part may exceed the wanted load by this factor.
constexpr double kTolerance = 1.25;
/// A cluster is cut out of the middle of a range only if its load per key is higher than that of
/// the beginning of the range by this factor.
constexpr double kDenseFactor = 5.0;
/// A part carries at least this fraction of the wanted load.
constexpr double kMinPartFraction = 0.3;
/// Least capacity of a target whose maximum load is almost 0. Positive, as loads are divided by it,
/// and low enough for at most one busy key.
constexpr double kMinCapacity = 0.01;
/// Limiting capacities raises the mean utilization, from which the limits are derived: repeated
/// until it has about converged.
constexpr int kCapacityLimitRounds = 3;

}  // namespace

RangePlanner::Workspace::Workspace(const RangePlannerInput& input,
                                   const RoutedServiceRecord& service)
    : input_(input), service_(service) {
  busy_ = input.loads.busy_keys(service.id, KeyRange());
  prefix_sums_.push_back(0);
  for (const KeyRate& busy : busy_) {
    prefix_sums_.push_back(prefix_sums_.back() + busy.rate);
  }
  const double observed = prefix_sums_.back();
  idle_rate_ = kIdleShare * std::max(observed, kMinTotalLoad) / config::kKeyCount;
  total_load_ = observed + idle_rate_ * config::kKeyCount;
  for (const auto& [id, backend] : input.state.backends()) {
    if (backend.pool.value == service.config.name.value && input.is_eligible(backend)) {
      targets_[id].capacity = input.capacity(backend);
      targets_[id].may_give_up = !input.can_notify || input.can_notify(id);
      targets_[id].max_load = input.max_load ? input.max_load(backend) : std::nullopt;
      total_capacity_ += targets_[id].capacity;
    }
  }
  limit_capacities();
  for (const auto& [first, range] : service.ranges.records()) {
    add_load(range.moving ? range.move_to : range.owner, load(range.keys));
    moving_ += range.moving ? 1 : 0;
    if (!range.moving && range.owner.value != 0) {
      segments_.push_back({range.keys, range.owner, range.fence});
    }
  }
}

void RangePlanner::Workspace::limit_capacities() {
  for (int round = 0; round < kCapacityLimitRounds; ++round) {
    const double mean = mean_utilization();
    total_capacity_ = 0;
    for (auto& [id, target] : targets_) {
      if (target.max_load.has_value()) {
        const double max_capacity = std::max(*target.max_load / mean, kMinCapacity);
        target.capacity = std::min(target.capacity, max_capacity);
      }
      total_capacity_ += target.capacity;
    }
  }
}

double RangePlanner::Workspace::load(const KeyRange& keys) const {
  const double observed =
      prefix_sums_[first_busy(keys.last + 1)] - prefix_sums_[first_busy(keys.first)];
  return observed + idle_rate_ * keys.size();
}

std::size_t RangePlanner::Workspace::first_busy(std::uint32_t key) const {
  const auto found =
      std::lower_bound(busy_.begin(), busy_.end(), key,
                       [](const KeyRate& busy, std::uint32_t wanted) { return busy.key < wanted; });
  return static_cast<std::size_t>(found - busy_.begin());
}

RangePlanner::Workspace::Targets::iterator RangePlanner::Workspace::least_loaded() {
  return std::min_element(targets_.begin(), targets_.end(), [](const auto& a, const auto& b) {
    return a.second.utilization() < b.second.utilization();
  });
}

RangePlanner::Workspace::Targets::iterator RangePlanner::Workspace::most_loaded() {
  auto most_loaded = targets_.end();
  for (auto target = targets_.begin(); target != targets_.end(); ++target) {
    const bool is_more_loaded = most_loaded == targets_.end() ||
                                target->second.utilization() > most_loaded->second.utilization();
    if (target->second.may_give_up && is_more_loaded) {
      most_loaded = target;
    }
  }
  return most_loaded;
}

bool RangePlanner::Workspace::may_give_up(BackendId id) const {
  const auto found = targets_.find(id);
  return found == targets_.end() || found->second.may_give_up;
}

void RangePlanner::Workspace::reserve(BackendId id, const KeyRange& keys) {
  const auto found = targets_.find(id);
  total_load_ = std::max(total_load_ - load(keys), idle_rate_ * config::kKeyCount);
  total_capacity_ -= found->second.capacity;
  targets_.erase(found);
}

void RangePlanner::Workspace::add_load(BackendId id, double load) {
  const auto found = targets_.find(id);
  if (found != targets_.end()) {
    found->second.load += load;
  }
}

void RangePlanner::Workspace::move(ApplyRangePlan& plan, const KeyRange& keys, Epoch fence,
                                   BackendId from, BackendId to) {
  const double moved_load = load(keys);
  add_load(from, -moved_load);
  add_load(to, moved_load);
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

KeyRange RangePlanner::Workspace::prefix(const KeyRange& keys, double max_load) const {
  std::uint32_t low = keys.first;
  std::uint32_t high = keys.last;
  while (low < high) {
    const std::uint32_t middle = low + (high - low + 1) / 2;
    if (load({keys.first, middle}) <= max_load) {
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
  double best_load = 0;
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
    const double useful = std::min(sum, wanted);
    const bool is_denser =
        !best.has_value() || useful * best->size() > best_load * run.size() * kTolerance;
    if (sum >= kMinPartFraction * wanted && is_denser) {
      best = run;
      best_load = useful;
    }
  }
  return best;
}

std::optional<Segment> RangePlanner::Workspace::find_part(BackendId owner, double wanted) const {
  std::optional<Segment> best;
  double best_load = 0;
  for (const Segment& segment : segments_) {
    if (segment.owner != owner) {
      continue;
    }
    KeyRange part = prefix(segment.keys, wanted);
    const auto dense = cluster(segment.keys, wanted);
    const bool is_dense =
        dense.has_value() && load(*dense) * part.size() > kDenseFactor * load(part) * dense->size();
    part = is_dense ? *dense : part;
    const double part_load = load(part);
    const bool fits = part_load <= kTolerance * wanted && part_load >= kMinPartFraction * wanted;
    if (fits && part_load > best_load) {
      best_load = part_load;
      best = Segment{part, owner, segment.fence};
    }
  }
  return best;
}

}  // namespace planktray::ownership

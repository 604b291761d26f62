#include "ownership/range_planner.hpp"

#include <algorithm>
#include <cmath>
#include <iterator>

#include "ownership/range_workspace.hpp"

namespace planktray::ownership {

ApplyRangePlan RangePlanner::plan(const RangePlannerInput& input) const {
  ApplyRangePlan plan;
  for (const auto& [id, service] : input.state.routed_services()) {
    if (service.retired || service.ranges.records().empty()) {
      continue;
    }
    if (!input.balance && !input.join && !has_work(input, service)) {
      continue;
    }
    Workspace work(input, service);
    if (work.targets().empty()) {
      continue;
    }
    if (input.balance) {
      isolate_dominant(work, plan);
    }
    assign_free(work, plan);
    drain_owners(work, plan);
    if (input.balance) {
      balance(work, plan);
    }
    if (input.join) {
      close_gaps(work, plan);
      join_adjacent(work, plan);
    }
  }
  return plan;
}

bool RangePlanner::has_work(const RangePlannerInput& input, const RoutedServiceRecord& service) {
  const auto& records = service.ranges.records();
  return std::any_of(records.begin(), records.end(), [&](const auto& item) {
    const RangeRecord& range = item.second;
    if (range.moving || range.owner.value == 0) {
      return input.may_assign(service.id, range).free;
    }
    const BackendRecord* owner = input.state.find_backend(range.owner);
    return owner != nullptr && input.must_drain(*owner);
  });
}

void RangePlanner::assign_free(Workspace& work, ApplyRangePlan& plan) const {
  const ServiceId service = work.service().id;
  for (const auto& [first, record] : work.service().ranges.records()) {
    const RangeRecord& range = record;
    if (range.owner.value != 0 && !range.moving) {
      continue;
    }
    const GrantManager::Availability availability = work.input().may_assign(service, range);
    if (!availability.free) {
      continue;
    }
    const BackendRecord* intended = work.input().state.find_backend(range.move_to);
    if (intended != nullptr && work.input().is_eligible(*intended)) {
      plan.assignments.push_back(
          {service, range.keys, range.fence, range.move_to, availability.handover});
      continue;
    }
    work.spread(range.keys, [&](const KeyRange& piece, BackendId target) {
      plan.assignments.push_back({service, piece, range.fence, target, availability.handover});
    });
  }
}

void RangePlanner::drain_owners(Workspace& work, ApplyRangePlan& plan) const {
  const std::vector<Segment> segments = work.segments();
  for (const Segment& segment : segments) {
    const BackendRecord* owner = work.input().state.find_backend(segment.owner);
    if (owner == nullptr || !work.input().must_drain(*owner)) {
      continue;
    }
    work.spread(segment.keys, [&](const KeyRange& piece, BackendId target) {
      plan.moves.push_back({work.service().id, piece, segment.fence, target});
    });
  }
}

void RangePlanner::isolate_dominant(Workspace& work, ApplyRangePlan& plan) const {
  if (work.targets().size() < 2) {
    return;  // at least one target has to remain for all other keys
  }
  const KeyRate hottest = work.input().loads.hottest(work.service().id);
  const KeyRange key{hottest.key, hottest.key};
  const auto segment =
      std::find_if(work.segments().begin(), work.segments().end(),
                   [&](const Segment& candidate) { return candidate.keys.contains(key); });
  const double min_load =
      std::max(options_.dominant_share * work.mean_utilization(), min_significant_load());
  if (hottest.rate <= min_load || segment == work.segments().end() ||
      !work.is_target(segment->owner)) {
    return;
  }
  const BackendId owner = segment->owner;
  if (!work.may_give_up(owner)) {
    return;
  }
  const auto fastest = std::max_element(
      work.targets().begin(), work.targets().end(),
      [](const auto& a, const auto& b) { return a.second.capacity < b.second.capacity; });
  const double owner_capacity = work.targets().at(owner).capacity;
  BackendId host = owner;
  if (fastest->second.capacity > options_.min_speedup * owner_capacity) {
    host = fastest->first;
    work.move(plan, key, segment->fence, owner, host);
  }
  work.reserve(host, key);
  drain_host(work, plan, host, key);
}

void RangePlanner::drain_host(Workspace& work, ApplyRangePlan& plan, BackendId host,
                              const KeyRange& key) const {
  const std::vector<Segment> segments = work.segments();
  for (const Segment& segment : segments) {
    if (segment.owner != host) {
      continue;
    }
    const auto move_away = [&](const KeyRange& keys) {
      work.spread(keys, [&](const KeyRange& piece, BackendId target) {
        plan.moves.push_back({work.service().id, piece, segment.fence, target});
      });
    };
    if (!segment.keys.contains(key)) {
      move_away(segment.keys);
      continue;
    }
    if (segment.keys.first < key.first) {
      move_away({segment.keys.first, key.first - 1});
    }
    if (key.last < segment.keys.last) {
      move_away({key.last + 1, segment.keys.last});
    }
  }
  std::erase_if(work.segments(), [host](const Segment& segment) { return segment.owner == host; });
}

void RangePlanner::close_gaps(Workspace& work, ApplyRangePlan& plan) const {
  const auto& records = work.service().ranges.records();
  if (records.size() < 3) {
    return;
  }
  const double max_idle_load = options_.smallest_gain * work.mean_utilization() / 2;
  for (auto gap = std::next(records.begin()); std::next(gap) != records.end(); ++gap) {
    const RangeRecord& before = std::prev(gap)->second;
    const RangeRecord& after = std::next(gap)->second;
    const RangeRecord& record = gap->second;
    const bool is_between = before.owner == after.owner && record.owner != before.owner &&
                            record.owner.value != 0 && work.is_target(before.owner);
    const bool is_moving = before.moving || after.moving || record.moving;
    const bool is_planned =
        std::any_of(plan.moves.begin(), plan.moves.end(), [&](const RangeMove& move) {
          return move.service == work.service().id &&
                 move.keys.overlaps({before.keys.first, after.keys.last});
        });
    if (is_between && !is_moving && !is_planned && work.load(record.keys) <= max_idle_load &&
        work.may_give_up(record.owner) && work.moving() < options_.concurrent_moves) {
      work.move(plan, record.keys, record.fence, record.owner, before.owner);
    }
  }
}

void RangePlanner::join_adjacent(const Workspace& work, ApplyRangePlan& plan) const {
  const auto& records = work.service().ranges.records();
  const auto may_join = [&](const RangeRecord& record) {
    return !record.moving && record.owner.value != 0 &&
           std::none_of(plan.moves.begin(), plan.moves.end(), [&](const RangeMove& move) {
             return move.service == work.service().id && move.keys.overlaps(record.keys);
           });
  };
  for (auto first = records.begin(); first != records.end();) {
    auto next = std::next(first);
    if (!may_join(first->second)) {
      first = next;
      continue;
    }
    KeyRange keys = first->second.keys;
    const BackendId owner = first->second.owner;
    while (next != records.end() && next->second.owner == owner && may_join(next->second)) {
      keys.last = next->second.keys.last;
      ++next;
    }
    if (keys != first->second.keys) {
      plan.joins.push_back({work.service().id, keys, owner});
    }
    first = next;
  }
}

void RangePlanner::balance(Workspace& work, ApplyRangePlan& plan) const {
  const double mean = work.mean_utilization();
  const double noise = options_.noise_factor * std::sqrt(mean * options_.noise_rate);
  const double limit = mean + std::max(mean * (options_.max_imbalance - 1.0), noise);
  const std::size_t max_ranges = options_.ranges_per_target * work.targets().size();
  while (work.moving() < options_.concurrent_moves && work.targets().size() > 1 &&
         work.service().ranges.records().size() + work.moving() < max_ranges) {
    const auto most_loaded = work.most_loaded();
    if (most_loaded == work.targets().end()) {
      return;
    }
    const auto least_loaded = work.least_loaded();
    const bool is_overloaded = most_loaded->second.utilization() > limit;
    const bool is_underloaded =
        least_loaded->second.utilization() < options_.underload_share * mean - noise;
    if (!is_overloaded && !is_underloaded) {
      return;
    }
    const double excess = most_loaded->second.load - mean * most_loaded->second.capacity;
    const double spare = mean * least_loaded->second.capacity - least_loaded->second.load;
    const double wanted = std::min(excess, spare);
    const bool is_bounded = most_loaded->second.max_load.has_value();
    const double min_gain = options_.smallest_gain * mean *
                            (is_bounded ? std::min(1.0, most_loaded->second.capacity) : 1.0);
    const double min_moved = std::max(min_gain, min_significant_load());
    auto part = wanted > min_moved ? work.find_part(most_loaded->first, wanted) : std::nullopt;
    if (!part.has_value() && is_bounded && wanted > min_moved) {
      part = work.find_part(most_loaded->first,
                            most_loaded->second.load);  // a single key may exceed the limit
    }
    if (!part.has_value() && is_bounded) {
      work.exclude(most_loaded->first);  // the other targets are still balanced
      continue;
    }
    if (!part.has_value()) {
      return;
    }
    work.move(plan, part->keys, part->fence, most_loaded->first, least_loaded->first);
  }
}

}  // namespace planktray::ownership
